// Tests how chestnutgw-gateway ends client connections: a request that was received completely gets an answer.

#include "gateway_deployment.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <nlohmann/json.hpp>

using namespace chestnut;
using namespace chestnut::test;
using nlohmann::json;

namespace
{

const server_script ANSWER_AT_ONCE = [](raw_connection &out, const raw_request &in) {
    out.write(in.target().starts_with("/s") && in.target() != "/safe/" ? streamHead(in) + events(0, 1) + "0\r\n\r\n" : answer(in, "hello"));
    return true;
};

json limits(int headerMs, int idleMs, int bodyBytes = 5000)
{
    return {{"Limits", {{"HeaderBytes", 2000}, {"MaxBodyBytes", bodyBytes}, {"HeaderTimeoutMs", headerMs}, {"IdleTimeoutMs", idleMs}}}};
}

// Publishes a configuration and waits until the gateway uses it.
void publishAndWait(deployment &site, int version, json changes)
{
    const std::string key = "key-v" + std::to_string(version);
    changes["Tenants"] = {{{"Name", "t1"}, {"ApiKeys", {"key1", key}}}};
    site.publish(version, changes);
    REQUIRE(eventually([&] { return statusOf(exchange(site.front(), makeRequest("/safe/", "probe", "", "", key))) == 200; }));
}

}

//-----------------------------------------------------------------------------
// Time limits
//-----------------------------------------------------------------------------

TEST_CASE("a raised idle limit applies to connections that are already waiting", "[failure]")
{
    scripted_server server(ANSWER_AT_ONCE);
    deployment site;
    site.addServer("i-1", "app", server.address());
    site.start();
    publishAndWait(site, 2, limits(700, 1500));
    raw_client waiting(site.front());
    waiting.write(makeRequest("/safe/", "id1"));
    CHECK(statusOf(waiting.readUntil("hello")) == 200);
    publishAndWait(site, 3, limits(700, 6000));
    CHECK_FALSE(waiting.closedWithin(2500));
    waiting.write(makeRequest("/once/", "id2"));
    CHECK(countOf(waiting.readUntil("\x01never", 300), "hello") == 2);
}

TEST_CASE("a lowered idle limit does not close a connection that already waits under the old one", "[failure]")
{
    scripted_server server(ANSWER_AT_ONCE);
    deployment site;
    site.addServer("i-1", "app", server.address());
    site.start();
    raw_client waiting(site.front());
    waiting.write(makeRequest("/safe/", "id1"));
    CHECK(statusOf(waiting.readUntil("hello")) == 200);
    publishAndWait(site, 2, limits(700, 400));
    CHECK_FALSE(waiting.closedWithin(2000));
    waiting.write(makeRequest("/once/", "id2"));
    CHECK(countOf(waiting.readUntil("\x01never", 300), "hello") == 2);
    raw_client newer(site.front());
    CHECK(newer.closedWithin(3000));
}

TEST_CASE("a request that arrived while the gateway was paused beyond a limit is answered", "[failure]")
{
    scripted_server server(ANSWER_AT_ONCE);
    deployment site;
    site.addServer("i-1", "app", server.address());
    site.start();
    publishAndWait(site, 2, limits(600, 700));
    const std::string whole = makeRequest("/once/", "id1");
    const std::size_t half = whole.size() / 2;
    raw_client unsent(site.front());
    raw_client begun(site.front());
    begun.write(whole.substr(0, half));
    CHECK_FALSE(begun.closedWithin(100));
    site.gateways[0]->signal(SIGSTOP);
    unsent.write(makeRequest("/once/", "id2"));
    begun.write(whole.substr(half));
    CHECK_FALSE(begun.closedWithin(1200));
    site.gateways[0]->signal(SIGCONT);
    CHECK(statusOf(begun.readUntil("hello")) == 200);
    CHECK(statusOf(unsent.readUntil("hello")) == 200);
}
