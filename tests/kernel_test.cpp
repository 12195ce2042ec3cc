// Event loop, HTTP server, base64 and SHA-256.

#include "kernel/event_loop.h"
#include "kernel/hash.h"
#include "kernel/http_server.h"
#include "kernel/http_status.h"
#include "kernel/settings.h"
#include "process.h"

#include <catch2/catch.hpp>
#include <future>
#include <thread>

using namespace chestnut;

TEST_CASE("a transfer may be aborted inside its own callback", "[unit]")
{
    http_server server({}, [](const std::shared_ptr<http_call> &call) {
        call->beginStream({});
        call->write("first");
        call->write("second");
        call->finish();
    });
    event_loop loop("test");
    for (int i = 0; i < 50; ++i) {
        std::promise<void> dropped;
        transfer_id id = 0;
        loop.post([&] {
            http_request request;
            request.url = "http://127.0.0.1:" + std::to_string(server.port()) + "/";
            id = loop.start(request,
                            {[&](int, std::string_view) {
                                 loop.abort(id);
                                 dropped.set_value();
                             },
                             [](const http_result &) { FAIL("an aborted transfer must not call its end handler"); }});
        });
        dropped.get_future().wait();
    }
    std::promise<int> status;
    loop.post([&] {
        http_request request;
        request.url = "http://127.0.0.1:" + std::to_string(server.port()) + "/";
        loop.start(request, {{}, [&](const http_result &result) { status.set_value(result.status); }});
    });
    CHECK(status.get_future().get() == 200);
}

TEST_CASE("a transfer may be started inside the callback of another one", "[unit]")
{
    http_server server({}, [](const std::shared_ptr<http_call> &call) { call->respond({200, "text", "text/plain", {}}); });
    event_loop loop("test");
    http_request request;
    request.url = "http://127.0.0.1:" + std::to_string(server.port()) + "/";
    std::promise<int> status;
    loop.post([&] {
        loop.start(request,
                   {[&](int, std::string_view) {
                        loop.start(request, {{}, [&](const http_result &result) { status.set_value(result.status); }});
                    },
                    [](const http_result &) {}});
    });
    std::future<int> second = status.get_future();
    REQUIRE(second.wait_for(seconds(10)) == std::future_status::ready);
    CHECK(second.get() == 200);
}

TEST_CASE("a destroyed HTTP server accepts no connections", "[unit]")
{
    std::uint16_t port = 0;
    {
        const http_server server({}, [](const std::shared_ptr<http_call> &call) { call->respond({}); });
        port = server.port();
        CHECK(test::request("GET", "http://127.0.0.1:" + std::to_string(port) + "/").status == 200);
    }
    const http_result result = test::request("GET", "http://127.0.0.1:" + std::to_string(port) + "/");
    CHECK_FALSE(result.connected);
}

TEST_CASE("an idle transfer fails after its idle timeout", "[unit]")
{
    std::vector<std::shared_ptr<http_call>> held;
    http_server server({}, [&](const std::shared_ptr<http_call> &call) { held.push_back(call); });
    event_loop loop("test");
    std::promise<http_result> done;
    loop.post([&] {
        http_request request;
        request.url = "http://127.0.0.1:" + std::to_string(server.port()) + "/";
        request.idleTimeout = milliseconds(50);
        loop.start(request, {{}, [&](http_result result) { done.set_value(std::move(result)); }});
    });
    const http_result result = done.get_future().get();
    CHECK(result.timedOut);
    CHECK(result.connected);
}

