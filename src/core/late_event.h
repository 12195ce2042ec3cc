#pragma once

// Bounds the time at which an event happened that this process handles late. No I/O.
//
// Designed for a signal that arrives while the process is stopped or starved of processor time: it is handled when the process runs
// again, but whoever sent it counts from the moment of sending.

#include "kernel/ids.h"

#include <array>

namespace chestnut
{

class late_event_bound
{
public:
    // The event loop begins at `start`, before any event that it handles.
    explicit late_event_bound(steady_time start);
    // The event loop runs its periodic timer at `now`.
    void noteTick(steady_time now);
    // An event that the loop handles now happened no earlier than this.
    steady_time earliest() const
    {
        return m_ticks.front();
    }

private:
    // An event that happened before a tick is seen by the pass of the loop that follows it. Its handler may run behind the next tick,
    // which the same pass found due, and that tick may itself have been found due by a pass that began a tick earlier.
    std::array<steady_time, 3> m_ticks; // last ticks, oldest first
};

}
