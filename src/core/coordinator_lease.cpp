#include "core/coordinator_lease.h"

#include <algorithm>
#include <string_view>

namespace chestnut
{

namespace
{

constexpr char INCARNATION_MARK = '#';

std::string_view instanceOf(std::string_view holder)
{
    return holder.substr(0, holder.rfind(INCARNATION_MARK));
}

}

std::string makeHolderName(const std::string &instance, std::uint64_t incarnation)
{
    return instance + INCARNATION_MARK + std::to_string(incarnation);
}

bool coordinator_lease::heldByFormerSelf() const
{
    return m_holder != m_self && instanceOf(m_holder) == instanceOf(m_self);
}

void coordinator_lease::recordRead(std::uint64_t end, const std::optional<std::string> &newest, steady_time now)
{
    const bool grown = end > m_end || !m_known;
    m_known = true;
    m_end = std::max(m_end, end); // a read that started before our own append returns an older end
    if (!newest || !grown) {
        return;
    }
    m_holder = *newest;
    m_firstSeen = now;
    if (m_holder != m_self) {
        m_heldSince.reset();
    } else if (m_appendSent) {
        m_heldSince = m_appendSent; // the append took effect even if its answer was lost
    }
}

void coordinator_lease::recordLearnedFromPeer(std::uint64_t end, const std::string &holder, steady_time now)
{
    if (end > m_end && !holder.empty()) {
        recordRead(end, holder, now);
    }
}

bool coordinator_lease::shouldAppend(steady_time now) const
{
    if (!m_known || (m_appendSent && now - *m_appendSent < m_timing.renewal)) {
        return false;
    }
    if (m_holder.empty() || heldByFormerSelf()) {
        return true;
    }
    if (m_holder == m_self && m_heldSince) {
        return now - *m_heldSince >= m_timing.renewal;
    }
    return now - m_firstSeen >= m_timing.takeover;
}

void coordinator_lease::recordAppendSent(steady_time now)
{
    m_appendSent = now;
    m_appendEnd = m_end;
}

void coordinator_lease::recordAppendResult(bool appended)
{
    if (appended) {
        m_heldSince = m_appendSent;
        m_holder = m_self;
        m_firstSeen = *m_appendSent;
        m_end = std::max(m_end, m_appendEnd + 1); // a read may have returned our entry already
    }
    m_appendSent.reset();
}

bool coordinator_lease::holds(steady_time now) const
{
    return m_heldSince && m_holder == m_self && now - *m_heldSince < m_timing.hold;
}

}
