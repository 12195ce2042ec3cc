#pragma once

// Decides when a server that requests found unreachable or silent counts as lost, so that other servers take over its layers.
//
// Designed for servers that fall silent for a second and go on, beside servers that end or vanish: moving layers costs loads and memory for
// requests, so the first must not be mistaken for the others. The machine of a silent process still accepts connections.

#include "core/server_health.h"

#include <map>
#include <string>
#include <vector>

namespace chestnut
{

class lost_servers
{
public:
    static constexpr milliseconds GONE_TIMEOUT{700};   // a server that has ended or is unreachable counts as lost after this time
    static constexpr milliseconds SILENCE_LIMIT{1600}; // one that is perhaps only silent does after this time
    static constexpr milliseconds CHECK_INTERVAL{500}; // between two questions to the same server
    static constexpr milliseconds MEMORY{60'000};      // after the first failure of a server that is no longer faulty

    // Replaces the set of servers that are unreachable or silent: address -> time of the first failure.
    void setFaulty(const std::map<std::string, steady_time> &faultySince);
    // Addresses of the servers that are to be asked now whether they are still there. Each counts as asked.
    std::vector<std::string> takeDueChecks(steady_time now);
    // Answer of a server that was asked.
    void noteState(const std::string &address, process_state state);
    bool isLost(const std::string &address, steady_time now) const;

private:
    struct faulty_server
    {
        steady_time since{};   // first failure
        steady_time nextAsk{}; // not asked before this time
        bool gone = false;     // ended or unreachable, by the last answer
        bool faulty = true;    // false between two failures, while requests try it again; what is known of it is kept
    };
    std::map<std::string, faulty_server> m_servers; // by address
};

}
