#pragma once

#include "kernel/ids.h"

namespace chestnut
{

// Milliseconds since the epoch, for people and for the log; never for decisions of this process alone.
inline std::int64_t wallClockMs()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}
