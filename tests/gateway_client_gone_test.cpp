// Tests that chestnutgw-gateway does not work for clients that have closed their connection: their requests reach no server, and
// servers that have begun are released.

#include "gateway_deployment.h"
#include "late_reader.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <nlohmann/json.hpp>

using namespace chestnut;
using namespace chestnut::test;

namespace
{

constexpr int CLIENTS = 30;
constexpr milliseconds PAUSE{700};        // of the gateway; shorter than a pause after which it reads its state anew
constexpr milliseconds RELEASE_TIME{500}; // from a client's close until its server is released

void waitFor(milliseconds time)
{
    const steady_time end = std::chrono::steady_clock::now() + time;
    REQUIRE(eventually([&] { return std::chrono::steady_clock::now() >= end; }));
}

// Server of both kinds of route that answers the first requests only when `connections` of them have arrived, so that as many
// connections to it stay open.
class warm_server
{
public:
    explicit warm_server(int connections)
        : m_connections(connections)
    {
    }
    std::string address() const
    {
        return m_server.address();
    }
    int count() const
    {
        return m_server.count();
    }
    // Sends the first requests, and returns when they are answered.
    void warmUp(const std::string &front, const std::string &path)
    {
        std::vector<std::unique_ptr<raw_client>> clients;
        for (int number = 0; number < m_connections; ++number) {
            clients.push_back(std::make_unique<raw_client>(front));
            clients.back()->write(makeRequest(path, "warm" + std::to_string(number), "Connection: close\r\n"));
        }
        for (const auto &client : clients) {
            REQUIRE(statusOf(client->readUntil("\x01never", 5000)) == 200);
        }
    }

private:
    bool serve(raw_connection &out, const raw_request &in)
    {
        if (in.target() == "/report") {
            out.write(report(in));
            return true;
        }
        ++m_arrived;
        eventually([&] { return m_arrived >= m_connections; });
        const bool stream = in.target() == "/stream/";
        out.write(stream ? streamHead(in) + events(0, 1) + "0\r\n\r\n" : answer(in, "hello", "Keep-Alive: timeout=30\r\n"));
        return true;
    }

    int m_connections;
    std::atomic<int> m_arrived = 0;
    scripted_server m_server{[this](raw_connection &out, const raw_request &in) { return serve(out, in); }};
};

// Pauses the gateway while clients connect, send a request and leave.
void leaveDuringPause(const deployment &site, const std::string &path)
{
    site.gateways[0]->signal(SIGSTOP);
    for (int number = 0; number < CLIENTS; ++number) {
        raw_client client(site.front());
        client.write(makeRequest(path, "left" + std::to_string(number)));
        client.close();
    }
    waitFor(PAUSE);
    site.gateways[0]->signal(SIGCONT);
    CHECK(statusOf(exchange(site.front(), makeRequest(path, "after"))) == 200);
    waitFor(milliseconds(200));
}

}

TEST_CASE("plain requests that are read after their clients have left reach no server", "[failure]")
{
    constexpr int CONNECTIONS = CLIENTS;
    warm_server server(CONNECTIONS);
    deployment site;
    site.addServer("i-1", "app", server.address());
    site.start();
    server.warmUp(site.front(), "/safe/");
    leaveDuringPause(site, "/safe/");
    CHECK(server.count() == CONNECTIONS + 1);
}

TEST_CASE("streams that are read after their clients have left reach no server", "[failure]")
{
    constexpr int CONNECTIONS = 5; // as many as the server has slots, less one
    warm_server server(CONNECTIONS);
    deployment site;
    site.addServer("i-1", "lm", server.address(), 0, 4);
    site.start();
    server.warmUp(site.front(), "/stream/");
    leaveDuringPause(site, "/stream/");
    CHECK(server.count() == CONNECTIONS + 1);
}

