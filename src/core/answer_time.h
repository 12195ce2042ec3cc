#pragma once

// How long a stream takes, learnt from those that ended. Pure.
//
// Load pattern it answers: instances that are stopped one after the other, of which each should go on taking what it can
// still finish, since the clients of a refused request meet the next instance that is being stopped.

#include "kernel/ids.h"

namespace chestnut
{

class answer_time
{
public:
    // A stream ended: time until its first event, time from there to its last one, number of events.
    void note(milliseconds first, milliseconds rest, std::uint64_t events);
    // Time that nearly all streams with so many events need.
    milliseconds longest(double events) const;

private:
    double m_firstMs = 300;       // smoothed
    double m_firstSpread = 200;   // smoothed distance from it
    double m_perEventMs = 50;     // smoothed
    double m_perEventSpread = 14; // smoothed distance from it
};

}
