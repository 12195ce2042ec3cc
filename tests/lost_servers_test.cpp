// Tests when a server that requests found unreachable or silent counts as lost.

#include "core/lost_servers.h"

#include <catch2/catch.hpp>

using namespace chestnut;

namespace
{

const steady_time START{std::chrono::hours(1)};
const std::string SERVER = "10.0.0.1:80";

}

TEST_CASE("a server that has ended or vanished counts as lost sooner than a silent one", "[unit]")
{
    const auto state = GENERATE(process_state::alive, process_state::ended, process_state::unreachable, process_state::silent);
    lost_servers lost;
    lost.setFaulty({{SERVER, START}});
    CHECK(lost.takeDueChecks(START) == std::vector<std::string>{SERVER});
    lost.noteState(SERVER, state);
    const bool gone = state == process_state::ended || state == process_state::unreachable;
    const milliseconds limit = gone ? lost_servers::GONE_TIMEOUT : lost_servers::SILENCE_LIMIT;
    CHECK_FALSE(lost.isLost(SERVER, START + limit - milliseconds(1)));
    CHECK(lost.isLost(SERVER, START + limit));
    CHECK_FALSE(lost.isLost("10.0.0.2:80", START + limit));
}

TEST_CASE("a server that responds again is not lost, and a later failure counts anew", "[unit]")
{
    lost_servers lost;
    lost.setFaulty({{SERVER, START}});
    lost.takeDueChecks(START);
    lost.noteState(SERVER, process_state::ended);
    lost.setFaulty({});
    CHECK_FALSE(lost.isLost(SERVER, START + seconds(10)));
    lost.setFaulty({{SERVER, START + seconds(5)}});
    CHECK_FALSE(lost.isLost(SERVER, START + seconds(5) + lost_servers::GONE_TIMEOUT));
}

TEST_CASE("what is known of an ended server is kept while requests try it again", "[unit]")
{
    lost_servers lost;
    lost.setFaulty({{SERVER, START}});
    lost.takeDueChecks(START);
    lost.noteState(SERVER, process_state::unreachable);
    lost.setFaulty({});
    CHECK_FALSE(lost.isLost(SERVER, START + lost_servers::GONE_TIMEOUT));
    lost.setFaulty({{SERVER, START}}); // the next request failed too
    CHECK(lost.isLost(SERVER, START + lost_servers::GONE_TIMEOUT));
}

TEST_CASE("a faulty server is asked now and then until it counts as lost", "[unit]")
{
    lost_servers lost;
    lost.setFaulty({{SERVER, START}});
    int asked = 0;
    for (milliseconds at{0}; at < milliseconds(10'000); at += milliseconds(250)) {
        asked += static_cast<int>(lost.takeDueChecks(START + at).size());
    }
    CHECK(asked == lost_servers::SILENCE_LIMIT / lost_servers::CHECK_INTERVAL + 1);
    lost.noteState("10.0.0.2:80", process_state::ended); // of a server that is no longer faulty
    CHECK_FALSE(lost.isLost("10.0.0.2:80", START + seconds(10)));
}
