// Tests what happens if the server of a stream goes on in the moment in which its second attempt starts, fails or is answered.

#include "gateway_deployment.h"

#include <catch2/catch.hpp>
#include <csignal>

using namespace chestnut;
using namespace chestnut::test;

namespace
{

constexpr int LAST_EVENT = 3;

std::string refusedOrder()
{
    return "HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\n{}";
}

}

TEST_CASE("a server that goes on as its second attempt is refused does not end the process", "[failure]")
{
    std::atomic<int> asked = 0;
    std::atomic<bool> stopped = false;
    std::atomic<bool> refused = false;
    std::atomic<bool> resumed = false;
    const std::string half = events(2, 2).substr(0, 8); // chunk size and the beginning of the event
    // The first server asked falls silent, the second one refuses, the third one answers.
    const server_script script = [&](raw_connection &out, const raw_request &in) {
        if (in.target() == "/report") {
            out.waitForClose(4000); // no answer
            return false;
        }
        switch (asked++) {
        case 0:
            out.write(streamHead(in) + events(0, 1) + half);
            eventually([&] { return refused.load(); });
            out.write(events(2, 2).substr(half.size()) + events(LAST_EVENT, LAST_EVENT) + "0\r\n\r\n");
            resumed = true;
            return true;
        case 1:
            eventually([&] { return stopped.load(); });
            out.write(notRun(in));
            refused = true;
            return true;
        default:
            out.write(streamHead(in) + events(firstEventOf(in), LAST_EVENT) + "0\r\n\r\n");
            return true;
        }
    };
    scripted_server one(script);
    scripted_server two(script);
    scripted_server three(script);
    deployment site;
    site.addServer("i-1", "lm", one.address(), 0, 4);
    site.addServer("i-2", "lm", two.address(), 0, 4);
    site.addServer("i-3", "lm", three.address(), 0, 4);
    site.start();
    raw_client client(site.front());
    client.write(makeRequest("/stream/", "id1"));
    client.readUntil("piece1");
    REQUIRE(eventually([&] { return asked == 2; }));
    site.gateways[0]->signal(SIGSTOP); // so that the refusal and the next event are read in the same turn
    stopped = true;
    REQUIRE(eventually([&] { return resumed.load(); }));
    site.gateways[0]->signal(SIGCONT);
    CHECK(isWholeStream(client.readUntil("0\r\n\r\n", 5000), LAST_EVENT));
    CHECK(statusOf(exchange(site.front(), makeRequest("/stream/", "id2"))) == 200);
}

// Guards against the end of the process in review case 6: the second attempt was ended while the last read of its answer's head had
// completed, but was not handled yet.
TEST_CASE("a server that goes on as its second attempt is answered does not end the process", "[failure]")
{
    const std::string longHeader = "Padding: " + std::string(700, 'p') + "\r\n";
    const std::string interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
    const std::string half = events(2, 2).substr(0, 8); // chunk size and the beginning of the event: one read is enough for the rest
    const bool isLong = GENERATE(true, false);
    CAPTURE(isLong);
    std::atomic<int> asked = 0;
    std::atomic<bool> stopped = false;
    std::atomic<bool> answered = false;
    std::atomic<bool> resumed = false;
    // The first server asked falls silent and goes on right after the second one has answered.
    const server_script script = [&](raw_connection &out, const raw_request &in) {
        if (in.target() == "/report") {
            out.waitForClose(4000); // no answer
            return false;
        }
        std::string head = streamHead(in);
        switch (asked++) {
        case 0:
            out.write(head + events(0, 1) + half);
            eventually([&] { return answered.load(); });
            out.write(events(2, LAST_EVENT).substr(half.size()) + "0\r\n\r\n");
            resumed = true;
            return true;
        case 1:
            eventually([&] { return stopped.load(); });
            head.insert(head.find("\r\n") + 2, isLong ? longHeader : "");
            out.write((isLong ? "" : interim) + head + events(firstEventOf(in), LAST_EVENT) + "0\r\n\r\n");
            answered = true;
            return true;
        default:
            out.write(head + events(firstEventOf(in), LAST_EVENT) + "0\r\n\r\n");
            return true;
        }
    };
    scripted_server one(script);
    scripted_server two(script);
    deployment site;
    site.addServer("i-1", "lm", one.address(), 0, 4);
    site.addServer("i-2", "lm", two.address(), 0, 4);
    site.start();
    raw_client client(site.front());
    client.write(makeRequest("/stream/", "id1"));
    client.readUntil("piece1");
    REQUIRE(eventually([&] { return asked == 2; }));
    site.gateways[0]->signal(SIGSTOP); // so that both answers are read in the same turn
    stopped = true;
    REQUIRE(eventually([&] { return resumed.load(); }));
    site.gateways[0]->signal(SIGCONT);
    CHECK(isWholeStream(client.readUntil("0\r\n\r\n", 5000), LAST_EVENT));
    CHECK_FALSE(site.gateways[0]->hasEnded());
    CHECK(statusOf(exchange(site.front(), makeRequest("/stream/", "id2"))) == 200);
}

