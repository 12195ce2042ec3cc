// Tests that chestnutgw-gateway does not queue prompts behind a network between failure domains that is backed up.

#include "gateway_deployment.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace chestnut;
using namespace chestnut::test;
using nlohmann::json;

namespace
{

constexpr int LAST_EVENT = 3;

// An engine of four layers; a prompt of 20 tokens takes 160 ms to be sent to another failure domain.
const json SLOW_NETWORK{{"Services",
                         {{{"Name", "lm"},
                           {"MaxConns", 100},
                           {"Engine",
                            {{"KvBytes", 1000},
                             {"Layers", 4},
                             {"LayerMb", 1.0},
                             {"step_ms", 1.0},
                             {"ActivationBytes", 1000},
                             {"PipeMbps", 1.0},
                             {"Kinds", {{{"Name", "k"}, {"SizeMb", 100.0}, {"pace", 1.0}}}}}}}}}};

void addStage(deployment &site, const std::string &id, const std::string &domain, const std::string &address, int from, int to)
{
    const json entry{{"Service", "lm"},
                     {"Address", address},
                     {"Zone", domain},
                     {"BatchSlots", 60},
                     {"State", "ready"},
                     {"RouteType", "k"},
                     {"Models", {{{"Name", "m"}, {"Layers", {{"From", from}, {"Target", to}}}}}}};
    site.store.put("keyed.servers", id, entry.dump());
}

void startWith(deployment &site)
{
    site.publish(1, SLOW_NETWORK);
    site.startGateway();
    REQUIRE(eventually([&] { return site.readyStatus() == 200; }));
}

}

TEST_CASE("streams behind a network that is backed up are rejected at once", "[failure]")
{
    constexpr int STREAMS = 8;
    std::atomic<bool> go = false;
    scripted_server first([&](raw_connection &out, const raw_request &in) {
        if (in.target() == "/report") {
            out.write(report(in));
            return true;
        }
        eventually([&] { return go.load(); });
        out.write(streamHead(in) + events(firstEventOf(in), LAST_EVENT) + "0\r\n\r\n");
        return true;
    });
    scripted_server second(answering("unused"));
    deployment site;
    addStage(site, "i-1", "a", first.address(), 0, 2);
    addStage(site, "i-2", "b", second.address(), 2, 4);
    startWith(site);
    std::vector<std::unique_ptr<raw_client>> clients;
    int rejected = 0;
    for (int number = 0; number < STREAMS; ++number) {
        clients.push_back(std::make_unique<raw_client>(site.front()));
        clients.back()->write(makeRequest("/single/", "id" + std::to_string(number)));
        const std::string got = clients.back()->readUntil("\r\n\r\n", 200);
        rejected += statusOf(got) == 503 && got.find("Retry-After:") != std::string::npos ? 1 : 0;
    }
    CHECK(rejected >= STREAMS - 3); // the objective of the first event is 500 ms
    go = true;
    for (int number = 0; number < STREAMS - rejected; ++number) {
        CHECK(isWholeStream(clients[number]->readUntil("0\r\n\r\n"), LAST_EVENT));
    }
    CHECK(isWholeStream(exchange(site.front(), makeRequest("/stream/", "after")), LAST_EVENT)); // there is room again
}

TEST_CASE("a route without objectives sets no limit on the wait for the network", "[failure]")
{
    constexpr int STREAMS = 6;
    std::atomic<int> arrived = 0;
    scripted_server first([&](raw_connection &out, const raw_request &in) {
        if (in.target() == "/report") {
            out.write(report(in));
            return true;
        }
        ++arrived;
        eventually([&] { return arrived >= STREAMS; }, milliseconds(5000));
        out.write(streamHead(in) + events(firstEventOf(in), LAST_EVENT) + "0\r\n\r\n");
        return true;
    });
    scripted_server second(answering("unused"));
    deployment site;
    addStage(site, "i-1", "a", first.address(), 0, 2);
    addStage(site, "i-2", "b", second.address(), 2, 4);
    json config = SLOW_NETWORK;
    config["Routes"] = {{{"Name", "free"},
                         {"Hostname", "h.example"},
                         {"PathPrefix", "/free/"},
                         {"RouteType", "streaming"},
                         {"TimeoutMs", 8000},
                         {"Service", "lm"},
                         {"MaxAttempts", 1}}};
    site.publish(1, config);
    site.startGateway();
    REQUIRE(eventually([&] { return site.readyStatus() == 200; }));
    std::vector<std::unique_ptr<raw_client>> clients;
    for (int number = 0; number < STREAMS; ++number) {
        clients.push_back(std::make_unique<raw_client>(site.front()));
        clients.back()->write(makeRequest("/free/", "id" + std::to_string(number)));
    }
    for (const auto &client : clients) {
        CHECK(isWholeStream(client->readUntil("0\r\n\r\n"), LAST_EVENT));
    }
}

TEST_CASE("a failure domain that lacks layers sends its streams to another one from the first layer on", "[failure]")
{
    scripted_server home(streaming(LAST_EVENT));
    scripted_server other(streaming(LAST_EVENT));
    scripted_server rest(answering("unused"));
    deployment site;
    addStage(site, "i-1", "a", home.address(), 0, 2);
    addStage(site, "i-2", "b", other.address(), 0, 2);
    addStage(site, "i-3", "b", rest.address(), 2, 4);
    startWith(site);
    for (int number = 0; number < 6; ++number) {
        CHECK(isWholeStream(exchange(site.front(), makeRequest("/stream/", "id" + std::to_string(number))), LAST_EVENT));
    }
    CHECK(home.count() == 0);
    CHECK(other.count() == 6);
}
