// Tests that an answer of another server is joined to a stream that has begun only if it continues this stream.

#include "gateway_deployment.h"

#include <catch2/catch.hpp>

using namespace chestnut;
using namespace chestnut::test;

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

// A deployment whose engine servers all run the same script.
struct stream_site
{
    stream_site(const server_script &script, int count)
    {
        for (int number = 1; number <= count; ++number) {
            servers.push_back(std::make_unique<scripted_server>(script));
            site.addServer("i-" + std::to_string(number), "lm", servers.back()->address(), 0, 4);
        }
        site.start();
    }

    // Lets each stream be sent to so many servers.
    void allowAttempts(int attempts)
    {
        site.publish(2,
                     {{"Routes",
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
                         {"StreamResume", true}}}}});
        REQUIRE(eventually([&] { return statusOf(exchange(site.front(), makeRequest("/once/", "probe"))) == 404; }));
    }

    // Sends a stream request; reads its answer up to `until`, or what comes of it in time.
    std::string stream(const std::string &until = "\r\n" + LAST_CHUNK)
    {
        raw_client client(site.front());
        client.write(makeRequest("/stream/", "id1"));
        return client.readUntil(until, READ_LIMIT_MS);
    }

    // Requests that reached a server.
    int count() const
    {
        int sum = 0;
        for (const auto &server : servers) {
            sum += server->count();
        }
        return sum;
    }

    std::vector<std::unique_ptr<scripted_server>> servers;
    deployment site;
};

}

// Guards against error texts in the middle of a stream, events that come twice, and streams that end as complete before their last event.
TEST_CASE("an answer that does not continue a stream that broke off does not reach its client", "[failure]")
{
    const std::size_t form = GENERATE(range(std::size_t(0), WRONG_ANSWERS.size()));
    const second_answer &wrong = WRONG_ANSWERS[form];
    CAPTURE(wrong.name);
    stream_site deployed([&](raw_connection &out, const raw_request &in) { return breakingOff(headOf(wrong, in) + wrong.rest)(out, in); }, 2);
    const std::string got = deployed.stream("\x01never");
    CHECK(statusOf(got) == 200);
    CHECK(got.find("piece1") != std::string::npos);
    CHECK(got.find("wrong") == std::string::npos);
    CHECK_FALSE(got.ends_with("\r\n" + LAST_CHUNK));
    CHECK(deployed.count() == 2);
}

TEST_CASE("a stream goes on behind comment lines of the server that continues it", "[failure]")
{
    stream_site deployed(
        [](raw_connection &out, const raw_request &in) {
            return breakingOff(streamHead(in) + chunk(": hello\n\n: he") + chunk("llo\n\n") + events(2, LAST_EVENT) + LAST_CHUNK)(out, in);
        },
        2);
    CHECK(isWholeStream(deployed.stream(), LAST_EVENT));
}

TEST_CASE("after an answer that does not continue a stream, a further server continues it", "[failure]")
{
    std::atomic<int> resumed = 0;
    stream_site deployed(
        [&](raw_connection &out, const raw_request &in) {
            const bool wrong = !in.header("Last-Event-Id").empty() && resumed++ == 0;
            const std::string rest = wrong ? events(0, LAST_EVENT) : events(2, LAST_EVENT);
            return breakingOff(streamHead(in) + rest + LAST_CHUNK)(out, in);
        },
        3);
    deployed.allowAttempts(3);
    CHECK(isWholeStream(deployed.stream(), LAST_EVENT));
    CHECK(resumed == 2);
}

// Guards against a second attempt that takes over from a silent server with events that the client has.
TEST_CASE("a second attempt that begins anew does not replace a stream that goes on", "[failure]")
{
    std::atomic<bool> go = false;
    stream_site deployed(
        [&](raw_connection &out, const raw_request &in) {
            if (in.target() == "/report") { // not answered: the server counts as silent
                out.waitForClose(READ_LIMIT_MS);
                return false;
            }
            if (!in.header("Last-Event-Id").empty()) {
                out.write(streamHead(in) + events(0, LAST_EVENT) + LAST_CHUNK);
                return true;
            }
            out.write(streamHead(in) + events(0, 1));
            eventually([&] { return go.load(); });
            out.write(events(2, LAST_EVENT) + LAST_CHUNK);
            return true;
        },
        2);
    raw_client client(deployed.site.front());
    client.write(makeRequest("/stream/", "id1"));
    CHECK(eventually([&] { return deployed.site.metricsText().find("continuations_rejected") != std::string::npos; }));
    go = true;
    const std::string got = client.readUntil("\r\n" + LAST_CHUNK, READ_LIMIT_MS);
    CAPTURE(got);
    CHECK(isWholeStream(got, LAST_EVENT));
}