TEST_CASE("a request behind an answer is not served if its client has left meanwhile", "[failure]")
{
    std::atomic<int> answered = 0;
    std::atomic<bool> go = false;
    scripted_server server([&](raw_connection &out, const raw_request &in) {
        const std::string id = in.header("X-Chestnutgw-Request-Id");
        if (id.starts_with("first")) {
            eventually([&] { return go.load(); });
        }
        out.write(answer(in, "hello", "Keep-Alive: timeout=30\r\n"));
        ++answered;
        return true;
    });
    deployment site;
    site.addServer("i-1", "app", server.address());
    site.start();
    std::vector<std::unique_ptr<raw_client>> clients;
    for (int number = 0; number < 4; ++number) {
        clients.push_back(std::make_unique<raw_client>(site.front()));
        clients.back()->write(makeRequest("/safe/", "first" + std::to_string(number)) + makeRequest("/safe/", "second" + std::to_string(number)));
    }
    REQUIRE(eventually([&] { return server.count() == 4; }));
    waitFor(milliseconds(50));
    site.gateways[0]->signal(SIGSTOP);
    go = true;
    REQUIRE(eventually([&] { return answered == 4; }));
    clients.clear();
    waitFor(PAUSE);
    site.gateways[0]->signal(SIGCONT);
    waitFor(milliseconds(400));
    CHECK(server.count() == 4);
}

TEST_CASE("a server is released when its client leaves behind many pipelined requests", "[failure]")
{
    std::atomic<bool> released = false;
    std::atomic<bool> left = false;
    scripted_server server([&](raw_connection &out, const raw_request &) {
        eventually([&] { return left.load(); });
        released = out.waitForClose(static_cast<int>(RELEASE_TIME.count()));
        return false;
    });
    deployment site;
    site.addServer("i-1", "app", server.address());
    site.start();
    raw_client client(site.front());
    client.write(makeRequest("/safe/", "id1"));
    REQUIRE(eventually([&] { return server.count() == 1; }));
    for (int number = 0; number < 20; ++number) {
        client.write(makeRequest("/safe/", "more" + std::to_string(number), "", std::string(4900, 'x')));
    }
    waitFor(milliseconds(50));
    client.close();
    left = true;
    CHECK(eventually([&] { return released.load(); }, milliseconds(2000)));
    CHECK(server.count() == 1);
}

TEST_CASE("bytes that a server could not take yet are discarded when their client leaves", "[failure]")
{
    constexpr std::size_t BODY_BYTES = 400 * 1024;
    late_reader server(1500);
    deployment site;
    site.addServer("i-1", "app", server.address());
    site.publish(1, {{"Limits", {{"MaxBodyBytes", 4 * BODY_BYTES}}}});
    site.startGateway();
    REQUIRE(eventually([&] { return site.readyStatus() == 200; }));
    raw_client client(site.front());
    client.write(makeRequest("/safe/", "id1", "", std::string(BODY_BYTES, 'x')));
    waitFor(milliseconds(400));
    client.close();
    waitFor(milliseconds(2500));
    CHECK(server.received() < BODY_BYTES);
}

TEST_CASE("metrics tell what a request waited for when its client left", "[failure]")
{
    std::atomic<bool> go = false;
    scripted_server server([&](raw_connection &, const raw_request &) { return eventually([&] { return go.load(); }) && false; });
    deployment site;
    site.addServer("i-1", "app", server.address());
    site.addServer("i-2", "lm", server.address(), 0, 4);
    site.start();
    for (const char *path : {"/safe/", "/single/"}) {
        const int before = server.count();
        raw_client client(site.front());
        client.write(makeRequest(path, "id1"));
        REQUIRE(eventually([&] { return server.count() == before + 1; }));
        client.close();
    }
    CHECK(eventually([&] { return site.metricsText().find("requests_abandoned{unacknowledged=\"no\",waiting_for=\"answer\"} 1") != std::string::npos; }));
    CHECK(eventually([&] { return site.metricsText().find("requests_abandoned{unacknowledged=\"no\",waiting_for=\"first_event\"} 1") != std::string::npos; }));
    go = true;
}