TEST_CASE("a stream that goes on while a repath is refused gets no second attempt", "[failure]")
{
    constexpr int LAST = 20;
    std::atomic<bool> ordered = false;
    std::atomic<bool> resumed = false;
    const server_script idle = [](raw_connection &out, const raw_request &in) {
        out.write(report(in));
        return true;
    };
    scripted_server lost(idle);
    scripted_server spare(idle);
    const std::string lostAddress = lost.address();
    scripted_server first([&](raw_connection &out, const raw_request &in) {
        if (in.target() == "/report") {
            out.write(report(in, "id1", lostAddress));
            return true;
        }
        if (in.target() == "/order") {
            ordered = true;
            eventually([&] { return resumed.load(); });
            out.waitForClose(100); // the event reaches the gateway meanwhile
            out.write(refusedOrder());
            return true;
        }
        out.write(streamHead(in) + events(0, 1));
        eventually([&] { return ordered.load(); });
        for (int id = 2; id <= LAST; ++id) {
            out.write(events(id, id));
            resumed = true;
            out.waitForClose(20);
        }
        out.write("0\r\n\r\n");
        return true;
    });
    scripted_server other(streaming(LAST));
    deployment site;
    site.addServer("i-1", "lm", first.address(), 0, 2);
    site.addServer("i-2", "lm", lost.address(), 2, 4);
    site.start();
    raw_client client(site.front());
    client.write(makeRequest("/stream/", "id1"));
    client.readUntil("piece1");
    site.addServer("i-3", "lm", spare.address(), 2, 4);
    site.addServer("i-4", "lm", other.address(), 0, 4);
    CHECK(isWholeStream(client.readUntil("0\r\n\r\n", 5000), LAST));
    CHECK(ordered);
    CHECK(other.count() == 0);
}

TEST_CASE("a second attempt does not run at the first server of the current one", "[failure]")
{
    std::atomic<int> running = 0;
    std::atomic<int> mostRunning = 0;
    const server_script idle = [](raw_connection &out, const raw_request &in) {
        out.write(report(in));
        return true;
    };
    scripted_server lost(idle);
    scripted_server spare(idle);
    const std::string lostAddress = lost.address();
    scripted_server first([&](raw_connection &out, const raw_request &in) {
        if (in.target() == "/report") {
            out.write(report(in, "id1", lostAddress));
            return true;
        }
        if (in.target() == "/order") {
            out.write(refusedOrder());
            return true;
        }
        const int now = ++running;
        mostRunning = std::max(mostRunning.load(), now);
        const int from = firstEventOf(in);
        if (from == 0) {
            out.write(streamHead(in) + events(0, 1));
        }
        const bool closed = out.waitForClose(1300);
        --running;
        if (closed) {
            return false;
        }
        out.write((from == 0 ? "" : streamHead(in)) + events(std::max(2, from), LAST_EVENT) + "0\r\n\r\n");
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
    CHECK(isWholeStream(client.readUntil("0\r\n\r\n", 5000), LAST_EVENT));
    CHECK(mostRunning == 1);
}
