#pragma once

// Which client connections are closed, and which requests rejected, when clients make an instance keep too much. No I/O.
//
// Designed for thousands of connections of clients that exceed the limits: each keeps little, by stopping in the middle of a request, by
// not reading its answer or by sending nothing at all, and all of them together exceed the memory or the descriptors of the instance.

#include "core/buffer_quota.h"
#include "kernel/ids.h"

#include <cstdint>
#include <list>
#include <map>
#include <optional>

namespace chestnut
{

// Limits on all clients together.
struct total_client_limits
{
    std::size_t bytes = 0;       // kept for all exchanges with clients and servers
    std::size_t connections = 0; // of clients
    std::size_t sockets = 0;     // of clients and servers
};

// Limits for a machine with this much memory, in bytes, and so many descriptors.
total_client_limits deriveClientLimits(std::size_t memory, std::size_t descriptors);

using client_number = std::uint64_t;

// What a connection does.
enum class client_stage
{
    idle,
    receiving, // a part of a request has arrived
    serving,   // the request is complete; it may be at a server
    blocked,   // an answer waits for its client, which takes no data
    closing,   // chosen to be closed; its memory is about to be released
};

constexpr int CLIENT_STAGES = 5;

// Why a connection is closed.
enum class eviction_cause
{
    idle,
    incomplete,
    unread,
};

const char *toText(eviction_cause cause);

struct eviction
{
    client_number number;
    eviction_cause cause;
};

class client_memory
{
public:
    // Kept for a connection beside its buffers: its socket, session and coroutines.
    static constexpr std::size_t REST_BYTES = 3 * 1024;
    // A request that keeps no more than this is accepted although larger ones are rejected.
    static constexpr std::size_t SMALL_BYTES = 8 * 1024;
    // A client that has just connected, or got an answer, may have sent a request that has not arrived yet: it counts as idle after this time,
    // and is closed last before it.
    static constexpr milliseconds IDLE_TIME{500};
    // A client that reads takes some data of its answer within this time.
    static constexpr milliseconds UNREAD_TIME{1000};

    client_memory(buffer_quota &quota, total_client_limits limits);

    const total_client_limits &limits() const
    {
        return m_limits;
    }
    std::size_t connections() const
    {
        return m_clients.size();
    }
    client_number add(steady_time now);
    void remove(client_number number);
    // The connection does something else from now on. No effect on one that is being evicted.
    void setStage(client_number number, client_stage stage, steady_time now);
    // A connection to close because less than the small requests' part of the limit is free: the longest idle one, else the oldest
    // incomplete request, else the answer that has been unread for longest. Nothing if enough is free or if there is none; never one whose
    // request waits for a server or whose client reads. The caller releases at once what the connection keeps.
    // `grown` is the connection that has just received data, so that its request keeps `bytes`: a small request is not ended by its own data.
    std::optional<eviction> evictForMemory(steady_time now, client_number grown = 0, std::size_t bytes = 0);
    // True if there are as many connections as are allowed.
    bool full() const;
    // A connection to close so that another one can be admitted if there are as many as are allowed, in the same order.
    std::optional<eviction> evictForConnection(steady_time now);
    // True if no descriptor is left for the server connection of one more request beside the open ones.
    bool lacksDescriptor(std::size_t openRequests) const;
    // True if a request that keeps so many bytes cannot be accepted. Part of the limit is left to small requests.
    bool rejects(std::size_t bytes) const;

private:
    struct client
    {
        client(buffer_quota &quota, steady_time now)
            : rest(quota)
            , since(now)
        {
            rest.set(REST_BYTES);
        }
        buffered_bytes rest;
        client_stage stage = client_stage::idle;
        steady_time since;
        std::list<client_number>::iterator place; // in the list of its stage
    };

    std::list<client_number> &listOf(client_stage stage);
    std::optional<eviction> evict(steady_time now, client_number spared = 0);
    std::size_t largeLimit() const;

    buffer_quota &m_quota;
    total_client_limits m_limits;
    client_number m_last = 0;
    std::map<client_number, client> m_clients;
    std::list<client_number> m_lists[CLIENT_STAGES]; // longest in the stage first
};

}
