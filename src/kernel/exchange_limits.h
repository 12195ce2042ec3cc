#pragma once

// Memory and connections that all clients of an HTTP server may use together, and which connection is closed to free some. No I/O.
//
// Designed for some thousand connections of clients that exceed every limit: bodies that stop before their end, responses that are not
// read, connections that send nothing. What they hold must stay under a bound, and small requests of other clients must still be served.

#include "kernel/ids.h"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace chestnut
{

// An exchange that holds no more than this may also use the part of the memory that is reserved for small requests.
constexpr std::size_t SMALL_EXCHANGE_BYTES = 32'768;
// One part in so many of the memory is reserved for small requests.
constexpr std::size_t SMALL_EXCHANGE_PART = 4;
// An unfinished body or an unread response may be closed for another client once it is so old: clients within the limits are done by then.
constexpr milliseconds RECLAIM_AGE{5000};

// What a connection is doing.
enum class connection_stage
{
    idle,      // no request, or the head of one is incomplete
    receiving, // the body of a request
    running,   // a complete request waits for its response; never closed to free something
    sending,   // a complete response waits for its client to read it
};

using connection_number = std::uint64_t;

// Memory in bytes that all clients may use if no setting says so: 96 bodies of the largest size, at least 24 MB, which holds the longest
// response of a service, and otherwise at most a quarter of the machine's memory.
std::size_t derivedClientMemory(std::size_t maxBodyBytes, std::size_t machineBytes);
// Connections that may be open if no setting says so: half of the descriptors that are left after those of the process itself, since each
// request may need a connection to a backend server, and at most 4,096.
std::size_t derivedConnections(std::size_t descriptors);

// Not thread-safe.
class exchange_limits
{
public:
    // 0 = no limit.
    exchange_limits(std::size_t memoryBytes, std::size_t connections);

    // Whether an exchange that holds `held` bytes may hold `more`.
    bool hasSpace(std::size_t held, std::size_t more) const;
    // Charges them if it may.
    bool take(std::size_t held, std::size_t more);
    void release(std::size_t bytes);
    std::size_t usedBytes() const
    {
        return m_usedBytes;
    }

    // A new connection. Returns the one to close if there are too many: the longest idle one, else the oldest unfinished exchange that has
    // reached RECLAIM_AGE, else the new one.
    std::optional<connection_number> open(connection_number number, steady_time now);
    void close(connection_number number);
    void setStage(connection_number number, connection_stage stage, steady_time now);
    // Without those that are being closed.
    std::size_t connections() const
    {
        return m_connections.size() - m_closing;
    }
    // The unfinished exchange to close when memory is short: the oldest one, if it has reached RECLAIM_AGE.
    std::optional<connection_number> reclaim(steady_time now);

private:
    struct connection
    {
        connection_stage stage = connection_stage::idle;
        steady_time since;    // when the stage began
        bool closing = false; // is being evicted
    };

    std::optional<connection_number> oldest(bool idle, steady_time notAfter) const;
    std::optional<connection_number> markClosing(std::optional<connection_number> number);

    std::size_t m_memoryLimit;
    std::size_t m_connectionLimit;
    std::size_t m_usedBytes = 0;
    std::size_t m_closing = 0; // connections that are being closed
    std::unordered_map<connection_number, connection> m_connections;
};

}
