// Tests how chestnutgw-gateway ends client connections: a request that was received completely gets an answer.

#include "gateway_deployment.h"
#include "late_reader.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <csignal>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sys/socket.h>
#include <thread>

using namespace chestnut;
using namespace chestnut::test;
using nlohmann::json;

namespace
{

const server_script ANSWER_AT_ONCE = [](raw_connection &out, const raw_request &in) {
    out.write(in.target().starts_with("/s") && in.target() != "/safe/" ? streamHead(in) + events(0, 1) + "0\r\n\r\n" : answer(in, "hello"));
    return true;
};

json limits(int headerMs, int idleMs, int bodyBytes = 5000)
{
    return {{"Limits", {{"HeaderBytes", 2000}, {"MaxBodyBytes", bodyBytes}, {"HeaderTimeoutMs", headerMs}, {"IdleTimeoutMs", idleMs}}}};
}

// Publishes a configuration and waits until the gateway uses it.
void publishAndWait(deployment &site, int version, json changes)
{
    const std::string key = "key-v" + std::to_string(version);
    changes["Tenants"] = {{{"Name", "t1"}, {"ApiKeys", {"key1", key}}}};
    site.publish(version, changes);
    REQUIRE(eventually([&] { return statusOf(exchange(site.front(), makeRequest("/safe/", "probe", "", "", key))) == 200; }));
}

// Sum of a metric of the gateway over all label sets.
double metricOf(const deployment &site, const std::string &name)
{
    const std::string text = request("GET", "http://127.0.0.1:" + site.gateways[0]->listening().at("metrics_port").get<std::string>() + "/metrics").body;
    double sum = 0;
    for (std::size_t at = 0; at < text.size(); at = text.find('\n', at) + 1) {
        const std::string line = text.substr(at, text.find('\n', at) - at);
        if (!line.starts_with('#') && line.find(name) != std::string::npos) {
            sum += std::stod(line.substr(line.rfind(' ')));
        }
    }
    return sum;
}

// Client with a small receive buffer that reads an answer in steps.
class slow_client
{
public:
    explicit slow_client(const std::string &address)
        : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const int bytes = 32 * 1024;
        ::setsockopt(m_socket.get(), SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
        sockaddr_in peer{};
        peer.sin_family = AF_INET;
        peer.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1))));
        peer.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(::connect(m_socket.get(), reinterpret_cast<const sockaddr *>(&peer), sizeof peer) == 0);
    }
    void write(const std::string &bytes) const
    {
        (void)::send(m_socket.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }
    // Closes the sending direction only.
    void finishWriting() const
    {
        ::shutdown(m_socket.get(), SHUT_WR);
    }
    // Reads until the peer closes the connection; pauses after each part of `stepBytes`. Returns the number of bytes received.
    std::size_t readAll(std::size_t stepBytes = 0, int pauseMs = 0) const
    {
        std::size_t total = 0;
        std::size_t nextPause = stepBytes;
        char buffer[16384];
        while (true) {
            pollfd entry{m_socket.get(), POLLIN, 0};
            if (::poll(&entry, 1, 10000) <= 0) {
                return total;
            }
            const ssize_t got = ::recv(m_socket.get(), buffer, sizeof buffer, 0);
            if (got <= 0) {
                return total;
            }
            total += static_cast<std::size_t>(got);
            if (stepBytes > 0 && total >= nextPause) {
                nextPause += stepBytes;
                ::poll(nullptr, 0, pauseMs);
            }
        }
    }

private:
    unique_fd m_socket;
};

}

//-----------------------------------------------------------------------------
// Time limits
//-----------------------------------------------------------------------------

TEST_CASE("a raised idle limit applies to connections that are already waiting", "[failure]")
{
    scripted_server server(ANSWER_AT_ONCE);
    deployment site;
    site.addServer("i-1", "app", server.address());
    site.start();
    publishAndWait(site, 2, limits(700, 1500));
    raw_client waiting(site.front());
    waiting.write(makeRequest("/safe/", "id1"));
    CHECK(statusOf(waiting.readUntil("hello")) == 200);
    publishAndWait(site, 3, limits(700, 6000));
    CHECK_FALSE(waiting.closedWithin(2500));
    waiting.write(makeRequest("/once/", "id2"));
    CHECK(countOf(waiting.readUntil("\x01never", 300), "hello") == 2);
}