// Guards against an answer without a body that gets one on its way, and against texts that are cut up into events.
TEST_CASE("a success that is no stream reaches the client as the server sent it", "[failure]")
{
    const bool empty = GENERATE(true, false);
    stream_site deployed(
        [&](raw_connection &out, const raw_request &in) {
            if (in.target() == "/report") {
                out.write(report(in));
                return true;
            }
            const second_answer plain{"", empty ? "204 No Content" : "200 OK", empty ? "" : "text/plain", ""};
            out.write(headOf(plain, in) + (empty ? "\r\n" : withLength("one\n\ntwo")));
            return true;
        },
        1);
    const std::string got = exchange(deployed.site.front(), makeRequest("/stream/", "id1"));
    CHECK(statusOf(got) == (empty ? 204 : 200));
    CHECK(got.find("Transfer-Encoding") == std::string::npos);
    CHECK(got.find(SIGNATURE) != std::string::npos);
    CHECK(got.ends_with(empty ? "\r\n\r\n" : "\r\n\r\none\n\ntwo"));
    CHECK(deployed.count() == 1);
}

// Guards against a stream that begins anew since the last attempt's answer had only comment lines.
TEST_CASE("a stream that is resumed twice with a comment line between goes on after its last event", "[failure]")
{
    std::atomic<int> resumed = 0;
    stream_site deployed(
        [&](raw_connection &out, const raw_request &in) {
            if (in.header("Last-Event-Id").empty() || in.target() == "/report") {
                return breakingOff("")(out, in);
            }
            if (resumed++ == 0) {
                out.write(streamHead(in) + chunk(": working\n\n"));
                return false;
            }
            return streaming(LAST_EVENT)(out, in);
        },
        3);
    deployed.allowAttempts(3);
    CHECK(isWholeStream(deployed.stream(), LAST_EVENT));
    CHECK(resumed == 2);
}

// Guards against a stream that looks complete and empty since its server was killed behind a comment line (review case 7).
TEST_CASE("a stream whose server breaks off before its first event is run by another server", "[failure]")
{
    const std::string before = GENERATE("", ": waiting\n\n", ": waiting\n\n: waiting\n\n", "id: 0\nda", ": waiting\n\nid: 0\nda");
    const bool resets = GENERATE(false, true);
    CAPTURE(before, resets);
    std::atomic<int> runs = 0;
    const server_script script = [&](raw_connection &out, const raw_request &in) {
        if (in.target() == "/report") {
            out.write(report(in));
            return true;
        }
        if (runs++ > 0) {
            out.write(streamHead(in) + events(firstEventOf(in), LAST_EVENT) + LAST_CHUNK);
            return true;
        }
        out.write(streamHead(in) + (before.empty() ? "" : chunk(before)));
        out.waitForClose(50);
        if (resets) {
            out.reset();
        }
        return false;
    };
    const stream_site deployed(script, 2);
    const std::string got = exchange(deployed.site.front(), makeRequest("/stream/", "id1"), READ_LIMIT_MS);
    CHECK(isWholeStream(got, LAST_EVENT));
    CHECK(runs == 2);
}

TEST_CASE("a stream that may not be resumed does not look complete if its server breaks off", "[failure]")
{
    const std::string before = GENERATE(": waiting\n\n", "data: piece0\n\n", "id: 0\ndata: piece0\n\n");
    const std::string path = GENERATE("/stream/", "/single/");
    CAPTURE(before, path);
    const server_script script = [&](raw_connection &out, const raw_request &in) {
        if (in.target() == "/report") {
            out.write(report(in));
            return true;
        }
        out.write(streamHead(in) + chunk(before));
        out.waitForClose(50);
        return false;
    };
    const stream_site deployed(script, 1);
    const std::string got = exchange(deployed.site.front(), makeRequest(path, "id1"), READ_LIMIT_MS);
    CHECK((statusOf(got) == 502 || statusOf(got) == 200));
    CHECK_FALSE((statusOf(got) == 200 && got.ends_with(LAST_CHUNK)));
}

// Guards against streams that fail since their events have no ids, which the format leaves to the server.
TEST_CASE("a stream whose events have no ids reaches the client as they come", "[failure]")
{
    std::atomic<bool> seen = false;
    const server_script script = [&](raw_connection &out, const raw_request &in) {
        if (in.target() == "/report") {
            out.write(report(in));
            return true;
        }
        out.write(streamHead(in) + chunk("data: piece0\n\n"));
        eventually([&] { return seen.load(); }, milliseconds(READ_LIMIT_MS));
        out.write(chunk("data: piece1\n\n") + LAST_CHUNK);
        return true;
    };
    const stream_site deployed(script, 1);
    raw_client client(deployed.site.front());
    client.write(makeRequest("/stream/", "id1"));
    CHECK(countOf(client.readUntil("piece0", 2000), "piece0") == 1);
    seen = true;
    CHECK(isWholeStream(client.readUntil(LAST_CHUNK, READ_LIMIT_MS), 1));
}
