// Tests chestnutgw-gateway with sound backend servers that fall silent for about a second and then go on.

#include "gateway_deployment.h"

#include <catch2/catch.hpp>
#include <csignal>

using namespace chestnut;
using namespace chestnut::test;

namespace
{

constexpr int SILENCE_MS = 1300;
constexpr int LAST_EVENT = 3;

// Where in an answer a server falls silent.
enum class silence_point
{
    before_head,
    after_head,
    between_events,
    within_event,
};

// Waits for the length of the silence. Returns false if the gateway closes the connection meanwhile.
bool keepsWaiting(const raw_connection &out, int silenceMs = SILENCE_MS)
{
    return !out.waitForClose(silenceMs);
}

// Server that holds all layers. It sends no byte for a while at one point of each stream and on /report, then goes on.
server_script silentServer(silence_point point, std::atomic<int> &abandoned, int silenceMs = SILENCE_MS)
{
    return [point, silenceMs, &abandoned](raw_connection &out, const raw_request &in) {
        const auto fallSilent = [&](silence_point here) {
            if (here == point && !keepsWaiting(out, silenceMs)) {
                ++abandoned;
                return false;
            }
            return true;
        };
        if (in.target() == "/report") {
            const bool asked = keepsWaiting(out, silenceMs);
            out.write(report(in));
            return asked;
        }
        const int first = firstEventOf(in);
        const std::string split = event(first + 1);
        if (!fallSilent(silence_point::before_head)) {
            return false;
        }
        out.write(streamHead(in));
        if (!fallSilent(silence_point::after_head)) {
            return false;
        }
        out.write(events(first, first));
        if (!fallSilent(silence_point::between_events)) {
            return false;
        }
        out.write(chunk(split.substr(0, 6)));
        if (!fallSilent(silence_point::within_event)) {
            return false;
        }
        out.write(chunk(split.substr(6)) + events(first + 2, LAST_EVENT) + "0\r\n\r\n");
        return true;
    };
}

// Server that holds all layers and refuses each stream as full.
bool refuse(raw_connection &out, const raw_request &in)
{
    out.write(in.target() == "/report" ? report(in) : notRun(in));
    return true;
}

}

//-----------------------------------------------------------------------------
// Streams
//-----------------------------------------------------------------------------

TEST_CASE("a stream of a silent server is not given up for a server that then refuses it", "[failure]")
{
    const auto point = GENERATE(silence_point::before_head, silence_point::after_head, silence_point::between_events, silence_point::within_event);
    CAPTURE(static_cast<int>(point));
    std::atomic<int> abandoned = 0;
    scripted_server silent(silentServer(point, abandoned));
    scripted_server full(refuse);
    deployment site;
    site.addServer("i-1", "lm", silent.address(), 0, 4);
    site.start();
    raw_client client(site.front());
    client.write(makeRequest("/stream/", "id1"));
    REQUIRE(eventually([&] { return silent.count() == 1; }));
    site.addServer("i-2", "lm", full.address(), 0, 4);
    CHECK(isWholeStream(client.readUntil("0\r\n\r\n", 5000), LAST_EVENT));
    CHECK(abandoned == 0);
}

TEST_CASE("streams of a silent server are not given up beyond the repeat budget", "[failure]")
{
    constexpr int STREAMS = 5; // fewer than the server's slots
    std::atomic<int> abandoned = 0;
    scripted_server silent(silentServer(silence_point::between_events, abandoned, 1500));
    scripted_server other(streaming(LAST_EVENT));
    deployment site;
    site.addServer("i-1", "lm", silent.address(), 0, 4);
    site.start({"repeats.extra=1", "repeats.ratio=0", "repeats.instances=1"});
    std::vector<std::unique_ptr<raw_client>> clients;
    for (int number = 0; number < STREAMS; ++number) {
        clients.push_back(std::make_unique<raw_client>(site.front()));
        clients.back()->write(makeRequest("/stream/", "id" + std::to_string(number)));
    }
    for (const auto &client : clients) {
        client->readUntil("piece0");
    }
    site.addServer("i-2", "lm", other.address(), 0, 4);
    clients[0]->readUntil("\x01never", 250); // the inquiries are on their way
    site.gateways[0]->signal(SIGSTOP);       // so that they end at the same moment
    clients[0]->readUntil("\x01never", 300);
    site.gateways[0]->signal(SIGCONT);
    for (const auto &client : clients) {
        CHECK(isWholeStream(client->readUntil("0\r\n\r\n", 5000), LAST_EVENT));
    }
    CHECK(other.count() <= 1);
}

