#pragma once

// Estimates how long a stream of one service takes, from the streams that have ended. An estimate, no bound: a server may become slower
// than those before. No I/O.
//
// Designed for a rolling stop of the instances. Each should accept requests as long as it can still finish them, since a
// client whose request is refused is likely to reach the next instance that is stopping.

#include "kernel/ids.h"

namespace chestnut
{

class stream_duration_estimator
{
public:
    // Adds a stream that ended, also one that was broken off: time to its first event, time from there to its last event, number of events.
    void addSample(milliseconds first, milliseconds rest, std::uint64_t events);
    // Estimate for a stream with this number of events.
    milliseconds estimate(double events) const;
    // Upper estimate: nearly all streams with this number of events take less time.
    milliseconds upperEstimate(double events) const;

private:
    double m_firstMs = 300;            // smoothed time to the first event
    double m_firstDeviationMs = 200;   // smoothed mean absolute deviation from it
    double m_perEventMs = 50;          // smoothed time per further event
    double m_perEventDeviationMs = 14; // smoothed mean absolute deviation from it
};

}
