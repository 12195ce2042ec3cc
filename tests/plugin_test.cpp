// Adds a routing policy from a single source file. docs/EXTENDING.md uses it as the example.

#include "core/chestnutgw.h"
#include "kernel/registry.h"

#include <catch2/catch.hpp>

using namespace chestnut;

namespace
{

// Prefers the server whose name has the highest first byte.
class last_name_policy : public routing_policy
{
public:
    double stageCost(const fleet &, const fleet_server *, const fleet_server &candidate, const layer_range &, pcg32 &) override
    {
        return 255.0 - static_cast<unsigned char>(candidate.id.text.front());
    }
};

const plugin_registrar<routing_policy> REGISTRAR("test_last_name", [] { return std::make_unique<last_name_policy>(); });

}

TEST_CASE("a policy registered in a single source file is found by name and used", "[unit]")
{
    fleet servers;
    for (const char *name : {"a", "z", "m"}) {
        fleet_server one;
        one.id = server_id{name};
        one.report = server_report();
        one.report->holdings = {{model_id{"m"}, "v", {0, 10}}};
        servers.servers[one.id] = one;
    }
    pcg32 random(1);
    const auto policy = plugin_registry<routing_policy>::instance().make("test_last_name");
    const auto chain = chooseChain(servers, {model_id{"m"}, "v", 10, {}, steady_time(seconds(1))}, *policy, random);
    REQUIRE(chain);
    CHECK(chain->stages.front().server == server_id{"z"});
    CHECK_THROWS_AS(plugin_registry<routing_policy>::instance().make("unknown"), std::invalid_argument);
}
