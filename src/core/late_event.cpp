#include "core/late_event.h"

#include <algorithm>

namespace chestnut
{

late_event_bound::late_event_bound(steady_time start)
{
    m_ticks.fill(start);
}

void late_event_bound::noteTick(steady_time now)
{
    std::rotate(m_ticks.begin(), m_ticks.begin() + 1, m_ticks.end());
    m_ticks.back() = now;
}

}
