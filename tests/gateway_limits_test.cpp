// Tests how chestnutgw-gateway applies changed limits on the size of requests.

#include "gateway_deployment.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace chestnut;
using namespace chestnut::test;
using nlohmann::json;

TEST_CASE("a lowered limit does not reject a request that the version before it allowed a moment ago", "[failure]")
{
    scripted_server server(answering("hello"));
    deployment site;
    site.addServer("i-1", "app", server.address());
    site.start();
    const json lowered{{"Limits", {{"HeaderBytes", 400}, {"MaxBodyBytes", 100}, {"HeaderTimeoutMs", 700}, {"IdleTimeoutMs", 5000}}},
                       {"Tenants", {{{"Name", "t1"}, {"ApiKeys", {"key1", "key-v2"}}}}}};
    site.publish(2, lowered);
    REQUIRE(eventually([&] { return statusOf(exchange(site.front(), makeRequest("/safe/", "probe", "", "", "key-v2"))) == 200; }));
    CHECK(statusOf(exchange(site.front(), makeRequest("/safe/", "id1", "", std::string(3000, 'x')))) == 200);
    CHECK(statusOf(exchange(site.front(), makeRequest("/safe/", "id2", "X-More: " + std::string(600, 'x') + "\r\n"))) == 200);
}
