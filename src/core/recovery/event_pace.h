#pragma once

// Intervals between the events of one stream, and the silence that is unusual for it. No I/O.
//
// Designed for the loss of a server in the middle of many streams: each stream misses its next event after its own interval, which is
// shorter than any fixed timeout that a slow but healthy path tolerates.

#include "kernel/ids.h"

#include <optional>

namespace chestnut
{

class event_pace
{
public:
    // Data of the stream has arrived.
    void noteData(steady_time now);
    // Silence after which the servers of the stream are checked. Nothing while too few intervals are known, without an objective, or if a
    // check by then could not keep the pause within the objective.
    std::optional<milliseconds> suspiciousSilence(milliseconds objective) const;
    // Mean interval, 0 = not known yet.
    milliseconds meanInterval() const;

private:
    int m_intervals = 0;
    double m_meanMs = 0;      // smoothed interval
    double m_deviationMs = 0; // smoothed mean absolute deviation from it
    steady_time m_last{};     // of the last data, 0 = none
};

}
