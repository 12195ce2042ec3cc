#pragma once

// Whether what this process knows may have changed while it did not run. Decides only; gateway/pause_recovery.h asks the platform.
//
// Designed for a process that is stopped for seconds, or starved, while requests wait in its sockets. When it resumes, these requests are
// read before the changes of that time, and a key that was withdrawn would be accepted once more.

#include "kernel/ids.h"

namespace chestnut
{

class pause_guard
{
public:
    // Shorter pauses do not count: the changes of that time become known within the usual time.
    static constexpr milliseconds MIN_PAUSE{1000};
    // Without a confirmation for this long after a pause, the platform counts as away, and the state that is known stays in force.
    static constexpr milliseconds MAX_UNCONFIRMED{2000};

    // The process runs at `now`; to be called several times per MIN_PAUSE. Returns the length of the pause that has just ended, 0 = none.
    milliseconds noteRunning(steady_time now);
    // All that was in force at `readBegan` is known now.
    void confirm(steady_time readBegan);
    // False from the end of a pause until what is known has been confirmed.
    bool confirmed(steady_time now) const;

private:
    steady_time m_lastRun{};     // 0 = not called yet
    steady_time m_resumed{};     // end of the last pause, 0 = there was none
    steady_time m_confirmedAt{}; // state in force at this time is known
};

}
