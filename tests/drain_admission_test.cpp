// Tests which requests a stopping instance accepts.

#include "core/drain_admission.h"

#include <catch2/catch.hpp>

using namespace chestnut;

namespace
{

const steady_time ASKED = steady_time() + seconds(100);
const drain_period DRAIN{ASKED, ASKED + milliseconds(7500)};

// A request that arrives so long after the stop was asked for. A usual duration of 0 is none.
bool accepts(milliseconds arrival, milliseconds timeLeft, milliseconds usualDuration = milliseconds(0))
{
    const steady_time now = ASKED + arrival;
    return acceptsWhileDraining(DRAIN, {now + timeLeft, usualDuration}, now);
}

}

TEST_CASE("a request whose deadline lies within the drain period is accepted to its end", "[unit]")
{
    CHECK(accepts(milliseconds(100), milliseconds(1500)));
    CHECK(accepts(milliseconds(6000), milliseconds(1500)));
    CHECK_FALSE(accepts(milliseconds(6001), milliseconds(1500)));
}

// Guards against requests of routes without a timeout, which were accepted until the end and lost.
TEST_CASE("a request without a usual duration that may outlast the drain period is rejected", "[unit]")
{
    CHECK_FALSE(accepts(milliseconds(0), seconds(3600)));
}

TEST_CASE("a stream that usually ends in time is accepted while the load balancer still sends clients", "[unit]")
{
    CHECK(accepts(milliseconds(500), seconds(20), milliseconds(4000)));
    CHECK_FALSE(accepts(milliseconds(500), seconds(20), milliseconds(7100)));
}

// Guards against streams that a server slower than usual does not end before the process does.
TEST_CASE("a stream that arrives once the instance is out of rotation is accepted only if its deadline lies in the drain period", "[unit]")
{
    CHECK_FALSE(accepts(OUT_OF_ROTATION, seconds(20), milliseconds(500)));
    CHECK(accepts(OUT_OF_ROTATION, seconds(5), milliseconds(500)));
    CHECK_FALSE(accepts(OUT_OF_ROTATION, seconds(5), milliseconds(6000)));
}
