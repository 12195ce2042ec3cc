// Tests what the callers of chestnutgw-entry's HTTP client believe after an answer that none may rely on: its head stops before its end, or
// its status is none that a server may send.

#include "backend/engine.h"
#include "broken_answers.h"
#include "kernel/registry.h"
#include "platform/platform.h"
#include "service_site.h"

#include <atomic>
#include <catch2/catch.hpp>

using namespace chestnut;
using namespace chestnut::test;

namespace
{

http_result transferTo(const std::string &address, std::function<void(int, std::string_view)> onData = {})
{
    return callOnLoop<http_result>([&](event_loop &loop, const auto &done) {
        http_request request;
        request.url = "http://" + address + "/";
        request.totalTimeout = milliseconds(3000);
        loop.start(std::move(request), {std::move(onData), done});
    });
}

}

// Guards against an empty answer that is taken for the whole one.
TEST_CASE("an answer whose head stops before its end is not taken for a whole one", "[failure]")
{
    const broken_answer answer = GENERATE(from_range(CUT_HEADS));
    const bool streamed = GENERATE(false, true);
    CAPTURE(answer.name, streamed);
    const scripted_server server(sending(answer));
    std::atomic<int> pieces = 0;
    const http_result result = streamed ? transferTo(server.address(), [&](int, std::string_view) { ++pieces; }) : transferTo(server.address());
    CHECK_FALSE(result.completed());
    CHECK_FALSE(result.ok());
    CHECK(result.status == 0);
    CHECK(result.connected);
    CHECK_FALSE(result.timedOut);
    CHECK(pieces == 0);
}

// Guards against an answer without meaning that is taken for a final one.
TEST_CASE("an answer whose status no server may send is not taken for an answer", "[failure]")
{
    const broken_answer answer = GENERATE(from_range(INVALID_STATUSES));
    CAPTURE(answer.name);
    const scripted_server server(sending(answer));
    const http_result result = transferTo(server.address());
    CHECK_FALSE(result.completed());
    CHECK(result.status == 0);
    CHECK(result.connected);
    CHECK_FALSE(result.timedOut);
}

TEST_CASE("an answer behind an interim one, with trailers, is whole", "[failure]")
{
    const std::string bytes = GENERATE("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
                                       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nDigest: x\r\n\r\n",
                                       "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbody", "HTTP/1.1 200 OK\nContent-Length: 4\n\nbody");
    CAPTURE(bytes);
    const scripted_server server(sending({"whole", bytes}));
    const http_result result = transferTo(server.address());
    CHECK(result.ok());
    CHECK(result.body == "body");
}

// Guards against an order that is believed to be given.
TEST_CASE("an order to an engine with a broken answer is not taken for one that was given", "[failure]")
{
    const broken_answer answer = GENERATE(from_range(allBroken()));
    CAPTURE(answer.name);
    const scripted_server server(sending(answer));
    const order_status engineOrder = callOnLoop<order_status>([&](event_loop &loop, const auto &done) {
        const std::shared_ptr<engine_adapter> engine = plugin_registry<engine_adapter, event_loop &>::instance().make("stages", loop);
        engine->order(server.address(), {1, {}}, [engine, done](order_status status) { done(status); });
    });
    CHECK(engineOrder == order_status::failed);
}

// Guards against a record that is believed to be written, or to be absent.
TEST_CASE("a call to the log with a broken answer has an unknown result", "[failure]")
{
    const broken_answer answer = GENERATE(from_range(allBroken()));
    const std::string status = GENERATE("200 OK", "429 Too Many Requests", "503 Service Unavailable");
    CAPTURE(answer.name, status);
    broken_answer sent = answer;
    if (const std::size_t at = sent.bytes.find("200 OK"); at != std::string::npos) {
        sent.bytes.replace(at, 6, status);
    }
    const scripted_server server(sending(sent));
    const append_result appended = callOnLoop<append_result>([&](event_loop &loop, const auto &done) {
        const std::shared_ptr<log_service> log
            = plugin_registry<log_service, event_loop &, const std::string &>::instance().make("http", loop, "http://" + server.address());
        log->append("claims", {"record"}, [log, done](const append_result &got) { done(got); });
    });
    CHECK(appended.status == append_status::unknown);
}

// Guards against an outcome that callers, and those who repeat the call, take for the service's own.
TEST_CASE("a broken answer of a service is not taken for its answer", "[failure]")
{
    const broken_answer answer = GENERATE(from_range(allBroken()));
    const std::string repeat = GENERATE("repeatable", "once", "deduplicated");
    CAPTURE(answer.name, repeat);
    const scripted_server replica(sending(answer));
    const service_site site({&replica}, 3000, repeat);
    const http_result result = site.call("body", "key1");
    CHECK(result.status == (repeat == "once" ? 504 : 503));
    CHECK(result.verdictHeader == "may_have_run");
    CHECK(replica.count() == 1);
}
