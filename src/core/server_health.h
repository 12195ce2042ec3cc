#pragma once

// What one instance has itself seen of a backend server: failures in a row and until when it is avoided. A server that is
// avoided is tried again after a pause that grows with each failure and is bounded.

#include "kernel/ids.h"

#include <map>
#include <string>
#include <unordered_map>

namespace chestnut
{

// Why a server is avoided.
enum class failure_kind
{
    unreachable, // no connection could be made
    silent,      // no byte for longer than expected
    broken,      // connection lost or answer spoilt
    refused,     // it said that it did not run the request
    error,       // its own failure answer
};

struct server_state
{
    int failures = 0; // in a row
    failure_kind lastFailure = failure_kind::broken;
    steady_time avoidUntil{}; // no new work before
    int running = 0;          // requests that this instance sent to the server, not those that pass through it
    double tokens = 0;        // tokens of this instance's generations that pass through it
    int reportedRunning = -1; // at the whole server, -1 = unknown
    int reportedWaiting = 0;
    steady_time reportedAt{};
    steady_time faultySince{};    // first of the failures in a row that show it unreachable or silent, 0 = none
    steady_time lastAlive{};      // when this instance last got something that passed through it
    steady_time peerAvoidUntil{}; // another instance avoids it
};

class server_health
{
public:
    server_state &of(const std::string &address)
    {
        return m_servers[address];
    }
    // Counts a failure and sets the pause.
    void noteFailure(const std::string &address, failure_kind kind, steady_time now);
    void noteSuccess(const std::string &address);
    // Another process serves at that address now: its predecessor's failures say nothing of it.
    void noteRestart(const std::string &address);
    // A sign of life of a server, also as a later stage of a path.
    void noteAlive(const std::string &address, steady_time now);
    // Another instance avoids the server; counts unless it has just shown life here.
    void notePeerAvoids(const std::string &address, failure_kind kind, milliseconds avoid, steady_time now);
    // How long this instance itself avoids a server; 0 = not.
    milliseconds ownPause(const std::string &address, steady_time now) const;
    const std::unordered_map<std::string, server_state> &all() const
    {
        return m_servers;
    }
    // Servers that this instance or a peer finds unreachable or silent now, with the time since when.
    std::map<std::string, steady_time> faulty(steady_time now) const;
    bool avoided(const std::string &address, steady_time now) const;

private:
    std::unordered_map<std::string, server_state> m_servers; // by address
};

const char *toText(failure_kind kind);

}
