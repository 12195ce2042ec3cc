#include "core/repeat_budget.h"

namespace chestnut
{

namespace
{

void dropBefore(std::deque<steady_time> &times, steady_time oldest)
{
    while (!times.empty() && times.front() < oldest) {
        times.pop_front();
    }
}

}

void repeat_budget::dropExpired(steady_time now)
{
    dropBefore(m_firstSends, now - m_limits.window);
    dropBefore(m_repeats, now - m_limits.window);
}

void repeat_budget::countFirstSend(steady_time now)
{
    dropExpired(now);
    m_firstSends.push_back(now);
}

double repeat_budget::left(steady_time now)
{
    dropExpired(now);
    return m_limits.ratio * static_cast<double>(m_firstSends.size()) + m_limits.extra - static_cast<double>(m_repeats.size());
}

bool repeat_budget::takeRepeat(steady_time now)
{
    if (left(now) < 1) {
        return false;
    }
    m_repeats.push_back(now);
    return true;
}

}
