#include "core/admission/urgency_headroom.h"

#include <algorithm>

namespace chestnut
{

namespace
{

// With a larger credit, a kind would take much capacity at once after a time in which it asked for none.
constexpr double MAX_CREDIT_TOKENS = 4'000;
// With a larger debt, a kind that was served well before an overload would wait long for its guaranteed share.
constexpr double MAX_DEBT_TOKENS = 1'000;

bool isRecent(steady_time event, steady_time now)
{
    return event != steady_time() && now - event <= URGENCY_DEMAND_WINDOW;
}

}

urgency_headroom::kind_state &urgency_headroom::stateOf(const request_urgency &urgency)
{
    if (m_kinds.size() != static_cast<std::size_t>(urgency.ranks)) { // another configuration is in force
        m_kinds.assign(static_cast<std::size_t>(urgency.ranks), kind_state());
    }
    return m_kinds[static_cast<std::size_t>(urgency.rank)];
}

void urgency_headroom::noteArrival(const request_urgency &urgency, steady_time now)
{
    stateOf(urgency).lastArrival = now;
}

int urgency_headroom::leavesTo(const request_urgency &urgency, steady_time now) const
{
    const int known = std::min(urgency.rank, static_cast<int>(m_kinds.size()));
    for (int rank = 0; rank < known; ++rank) {
        if (isRecent(m_kinds[static_cast<std::size_t>(rank)].lastArrival, now)) {
            return rank;
        }
    }
    return urgency.rank;
}

double urgency_headroom::of(const request_urgency &urgency, steady_time now) const
{
    const int steps = urgency.rank - leavesTo(urgency, now);
    if (steps == 0 || m_kinds.size() != static_cast<std::size_t>(urgency.ranks) || m_kinds[static_cast<std::size_t>(urgency.rank)].credit > 0) {
        return 0;
    }
    return LARGEST_HEADROOM * steps / (urgency.ranks - 1);
}

void urgency_headroom::noteAdmitted(const request_urgency &urgency, double tokens, steady_time now)
{
    kind_state &own = stateOf(urgency);
    own.credit = std::max(own.credit - tokens, -MAX_DEBT_TOKENS);
    for (int rank = urgency.rank + 1; rank < urgency.ranks; ++rank) {
        kind_state &lessUrgent = m_kinds[static_cast<std::size_t>(rank)];
        if (isRecent(lessUrgent.lastTurnedAway, now)) {
            const double earned = tokens * GUARANTEED_SHARE / (1 - GUARANTEED_SHARE);
            lessUrgent.credit = std::min(lessUrgent.credit + earned, MAX_CREDIT_TOKENS);
        }
    }
}

void urgency_headroom::noteTurnedAway(const request_urgency &urgency, steady_time now)
{
    stateOf(urgency).lastTurnedAway = now;
}

}
