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
    const std::string &holder = m_state.newest.holder;
    return holder != m_self && instanceOf(holder) == instanceOf(m_self);
}

void coordinator_lease::enterEpoch(store_epoch epoch, steady_time now)
{
    if (epoch <= m_state.end.epoch) {
        return;
    }
    m_state = {{epoch, 0}, {}};
    m_nextRead = {epoch, 0};
    m_known = false;
    m_firstSeen = now;
    m_forgottenUntil = now + m_timing.takeover;
    m_appendSent.reset();
    m_firstSend = {};
    m_heldSince.reset();
}

void coordinator_lease::recordRead(log_position from, const lease_read &read, steady_time now)
{
    const store_epoch epoch = read.epoch == store_epoch() ? from.epoch : read.epoch;
    const bool fromStart = from.offset == 0;
    enterEpoch(epoch, now);
    if (!read.ok || epoch < m_state.end.epoch || (from.epoch != epoch && !fromStart)) {
        return;
    }
    m_nextRead.offset = std::max(m_nextRead.offset, read.next);
    if (read.end == read.next) {
        recordEnd({epoch, read.end}, read.newest, now);
    }
}

void coordinator_lease::recordEnd(log_position end, const std::optional<lease_entry> &newest, steady_time now)
{
    const bool grown = end > m_state.end || !m_known;
    m_known = true;
    m_state.end = std::max(m_state.end, end); // a read that started before our own append returns an older end
    if (!newest || !grown) {
        return;
    }
    m_state.newest = *newest;
    m_firstSeen = now;
    const bool sentInThisEpoch = newest->epoch == end.epoch;
    if (sentInThisEpoch) {
        m_forgottenUntil = {};
    } else {
        m_forgottenUntil = now + m_timing.takeover;
    }
    if (newest->holder != m_self) {
        m_heldSince.reset();
    } else if (sentInThisEpoch && m_firstSend.sent != steady_time() && end.offset == m_firstSend.at.offset + 1) {
        m_heldSince = m_firstSend.sent; // an append took effect though it was not answered, perhaps the first of several
    }
}

void coordinator_lease::recordLearnedFromPeer(const lease_state &known, steady_time now)
{
    if (known.end > m_state.end && !known.newest.holder.empty()) {
        enterEpoch(known.end.epoch, now);
        recordEnd(known.end, known.newest, now);
    }
}

bool coordinator_lease::shouldAppend(steady_time now) const
{
    if (!m_known || now < m_forgottenUntil || (m_appendSent && now - *m_appendSent < m_timing.renewal)) {
        return false;
    }
    const std::string &holder = m_state.newest.holder;
    if (holder.empty() || heldByFormerSelf()) {
        return true;
    }
    if (holder == m_self && m_heldSince) {
        return now - *m_heldSince >= m_timing.renewal;
    }
    return now - m_firstSeen >= m_timing.takeover;
}

lease_append coordinator_lease::recordAppendSent(steady_time now)
{
    m_appendSent = now;
    const lease_append append{m_state.end, now};
    if (m_firstSend.sent == steady_time() || m_firstSend.at != append.at) {
        m_firstSend = append;
    }
    return append;
}

void coordinator_lease::recordAppendResult(const lease_append &append, bool appended, store_epoch epoch, steady_time now)
{
    enterEpoch(epoch, now);
    if (append.at.epoch != m_state.end.epoch) {
        return; // its condition was about the log of an earlier epoch
    }
    if (m_appendSent == append.sent) {
        m_appendSent.reset();
    }
    const log_position end{append.at.epoch, append.at.offset + 1};
    if (!appended || end < m_state.end) { // if a later entry is known already, it was read with its holder
        return;
    }
    m_heldSince = append.sent;
    m_state = {end, ownEntry()};
    m_firstSeen = append.sent;
    m_forgottenUntil = {};
}

bool coordinator_lease::holds(steady_time now) const
{
    return m_heldSince && m_state.newest.holder == m_self && now - *m_heldSince < m_timing.hold;
}

}
