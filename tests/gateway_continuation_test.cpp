// Tests that an answer of another server is joined to a stream that has begun only if it continues this stream.

#include "gateway_deployment.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <thread>

using namespace chestnut;
using namespace chestnut::test;
using nlohmann::json;

namespace
{

constexpr int LAST_EVENT = 3;
constexpr int READ_LIMIT_MS = 6000;
const std::string EVENT_STREAM = "text/event-stream";
const std::string CHUNKED = "Transfer-Encoding: chunked\r\n";
const std::string LAST_CHUNK = "0\r\n\r\n";

// An answer of the server that is asked to continue a stream after event 1.
struct second_answer
{
    const char *name;
    std::string status;
    std::string mediaType;
    std::string rest; // further header lines, blank line and body
};

std::string withLength(const std::string &body)
{
    return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Answers that do not continue the stream. The word "wrong" stands in all that must not reach the client.
const std::vector<second_answer> WRONG_ANSWERS{
    {"no content", "204 No Content", "", "\r\n"},
    {"another status", "206 Partial Content", EVENT_STREAM, CHUNKED + "\r\n" + chunk("id: 2\ndata: wrong\n\n") + LAST_CHUNK},
    {"text", "200 OK", "text/plain", withLength("wrong")},
    {"text with a blank line", "200 OK", "text/plain", withLength("wrong\n\nwrong\n\n")},
    {"text that looks like an event", "200 OK", "text/plain", withLength("id: 2\ndata: wrong\n\n")},
    {"no event, by length", "200 OK", EVENT_STREAM, withLength("")},
    {"no event, in chunks", "200 OK", EVENT_STREAM, CHUNKED + "\r\n" + LAST_CHUNK},
    {"only a comment line", "200 OK", EVENT_STREAM, CHUNKED + "\r\n" + chunk(": wrong\n\n") + LAST_CHUNK},
    {"from the beginning", "200 OK", EVENT_STREAM, CHUNKED + "\r\n" + chunk("id: 0\ndata: wrong\n\nid: 1\ndata: wrong\n\nid: 2\ndata: wrong\n\n") + LAST_CHUNK},
    {"from the last event that is known", "200 OK", EVENT_STREAM, CHUNKED + "\r\n" + chunk("id: 1\ndata: wrong\n\n") + events(2, LAST_EVENT) + LAST_CHUNK},
    {"redirect", "302 Found", "text/plain", withLength("wrong")},
    {"client error", "404 Not Found", "text/plain", withLength("wrong")},
    {"server error", "500 Internal Server Error", "text/plain", withLength("wrong\n\n")},
    {"overload", "503 Service Unavailable", "text/plain", withLength("wrong")},
};

std::string headOf(const second_answer &answer, const raw_request &in)
{
    const std::string type = answer.mediaType.empty() ? "" : "Content-Type: " + answer.mediaType + "\r\n";
    return "HTTP/1.1 " + answer.status + "\r\n" + SIGNATURE + "X-Chestnutgw-Request-Id: " + in.header("X-Chestnutgw-Request-Id") + "\r\n" + type;
}

// Breaks off each stream after event 1, in the middle of the next one, and answers a request for the rest with `second`.
server_script breakingOff(const std::string &second)
{
    return [second](raw_connection &out, const raw_request &in) {
        if (in.target() == "/report") {
            out.write(report(in));
            return true;
        }
        if (in.header("Last-Event-Id").empty()) {
            out.write(streamHead(in) + events(0, 1) + chunk("id: 2\nda"));
            return false;
        }
        out.write(second);
        return true;
    };
}

json routeWithAttempts(int attempts)
{
    return {{"Routes",
             {{{"Name", "stream"},
               {"Hostname", "h.example"},
               {"PathPrefix", "/stream/"},
               {"RouteType", "streaming"},
               {"TimeoutMs", 8000},
               {"LatencyGoalMs", 500},
               {"GapAimMs", 200},
               {"Service", "lm"},
               {"MaxAttempts", attempts},
               {"Affinity", true},
               {"StreamResume", true}}}}};
}

}

// Guards against error texts in the middle of a stream, events that come twice, and streams that end as complete before their last event.
TEST_CASE("an answer that does not continue a stream that broke off does not reach its client", "[failure]")
{
    const std::size_t form = GENERATE(range(std::size_t(0), WRONG_ANSWERS.size()));
    const second_answer &wrong = WRONG_ANSWERS[form];
    CAPTURE(wrong.name);
    const server_script script = [&](raw_connection &out, const raw_request &in) { return breakingOff(headOf(wrong, in) + wrong.rest)(out, in); };
    scripted_server first(script);
    scripted_server second(script);
    deployment site;
    site.addServer("i-1", "lm", first.address(), 0, 4);
    site.addServer("i-2", "lm", second.address(), 0, 4);
    site.start();
    raw_client client(site.front());
    client.write(makeRequest("/stream/", "id1"));
    const std::string got = client.readUntil("\x01never", READ_LIMIT_MS);
    CHECK(statusOf(got) == 200);
    CHECK(got.find("piece1") != std::string::npos);
    CHECK(got.find("wrong") == std::string::npos);
    CHECK_FALSE(got.ends_with("\r\n" + LAST_CHUNK));
    CHECK(first.count() + second.count() == 2);
}

TEST_CASE("a stream goes on behind comment lines of the server that continues it", "[failure]")
{
    const server_script script = [](raw_connection &out, const raw_request &in) {
        return breakingOff(streamHead(in) + chunk(": hello\n\n: he") + chunk("llo\n\n") + events(2, LAST_EVENT) + LAST_CHUNK)(out, in);
    };
    scripted_server first(script);
    scripted_server second(script);
    deployment site;
    site.addServer("i-1", "lm", first.address(), 0, 4);
    site.addServer("i-2", "lm", second.address(), 0, 4);
    site.start();
    raw_client client(site.front());
    client.write(makeRequest("/stream/", "id1"));
    CHECK(isWholeStream(client.readUntil("\r\n" + LAST_CHUNK, READ_LIMIT_MS), LAST_EVENT));
}

TEST_CASE("after an answer that does not continue a stream, a further server continues it", "[failure]")
{
    std::atomic<int> resumed = 0;
    const server_script script = [&](raw_connection &out, const raw_request &in) {
        const bool wrong = !in.header("Last-Event-Id").empty() && resumed++ == 0;
        const std::string rest = wrong ? events(0, LAST_EVENT) : events(2, LAST_EVENT);
        return breakingOff(streamHead(in) + rest + LAST_CHUNK)(out, in);
    };
    std::vector<std::unique_ptr<scripted_server>> servers;
    deployment site;
    for (int number = 1; number <= 3; ++number) {
        servers.push_back(std::make_unique<scripted_server>(script));
        site.addServer("i-" + std::to_string(number), "lm", servers.back()->address(), 0, 4);
    }
    site.start();
    site.publish(2, routeWithAttempts(3));
    REQUIRE(eventually([&] { return statusOf(exchange(site.front(), makeRequest("/once/", "probe"))) == 404; }));
    raw_client client(site.front());
    client.write(makeRequest("/stream/", "id1"));
    CHECK(isWholeStream(client.readUntil("\r\n" + LAST_CHUNK, READ_LIMIT_MS), LAST_EVENT));
    CHECK(resumed == 2);
}

// Guards against a second attempt that takes over from a silent server with events that the client has.
TEST_CASE("a second attempt that begins anew does not replace a stream that goes on", "[failure]")
{
    std::atomic<bool> answered = false;
    const server_script script = [&](raw_connection &out, const raw_request &in) {
        if (in.target() == "/report") { // not answered: the server counts as silent
            out.waitForClose(READ_LIMIT_MS);
            return false;
        }
        if (!in.header("Last-Event-Id").empty()) {
            out.write(streamHead(in) + events(0, LAST_EVENT) + LAST_CHUNK);
            answered = true;
            return true;
        }
        out.write(streamHead(in) + events(0, 1));
        eventually([&] { return answered.load(); });
        std::this_thread::sleep_for(milliseconds(300));
        out.write(events(2, LAST_EVENT) + LAST_CHUNK);
        return true;
    };
    scripted_server first(script);
    scripted_server second(script);
    deployment site;
    site.addServer("i-1", "lm", first.address(), 0, 4);
    site.addServer("i-2", "lm", second.address(), 0, 4);
    site.start();
    raw_client client(site.front());
    client.write(makeRequest("/stream/", "id1"));
    const std::string got = client.readUntil("\r\n" + LAST_CHUNK, READ_LIMIT_MS);
    CAPTURE(got);
    CHECK(isWholeStream(got, LAST_EVENT));
}

// Guards against an answer without a body that gets one on its way, and against texts that are cut up into events.
TEST_CASE("a success that is no stream reaches the client as the server sent it", "[failure]")
{
    const bool empty = GENERATE(true, false);
    scripted_server server([&](raw_connection &out, const raw_request &in) {
        if (in.target() == "/report") {
            out.write(report(in));
            return true;
        }
        const second_answer plain{"", empty ? "204 No Content" : "200 OK", empty ? "" : "text/plain", ""};
        out.write(headOf(plain, in) + (empty ? "\r\n" : withLength("one\n\ntwo")));
        return true;
    });
    deployment site;
    site.addServer("i-1", "lm", server.address(), 0, 4);
    site.start();
    const std::string got = exchange(site.front(), makeRequest("/stream/", "id1"));
    CHECK(statusOf(got) == (empty ? 204 : 200));
    CHECK(got.find("Transfer-Encoding") == std::string::npos);
    CHECK(got.find(SIGNATURE) != std::string::npos);
    CHECK(got.ends_with(empty ? "\r\n\r\n" : "\r\n\r\none\n\ntwo"));
    CHECK(server.count() == 1);
}

// Guards against a stream that begins anew since the last attempt's answer had only comment lines.
TEST_CASE("a stream that is resumed twice with a comment line between goes on after its last event", "[failure]")
{
    std::atomic<int> resumed = 0;
    const server_script script = [&](raw_connection &out, const raw_request &in) {
        if (in.header("Last-Event-Id").empty() || in.target() == "/report") {
            return breakingOff("")(out, in);
        }
        if (resumed++ == 0) {
            out.write(streamHead(in) + chunk(": working\n\n"));
            std::this_thread::sleep_for(milliseconds(100));
            return false;
        }
        return streaming(LAST_EVENT)(out, in);
    };
    std::vector<std::unique_ptr<scripted_server>> servers;
    deployment site;
    for (int number = 1; number <= 3; ++number) {
        servers.push_back(std::make_unique<scripted_server>(script));
        site.addServer("i-" + std::to_string(number), "lm", servers.back()->address(), 0, 4);
    }
    site.start();
    site.publish(2, routeWithAttempts(3));
    REQUIRE(eventually([&] { return statusOf(exchange(site.front(), makeRequest("/once/", "probe"))) == 404; }));
    raw_client client(site.front());
    client.write(makeRequest("/stream/", "id1"));
    CHECK(isWholeStream(client.readUntil("\r\n" + LAST_CHUNK, READ_LIMIT_MS), LAST_EVENT));
    CHECK(resumed == 2);
}
