#pragma once

// Failure tracking of backend servers, as observed by one instance. A server that fails is avoided for a backoff time that grows
// exponentially with consecutive failures up to a limit; then it gets work again.

#include "kernel/ids.h"

#include <map>
#include <string>
#include <unordered_map>

namespace chestnut
{

// Why a server is avoided.
enum class failure_kind
{
    unreachable,   // no connection could be made
    silent,        // no data within the timeout
    broken,        // connection lost or answer malformed
    refused,       // the server states that it did not run the request
    error,         // the server answered with an error
    stage_refused, // another server states that this one, a later stage of the path, did not take the request
};

// What a question to a server shows of its process.
enum class process_state
{
    alive,
    ended,       // nothing or another process serves at its address
    unreachable, // no connection in time: its machine is gone, or cut off
    silent,      // a connection, but no answer in time
};

// What one instance knows of one server.
struct server_state
{
    int failures = 0; // consecutive
    failure_kind lastFailure = failure_kind::broken;
    steady_time avoidUntil{};     // no new work before this time
    int running = 0;              // requests that this instance sent to the server directly, not as a later stage of a path
    double tokens = 0;            // tokens of this instance's requests that pass through the server
    int reportedRunning = -1;     // requests of all instances running on the server, -1 = unknown
    int reportedWaiting = 0;      // requests of all instances waiting at the server
    steady_time reportedAt{};     // when these two values were received
    steady_time faultySince{};    // first consecutive failure of kind unreachable or silent, 0 = none
    steady_time lastAlive{};      // when this instance last received data that passed through the server
    steady_time peerAvoidUntil{}; // a peer avoids the server until this time
    steady_time quietUntil{};     // the server wants no requests of this instance before this time
    bool leaving = false;         // this process of the server has said that it is about to leave
};

class server_health
{
public:
    // Upper limit of a quiet period: a server that asks for more is asked again after this time.
    static constexpr milliseconds MAX_QUIET_PERIOD{30'000};

    // State of the server at this address; creates it if needed.
    server_state &of(const std::string &address)
    {
        return m_servers[address];
    }
    // Counts a failure and sets the backoff, which further failures within it do not lengthen beyond the first step.
    void noteFailure(const std::string &address, failure_kind kind, steady_time now);
    // Clears consecutive failures and this instance's own backoff.
    void noteSuccess(const std::string &address);
    // A new process serves at this address: clears all that concerns the previous process.
    void noteRestart(const std::string &address);
    // Data was received from the server, possibly as a later stage of a path. Ends a backoff because it seemed unreachable or silent; the
    // next one because it refused as a stage is the shortest again.
    void noteAlive(const std::string &address, steady_time now);
    // A peer avoids the server for this long. Ignored if this instance has just received data from the server.
    void notePeerAvoids(const std::string &address, failure_kind kind, milliseconds avoid, steady_time now);
    // The server asked this instance to send nothing for a time. A later, shorter period does not end an earlier one.
    void noteQuietPeriod(const std::string &address, milliseconds period, steady_time now);
    // The server said in an answer that it is about to leave: until another process serves at its address, it gets no new work, whatever
    // the store says of it. Returns false if that was known.
    bool noteLeaving(const std::string &address);
    bool leaving(const std::string &address) const;
    // Rest of the server's quiet period, 0 = none.
    milliseconds quietLeft(const std::string &address, steady_time now) const;
    bool isQuiet(const std::string &address, steady_time now) const
    {
        return quietLeft(address, now).count() > 0;
    }
    // Remaining time for which this instance avoids the server because of its own failures; 0 = none.
    milliseconds ownBackoff(const std::string &address, steady_time now) const;
    const std::unordered_map<std::string, server_state> &all() const
    {
        return m_servers;
    }
    // Servers avoided by this instance or a peer after failures of kind unreachable or silent, with the time of the first such failure.
    std::map<std::string, steady_time> faulty(steady_time now) const;
    // True if this instance or a peer avoids the server at this time.
    bool avoided(const std::string &address, steady_time now) const;
    // True if it is avoided after a failure of kind unreachable or silent: requests that pass through it do not go on. A server that is
    // avoided because it refused new work still serves them.
    bool unresponsive(const std::string &address, steady_time now) const;

private:
    std::unordered_map<std::string, server_state> m_servers; // by address
};

const char *toText(failure_kind kind);
const char *toText(process_state state);

}
