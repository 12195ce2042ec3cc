// Tests the second attempt that chestnutgw-gateway starts beside the attempt of a stream whose server is silent.

#include "gateway_deployment.h"

#include <catch2/catch.hpp>

using namespace chestnut;
using namespace chestnut::test;

namespace
{

constexpr int LAST_EVENT = 3;
constexpr int SILENCE_MS = 1300;
constexpr milliseconds RELEASE_LIMIT{500}; // from the end of the client's connection until its servers are released

// Server that sends two events of each stream, falls silent, and then goes on unless `ends` is set.
server_script silentServer(std::atomic<int> &closed, bool ends = false, int silenceMs = SILENCE_MS)
{
    return [&closed, ends, silenceMs](raw_connection &out, const raw_request &in) {
        if (in.target() == "/report") {
            out.waitForClose(silenceMs);
            return false;
        }
        out.write(streamHead(in) + events(0, 1));
        if (out.waitForClose(silenceMs)) {
            ++closed;
            return false;
        }
        if (ends) {
            return false;
        }
        out.write(events(2, LAST_EVENT) + "0\r\n\r\n");
        return true;
    };
}

}

TEST_CASE("an error of the second attempt does not end a stream that goes on", "[failure]")
{
    std::atomic<int> closed = 0;
    scripted_server silent(silentServer(closed));
    scripted_server failing([](raw_connection &out, const raw_request &in) {
        if (in.target() == "/report") {
            out.write(report(in));
            return true;
        }
        out.write("HTTP/1.1 500 Internal Server Error\r\nX-Chestnutgw-Request-Id: " + in.header("X-Chestnutgw-Request-Id") + "\r\nContent-Length: 0\r\n\r\n");
        return true;
    });
    deployment site;
    site.addServer("i-1", "lm", silent.address(), 0, 4);
    site.start();
    raw_client client(site.front());
    client.write(makeRequest("/stream/", "id1"));
    client.readUntil("piece1");
    site.addServer("i-2", "lm", failing.address(), 0, 4);
    CHECK(isWholeStream(client.readUntil("0\r\n\r\n", 5000), LAST_EVENT));
    CHECK(failing.count() == 1);
    CHECK(closed == 0);
}

TEST_CASE("the second attempt takes over if the first server closes the connection", "[failure]")
{
    std::atomic<int> closed = 0;
    scripted_server silent(silentServer(closed, true, 900));
    scripted_server slow([](raw_connection &out, const raw_request &in) {
        if (in.target() == "/report") {
            out.write(report(in));
            return true;
        }
        out.waitForClose(1000); // answers after the first server has closed its connection
        out.write(streamHead(in) + events(firstEventOf(in), LAST_EVENT) + "0\r\n\r\n");
        return true;
    });
    deployment site;
    site.addServer("i-1", "lm", silent.address(), 0, 4);
    site.start();
    raw_client client(site.front());
    client.write(makeRequest("/stream/", "id1"));
    client.readUntil("piece1");
    site.addServer("i-2", "lm", slow.address(), 0, 4);
    CHECK(isWholeStream(client.readUntil("0\r\n\r\n", 5000), LAST_EVENT));
    CHECK(slow.count() == 1);
}

TEST_CASE("both servers of a stream are released when its client leaves", "[failure]")
{
    std::atomic<int> closed = 0;
    std::atomic<int> asked = 0;
    const server_script waiting = [&](raw_connection &out, const raw_request &in) {
        if (in.target() == "/report") {
            out.waitForClose(4000);
            return false;
        }
        ++asked;
        closed += out.waitForClose(8000) ? 1 : 0;
        return false;
    };
    scripted_server one(waiting);
    scripted_server two(waiting);
    deployment site;
    site.addServer("i-1", "lm", one.address(), 0, 4);
    site.start();
    raw_client client(site.front());
    client.write(makeRequest("/stream/", "id1"));
    REQUIRE(eventually([&] { return asked == 1; }));
    site.addServer("i-2", "lm", two.address(), 0, 4);
    REQUIRE(eventually([&] { return asked == 2; }));
    CHECK(closed == 0);
    client.close();
    const steady_time left = std::chrono::steady_clock::now();
    CHECK(eventually([&] { return closed == 2; }));
    CHECK(std::chrono::steady_clock::now() - left < RELEASE_LIMIT);
}

