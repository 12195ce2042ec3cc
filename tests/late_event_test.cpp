// Tests the bound on the time of an event that is handled late.

#include "core/late_event.h"

#include <catch2/catch.hpp>

using namespace chestnut;

namespace
{

constexpr milliseconds INTERVAL{80};
const steady_time START = steady_time() + seconds(100);

}

TEST_CASE("an event handled in calm is a few ticks old at most", "[unit]")
{
    late_event_bound bound(START);
    steady_time now = START;
    for (int tick = 0; tick < 10; ++tick) {
        now += INTERVAL;
        bound.noteTick(now);
    }
    CHECK(bound.earliest() == now - 2 * INTERVAL);
}

// A signal sent during a pause would count as new if its handler runs behind the first tick after the pause.
TEST_CASE("an event handled after a pause may be as old as the pause, also behind the first tick after it", "[unit]")
{
    late_event_bound bound(START);
    bound.noteTick(START + INTERVAL);
    bound.noteTick(START + 2 * INTERVAL);
    const steady_time stopped = START + 2 * INTERVAL;
    CHECK(bound.earliest() <= stopped);
    bound.noteTick(stopped + seconds(3));
    CHECK(bound.earliest() <= stopped);
}

TEST_CASE("an event handled before the first tick may be as old as the process", "[unit]")
{
    CHECK(late_event_bound(START).earliest() == START);
}
