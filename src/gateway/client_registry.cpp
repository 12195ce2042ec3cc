#include "gateway/client_registry.h"

namespace chestnut
{

namespace
{

total_client_limits limitsOf(const gateway_settings &settings)
{
    total_client_limits limits = deriveClientLimits(settings.memoryLimit(), settings.descriptorLimit());
    if (settings.clientMemoryMb > 0) {
        limits.bytes = static_cast<std::size_t>(settings.clientMemoryMb) << 20;
    }
    if (settings.clientConnections > 0) {
        limits.connections = static_cast<std::size_t>(settings.clientConnections);
    }
    return limits;
}

}

client_registry::client_registry(buffer_quota &quota, const gateway_settings &settings, metrics &counters)
    : m_quota(quota)
    , m_memory(quota, limitsOf(settings))
    , m_counters(counters)
{
}

client_number client_registry::add(evict_handler evict)
{
    const client_number number = m_memory.add(std::chrono::steady_clock::now());
    m_handlers.emplace(number, std::move(evict));
    return number;
}

void client_registry::remove(client_number number)
{
    m_handlers.erase(number);
    m_memory.remove(number);
}

void client_registry::setStage(client_number number, client_stage stage)
{
    m_memory.setStage(number, stage, std::chrono::steady_clock::now());
}

void client_registry::reclaimMemory(client_number grown, std::size_t bytes)
{
    const steady_time now = std::chrono::steady_clock::now();
    while (const auto chosen = m_memory.evictForMemory(now, grown, bytes)) {
        evict(*chosen);
        if (chosen->cause == eviction_cause::unread) {
            break; // its memory is released when its coroutine ends
        }
    }
}

bool client_registry::makeRoomForOne()
{
    if (!m_memory.full()) {
        return true;
    }
    const auto chosen = m_memory.evictForConnection(std::chrono::steady_clock::now());
    if (chosen) {
        evict(*chosen);
    }
    return chosen.has_value();
}

void client_registry::evict(const eviction &chosen)
{
    ++m_evicted;
    m_counters.count("clients_evicted", {{"cause", toText(chosen.cause)}});
    const evict_handler handler = m_handlers.at(chosen.number); // a copy: the connection may be removed meanwhile
    handler(chosen.cause);
}

void client_registry::report()
{
    m_counters.set("client_connections_open", static_cast<double>(m_memory.connections()));
    m_counters.set("client_connections_limit", static_cast<double>(m_memory.limits().connections));
    m_counters.set("kept_bytes", static_cast<double>(m_quota.total()));
    m_counters.set("kept_bytes_limit", static_cast<double>(m_memory.limits().bytes));
    if (m_evicted != m_evictedLogged) {
        logLine(log_level::warning, "clients_evicted",
                {{"clients", std::to_string(m_evicted - m_evictedLogged)},
                 {"connections", std::to_string(m_memory.connections())},
                 {"kept_bytes", std::to_string(m_quota.total())},
                 {"limit", std::to_string(m_memory.limits().bytes)}});
        m_evictedLogged = m_evicted;
    }
}

}