TEST_CASE("a stream that its client reads slowly is not taken for a silent one", "[failure]")
{
    constexpr int EVENTS = 300;
    const std::string data(60 * 1024, 'x');
    scripted_server server([&](raw_connection &out, const raw_request &in) {
        if (in.target() == "/report") {
            out.waitForClose(2000); // no answer
            return false;
        }
        out.write(streamHead(in));
        for (int id = 0; id < EVENTS; ++id) {
            out.write(chunk("id: " + std::to_string(id) + "\ndata: " + data + "\n\n"));
        }
        out.write("0\r\n\r\n");
        return true;
    });
    scripted_server other([](raw_connection &out, const raw_request &in) {
        out.write(in.target() == "/report" ? report(in) : notRun(in));
        return true;
    });
    deployment site;
    site.addServer("i-1", "lm", server.address(), 0, 4);
    site.start();
    raw_client client(site.front());
    client.write(makeRequest("/stream/", "id1"));
    REQUIRE(eventually([&] { return server.count() == 1; }));
    site.addServer("i-2", "lm", other.address(), 0, 4);
    raw_client pause(site.front());
    pause.readUntil("\x01never", 2000); // nothing is read from the stream meanwhile
    const std::string got = client.readUntil("\r\n0\r\n\r\n", 20000);
    CHECK(got.ends_with("\r\n0\r\n\r\n"));
    CHECK(countOf(got, "id: ") == EVENTS);
    CHECK(other.count() == 0);
}

TEST_CASE("an order answered after its attempt has ended does not change the next attempt", "[failure]")
{
    std::atomic<bool> ordered = false;
    std::atomic<int> reportsOfNext = 0;
    std::string lostAddress;
    scripted_server lost([](raw_connection &out, const raw_request &in) {
        out.write(report(in));
        return true;
    });
    lostAddress = lost.address();
    scripted_server first([&](raw_connection &out, const raw_request &in) {
        if (in.target() == "/report") {
            out.write(report(in, "id1", lostAddress));
            return true;
        }
        if (in.target() == "/order") {
            ordered = true;
            out.waitForClose(300); // the stream breaks meanwhile
            out.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
            return true;
        }
        out.write(streamHead(in) + events(0, 1));
        eventually([&] { return ordered.load(); });
        return false;
    });
    scripted_server spare([](raw_connection &out, const raw_request &in) {
        out.write(report(in));
        return true;
    });
    scripted_server next([&](raw_connection &out, const raw_request &in) {
        if (in.target() == "/report") {
            ++reportsOfNext;
            out.write(report(in));
            return true;
        }
        out.write(streamHead(in) + events(firstEventOf(in), LAST_EVENT - 1));
        out.waitForClose(900);
        out.write(events(LAST_EVENT, LAST_EVENT) + "0\r\n\r\n");
        return true;
    });
    deployment site;
    site.addServer("i-1", "lm", first.address(), 0, 2);
    site.addServer("i-2", "lm", lost.address(), 2, 4);
    site.start();
    raw_client client(site.front());
    client.write(makeRequest("/stream/", "id1"));
    client.readUntil("piece1");
    site.addServer("i-3", "lm", spare.address(), 2, 4);
    site.addServer("i-4", "lm", next.address(), 0, 4);
    CHECK(isWholeStream(client.readUntil("0\r\n\r\n", 5000), LAST_EVENT));
    CHECK(next.count() == 1);
    CHECK(reportsOfNext >= 1);
}

TEST_CASE("a stream whose reused connections are stale is answered over a new one", "[failure]")
{
    const std::string path = GENERATE("/stream/", "/single/");
    CAPTURE(path);
    std::atomic<int> running = 0;
    // Closes each connection when a second request arrives on it, as a server does that has given it up while it was idle.
    const server_script script = [&](raw_connection &out, const raw_request &in) {
        if (in.target() == "/report") {
            out.write(report(in));
            return true;
        }
        if (in.index > 0) {
            return false;
        }
        ++running;
        eventually([&] { return running >= 4; }); // so that both servers get a part
        out.write(streamHead(in) + events(firstEventOf(in), LAST_EVENT) + "0\r\n\r\n");
        return true;
    };
    scripted_server one(script);
    scripted_server two(script);
    deployment site;
    site.addServer("i-1", "lm", one.address(), 0, 4);
    site.addServer("i-2", "lm", two.address(), 0, 4);
    site.start();
    std::vector<std::unique_ptr<raw_client>> clients;
    for (int number = 0; number < 4; ++number) {
        clients.push_back(std::make_unique<raw_client>(site.front()));
        clients.back()->write(makeRequest("/stream/", "id" + std::to_string(number)));
    }
    for (const auto &client : clients) {
        CHECK(isWholeStream(client->readUntil("0\r\n\r\n", 5000), LAST_EVENT));
    }
    REQUIRE(one.count() >= 1);
    REQUIRE(two.count() >= 1);
    CHECK(isWholeStream(exchange(site.front(), makeRequest(path, "last")), LAST_EVENT));
}
