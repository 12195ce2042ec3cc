// Tests the exchange of chestnutgw-gateway with a backend server while it is aborted, and with answers whose status no server may send.

#include "gateway/spawn.h"
#include "gateway/upstream.h"
#include "gateway_deployment.h"

#include <catch2/catch.hpp>

using namespace chestnut;
using namespace chestnut::test;

namespace
{

constexpr milliseconds LIMIT{3000}; // of an exchange
constexpr int MAX_HANDLERS = 200;   // far more than one exchange takes
const std::string ID_HEADER = "X-Chestnutgw-Request-Id";
const std::string REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n" + ID_HEADER + ": id1\r\n\r\n";
const std::string LONG_HEADER = "Padding: " + std::string(700, 'p') + "\r\n"; // Beast reads 512 bytes at first: such a head takes two reads

// The event loop of a gateway's traffic thread, run by hand.
struct traffic_thread
{
    asio::io_context context;
    buffer_quota buffers;
    upstream_pool pool{context, buffers};
};

// What the user of an exchange learned from its steps.
struct exchange_log
{
    std::vector<exchange_status> steps;
    std::size_t stepsBeforeAbort = 0;
    std::string body;
    bool ended = false;
};

asio::awaitable<void> runExchange(upstream_exchange &exchange, exchange_log &log)
{
    const steady_time until = std::chrono::steady_clock::now() + LIMIT;
    log.steps.push_back(co_await exchange.connect(true, until));
    if (log.steps.back() == exchange_status::ok) {
        log.steps.push_back(co_await exchange.send(REQUEST, "", until));
    }
    if (log.steps.back() == exchange_status::ok) {
        log.steps.push_back(co_await exchange.readHead(ID_HEADER, until));
    }
    bool more = log.steps.back() == exchange_status::ok;
    while (more) {
        std::string piece;
        log.steps.push_back(co_await exchange.readPiece(piece, until));
        log.body += piece;
        more = log.steps.back() == exchange_status::ok && !piece.empty();
    }
    log.ended = true;
}

// Runs an exchange and aborts it once `handlers` handlers of the thread have run, or never if it has ended by then.
exchange_log runAborted(const std::string &address, int handlers)
{
    traffic_thread thread;
    upstream_exchange exchange(thread.pool, address, "id1");
    exchange_log log;
    spawnLogged(thread.context, "test", runExchange(exchange, log));
    for (int run = 0; run < handlers && !log.ended; ++run) {
        thread.context.run_one_for(LIMIT);
    }
    log.stepsBeforeAbort = log.steps.size();
    if (!log.ended) {
        exchange.abort();
    }
    thread.context.run_for(LIMIT);
    return log;
}

}

// Guards against a request that goes on at a server which was given up: the end of the process in review case 6.
TEST_CASE("no step of an exchange succeeds after it was aborted, at whichever moment that is", "[failure]")
{
    const std::string before = GENERATE("", "HTTP/1.1 103 Early Hints\r\n\r\n");
    scripted_server server([before](raw_connection &out, const raw_request &in) {
        out.write(before + answer(in, "hello", LONG_HEADER));
        return true;
    });
    bool complete = false;
    for (int handlers = 0; handlers < MAX_HANDLERS && !complete; ++handlers) {
        CAPTURE(before, handlers);
        const exchange_log log = runAborted(server.address(), handlers);
        REQUIRE(log.ended);
        complete = log.steps.size() == log.stepsBeforeAbort;
        if (!complete) {
            CHECK(toText(log.steps.at(log.stepsBeforeAbort)) == std::string("aborted"));
        } else {
            CHECK(log.body == "hello");
        }
    }
    CHECK(complete);
}

// Guards against a connection that nobody needs any more: abort() had no effect before connect() had opened one.
TEST_CASE("an exchange that was aborted before its first step opens no connection", "[failure]")
{
    scripted_server server(answering("hello"));
    traffic_thread thread;
    upstream_exchange exchange(thread.pool, server.address(), "id1");
    exchange.abort();
    exchange_log log;
    spawnLogged(thread.context, "test", runExchange(exchange, log));
    thread.context.run_for(LIMIT);
    CHECK(log.ended);
    CHECK(log.steps == std::vector{exchange_status::aborted});
    CHECK(server.count() == 0);
}
