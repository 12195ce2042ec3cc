// Tests that one odd entry among those of the servers, from another writer, does not end or stall the instances that read it.

#include "followed_topic.h"
#include "gateway_deployment.h"
#include "platform/decode.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace chestnut;
using namespace chestnut::test;
using namespace chestnut::platform;
using nlohmann::json;

namespace
{

std::string nested(int levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

// A server's entry with one field replaced by this text.
std::string entryWith(const std::string &field, const std::string &value)
{
    std::string text = R"({"Service":"app","State":"ready","Zone":"a","RouteType":"k","born":1000,"Sequence":4)";
    for (const auto &[name, usual] : {std::pair("Address", R"("127.0.0.1:9")"), std::pair("BatchSlots", "6")}) {
        text += std::string(",\"") + name + "\":" + (field == name ? value : usual);
    }
    if (field != "Address" && field != "BatchSlots") {
        text += ",\"" + field + "\":" + value;
    }
    return text + "}";
}

struct odd_entry
{
    const char *what;
    std::string text;
};

std::vector<odd_entry> oddEntries()
{
    return {{"1,000 levels", entryWith("Extra", nested(1000))},
            {"120,000 levels", entryWith("Extra", nested(120'000))},
            {"a nested address", entryWith("Address", nested(120'000))},
            {"nested objects",
             entryWith("Extra",
                       [] {
                           std::string text;
                           for (int level = 0; level < 40'000; ++level) {
                               text += "{\"a\":";
                           }
                           return text + "1" + std::string(40'000, '}');
                       }())},
            {"a number that no type holds", entryWith("BatchSlots", "1e999")},
            {"2^31 - 1 slots", entryWith("BatchSlots", "2147483647")},
            {"slots beyond 2^64", entryWith("BatchSlots", "99999999999999999999999")},
            {"negative slots", entryWith("BatchSlots", "-5")},
            {"layers near 2^31", entryWith("Layers", R"({"From":0,"Target":2147483647})")},
            {"layers that begin near 2^31", entryWith("Layers", R"({"From":2147483646,"Target":2147483647})")},
            {"a start beyond 2^64", entryWith("born", "99999999999999999999999")},
            {"port 99999", entryWith("Address", R"("127.0.0.1:99999")")},
            {"port 0", entryWith("Address", R"("127.0.0.1:0")")},
            {"a negative port", entryWith("Address", R"("127.0.0.1:-1")")},
            {"a port that is no number", entryWith("Address", R"("127.0.0.1:http")")},
            {"a host name", entryWith("Address", R"("localhost:80")")},
            {"two ports", entryWith("Address", R"("127.0.0.1:80:81")")},
            {"an address with a line break", entryWith("Address", R"("127.0.0.1:80\r\nX: y")")}};
}

}

TEST_CASE("an entry with a port or number out of range names no server", "[unit]")
{
    for (const char *address : {"127.0.0.1:99999", "127.0.0.1:0", "127.0.0.1:-1", "127.0.0.1:http", "localhost:80", "127.0.0.1:80:81", "127.0.0.1:", ":80",
                                "127.0.0.1:80 ", "127.0.0.1:80\r\nX: y", "127.0.0.1:65536", "127.0.0.1:4294967376"}) {
        CAPTURE(address);
        CHECK_FALSE(decodeServer("i-1", entryWith("Address", json(address).dump())));
    }
    for (const char *slots : {"2147483647", "0", "-1", "1e999", "1e300", "1.5e9"}) {
        CAPTURE(slots);
        CHECK_FALSE(decodeServer("i-1", entryWith("BatchSlots", slots)));
    }
    for (const char *layers : {R"({"From":0,"Target":2147483647})", R"({"From":2147483646,"Target":2147483647})"}) {
        CAPTURE(layers);
        CHECK_FALSE(decodeServer("i-1", entryWith("Layers", layers)));
    }
    CHECK(decodeServer("i-1", entryWith("Layers", R"({"From":0,"Target":80})")));
}

TEST_CASE("a report with layers out of range is unusable", "[unit]")
{
    CHECK_FALSE(decodeReport(R"({"Sequence":1,"Models":[{"Layers":{"From":0,"Target":2147483647}}]})").ok);
    CHECK(decodeReport(R"({"Sequence":1,"Models":[{"Layers":{"From":0,"Target":80}}]})").ok);
}

TEST_CASE("deeply nested text is rejected without recursion by every decoder of JSON", "[unit]")
{
    for (const std::string &text : {"{\"Sequence\":" + nested(120'000) + "}", entryWith("Extra", nested(120'000)), nested(120'000), std::string(400'000, '['),
                                    "{\"a\":\"" + std::string(1000, '[') + "\",\"b\":" + nested(120'000) + "}"}) {
        CHECK_FALSE(decodeServer("i-1", text));
        CHECK(decodeHeartbeat(text) == heartbeat());
        CHECK_FALSE(decodeReport(text).ok);
        CHECK_FALSE(decodeMember("i", text));
        CHECK(decodeFaultyAddress(text).empty());
        CHECK_THROWS_AS(decodeConfig(text), std::invalid_argument);
    }
}

TEST_CASE("brackets inside text do not count as nesting", "[unit]")
{
    const std::string brackets = json(std::string(1000, '[') + "\\\"" + std::string(1000, '{')).dump();
    CHECK(decodeServer("i-1", entryWith("Extra", brackets)));
}

TEST_CASE("a record that its handler cannot take does not keep the others from being applied", "[failure]")
{
    store_standin store;
    store.put("keyed.servers", "before", "v1");
    store.put("keyed.servers", "odd-1", UNUSABLE);
    store.put("keyed.servers", "behind", "v1");
    followed_topic topic(store);
    CHECK(eventually([&] { return topic.size() == 2; }, milliseconds(3000)));
    store.put("keyed.servers", "odd-2", UNUSABLE);
    store.put("keyed.servers", "last", "v1");
    CHECK(eventually([&] { return topic.get("last") == "v1"; }, milliseconds(3000)));
    CHECK(topic.get("behind") == "v1");
}

TEST_CASE("instances go on with the other servers when one entry is odd", "[failure]")
{
    const std::vector<odd_entry> odd = oddEntries();
    scripted_server server(answering("hello"));
    deployment site;
    for (std::size_t i = 0; i < odd.size() / 2; ++i) { // some are listed before an instance starts, some come later
        site.store.put("keyed.servers", "odd-" + std::to_string(i), odd[i].text);
    }
    site.addServer("i-1", "app", server.address());
    site.start();
    CHECK(statusOf(exchange(site.front(), makeRequest("/safe/", "id1"))) == 200);
    for (std::size_t i = odd.size() / 2; i < odd.size(); ++i) {
        CAPTURE(odd[i].what);
        site.store.put("keyed.servers", "odd-" + std::to_string(i), odd[i].text);
        scripted_server next(answering("next"));
        const std::string id = "next-" + std::to_string(i);
        site.addServer(id, "app", next.address());
        CHECK(eventually([&] { return statusOf(exchange(site.front(), makeRequest("/safe/", id))) == 200 && next.count() > 0; }, milliseconds(5000)));
        REQUIRE_FALSE(site.gateways[0]->hasEnded());
        site.addServer(id, "app", next.address(), 0, 0, "draining");
        REQUIRE(eventually([&] {
            const int before = next.count();
            exchange(site.front(), makeRequest("/safe/", "drained"));
            return next.count() == before;
        }));
    }
    CHECK(statusOf(exchange(site.front(), makeRequest("/once/", "id2"))) == 200);
}
