// Tests chestnutgw-gateway with large configurations that several instances must apply at the same time.

#include "gateway_deployment.h"
#include "soak/link.h"

#include <catch2/catch.hpp>

using namespace chestnut;
using namespace chestnut::test;
using nlohmann::json;

namespace
{

constexpr int INSTANCES = 8;
constexpr int VERSIONS = 6;                   // in quick succession
constexpr milliseconds VERSION_INTERVAL{150}; // between two of them
constexpr milliseconds APPLY_TIME{2000};      // from the acknowledgement of a version until it is in force everywhere
constexpr int UNUSED_KEYS = 6000;             // make a version about 240 kB long
constexpr double STORE_READ_RATE = 3e6;       // bytes per second, of all reads together

void wait(milliseconds time)
{
    eventually([] { return false; }, time);
}

constexpr int REFUSED_INSTANCES = 4;          // by the store
constexpr int SERVED_INSTANCES = 2;           // by the store
constexpr milliseconds SLOW_APPLY_TIME{3000}; // from the acknowledgement of a version until it is in force everywhere, slow links included
constexpr int KEYS_FOR_SLOW_LINKS = 2000;     // make a version about 80 kB long
constexpr milliseconds SQUEEZE_TIME{120'000}; // longer than the test
constexpr const char *UNKNOWN_TARGET = "127.0.0.1:1";

json largeConfig(const std::string &newKey, int unusedKeys = UNUSED_KEYS)
{
    json keys = json::array({"key1", newKey});
    std::uint32_t state = 1;
    for (int number = 0; number < unusedKeys; ++number) {
        state = state * 1664525 + 1013904223;
        keys.push_back("unused-" + std::to_string(state) + "-" + std::to_string(state >> 7) + "-" + std::to_string(number));
    }
    return {{"Tenants", {{{"Name", "t1"}, {"ApiKeys", keys}}}}};
}

}

TEST_CASE("the last of several large configurations is in force everywhere in time although the store reads slowly", "[failure]")
{
    scripted_server server(answering("hello"));
    deployment site;
    site.addServer("i-1", "app", server.address());
    site.start();
    for (int number = 2; number <= INSTANCES; ++number) {
        site.startGateway("g" + std::to_string(number));
    }
    for (std::size_t gateway = 0; gateway < site.gateways.size(); ++gateway) {
        REQUIRE(eventually([&] { return site.readyStatus(gateway) == 200; }));
    }
    site.store.setReadRate(STORE_READ_RATE);
    for (int version = 0; version < VERSIONS; ++version) {
        site.publish(10 + version, largeConfig("new" + std::to_string(version)));
        wait(VERSION_INTERVAL);
    }
    const std::string newest = "new" + std::to_string(VERSIONS - 1);
    wait(APPLY_TIME - VERSION_INTERVAL);
    for (std::size_t gateway = 0; gateway < site.gateways.size(); ++gateway) {
        CAPTURE(gateway, site.store.bytesRead());
        CHECK(statusOf(exchange(site.front(gateway), makeRequest("/safe/", "id" + std::to_string(gateway), "Connection: close\r\n", "", newest))) == 200);
    }
}

TEST_CASE("a large configuration is in force in time at instances that the store refuses and that slow links connect", "[failure]")
{
    scripted_server server(answering("hello"));
    soak::link_network links;
    deployment site(2);
    site.addServer("i-1", "app", server.address());
    site.publish(1);
    for (int number = 0; number < SERVED_INSTANCES + REFUSED_INSTANCES; ++number) {
        const std::string link = links.add(UNKNOWN_TARGET);
        const child_process &gateway = site.startGateway("g" + std::to_string(number), number < SERVED_INSTANCES ? 0 : 1, {"instance.peer_advertised=" + link});
        links.retarget(link, gateway.listening().at("peer"));
        links.disturb(link, soak::link_fault::squeeze, SQUEEZE_TIME);
    }
    for (std::size_t gateway = 0; gateway < site.gateways.size(); ++gateway) {
        REQUIRE(eventually([&] { return site.readyStatus(gateway) == 200; }));
    }
    site.store.setFault(1, platform::store_fault::reset);
    site.publish(10, largeConfig("new", KEYS_FOR_SLOW_LINKS));
    wait(SLOW_APPLY_TIME);
    for (std::size_t gateway = 0; gateway < site.gateways.size(); ++gateway) {
        CAPTURE(gateway);
        CHECK(statusOf(exchange(site.front(gateway), makeRequest("/safe/", "id" + std::to_string(gateway), "Connection: close\r\n", "", "new"))) == 200);
    }
}
