#pragma once

// Which servers of silent streams one instance probes, and what the results show. No I/O.
//
// Designed for the loss of several servers at once, while hundreds of streams pass through each: the first stream that misses an event
// has the servers of its path probed, and all other streams use the result. A server that is asked for by many streams is probed once.

#include "kernel/ids.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace chestnut
{

enum class probe_result
{
    accepted,   // the server's machine accepts connections: no verdict
    refused,    // nothing listens at its address: its process has ended
    unanswered, // no answer in time: its machine is gone, or the network to it
};

const char *toText(probe_result result);

struct stage_probe_limits
{
    milliseconds validity{500};         // a result is used, and the server not probed again, for so long
    milliseconds acceptedValidity{150}; // the same if the server accepted: it may be lost right afterwards
    int perSecond = 64;                 // probes of this instance
};

class stage_probes
{
public:
    explicit stage_probes(const stage_probe_limits &limits = {})
        : m_limits(limits)
    {
    }
    // The servers among these that are to be probed now: those without a valid result or a probe in progress, within the rate limit.
    std::vector<std::string> begin(const std::vector<std::string> &addresses, steady_time now);
    void noteResult(const std::string &address, probe_result result, steady_time now);
    // The servers among these that are lost according to the results; `alive` further ones of the path are known to work. No answer counts
    // only while more of the others work: otherwise the network of this instance is at fault.
    std::vector<std::string> lost(const std::vector<std::string> &addresses, std::size_t alive, steady_time now) const;
    // Result of the last probe of a server that is lost.
    probe_result resultOf(const std::string &address) const;
    // A new process serves at this address.
    void forget(const std::string &address)
    {
        m_servers.erase(address);
    }

private:
    struct probed_server
    {
        steady_time begun{};
        bool inProgress = true;
        probe_result result = probe_result::accepted; // valid unless in progress
    };

    void dropOutdated(steady_time now);
    bool isValid(const probed_server &server, steady_time now) const;

    stage_probe_limits m_limits;
    std::unordered_map<std::string, probed_server> m_servers; // by address
    steady_time m_second{};                                   // start of the second in which `m_used` counts
    int m_used = 0;
};

}
