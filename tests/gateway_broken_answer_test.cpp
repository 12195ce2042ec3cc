// Tests what the callers of chestnutgw-gateway's HTTP client believe after an answer that none may rely on: its head stops before its end,
// or its status is none that a server may send.

#include "broken_answers.h"
#include "gateway_deployment.h"
#include "platform/decode.h"
#include "platform/server_calls.h"
#include "platform/store_client.h"

#include <catch2/catch.hpp>

using namespace chestnut;
using namespace chestnut::test;

namespace
{

platform::store_client storeAt(event_loop &loop, const std::string &address)
{
    static metrics counters;
    return {loop, "http://" + address, counters};
}

}

// Guards against an order that is believed to be given.
TEST_CASE("an order with a broken answer is not taken for one that was given", "[failure]")
{
    const broken_answer answer = GENERATE(from_range(allBroken()));
    CAPTURE(answer.name);
    const scripted_server server(sending(answer));
    metrics counters;
    const header_names headerNames = platform::makeHeaderNames();
    const order_outcome placed = callOnLoop<order_outcome>([&](event_loop &loop, const auto &done) {
        const auto calls = std::make_shared<platform::server_calls>(loop, counters, headerNames);
        calls->orderLayers(server.address(), server_id{"i-1"}, {0, 4}, 1, [calls, done](order_outcome outcome) { done(outcome); });
    });
    CHECK(placed == order_outcome::unknown);
}

// Guards against a lease, a change or a fleet that is believed to stand in the store.
TEST_CASE("a call to the store with a broken answer has an unknown result", "[failure]")
{
    const broken_answer answer = GENERATE(from_range(allBroken()));
    CAPTURE(answer.name);
    const scripted_server server(sending(answer));
    const auto appended = callOnLoop<platform::append_answer>([&](event_loop &loop, const auto &done) {
        const auto store = std::make_shared<platform::store_client>(storeAt(loop, server.address()));
        store->append("topic", 3, {"record"}, [store, done](const platform::append_answer &got) { done(got); });
    });
    CHECK(appended.status == platform::store_status::unknown);
    const auto listed = callOnLoop<platform::newest_answer>([&](event_loop &loop, const auto &done) {
        const auto store = std::make_shared<platform::store_client>(storeAt(loop, server.address()));
        store->newest("topic", [store, done](const platform::newest_answer &got) { done(got); });
    });
    CHECK(listed.status == platform::store_status::unknown);
    const auto read = callOnLoop<platform::read_answer>([&](event_loop &loop, const auto &done) {
        const auto store = std::make_shared<platform::store_client>(storeAt(loop, server.address()));
        store->read("topic", 0, milliseconds(0), [store, done](const platform::read_answer &got) { done(got); });
    });
    CHECK(read.status == platform::store_status::unknown);
}

// Guards against an empty answer that a client takes for the whole one.
TEST_CASE("an answer whose head stops before its end becomes 502", "[failure]")
{
    const broken_answer broken = GENERATE(from_range(CUT_HEADS));
    const std::string path = GENERATE("/once/", "/safe/", "/stream/", "/single/");
    CAPTURE(broken.name, path);
    broken_answer signedAnswer = broken;
    if (const std::size_t at = signedAnswer.bytes.find("200 OK\r\n"); at != std::string::npos) {
        signedAnswer.bytes.insert(at + 8, SIGNATURE + "X-Chestnutgw-Request-Id: id1\r\n");
    }
    scripted_server server(sending(signedAnswer));
    deployment site;
    site.addServer("i-1", "app", server.address());
    site.addServer("i-2", "lm", server.address(), 0, 4);
    site.start();
    CHECK(statusOf(exchange(site.front(), makeRequest(path, "id1"))) == 502);
}
