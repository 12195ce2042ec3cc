#include "kernel/exchange_limits.h"

#include <algorithm>

namespace chestnut
{

namespace
{

constexpr std::size_t DERIVED_BODIES = 96;                               // of the largest size
constexpr std::size_t LEAST_CLIENT_MEMORY_BYTES = std::size_t(24) << 20; // holds the longest response of a service, 16 MB
constexpr std::size_t MACHINE_PART = 4;                                  // at most one part in so many of the machine's memory
constexpr std::size_t OWN_DESCRIPTORS = 64;                              // listeners, event loops, log service, peers
constexpr std::size_t MOST_CONNECTIONS = 4096;
constexpr std::size_t FEWEST_CONNECTIONS = 16;

}

std::size_t derivedClientMemory(std::size_t maxBodyBytes, std::size_t machineBytes)
{
    return std::max(LEAST_CLIENT_MEMORY_BYTES, std::min(DERIVED_BODIES * maxBodyBytes, machineBytes / MACHINE_PART));
}

std::size_t derivedConnections(std::size_t descriptors)
{
    const std::size_t left = descriptors > OWN_DESCRIPTORS ? descriptors - OWN_DESCRIPTORS : 0;
    return std::clamp(left / 2, FEWEST_CONNECTIONS, MOST_CONNECTIONS);
}

exchange_limits::exchange_limits(std::size_t memoryBytes, std::size_t connections)
    : m_memoryLimit(memoryBytes)
    , m_connectionLimit(connections)
{
}

bool exchange_limits::hasSpace(std::size_t held, std::size_t more) const
{
    if (m_memoryLimit == 0) {
        return true;
    }
    const bool small = held + more <= SMALL_EXCHANGE_BYTES;
    const std::size_t limit = small ? m_memoryLimit : m_memoryLimit - m_memoryLimit / SMALL_EXCHANGE_PART;
    return m_usedBytes <= limit && more <= limit - m_usedBytes;
}

bool exchange_limits::take(std::size_t held, std::size_t more)
{
    if (!hasSpace(held, more)) {
        return false;
    }
    m_usedBytes += more;
    return true;
}

void exchange_limits::release(std::size_t bytes)
{
    m_usedBytes -= bytes;
}

std::optional<connection_number> exchange_limits::open(connection_number number, steady_time now)
{
    m_connections[number] = {connection_stage::idle, now, false};
    if (m_connectionLimit == 0 || connections() <= m_connectionLimit) {
        return std::nullopt;
    }
    std::optional<connection_number> chosen = oldest(true, now);
    if (chosen == number) {
        chosen.reset(); // the only idle one
    }
    if (!chosen) {
        chosen = oldest(false, now - RECLAIM_AGE);
    }
    return markClosing(chosen ? chosen : number);
}

void exchange_limits::close(connection_number number)
{
    const auto found = m_connections.find(number);
    if (found == m_connections.end()) {
        return;
    }
    m_closing -= found->second.closing ? 1 : 0;
    m_connections.erase(found);
}

void exchange_limits::setStage(connection_number number, connection_stage stage, steady_time now)
{
    const auto found = m_connections.find(number);
    if (found != m_connections.end()) {
        found->second.stage = stage;
        found->second.since = now;
    }
}

std::optional<connection_number> exchange_limits::reclaim(steady_time now)
{
    return markClosing(oldest(false, now - RECLAIM_AGE));
}

// The idle connection, or the one with an unfinished exchange, whose stage began first and not after the time given.
std::optional<connection_number> exchange_limits::oldest(bool idle, steady_time notAfter) const
{
    std::optional<connection_number> chosen;
    steady_time chosenSince;
    for (const auto &[number, one] : m_connections) {
        const bool eligible = idle ? one.stage == connection_stage::idle : one.stage == connection_stage::receiving || one.stage == connection_stage::sending;
        if (!eligible || one.closing || one.since > notAfter) {
            continue;
        }
        // Numbers increase, so that of two connections of the same time the older one is chosen.
        if (!chosen || one.since < chosenSince || (one.since == chosenSince && number < *chosen)) {
            chosen = number;
            chosenSince = one.since;
        }
    }
    return chosen;
}

std::optional<connection_number> exchange_limits::markClosing(std::optional<connection_number> number)
{
    if (number) {
        m_connections[*number].closing = true;
        ++m_closing;
    }
    return number;
}

}
