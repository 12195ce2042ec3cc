#pragma once

// Urgency of requests: the rank of each among the priorities in use on its service, and what a less urgent one leaves to more urgent
// ones. No I/O.
//
// Designed for bursts of the least urgent requests at servers that all kinds of requests share. First come, first served, such a burst takes
// the KV capacity and the slots, and requests of every kind are rejected alike, also those whose service counts most.

#include "core/gateway_types.h"

namespace chestnut
{

struct request_urgency
{
    int priority = DEFAULT_PRIORITY; // of the account, else of the route; 0 = highest
    int rank = 0;                    // among the priorities in use on the service, 0 = the most urgent
    int ranks = 1;                   // number of priorities in use on the service

    // False on a service with one priority: its requests are handled as if there were none.
    bool active() const
    {
        return ranks > 1;
    }
};

// The priorities in use on each service, according to a configuration.
class urgency_ranks
{
public:
    urgency_ranks() = default;
    explicit urgency_ranks(const gateway_config &config);
    // Urgency of a request of this account, which is empty on an anonymous route.
    request_urgency of(const gateway_config &config, const route &matched, const service_id &service, const account_id &account) const;

private:
    std::map<service_id, std::vector<int>> m_priorities; // ascending, each once
};

}
