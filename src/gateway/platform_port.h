#pragma once

// What the gateway needs of the platform it runs on. The adapter that speaks the platform's protocol registers itself as
// a plug-in; nothing behind this header knows its names.

#include "core/gateway_types.h"
#include "kernel/event_loop.h"
#include "kernel/metrics.h"
#include "mesh/mesh_node.h"

#include <functional>
#include <string>

namespace chestnut
{

// Header names of requests and answers, by what they hold.
struct wire_vocabulary
{
    std::string requestId;      // names one attempt of a client; servers echo it
    std::string deadline;       // milliseconds that the client will wait
    std::string lastEventId;    // newest event that the client has of a broken stream
    std::string signature;      // a server's signature over its answer
    std::string account;        // name of the client account, set by us
    std::string targetInstance; // server that is meant; any other refuses
    std::string serverLoad;     // running, waiting, places
    std::string notRun;         // the server did not run the request
    std::string tokenCount;     // prompt tokens, most answer tokens
    std::string lengthHint;     // the client's estimate of the answer tokens
    std::string priority;       // 0 = first
    std::string path;           // stages of a generation
    std::string faultyStage;    // IP:port of the server at fault, in refusals
    std::string expectedVersion;
    std::string authorization;
    std::string keyScheme; // word before the key, with its space
};

// Entries of the lease log: who may give orders.
struct lease_entry
{
    std::string holder;       // instance name and incarnation
    std::uint64_t offset = 0; // position in the lease log
};

struct lease_read
{
    bool ok = false;
    std::uint64_t end = 0; // offset of the next record
    std::vector<lease_entry> entries;
};

enum class append_outcome
{
    appended,
    conflict, // somebody else appended first
    not_done, // certain: nothing was appended
    unknown,  // no answer: it may have been appended, also later
};

// What a server says of itself.
struct server_report
{
    bool ok = false;
    std::string error;
    bool busy = false;               // an order is being carried out
    std::uint64_t orderSequence = 0; // orders begun since the server's start
    layer_range held;
    std::map<std::string, std::string> stalledRequests; // request id -> address of the stage that it waits for
};

enum class order_outcome
{
    begun,       // or already so
    mismatch,    // the server's state is another: read it again
    refused,     // the order cannot be carried out
    unreachable, // no connection
    unknown,     // no answer: may be carried out later
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
    std::function<void(bool reachable)> onReachable; // the platform's store answers, or no longer
};

// All functions and callbacks run on the loop given to the factory.
class platform_port
{
public:
    virtual ~platform_port() = default;

    virtual const wire_vocabulary &vocabulary() const = 0;
    virtual std::string encodePath(const std::vector<path_stage> &path) const = 0;

    // Begins to follow configuration and servers.
    virtual void follow(platform_handler handler) = 0;

    // Makes this instance known to the others and tells of those that are or were known.
    virtual void announce(const member_entry &self, std::function<void(const member_entry &)> onMember) = 0;

    // How far configuration and servers are known here, and exchange of what one instance knows and another does not. A
    // configuration may be large, so it is exported only to those that cannot read it from the platform themselves.
    virtual update_position position() const = 0;
    // Ages of what is known of configuration and servers; the giver's age is not the platform's matter and stays 0.
    virtual confirmation_ages ages(steady_time now) const = 0;
    // Another instance, whose news has been imported, had confirmations of these ages.
    virtual void confirm(const confirmation_ages &ages, const update_position &position, steady_time now) = 0;
    // Confirmations that are younger spare reads of the store; 0 = reads all the same.
    virtual void setTrust(milliseconds trust) = 0;
    virtual std::string exportUpdates(const update_position &since) const = 0;
    virtual void importUpdates(const std::string &news) = 0;

    // Reads lease entries from an offset; waits up to `wait` for one.
    virtual void readLease(std::uint64_t from, milliseconds wait, std::function<void(lease_read)> done) = 0;
    // Appends an entry if the log still ends at `end`.
    virtual void appendLease(std::uint64_t end, const std::string &holder, std::function<void(append_outcome)> done) = 0;

    virtual void fetchReport(const std::string &address, const server_id &server, std::function<void(server_report)> done) = 0;
    // Orders a server to hold a range if it has begun exactly `sequence` orders.
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
