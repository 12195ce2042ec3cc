#include "core/giver_lease.h"

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

std::string makeHolder(const std::string &instance, std::uint64_t incarnation)
{
    return instance + INCARNATION_MARK + std::to_string(incarnation);
}

bool giver_lease::heldByFormerSelf() const
{
    return m_holder != m_self && instanceOf(m_holder) == instanceOf(m_self);
}

void giver_lease::noteRead(std::uint64_t end, const std::optional<std::string> &newest, steady_time now)
{
    const bool grown = end > m_end || !m_known;
    m_known = true;
    m_end = std::max(m_end, end); // a read that started before our own append returns an older end
    if (!newest || !grown) {
        return;
    }
    m_holder = *newest;
    m_seen = now;
    if (m_holder != m_self) {
        m_held.reset();
    } else if (m_sent) {
        m_held = m_sent; // the append took effect even if its answer was lost
    }
}

void giver_lease::noteHeard(std::uint64_t end, const std::string &holder, steady_time now)
{
    if (end > m_end && !holder.empty()) {
        noteRead(end, holder, now);
    }
}

bool giver_lease::shouldAppend(steady_time now) const
{
    if (!m_known || (m_sent && now - *m_sent < m_terms.renewal)) {
        return false;
    }
    if (m_holder.empty() || heldByFormerSelf()) {
        return true;
    }
    if (m_holder == m_self && m_held) {
        return now - *m_held >= m_terms.renewal;
    }
    return now - m_seen >= m_terms.takeover;
}

void giver_lease::noteSent(steady_time now)
{
    m_sent = now;
    m_sentEnd = m_end;
}

void giver_lease::noteAppended(bool appended)
{
    if (appended) {
        m_held = m_sent;
        m_holder = m_self;
        m_seen = *m_sent;
        m_end = std::max(m_end, m_sentEnd + 1); // a read may have returned our entry already
    }
    m_sent.reset();
}

bool giver_lease::holds(steady_time now) const
{
    return m_held && m_holder == m_self && now - *m_held < m_terms.hold;
}

}
