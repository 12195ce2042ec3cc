#pragma once

#include "kernel/ids.h"

namespace chestnut
{

// Milliseconds since the Unix epoch, for display and for records in the log. Decisions local to this process use the monotonic clock.
inline std::int64_t wallClockMs()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}