TEST_CASE("a stream that goes on while its server's report is late is not given up", "[failure]")
{
    std::atomic<int> abandoned = 0;
    scripted_server server([&](raw_connection &out, const raw_request &in) {
        if (in.target() == "/report") {
            const bool asked = keepsWaiting(out, 1000);
            out.write(report(in));
            return asked;
        }
        out.write(streamHead(in) + events(0, 0));
        for (int id = 1; id <= LAST_EVENT; ++id) {
            if (!keepsWaiting(out, 250)) { // longer than the time until an inquiry, shorter than that plus the wait for a report
                ++abandoned;
                return false;
            }
            out.write(events(id, id));
        }
        out.write("0\r\n\r\n");
        return true;
    });
    scripted_server full(refuse);
    deployment site;
    site.addServer("i-1", "lm", server.address(), 0, 4);
    site.start();
    raw_client client(site.front());
    client.write(makeRequest("/stream/", "id1"));
    REQUIRE(eventually([&] { return server.count() == 1; }));
    site.addServer("i-2", "lm", full.address(), 0, 4);
    CHECK(isWholeStream(client.readUntil("0\r\n\r\n", 5000), LAST_EVENT));
    CHECK(abandoned == 0);
}

TEST_CASE("a stream of a silent server is taken over by another server if that answers first", "[failure]")
{
    std::atomic<int> abandoned = 0;
    scripted_server silent(silentServer(silence_point::between_events, abandoned, 3000));
    scripted_server other(streaming(LAST_EVENT));
    deployment site;
    site.addServer("i-1", "lm", silent.address(), 0, 4);
    site.start();
    raw_client client(site.front());
    client.write(makeRequest("/stream/", "id1"));
    REQUIRE(eventually([&] { return silent.count() == 1; }));
    site.addServer("i-2", "lm", other.address(), 0, 4);
    const steady_time start = std::chrono::steady_clock::now();
    CHECK(isWholeStream(client.readUntil("0\r\n\r\n", 5000), LAST_EVENT));
    CHECK(std::chrono::steady_clock::now() - start < milliseconds(1900)); // clients disconnect after 2 s without an event
    CHECK(eventually([&] { return abandoned == 1; }));
}

TEST_CASE("a silent server that goes on first keeps its stream and the one asked beside it is released", "[failure]")
{
    std::atomic<int> abandoned = 0;
    std::atomic<int> released = 0;
    scripted_server silent(silentServer(silence_point::between_events, abandoned));
    scripted_server slow([&](raw_connection &out, const raw_request &in) {
        if (in.target() == "/report") {
            out.write(report(in));
            return true;
        }
        released += out.waitForClose(8000) ? 1 : 0;
        return false;
    });
    deployment site;
    site.addServer("i-1", "lm", silent.address(), 0, 4);
    site.start();
    raw_client client(site.front());
    client.write(makeRequest("/stream/", "id1"));
    REQUIRE(eventually([&] { return silent.count() == 1; }));
    site.addServer("i-2", "lm", slow.address(), 0, 4);
    CHECK(isWholeStream(client.readUntil("0\r\n\r\n", 5000), LAST_EVENT));
    CHECK(abandoned == 0);
    client.close();
    CHECK(eventually([&] { return released == slow.count(); }));
}

