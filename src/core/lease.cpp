// Leases. The steps of the model spec/lease.pml are named after the functions in this file.

#include "core/chestnutgw.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace chestnut
{

namespace
{

constexpr const char *KIND_NAMES[] = {"acquire", "renew", "release", "note"};
constexpr std::size_t MAX_NOTES = 500;
constexpr milliseconds ACQUIRE_MARGIN{500}; // extra wait after the time at which a lapsed lease becomes free

}

std::string encodeLease(const lease_record &record)
{
    return nlohmann::json{
        {"t", KIND_NAMES[static_cast<int>(record.type)]}, {"n", record.name}, {"h", record.holder}, {"f", record.fence.value}, {"x", record.text}}
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

lease_record decodeLease(std::string_view text)
{
    try {
        const nlohmann::json value = nlohmann::json::parse(text);
        lease_record record;
        const std::string type = value.at("t").get<std::string>();
        const auto *known = std::find(std::begin(KIND_NAMES), std::end(KIND_NAMES), type);
        if (known == std::end(KIND_NAMES)) {
            throw std::invalid_argument("unknown lease record type");
        }
        record.type = static_cast<lease_record::kind>(known - std::begin(KIND_NAMES));
        value.at("n").get_to(record.name);
        value.at("h").get_to(record.holder);
        value.at("f").get_to(record.fence.value);
        value.at("x").get_to(record.text);
        return record;
    } catch (const nlohmann::json::exception &problem) {
        throw std::invalid_argument(std::string("not a lease record: ") + problem.what());
    }
}

// Step FOLD of spec/lease.pml. A lapsed lease can be acquired only after the orders sent under it have expired. This protects engines
// that do not check fencing numbers.
void lease_table::apply(log_offset offset, std::int64_t timeMs, const lease_record &record)
{
    if (offset <= m_applied) {
        return;
    }
    m_applied = offset;
    if (record.type == lease_record::kind::note) {
        m_notes.push_back(record);
        if (m_notes.size() > MAX_NOTES) {
            m_notes.pop_front();
        }
        return;
    }
    const auto found = m_leases.find(record.name);
    if (record.type == lease_record::kind::acquire) {
        const std::int64_t takeoverDelay = (m_limits.term + m_limits.orderLifetime).count();
        const bool free
            = found == m_leases.end() || timeMs > found->second.renewedMs + (found->second.released ? m_limits.orderLifetime.count() : takeoverDelay);
        if (free) {
            m_leases[record.name] = {record.holder, offset, timeMs, false, record.text};
        }
        return;
    }
    const bool own = found != m_leases.end() && found->second.holder == record.holder && found->second.fence == record.fence && !found->second.released;
    if (!own) {
        return;
    }
    // A renewal after the end of the term has no effect: the holder has stopped using the lease, and another one may be acquiring it.
    if (timeMs > found->second.renewedMs + m_limits.term.count()) {
        return;
    }
    found->second.renewedMs = std::max(found->second.renewedMs, timeMs);
    found->second.renewalTag = record.text;
    found->second.released = record.type == lease_record::kind::release;
}

const lease_table::held_lease *lease_table::find(const std::string &name) const
{
    const auto found = m_leases.find(name);
    return found == m_leases.end() ? nullptr : &found->second;
}

lease_keeper::lease_keeper(std::string name, std::string holder, lease_limits limits)
    : m_name(std::move(name))
    , m_holder(std::move(holder))
    , m_limits(limits)
{
}

std::optional<lease_record> lease_keeper::dueRecord(steady_time now)
{
    if (m_changedAt == steady_time()) {
        m_changedAt = now; // an existing lease that is not folded yet gets its full term before the first attempt
    }
    if (now < m_nextTry) {
        return std::nullopt;
    }
    lease_record record;
    record.name = m_name;
    record.holder = m_holder;
    if (m_fence) {
        m_nextTry = now + m_limits.renewEvery;
        record.type = m_releasing ? lease_record::kind::release : lease_record::kind::renew;
        record.fence = *m_fence;
        record.text = newRenewalTag(now);
        return record;
    }
    const bool available = m_lastRenewedMs < 0 || now - m_changedAt > m_limits.term + m_limits.orderLifetime + ACQUIRE_MARGIN;
    if (m_releasing || !available) {
        return std::nullopt;
    }
    m_nextTry = now + m_limits.renewEvery;
    record.text = newRenewalTag(now);
    return record;
}

std::string lease_keeper::newRenewalTag(steady_time now)
{
    std::erase_if(m_sent, [&](const auto &entry) { return now - entry.second > m_limits.term * 4; });
    const std::string renewalTag = m_holder + "/" + std::to_string(m_nextRenewalTag++);
    m_sent[renewalTag] = now;
    return renewalTag;
}

// Step OBSERVE of spec/lease.pml. The holder counts the term from the time just before it sent the renewal. That is never later than
// the append time at the log service, so the holder stops before the lease lapses there.
void lease_keeper::observe(const lease_table &table, steady_time now)
{
    const lease_table::held_lease *lease = table.find(m_name);
    if (lease == nullptr) {
        return;
    }
    const bool changed = lease->renewedMs != m_lastRenewedMs || (m_fence && lease->fence != *m_fence);
    if (!changed) {
        return;
    }
    m_lastRenewedMs = lease->renewedMs;
    m_changedAt = now;
    if (lease->holder != m_holder || lease->released) {
        m_fence.reset();
        if (lease->released) {
            m_changedAt = now - m_limits.term; // released: only the orders sent under the lease have to expire
        }
        return;
    }
    m_fence = lease->fence;
    const auto sent = m_sent.find(lease->renewalTag);
    if (sent != m_sent.end()) {
        m_validUntil = std::max(m_validUntil, sent->second + m_limits.term);
    }
}

std::optional<log_offset> lease_keeper::fence(steady_time now) const
{
    if (!m_fence || m_releasing || now >= m_validUntil) {
        return std::nullopt;
    }
    return m_fence;
}

}
