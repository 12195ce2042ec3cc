#pragma once

// Client connections of this instance; applies the decisions of client_memory to them. Used on the traffic thread only.

#include "core/admission/client_memory.h"
#include "gateway/gateway_settings.h"
#include "kernel/log.h"
#include "kernel/metrics.h"

#include <functional>
#include <unordered_map>

namespace chestnut
{

class client_registry
{
public:
    // Closes a connection, or ends its incomplete request, and releases its memory.
    using evict_handler = std::function<void(eviction_cause)>;

    client_registry(buffer_quota &quota, const gateway_settings &settings, metrics &counters);

    client_number add(evict_handler evict);
    void remove(client_number number);
    void setStage(client_number number, client_stage stage);
    // Evicts connections as long as too little memory is free. The parameters are those of client_memory::evictForMemory().
    void reclaimMemory(client_number grown = 0, std::size_t bytes = 0);
    // Evicts a connection if there are as many as are allowed. False if there is none that may be closed.
    bool makeRoomForOne();
    // True if a request that keeps so many bytes cannot be accepted.
    bool rejects(std::size_t bytes) const
    {
        return m_memory.rejects(bytes);
    }
    // True if no descriptor is left for one more request beside the open ones.
    bool lacksDescriptor(int openRequests) const
    {
        return m_memory.lacksDescriptor(static_cast<std::size_t>(openRequests));
    }
    // Updates the metrics.
    void report();

private:
    void evict(const eviction &chosen);

    buffer_quota &m_quota;
    client_memory m_memory;
    metrics &m_counters;
    std::unordered_map<client_number, evict_handler> m_handlers;
    std::uint64_t m_evicted = 0;
    std::uint64_t m_evictedLogged = 0;
};

}