TEST_CASE("a stream that a stopping instance has accepted is whole although its server falls silent", "[failure]")
{
    constexpr int USUAL_STREAMS = 80; // from which the instance learns how long streams take
    constexpr int USUAL_LAST_EVENT = 12;
    std::atomic<int> abandoned = 0;
    std::atomic<bool> stopping = false;
    scripted_server server([&](raw_connection &out, const raw_request &in) {
        const bool usual = !stopping || in.target() == "/report"; // a stage behind this server is the silent one
        return usual ? streaming(USUAL_LAST_EVENT)(out, in) : silentServer(silence_point::between_events, abandoned)(out, in);
    });
    deployment site;
    site.addServer("i-1", "lm", server.address(), 0, 4);
    site.start({"instance.grace=4"});
    for (int number = 0; number < USUAL_STREAMS; ++number) {
        exchange(site.front(), makeRequest("/single/", "usual" + std::to_string(number)));
    }
    stopping = true;
    site.gateways[0]->signal(SIGTERM);
    std::vector<std::unique_ptr<raw_client>> clients;
    for (int number = 0; number < 13; ++number) {
        clients.push_back(std::make_unique<raw_client>(site.front()));
        clients.back()->write(makeRequest("/single/", "id" + std::to_string(number)));
        clients.back()->readUntil("\x01never", 250);
    }
    int whole = 0;
    for (const auto &client : clients) {
        const std::string got = client->readUntil("0\r\n\r\n", 3000);
        CAPTURE(got);
        CHECK((statusOf(got) == 503 || isWholeStream(got, LAST_EVENT)));
        whole += isWholeStream(got, LAST_EVENT) ? 1 : 0;
    }
    CHECK(whole > 0);
}

TEST_CASE("a stream that may not be resumed waits for its silent server", "[failure]")
{
    std::atomic<int> abandoned = 0;
    scripted_server silent(silentServer(silence_point::between_events, abandoned));
    scripted_server other(refuse);
    deployment site;
    site.addServer("i-1", "lm", silent.address(), 0, 4);
    site.start();
    raw_client client(site.front());
    client.write(makeRequest("/single/", "id1"));
    REQUIRE(eventually([&] { return silent.count() == 1; }));
    site.addServer("i-2", "lm", other.address(), 0, 4);
    CHECK(isWholeStream(client.readUntil("0\r\n\r\n", 5000), LAST_EVENT));
    CHECK(other.count() == 0);
}

TEST_CASE("a report that a frozen gateway reads late does not make its server count as silent", "[failure]")
{
    std::atomic<int> reports = 0;
    std::atomic<bool> frozen = false;
    scripted_server server([&](raw_connection &out, const raw_request &in) {
        if (in.target() == "/report") {
            ++reports;
            eventually([&] { return frozen.load(); });
            out.write(report(in));
            return true;
        }
        out.write(streamHead(in) + events(0, 0));
        out.waitForClose(SILENCE_MS);
        out.write(events(1, LAST_EVENT) + "0\r\n\r\n");
        return true;
    });
    deployment site;
    site.addServer("i-1", "lm", server.address(), 0, 4);
    site.start();
    raw_client client(site.front());
    client.write(makeRequest("/stream/", "id1"));
    REQUIRE(eventually([&] { return reports == 1; }));
    site.gateways[0]->signal(SIGSTOP);
    frozen = true;
    client.readUntil("\x01never", 500); // beyond the time limit of the report
    site.gateways[0]->signal(SIGCONT);
    CHECK(isWholeStream(client.readUntil("0\r\n\r\n", 5000), LAST_EVENT));
    CHECK(site.metricsText().find("server_failures{kind=\"silent\"}") == std::string::npos);
}

