#pragma once

// Interface between the gateway and the platform it runs on. The adapter that implements the platform's protocol registers
// itself as a plug-in; no code that uses this interface contains names of the platform's protocol.

#include "core/gateway_types.h"
#include "core/server_health.h"
#include "kernel/event_loop.h"
#include "kernel/metrics.h"
#include "mesh/mesh_node.h"

#include <functional>
#include <string>

namespace chestnut
{

// Names of request and response headers, by content.
struct header_names
{
    std::string requestId;      // identifies one attempt of a client; servers echo it
    std::string deadline;       // milliseconds that the client waits for the answer
    std::string lastEventId;    // newest event that the client received of a broken stream
    std::string signature;      // a server's signature of its answer
    std::string account;        // name of the client account, set by the gateway
    std::string targetInstance; // id of the intended server; any other one refuses the request
    std::string serverLeaving;  // "1": the server is about to leave and wants no new work
    std::string serverLoad;     // running requests, waiting requests, slots
    std::string notRun;         // present if the server did not run the request
    std::string tokenCount;     // prompt tokens, maximum of answer tokens
    std::string promptParts;    // parts of the prompt in order, as ID:TOKENS, separated by commas
    std::string lengthHint;     // the client's estimate of the answer tokens
    std::string priority;       // 0 = highest
    std::string path;           // stages of a generation
    std::string faultyStage;    // IP:port of the failed stage's server, in refusals
    std::string expectedVersion;
    std::string authorization;
    std::string keyScheme; // authentication scheme before the key, including the space
};

enum class append_outcome
{
    appended,
    conflict,     // the log did not end at the given offset: another instance appended first
    not_appended, // certainly not appended
    unknown,      // no answer: the entry may have been appended or may still be
};

struct lease_append_answer
{
    append_outcome outcome = append_outcome::unknown;
    store_epoch epoch; // of the answer, 0 = not told
};

// Work of a backend server's engine, as of its report. -1 = not reported.
struct engine_load
{
    int queued = -1;        // requests that wait at the server
    int running = -1;       // requests that it works on
    double kvUsed = -1;     // KV memory in use, in tokens times layers
    double kvTotal = -1;    // all its KV memory, in tokens times layers
    double stepFactor = -1; // 1 = usual speed, larger = slower
};

// State that a backend server reports.
struct server_report
{
    bool ok = false;
    bool answered = false;  // the process that was asked has sent an answer, usable or not
    bool connected = false; // its machine has accepted the connection
    bool timedOut = false;  // no answer in time
    std::string error;
    bool busy = false;               // an order is in progress
    std::uint64_t orderSequence = 0; // number of orders begun since the server started
    layer_range held;
    engine_load load;
    std::map<std::string, std::string> stalledRequests; // request id -> address of the stage it waits for

    // What the answer, or the lack of one, shows of the process that was asked.
    process_state processState() const
    {
        if (answered) {
            return process_state::alive;
        }
        if (!timedOut) {
            return process_state::ended;
        }
        return connected ? process_state::silent : process_state::unreachable;
    }
};

enum class order_outcome
{
    begun,       // started, or already in effect
    mismatch,    // the server's state differs from the expected one: read it again
    refused,     // the order cannot be carried out
    unreachable, // no connection
    unknown,     // no answer: the server may still carry it out
};

inline const char *toText(order_outcome outcome)
{
    constexpr const char *NAMES[] = {"begun", "mismatch", "refused", "unreachable", "unknown"};
    return NAMES[static_cast<int>(outcome)];
}

struct platform_handler
{
    std::function<void(std::shared_ptr<const gateway_config>)> onConfig;
    std::function<void(std::shared_ptr<const fleet_snapshot>)> onFleet;
    std::function<void(bool reachable)> onReachable; // whether the platform's store answers
};

// All functions and callbacks run on the loop given to the factory.
class platform_port
{
public:
    virtual ~platform_port() = default;

    virtual const header_names &platformHeaderNames() const = 0;
    virtual std::string encodePath(const std::vector<path_stage> &path) const = 0;

    // Starts following the configuration and the servers; reports every change to the handler.
    virtual void follow(platform_handler handler) = 0;
    // Reads the configuration and the servers at once, beside the reads of follow(). Reports whether both succeeded, after the handler
    // got every change.
    virtual void refresh(std::function<void(bool ok)> done) = 0;

    // Registers this instance in the store and reports every instance that is or was registered there.
    virtual void announce(const member_entry &self, std::function<void(const member_entry &)> onMember) = 0;

    // Up to which position this instance knows the configuration, the servers and the members.
    virtual update_position position() const = 0;
    // Sets the id of this process for confirmations, before any other call; see core/confirmation_clock.h.
    virtual void setOrigin(std::uint64_t origin) = 0;
    // Newest confirmations of the known configuration and servers. The fields of the coordinator and its lease are not set here; they
    // come from the control plane.
    virtual peer_confirmations confirmations(steady_time now) const = 0;
    // Takes over the confirmations of a peer whose updates have been imported; `position` is what the peer has reached.
    virtual void confirm(const peer_confirmations &known, const update_position &position, steady_time now) = 0;
    // While the newest confirmation is younger than this, the store is not read; 0 = always read.
    virtual void setMaxConfirmationAge(milliseconds maxAge) = 0;
    // Rank of this instance among all, 0 = first: later ones ask a store that does not answer less often.
    virtual void setRank(int rank) = 0;
    // Serializes the updates that a peer at position `since` lacks.
    virtual std::string exportUpdates(const update_position &since) const = 0;
    // Applies the updates exported by a peer.
    virtual void importUpdates(const std::string &updates) = 0;

    // Reads the lease entries from an offset on; waits up to `wait` if there is none yet.
    virtual void readLease(std::uint64_t from, milliseconds wait, std::function<void(lease_read)> done) = 0;
    // Appends an entry if the lease log still ends at `end`.
    virtual void appendLease(std::uint64_t end, const lease_entry &entry, std::function<void(lease_append_answer)> done) = 0;

    // Keeps the evidence against a quarantined part of prompts beyond the life of all instances; empty evidence removes it.
    virtual void keepQuarantine(const part_id &part, const evidence_update &evidence) = 0;
    // Reads the kept evidence, as soon as the platform answers.
    virtual void readQuarantine(std::function<void(const evidence_update &)> done) = 0;

    // Reads a server's state.
    virtual void fetchReport(const std::string &address, const server_id &server, std::function<void(server_report)> done) = 0;
    // Orders a server to hold a layer range; the server refuses unless it has begun exactly `sequence` orders.
    virtual void orderLayers(const std::string &address, const server_id &server, layer_range range, std::uint64_t sequence,
                             std::function<void(order_outcome)> done)
        = 0;
    // Orders the first server of a running request to continue it on another path.
    virtual void orderRepath(const std::string &address, const server_id &server, const std::string &request, const std::vector<path_stage> &path,
                             std::function<void(order_outcome, std::string faultyAddress)> done)
        = 0;
};

// plugin_registry<platform_port, event_loop &, const std::string &url, metrics &>

}
