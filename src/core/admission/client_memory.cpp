#include "core/admission/client_memory.h"

#include <algorithm>
#include <utility>

namespace chestnut
{

namespace
{

constexpr std::size_t PROCESS_BYTES = std::size_t(40) << 20;            // of the process without clients, and for the allocator
constexpr std::size_t MIN_BYTES = std::size_t(8) << 20;                 // one body of the usual largest size, and small requests beside it
constexpr std::size_t MAX_BYTES = std::size_t(64) << 20;                // also where the system reports the memory of a whole machine
constexpr std::size_t CONNECTION_BYTES = 12 * 1024;                     // of memory without the buffers, for each connection that is allowed
constexpr std::size_t CONNECTION_PROCESS_BYTES = std::size_t(32) << 20; // of memory that is not for connections
constexpr std::size_t MIN_CONNECTIONS = 64;
constexpr std::size_t RESERVED_DESCRIPTORS = 200; // for files, the store and peers

}

total_client_limits deriveClientLimits(std::size_t memory, std::size_t descriptors)
{
    const std::size_t sockets = descriptors - std::min(descriptors, RESERVED_DESCRIPTORS);
    const std::size_t byMemory = (memory - std::min(memory, CONNECTION_PROCESS_BYTES)) / CONNECTION_BYTES;
    total_client_limits limits;
    limits.bytes = std::clamp((memory - std::min(memory, PROCESS_BYTES)) / 2, MIN_BYTES, MAX_BYTES);
    limits.connections = std::max(MIN_CONNECTIONS, std::min(sockets * 3 / 4, byMemory)); // the rest is for connections to servers
    limits.sockets = std::max(2 * MIN_CONNECTIONS, sockets);
    return limits;
}

const char *toText(eviction_cause cause)
{
    static constexpr const char *NAMES[] = {"idle", "incomplete", "unread"};
    return NAMES[static_cast<int>(cause)];
}

client_memory::client_memory(buffer_quota &quota, total_client_limits limits)
    : m_quota(quota)
    , m_limits(limits)
{
    m_quota.setLimit(largeLimit()); // of answers of servers
}

std::list<client_number> &client_memory::listOf(client_stage stage)
{
    return m_lists[static_cast<int>(stage)];
}

std::size_t client_memory::largeLimit() const
{
    return m_limits.bytes / 4 * 3;
}

client_number client_memory::add(steady_time now)
{
    const client_number number = ++m_last;
    client &added = m_clients.try_emplace(number, m_quota, now).first->second;
    std::list<client_number> &idle = listOf(client_stage::idle);
    added.place = idle.insert(idle.end(), number);
    return number;
}

void client_memory::remove(client_number number)
{
    const auto found = m_clients.find(number);
    if (found != m_clients.end()) {
        listOf(found->second.stage).erase(found->second.place);
        m_clients.erase(found);
    }
}

void client_memory::setStage(client_number number, client_stage stage, steady_time now)
{
    const auto found = m_clients.find(number);
    if (found == m_clients.end() || found->second.stage == client_stage::closing) {
        return;
    }
    client &changed = found->second;
    std::list<client_number> &list = listOf(stage);
    list.splice(list.end(), listOf(changed.stage), changed.place);
    changed.stage = stage;
    changed.since = now;
}

std::optional<eviction> client_memory::evictForMemory(steady_time now, client_number grown, std::size_t bytes)
{
    return m_quota.total() > largeLimit() ? evict(now, rejects(bytes) ? 0 : grown) : std::nullopt;
}

std::optional<eviction> client_memory::evictForConnection(steady_time now)
{
    return full() ? evict(now) : std::nullopt;
}

bool client_memory::full() const
{
    const std::size_t closing = m_lists[static_cast<int>(client_stage::closing)].size();
    return m_clients.size() - closing >= m_limits.connections;
}

std::optional<eviction> client_memory::evict(steady_time now, client_number spared)
{
    struct choice
    {
        client_stage stage;
        milliseconds least; // time in the stage
        eviction_cause cause;
    };
    static constexpr choice ORDER[] = {{client_stage::idle, IDLE_TIME, eviction_cause::idle},
                                       {client_stage::receiving, milliseconds(0), eviction_cause::incomplete},
                                       {client_stage::blocked, UNREAD_TIME, eviction_cause::unread},
                                       {client_stage::idle, milliseconds(0), eviction_cause::idle}};
    for (const choice &one : ORDER) {
        const std::list<client_number> &list = listOf(one.stage);
        const client_number number = list.empty() ? 0 : list.front();
        if (number == 0 || number == spared || now - m_clients.at(number).since < one.least) {
            continue;
        }
        setStage(number, client_stage::closing, now);
        m_clients.at(number).rest.set(0);
        return eviction{number, one.cause};
    }
    return std::nullopt;
}

bool client_memory::rejects(std::size_t bytes) const
{
    return m_quota.total() > (bytes > SMALL_BYTES ? largeLimit() : m_limits.bytes);
}

bool client_memory::lacksDescriptor(std::size_t openRequests) const
{
    return m_clients.size() + openRequests > m_limits.sockets;
}

}