TEST_CASE("a lowered idle limit does not close a connection that already waits under the old one", "[failure]")
{
    scripted_server server(ANSWER_AT_ONCE);
    deployment site;
    site.addServer("i-1", "app", server.address());
    site.start();
    raw_client waiting(site.front());
    waiting.write(makeRequest("/safe/", "id1"));
    CHECK(statusOf(waiting.readUntil("hello")) == 200);
    publishAndWait(site, 2, limits(700, 400));
    CHECK_FALSE(waiting.closedWithin(2000));
    waiting.write(makeRequest("/once/", "id2"));
    CHECK(countOf(waiting.readUntil("\x01never", 300), "hello") == 2);
    raw_client newer(site.front());
    CHECK(newer.closedWithin(3000));
    CHECK(eventually([&] { return metricOf(site, "client_connections_closed{reason=\"idle\"}") >= 1; }));
}

TEST_CASE("a request that arrived while the gateway was paused beyond a limit is answered", "[failure]")
{
    scripted_server server(ANSWER_AT_ONCE);
    deployment site;
    site.addServer("i-1", "app", server.address());
    site.start();
    publishAndWait(site, 2, limits(600, 700));
    const std::string whole = makeRequest("/once/", "id1");
    const std::size_t half = whole.size() / 2;
    raw_client unsent(site.front());
    raw_client begun(site.front());
    begun.write(whole.substr(0, half));
    CHECK_FALSE(begun.closedWithin(100));
    site.gateways[0]->signal(SIGSTOP);
    unsent.write(makeRequest("/once/", "id2"));
    begun.write(whole.substr(half));
    CHECK_FALSE(begun.closedWithin(1200));
    site.gateways[0]->signal(SIGCONT);
    CHECK(statusOf(begun.readUntil("hello")) == 200);
    CHECK(statusOf(unsent.readUntil("hello")) == 200);
}

TEST_CASE("a request that is not received in time gets status 408", "[failure]")
{
    scripted_server server(ANSWER_AT_ONCE);
    deployment site;
    site.addServer("i-1", "app", server.address());
    site.start();
    publishAndWait(site, 2, limits(500, 800));
    raw_client head(site.front());
    head.write("POST /once/ HTTP/1.1\r\nHost: h");
    const std::string headAnswer = head.readUntil("\x01never", 4000);
    CHECK(statusOf(headAnswer) == 408);
    CHECK(headAnswer.find("Connection: close") != std::string::npos);
    raw_client body(site.front());
    const std::string whole = makeRequest("/once/", "id1", "", "0123456789");
    body.write(whole.substr(0, whole.size() - 5));
    CHECK(statusOf(body.readUntil("\x01never", 4000)) == 408);
    for (const raw_request &seen : server.requests()) {
        CHECK(seen.header("X-Chestnutgw-Request-Id") == "probe");
    }
}

TEST_CASE("a body that arrives slowly but steadily is accepted", "[failure]")
{
    scripted_server server(ANSWER_AT_ONCE);
    deployment site;
    site.addServer("i-1", "app", server.address());
    site.start();
    publishAndWait(site, 2, limits(500, 800));
    raw_client client(site.front());
    const std::string whole = makeRequest("/once/", "id1", "", "0123456789");
    client.write(whole.substr(0, whole.size() - 5));
    for (std::size_t at = whole.size() - 5; at < whole.size(); ++at) {
        CHECK_FALSE(client.closedWithin(300));
        client.write(whole.substr(at, 1));
    }
    CHECK(statusOf(client.readUntil("hello")) == 200);
    CHECK(server.requests().back().body == "0123456789");
}

//-----------------------------------------------------------------------------
// Shutdown
//-----------------------------------------------------------------------------