TEST_CASE("a stream is not delayed by a refusal whose body is late", "[failure]")
{
    scripted_server silent([](raw_connection &out, const raw_request &in) {
        if (in.target() == "/report") {
            out.write(report(in));
            return true;
        }
        const std::string whole = notRun(in);
        const std::size_t headEnd = whole.find("\r\n\r\n") + 4;
        out.write(whole.substr(0, headEnd));
        const bool closed = out.waitForClose(SILENCE_MS);
        out.write(whole.substr(headEnd));
        return !closed;
    });
    scripted_server sound(streaming(LAST_EVENT));
    deployment site;
    site.addServer("i-1", "lm", silent.address(), 0, 4);
    site.start();
    site.addServer("i-2", "lm", sound.address(), 0, 4);
    REQUIRE(eventually([&] { return site.metricsText().find("fleet_servers 2") != std::string::npos; }));
    for (int number = 0; number < 4; ++number) {
        raw_client client(site.front());
        client.write(makeRequest("/stream/", "id" + std::to_string(number)));
        CHECK(isWholeStream(client.readUntil("0\r\n\r\n", SILENCE_MS), LAST_EVENT));
    }
}

//-----------------------------------------------------------------------------
// The store
//-----------------------------------------------------------------------------

TEST_CASE("a withdrawn key is refused in time although the store falls silent for a second", "[failure]")
{
    constexpr milliseconds APPLY_TIME{2000};
    scripted_server server(answering("hello"));
    deployment site;
    site.addServer("i-1", "app", server.address());
    site.start();
    const auto statusNow
        = [&](const std::string &key) { return statusOf(exchange(site.front(), makeRequest("/safe/", "id", "Connection: close\r\n", "", key))); };
    REQUIRE(statusNow("key2") == 200);
    site.store.setFault(0, platform::store_fault::unresponsive);
    site.publish(2, {{"Tenants", {{{"Name", "t1"}, {"ApiKeys", {"key1"}}}}}});
    const steady_time acknowledged = std::chrono::steady_clock::now();
    eventually([] { return false; }, milliseconds(SILENCE_MS));
    CHECK(statusNow("key1") == 200);
    site.store.setFault(0, platform::store_fault::none);
    const auto left = std::chrono::duration_cast<milliseconds>(acknowledged + APPLY_TIME - std::chrono::steady_clock::now());
    CHECK(eventually([&] { return statusNow("key2") == 401; }, left));
}

//-----------------------------------------------------------------------------
// Plain services
//-----------------------------------------------------------------------------

namespace
{

// Plain server that falls silent before the head, between head and body, or in the body.
server_script silentPlainServer(silence_point point, std::atomic<int> &abandoned)
{
    return [point, &abandoned](raw_connection &out, const raw_request &in) {
        const std::string whole = answer(in, "a whole body");
        const std::size_t headEnd = whole.find("\r\n\r\n") + 4;
        const std::size_t at = point == silence_point::before_head ? 0 : point == silence_point::after_head ? headEnd : headEnd + 3;
        out.write(whole.substr(0, at));
        if (!keepsWaiting(out)) {
            ++abandoned;
            return false;
        }
        out.write(whole.substr(at));
        return true;
    };
}

}

TEST_CASE("a request to a silent plain server is not given up for a server that then refuses it", "[failure]")
{
    const auto point = GENERATE(silence_point::before_head, silence_point::after_head, silence_point::between_events);
    const std::string path = GENERATE("/safe/", "/once/");
    CAPTURE(static_cast<int>(point), path);
    std::atomic<int> abandoned = 0;
    scripted_server silent(silentPlainServer(point, abandoned));
    scripted_server full(refuse);
    deployment site;
    site.addServer("i-1", "app", silent.address());
    site.start();
    raw_client client(site.front());
    client.write(makeRequest(path, "id1"));
    REQUIRE(eventually([&] { return silent.count() == 1; }));
    site.addServer("i-2", "app", full.address());
    const std::string got = client.readUntil("a whole body", 3000);
    CHECK(statusOf(got) == 200);
    CHECK(got.ends_with("a whole body"));
    CHECK(abandoned == 0);
}