TEST_CASE("an answer that arrived while the loop was busy counts, although its timeout has passed", "[unit]")
{
    const bool idle = GENERATE(false, true);
    constexpr milliseconds TIMEOUT{100};
    std::promise<std::shared_ptr<http_call>> received;
    http_server server({}, [&](const std::shared_ptr<http_call> &call) { received.set_value(call); });
    event_loop loop("test");
    std::promise<http_result> done;
    loop.post([&] {
        http_request request;
        request.url = "http://127.0.0.1:" + std::to_string(server.port()) + "/";
        (idle ? request.idleTimeout : request.totalTimeout) = TIMEOUT;
        loop.start(request, {{}, [&](http_result result) { done.set_value(std::move(result)); }});
    });
    const std::shared_ptr<http_call> call = received.get_future().get();
    loop.post([&] {
        call->respond({});
        const steady_time end = std::chrono::steady_clock::now() + TIMEOUT * 2;
        while (std::chrono::steady_clock::now() < end || server.openCalls() > 0) {
            std::this_thread::yield();
        }
    });
    const http_result result = done.get_future().get();
    INFO(result.error);
    CHECK(result.ok());
}

TEST_CASE("a transfer fails after its total timeout", "[unit]")
{
    std::vector<std::shared_ptr<http_call>> held;
    http_server server({}, [&](const std::shared_ptr<http_call> &call) { held.push_back(call); });
    event_loop loop("test");
    std::promise<http_result> done;
    loop.post([&] {
        http_request request;
        request.url = "http://127.0.0.1:" + std::to_string(server.port()) + "/";
        request.totalTimeout = milliseconds(50);
        loop.start(request, {{}, [&](http_result result) { done.set_value(std::move(result)); }});
    });
    const http_result result = done.get_future().get();
    CHECK(result.timedOut);
    CHECK(result.connected);
}

// Guards against a rejection that leaves open whether the request ran, or that ends small requests too.
TEST_CASE("a body beyond the memory limit is rejected as not run, and a small request is served", "[unit]")
{
    http_server_options options;
    options.memoryBytes = 100'000;
    http_server server(options, [](const std::shared_ptr<http_call> &call) { call->respond({200, call->body(), "text/plain", {}}); });
    const std::string url = "http://127.0.0.1:" + std::to_string(server.port()) + "/";
    const http_result large = test::request("POST", url, std::string(90'000, 'x'));
    CHECK(large.status == 503);
    CHECK(large.verdictHeader == "not_run");
    CHECK(large.retryAfter.count() > 0);
    const std::string small(1000, 'x');
    CHECK(test::request("POST", url, small).body == small);
    CHECK(test::eventually([&] { return server.usage().memoryBytes == 0; }));
}

TEST_CASE("base64 and SHA-256 match published test values", "[unit]")
{
    CHECK(encodeBase64("light work.") == "bGlnaHQgd29yay4=");
    CHECK(decodeBase64("bGlnaHQgd29yay4=") == "light work.");
    CHECK(decodeBase64(encodeBase64("")).empty());
    CHECK_THROWS_AS(decodeBase64("abc"), std::invalid_argument);
    CHECK(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Guards against a malformed message that ends the process and with it the requests of all clients.
TEST_CASE("a task that throws ends neither the loop nor the tasks behind it", "[unit]")
{
    event_loop loop("test");
    std::promise<void> ran;
    loop.post([] { throw std::runtime_error("failure of a test"); });
    loop.post([&] { ran.set_value(); });
    CHECK(ran.get_future().wait_for(std::chrono::seconds(10)) == std::future_status::ready);
    loop.stop();
}

TEST_CASE("a status is final from 200 to 599, interim below that, and otherwise invalid", "[unit]")
{
    const auto kindOf = [](std::initializer_list<int> statuses) {
        std::vector<status_kind> kinds;
        std::transform(statuses.begin(), statuses.end(), std::back_inserter(kinds), classifyStatus);
        return kinds;
    };
    CHECK(kindOf({100, 102, 103, 199}) == std::vector(4, status_kind::interim));
    CHECK(kindOf({200, 204, 304, 421, 503, 599}) == std::vector(6, status_kind::final));
    CHECK(kindOf({-1, 0, 1, 20, 99, 101, 600, 999, 2000}) == std::vector(9, status_kind::invalid));
}