TEST_CASE("a stopping instance answers a request that it is still receiving", "[failure]")
{
    scripted_server server(ANSWER_AT_ONCE);
    deployment site;
    site.addServer("i-1", "app", server.address());
    site.start();
    publishAndWait(site, 2, limits(6000, 6000));
    const std::string whole = makeRequest("/once/", "id1");
    raw_client client(site.front());
    client.write(whole.substr(0, whole.size() / 2));
    CHECK_FALSE(client.closedWithin(100));
    site.gateways[0]->signal(SIGTERM);
    CHECK_FALSE(client.closedWithin(3500));
    client.write(whole.substr(whole.size() / 2));
    const std::string got = client.readUntil("hello");
    CHECK(statusOf(got) == 200);
    CHECK(got.find("Connection: close") != std::string::npos);
    CHECK(site.gateways[0]->wait() == 0);
}

TEST_CASE("a request behind an answer that promised to keep the connection is answered by a stopping instance", "[failure]")
{
    std::atomic<bool> go = false;
    scripted_server server([&](raw_connection &out, const raw_request &in) {
        if (in.target() == "/safe/") {
            out.write(answer(in, "hello"));
            return true;
        }
        out.write(streamHead(in) + events(0, 1));
        eventually([&] { return go.load(); });
        out.write(events(2, 3) + "0\r\n\r\n");
        return true;
    });
    deployment site;
    site.addServer("i-1", "lm", server.address(), 0, 4);
    site.addServer("i-2", "app", server.address());
    site.start();
    raw_client idle(site.front());
    raw_client client(site.front());
    client.write(makeRequest("/single/", "id1"));
    const std::string begun = client.readUntil("piece1");
    CAPTURE(begun);
    CHECK(begun.find("Connection: keep-alive") != std::string::npos);
    client.write(makeRequest("/safe/", "id2"));
    site.gateways[0]->signal(SIGTERM);
    CHECK(idle.closedWithin(5000));
    go = true;
    const std::string got = client.readUntil("hello");
    CHECK(got.find("piece3") != std::string::npos);
    CHECK(got.find("hello") != std::string::npos);
    CHECK(got.find("Connection: close") != std::string::npos);
    CHECK(site.gateways[0]->wait() == 0);
}

TEST_CASE("a request that is unanswered at the end of a shutdown gets an error answer", "[failure]")
{
    scripted_server server([](raw_connection &out, const raw_request &) {
        out.waitForClose(9000);
        return false;
    });
    deployment site;
    site.addServer("i-1", "app", server.address());
    site.start({"instance.grace=4"});
    json slow = limits(700, 5000);
    slow["Routes"] = {{{"Name", "once"},
                       {"Hostname", "h.example"},
                       {"PathPrefix", "/once/"},
                       {"RouteType", "non_idempotent"},
                       {"TimeoutMs", 9000},
                       {"LatencyGoalMs", 100},
                       {"Service", "app"},
                       {"MaxAttempts", 1}}};
    slow["Tenants"] = {{{"Name", "t1"}, {"ApiKeys", {"key9"}}}};
    site.publish(2, slow);
    REQUIRE(eventually([&] { return statusOf(exchange(site.front(), makeRequest("/once/", "probe", "", "", "key1"))) == 401; }));
    const int before = server.count();
    raw_client client(site.front());
    client.write(makeRequest("/once/", "id1", "", "", "key9"));
    REQUIRE(eventually([&] { return server.count() > before; }));
    site.gateways[0]->signal(SIGTERM);
    const std::string got = client.readUntil("\x01never", 6000);
    CHECK(statusOf(got) == 502);
    CHECK(got.find("X-Chestnutgw-Request-Id: id1") != std::string::npos);
    CHECK(site.gateways[0]->wait() == 0);
}

