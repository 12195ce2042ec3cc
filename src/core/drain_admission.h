#pragma once

// Whether a stopping instance accepts a request. No I/O.
//
// Designed for a planned stop under load: clients on open connections and, until the load balancer has noticed the stop, new ones go on
// sending requests. One that is accepted must end before the process does, since its client cannot know whether it ran.

#include "kernel/ids.h"

namespace chestnut
{

// Two readiness checks of the load balancer have failed so long after the stop began: a client that is rejected reaches another instance.
constexpr milliseconds OUT_OF_ROTATION{2300};

struct drain_period
{
    steady_time asked; // earliest time at which the stop can have been asked for
    steady_time end;   // requests that are still in progress get an error answer
};

// What is known about the end of a request when it is accepted.
struct expected_end
{
    steady_time deadline;          // it has ended by then, whatever its server does
    milliseconds usualDuration{0}; // from `now`, 0 = may take until its deadline
};

// Accepts a request that usually ends within the drain period. Once the instance is out of rotation, its deadline must lie in that period
// too: a server can be slower than those that the usual duration was learnt from.
bool acceptsWhileDraining(const drain_period &drain, const expected_end &expected, steady_time now);

}
