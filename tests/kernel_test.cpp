// Event loop, HTTP server, base64 and SHA-256.

#include "kernel/event_loop.h"
#include "kernel/hash.h"
#include "kernel/http_server.h"
#include "kernel/settings.h"
#include "process.h"

#include <catch2/catch.hpp>
#include <future>

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

TEST_CASE("base64 and SHA-256 match published test values", "[unit]")
{
    CHECK(encodeBase64("light work.") == "bGlnaHQgd29yay4=");
    CHECK(decodeBase64("bGlnaHQgd29yay4=") == "light work.");
    CHECK(decodeBase64(encodeBase64("")).empty());
    CHECK_THROWS_AS(decodeBase64("abc"), std::invalid_argument);
    CHECK(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}