TEST_CASE("further signals during a shutdown end no request", "[failure]")
{
    std::atomic<bool> go = false;
    scripted_server server([&](raw_connection &out, const raw_request &in) {
        out.write(streamHead(in) + events(0, 1));
        eventually([&] { return go.load(); });
        out.write(events(2, 3) + "0\r\n\r\n");
        return true;
    });
    deployment site;
    site.addServer("i-1", "lm", server.address(), 0, 4);
    site.start();
    raw_client idle(site.front());
    raw_client client(site.front());
    client.write(makeRequest("/single/", "id1"));
    client.readUntil("piece1");
    for (const int number : {SIGTERM, SIGHUP, SIGTERM, SIGHUP, SIGINT}) {
        site.gateways[0]->signal(number);
    }
    CHECK(idle.closedWithin(5000));
    go = true;
    CHECK(client.readUntil("0\r\n\r\n", 7000).find("piece3") != std::string::npos);
    CHECK(site.gateways[0]->wait() == 0);
}

//-----------------------------------------------------------------------------
// Closing after an answer
//-----------------------------------------------------------------------------

TEST_CASE("data that arrives after the last answer does not destroy this answer", "[failure]")
{
    const std::string large(60'000, 'x');
    scripted_server server([&](raw_connection &out, const raw_request &in) {
        out.write(answer(in, large));
        return true;
    });
    deployment site;
    site.addServer("i-1", "app", server.address());
    site.start();
    slow_client client(site.front());
    client.write(makeRequest("/once/", "id1", "Connection: close\r\n"));
    REQUIRE(eventually([&] { return metricOf(site, "requests{") >= 1; }));
    client.write(makeRequest("/once/", "id2"));
    CHECK(client.readAll(16'000, 20) > large.size());
    CHECK(server.count() == 1);
    CHECK(eventually([&] { return metricOf(site, "client_data_dropped") >= 1; }));
}

TEST_CASE("a client that reads a long answer slowly but steadily gets it completely", "[failure]")
{
    const std::string large(12'000'000, 'x');
    scripted_server server([&](raw_connection &out, const raw_request &in) {
        out.write(answer(in, large));
        return true;
    });
    deployment site;
    site.addServer("i-1", "app", server.address());
    site.start();
    slow_client client(site.front());
    client.write(makeRequest("/once/", "id1", "Connection: close\r\n"));
    CHECK(client.readAll(300'000, 200) > large.size()); // 8 s in all
}

TEST_CASE("a client that closes its sending direction counts as gone and its server is released", "[failure]")
{
    std::atomic<bool> released = false;
    scripted_server server([&](raw_connection &out, const raw_request &) {
        released = out.waitForClose(500);
        return false;
    });
    deployment site;
    site.addServer("i-1", "app", server.address());
    site.start();
    slow_client client(site.front());
    client.write(makeRequest("/once/", "id1"));
    REQUIRE(eventually([&] { return server.count() == 1; }));
    client.finishWriting();
    CHECK(client.readAll() == 0);
    CHECK(eventually([&] { return released.load(); }));
    CHECK(metricOf(site, "answers_incomplete") == 1);
}

//-----------------------------------------------------------------------------
// Headers and logs
//-----------------------------------------------------------------------------

TEST_CASE("token counts and deadlines without a usable number do not end a request", "[failure]")
{
    scripted_server server(ANSWER_AT_ONCE);
    deployment site;
    site.addServer("i-1", "lm", server.address(), 0, 4);
    site.addServer("i-2", "app", server.address());
    site.start();
    for (const std::string value : {"nan", "inf", "1e30", "1e999", "x", ""}) {
        CAPTURE(value);
        std::string plain = makeRequest("/safe/", "id1");
        plain.replace(plain.find("6000"), 4, value);
        CHECK(statusOf(exchange(site.front(), plain)) == 200);
        std::string stream = makeRequest("/stream/", "id2");
        stream.replace(stream.find("10,10"), 5, value + "," + value);
        exchange(site.front(), stream);
        CHECK(statusOf(exchange(site.front(), makeRequest("/stream/", "id3"))) == 200);
    }
}

TEST_CASE("a request with neither a deadline nor a route timeout is answered", "[failure]")
{
    scripted_server server(ANSWER_AT_ONCE);
    deployment site;
    site.addServer("i-1", "app", server.address());
    site.start();
    json open = limits(700, 5000);
    open["Routes"] = {{{"Name", "open"},
                       {"Hostname", "h.example"},
                       {"PathPrefix", "/safe/"},
                       {"RouteType", "safe"},
                       {"LatencyGoalMs", 100},
                       {"Service", "app"},
                       {"MaxAttempts", 1}}};
    publishAndWait(site, 2, open);
    std::string plain = makeRequest("/safe/", "id1");
    plain.erase(plain.find("X-Chestnutgw-Deadline-Ms"), std::string("X-Chestnutgw-Deadline-Ms: 6000\r\n").size());
    CHECK(statusOf(exchange(site.front(), plain)) == 200);
}

TEST_CASE("logs that nobody reads end no request", "[failure]")
{
    scripted_server server(ANSWER_AT_ONCE);
    deployment site;
    site.addServer("i-1", "app", server.address());
    site.start({"log.lines_per_second=100000"});
    raw_client client(site.front());
    for (int i = 0; i < 1000; ++i) {
        raw_client one(site.front());
        one.write(makeRequest("/safe/", "id" + std::to_string(i)));
        REQUIRE(statusOf(one.readUntil("hello")) == 200);
    }
}

//-----------------------------------------------------------------------------
// Connections to servers
//-----------------------------------------------------------------------------

TEST_CASE("a server that reads a long body late is not given up", "[failure]")
{
    const std::string longBody(12'000'000, 'x');
    scripted_server unused(ANSWER_AT_ONCE);
    late_reader server(2500);
    deployment site;
    site.addServer("i-1", "app", unused.address());
    site.addServer("i-2", "late", server.address());
    site.start();
    json large = limits(3000, 5000, 20'000'000);
    large["Routes"] = {{{"Name", "once"},
                        {"Hostname", "h.example"},
                        {"PathPrefix", "/once/"},
                        {"RouteType", "non_idempotent"},
                        {"TimeoutMs", 9000},
                        {"LatencyGoalMs", 100},
                        {"Service", "late"},
                        {"MaxAttempts", 1}},
                       {{"Name", "safe"},
                        {"Hostname", "h.example"},
                        {"PathPrefix", "/safe/"},
                        {"RouteType", "safe"},
                        {"TimeoutMs", 1500},
                        {"LatencyGoalMs", 100},
                        {"Service", "app"},
                        {"MaxAttempts", 2}}};
    large["Services"] = {{{"Name", "app"}, {"MaxConns", 100}}, {{"Name", "late"}, {"MaxConns", 100}}};
    publishAndWait(site, 2, large);
    const std::string got = exchange(site.front(), makeRequest("/once/", "id1", "", longBody));
    CAPTURE(got);
    CHECK(statusOf(got) == 200);
    CHECK(server.received() > longBody.size());
}

// Guards against descriptors that are never freed, until no client is accepted any more.
TEST_CASE("idle connections to a server that has left are closed", "[failure]")
{
    constexpr int CLIENTS = 8;
    std::atomic<int> closed = 0;
    std::atomic<int> waiting = 0;
    scripted_server server([&](raw_connection &out, const raw_request &in) {
        ++waiting;
        eventually([&] { return waiting >= CLIENTS; }); // so that each request has a connection of its own
        out.write(answer(in, "hello", "Keep-Alive: timeout=2\r\n"));
        closed += out.waitForClose(6000) ? 1 : 0;
        return false;
    });
    deployment site;
    site.addServer("i-1", "app", server.address());
    site.start();
    std::vector<std::unique_ptr<raw_client>> clients;
    for (int number = 0; number < CLIENTS; ++number) {
        clients.push_back(std::make_unique<raw_client>(site.front()));
        clients.back()->write(makeRequest("/safe/", "id" + std::to_string(number)));
    }
    for (const auto &client : clients) {
        CHECK(statusOf(client->readUntil("hello")) == 200);
    }
    site.addServer("i-1", "app", server.address(), 0, 0, "draining");
    CHECK(eventually([&] { return closed == CLIENTS; }, milliseconds(5000)));
}
