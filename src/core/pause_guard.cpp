#include "core/pause_guard.h"

#include <algorithm>
#include <utility>

namespace chestnut
{

milliseconds pause_guard::noteRunning(steady_time now)
{
    const steady_time last = std::exchange(m_lastRun, now);
    if (last == steady_time() || now - last < MIN_PAUSE) {
        return milliseconds(0);
    }
    m_resumed = now;
    return std::chrono::duration_cast<milliseconds>(now - last);
}

void pause_guard::confirm(steady_time readBegan)
{
    m_confirmedAt = std::max(m_confirmedAt, readBegan);
}

bool pause_guard::confirmed(steady_time now) const
{
    return m_confirmedAt >= m_resumed || now - m_resumed >= MAX_UNCONFIRMED;
}

}
