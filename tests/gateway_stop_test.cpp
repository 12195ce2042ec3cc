// Tests which requests chestnutgw-gateway accepts during a planned stop, as a process between clients and scripted servers.

#include "gateway_deployment.h"

#include <catch2/catch.hpp>
#include <csignal>

using namespace chestnut;
using namespace chestnut::test;

namespace
{

constexpr milliseconds LATE{3200};       // after SIGTERM: the load balancer sends no new clients any more
constexpr milliseconds BEFORE_END{7000}; // after SIGTERM: less than the usual grace period
constexpr milliseconds EVENT_GAP{150};   // of the slow server
constexpr int SLOW_LAST_EVENT = 59;      // 9 s, longer than the grace period
constexpr int SHORT_LAST_EVENT = 5;
constexpr int STREAM_LIMIT_MS = 9000;

// Sends a stream slowly, until its client or the gateway closes the connection.
bool streamSlowly(raw_connection &out, const raw_request &in)
{
    out.write(streamHead(in));
    for (int id = 0; id <= SLOW_LAST_EVENT; ++id) {
        out.write(chunk(event(id)));
        if (out.waitForClose(static_cast<int>(EVENT_GAP.count()))) {
            return false;
        }
    }
    out.write("0\r\n\r\n");
    return true;
}

// Script of a server whose streams wait for `go` after event 1; those whose request id begins with "slow" are sent slowly.
server_script held(std::atomic<bool> &go)
{
    return [&go](raw_connection &out, const raw_request &in) {
        if (in.target() == "/report") {
            out.write(report(in));
            return true;
        }
        if (in.header("X-Chestnutgw-Request-Id").starts_with("slow")) {
            return streamSlowly(out, in);
        }
        out.write(streamHead(in) + events(0, 1));
        eventually([&] { return go.load(); });
        out.write(events(2, SHORT_LAST_EVENT) + "0\r\n\r\n");
        return true;
    };
}

std::string withDeadline(std::string request, steady_time deadline)
{
    const std::string usual = "X-Chestnutgw-Deadline-Ms: 6000";
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - std::chrono::steady_clock::now());
    return request.replace(request.find(usual), usual.size(), "X-Chestnutgw-Deadline-Ms: " + std::to_string(left.count()));
}

}

// Guards against streams that are accepted late in a stop because others were fast, and are cut when the process ends.
TEST_CASE("a stream that arrives late in a stop is rejected unless its deadline lies before the end", "[failure]")
{
    std::atomic<bool> go = false;
    scripted_server server(held(go));
    deployment site;
    site.addServer("i-1", "lm", server.address(), 0, 4);
    site.start();
    raw_client client(site.front());
    client.write(makeRequest("/stream/", "first"));
    REQUIRE(client.readUntil("piece1").find("Connection: keep-alive") != std::string::npos);
    const steady_time asked = std::chrono::steady_clock::now();
    site.gateways[0]->signal(SIGTERM);
    waitUntil(asked + LATE);
    go = true;
    CHECK(client.readUntil("0\r\n\r\n").find("piece5") != std::string::npos);
    const int before = server.count();
    client.write(makeRequest("/stream/", "slow"));
    const std::string rejected = client.readUntil("\x01never", STREAM_LIMIT_MS);
    CHECK(rejected.find("HTTP/1.1 503") != std::string::npos);
    CHECK(rejected.find("Retry-After:") != std::string::npos);
    CHECK(server.count() == before);
    CHECK(site.gateways[0]->wait() == 0);
}

TEST_CASE("a stream that arrives late in a stop is answered if its deadline lies before the end", "[failure]")
{
    std::atomic<bool> go = false;
    scripted_server server(held(go));
    deployment site;
    site.addServer("i-1", "lm", server.address(), 0, 4);
    site.start();
    raw_client client(site.front());
    client.write(makeRequest("/stream/", "first"));
    REQUIRE(client.readUntil("piece1").find("Connection: keep-alive") != std::string::npos);
    const steady_time asked = std::chrono::steady_clock::now();
    site.gateways[0]->signal(SIGTERM);
    waitUntil(asked + LATE);
    go = true;
    const std::string first = client.readUntil("0\r\n\r\n");
    CHECK(first.find("piece5") != std::string::npos);
    client.write(withDeadline(makeRequest("/stream/", "second"), asked + BEFORE_END));
    const std::string both = client.readUntil("\x01never", STREAM_LIMIT_MS);
    CHECK(isWholeStream(both.substr(first.size()), SHORT_LAST_EVENT));
    CHECK(site.gateways[0]->wait() == 0);
}

// Guards against an impatient operator whose second signal would cut what the first one lets end.
TEST_CASE("a second stop signal ends no stream that was accepted before the first one", "[failure]")
{
    std::atomic<bool> go = false;
    scripted_server server(held(go));
    deployment site;
    site.addServer("i-1", "lm", server.address(), 0, 4);
    site.start();
    raw_client client(site.front());
    client.write(makeRequest("/stream/", "first"));
    client.readUntil("piece1");
    site.gateways[0]->signal(SIGTERM);
    REQUIRE(eventually([&] { return site.readyStatus() == 503; })); // it has handled the signal
    site.gateways[0]->signal(SIGTERM);
    site.gateways[0]->signal(SIGHUP);
    REQUIRE(site.readyStatus() == 503); // it has handled the signals before this check, which came later
    go = true;
    CHECK(isWholeStream(client.readUntil("0\r\n\r\n", STREAM_LIMIT_MS), SHORT_LAST_EVENT));
    CHECK(site.gateways[0]->wait() == 0);
}
