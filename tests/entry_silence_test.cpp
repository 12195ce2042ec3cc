// Tests chestnutgw-entry with sound partners that fall silent for about a second and then go on. Sections: engines, chat requests,
// services, operators.

#include "cluster.h"
#include "scripted_server.h"
#include "service_site.h"

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <map>
#include <mutex>

using namespace chestnut;
using namespace chestnut::test;

namespace
{

constexpr int SILENCE_MS = 1300;
constexpr int TOKENS = 4;

//-----------------------------------------------------------------------------
// Engines
//-----------------------------------------------------------------------------

// Where in an answer an engine falls silent.
enum class silence_point
{
    before_head,
    after_head,
    between_events,
    within_event,
    before_end,
};

std::string plainAnswer(const std::string &statusLine, const std::string &body, const std::string &headers = {})
{
    return "HTTP/1.1 " + statusLine + "\r\n" + headers + "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string chunk(const std::string &bytes)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

// Load report of an engine that holds all layers. An engine with a higher layer time is chosen later.
std::string reportAnswer(double layerMs)
{
    return plainAnswer("200 OK",
                       nlohmann::json{{"active", 0},
                                      {"queued", 0},
                                      {"slots", 64},
                                      {"layer_ms", layerMs},
                                      {"streams", 0},
                                      {"leaving", false},
                                      {"holds", {{{"model", "m1"}, {"version", "v1"}, {"first", 0}, {"last", 12}}}}}
                           .dump());
}

const std::string STREAM_HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string eventText(const nlohmann::json &event)
{
    return "data: " + event.dump() + "\n\n";
}

std::string tokenEvent(const nlohmann::json &wanted, int index)
{
    const nlohmann::json stage{{"server", wanted["chain"][0]["server"]}, {"first", 0}, {"last", 12}, {"stage_ms", 1.0}, {"link_ms", 0.0}};
    return eventText({{"attempt", wanted["attempt"]},
                      {"index", index},
                      {"text", "t" + std::to_string(index) + " "},
                      {"version", "v1"},
                      {"stages", nlohmann::json::array({stage})}});
}

std::string endEvent(const nlohmann::json &wanted)
{
    return eventText({{"done", true}, {"attempt", wanted["attempt"]}, {"count", TOKENS}, {"reason", "length"}});
}

// Engine that sends no byte for a while at one point of each answer, then goes on. Its load reports are on time.
server_script silentEngine(silence_point point, std::atomic<int> &abandoned, int silenceMs = SILENCE_MS)
{
    return [point, silenceMs, &abandoned](raw_connection &out, const raw_request &in) {
        const auto fallSilent = [&](silence_point here) {
            if (here == point && out.waitForClose(silenceMs)) {
                ++abandoned;
                return false;
            }
            return true;
        };
        if (in.target() == "/v1/report") {
            out.write(reportAnswer(0.1));
            return true;
        }
        const nlohmann::json wanted = nlohmann::json::parse(in.body);
        const int first = static_cast<int>(wanted["tokens"].size());
        if (!fallSilent(silence_point::before_head)) {
            return false;
        }
        out.write(STREAM_HEAD);
        if (!fallSilent(silence_point::after_head)) {
            return false;
        }
        out.write(chunk(tokenEvent(wanted, first)));
        if (!fallSilent(silence_point::between_events)) {
            return false;
        }
        std::string rest;
        for (int index = first + 1; index < TOKENS; ++index) {
            rest += tokenEvent(wanted, index);
        }
        const std::size_t split = rest.size() / 2;
        if (split > 0) {
            out.write(chunk(rest.substr(0, split)));
        }
        if (!fallSilent(silence_point::within_event)) {
            return false;
        }
        if (split > 0) {
            out.write(chunk(rest.substr(split)));
        }
        if (!fallSilent(silence_point::before_end)) {
            return false;
        }
        out.write(chunk(endEvent(wanted)) + "0\r\n\r\n");
        return true;
    };
}

// Engine that refuses each generation.
bool refusingEngine(raw_connection &out, const raw_request &in)
{
    if (in.target() == "/v1/report") {
        out.write(reportAnswer(20));
        return true;
    }
    out.write(plainAnswer("503 Service Unavailable", R"({"error":{"code":"full"}})", "Chestnutgw-Verdict: not_run\r\n"));
    return true;
}

// One instance whose sheet names these engines, each of which holds all layers.
class engine_site
{
public:
    engine_site(const std::vector<const scripted_server *> &engines, std::vector<std::string> settings)
        : m_cluster(makeOptions(std::move(settings)))
    {
        m_cluster.publish();
        std::string sheet = m_cluster.sheet();
        for (std::size_t i = 0; i < engines.size(); ++i) {
            sheet += "server,e" + std::to_string(i) + ",,domain-a," + engines[i]->address() + ",standin,,,,,,,,yes,active\n";
        }
        if (!request("POST", m_cluster.url(0) + "/operator/sheets", sheet).ok()) {
            throw std::runtime_error("the sheet was not accepted");
        }
        const bool usable = eventually([&] {
            const nlohmann::json servers = m_cluster.status(0)["servers"];
            return servers.size() == engines.size()
                && std::all_of(servers.begin(), servers.end(), [](const nlohmann::json &one) { return one["usable"] == true; });
        });
        if (!usable) {
            throw std::runtime_error("the engines did not become usable");
        }
    }

    std::vector<http_result> chat(int count, bool stream) const
    {
        std::vector<http_request> requests;
        for (int i = 0; i < count; ++i) {
            requests.push_back(m_cluster.chatRequest(0, "x", TOKENS, stream));
        }
        return requestAll(requests);
    }

private:
    static cluster::options makeOptions(std::vector<std::string> settings)
    {
        cluster::options options;
        options.entries = 1;
        options.enginesPerStage = 0;
        options.entrySettings = std::move(settings);
        return options;
    }

    cluster m_cluster;
};

// Number of generations that an engine was asked for.
int generations(const scripted_server &engine)
{
    const std::vector<raw_request> all = engine.requests();
    return static_cast<int>(std::count_if(all.begin(), all.end(), [](const raw_request &one) { return one.target() == "/v1/generate"; }));
}

const std::string WHOLE_TEXT = "t0 t1 t2 t3 ";

}

//-----------------------------------------------------------------------------
// Chat requests
//-----------------------------------------------------------------------------

TEST_CASE("an answer of a silent engine is not given up while the other engines refuse", "[failure]")
{
    const auto point = GENERATE(silence_point::before_head, silence_point::after_head, silence_point::between_events, silence_point::within_event,
                                silence_point::before_end);
    const bool stream = GENERATE(true, false);
    DYNAMIC_SECTION("point " << static_cast<int>(point) << (stream ? ", stream" : ", whole answer"))
    {
        std::atomic<int> abandoned = 0;
        const scripted_server silent(silentEngine(point, abandoned));
        const scripted_server refusing(refusingEngine);
        const engine_site site({&silent, &refusing}, {"backend.first_token_timeout=400", "backend.max_attempts=3"});
        const http_result result = site.chat(1, stream).front();
        INFO(result.status << " " << result.error << " " << result.body);
        CHECK(answerText(result) == WHOLE_TEXT);
        CHECK((abandoned == 0 || point == silence_point::before_end)); // an answer is complete with its last token
        CHECK(generations(silent) == 1);
    }
}

TEST_CASE("answers of a silent engine are not given up beyond the retry budget", "[failure]")
{
    constexpr int STREAMS = 60; // more than the budget saves up
    std::atomic<int> abandoned = 0;
    const scripted_server silent(silentEngine(silence_point::between_events, abandoned));
    const scripted_server refusing(refusingEngine);
    const engine_site site({&silent, &refusing}, {"backend.first_token_timeout=400", "backend.retry_share=0", "routing.admission=no"});
    int whole = 0;
    for (const http_result &result : site.chat(STREAMS, true)) {
        whole += answerText(result) == WHOLE_TEXT ? 1 : 0;
    }
    CHECK(whole == STREAMS);
    CHECK(abandoned == generations(silent) - STREAMS); // each attempt given up was replaced by one that had gone on
}

TEST_CASE("an answer of a silent engine is taken over by an engine that answers first", "[failure]")
{
    std::atomic<int> abandoned = 0;
    const scripted_server silent(silentEngine(silence_point::between_events, abandoned, 20'000));
    std::atomic<int> none = 0;
    const scripted_server other([script = silentEngine(silence_point::before_head, none, 0)](raw_connection &out, const raw_request &in) {
        if (in.target() == "/v1/report") {
            out.write(reportAnswer(20));
            return true;
        }
        return script(out, in);
    });
    const engine_site site({&silent, &other}, {"backend.first_token_timeout=400"});
    CHECK(answerText(site.chat(1, true).front()) == WHOLE_TEXT);
    CHECK(eventually([&] { return abandoned == 1; }));
    CHECK(generations(other) == 1);
}

TEST_CASE("an engine that goes on first keeps its answer, and the one asked in its place is released", "[failure]")
{
    std::atomic<int> abandoned = 0;
    std::atomic<int> released = 0;
    const scripted_server silent(silentEngine(silence_point::between_events, abandoned));
    const scripted_server slow([script = silentEngine(silence_point::before_head, released, 20'000)](raw_connection &out, const raw_request &in) {
        if (in.target() == "/v1/report") {
            out.write(reportAnswer(20));
            return true;
        }
        return script(out, in);
    });
    const engine_site site({&silent, &slow}, {"backend.first_token_timeout=400"});
    CHECK(answerText(site.chat(1, true).front()) == WHOLE_TEXT);
    CHECK(abandoned == 0);
    CHECK(generations(slow) == 1);
    CHECK(eventually([&] { return released == 1; }));
}

TEST_CASE("an answer whose end does not arrive is complete once all its tokens have", "[failure]")
{
    const scripted_server engine([](raw_connection &out, const raw_request &in) {
        if (in.target() == "/v1/report") {
            out.write(reportAnswer(1));
            return true;
        }
        const nlohmann::json wanted = nlohmann::json::parse(in.body);
        std::string events;
        for (int index = static_cast<int>(wanted["tokens"].size()); index < TOKENS; ++index) {
            events += tokenEvent(wanted, index);
        }
        out.write(STREAM_HEAD + chunk(events));
        return false;
    });
    const engine_site site({&engine}, {});
    CHECK(answerText(site.chat(1, true).front()) == WHOLE_TEXT);
    CHECK(generations(engine) == 1);
}

TEST_CASE("events of an ended attempt that arrive in one piece have no effect", "[failure]")
{
    constexpr int BAD_ATTEMPTS = 2;
    const scripted_server engine([](raw_connection &out, const raw_request &in) {
        if (in.target() == "/v1/report") {
            out.write(reportAnswer(1));
            return true;
        }
        const nlohmann::json wanted = nlohmann::json::parse(in.body);
        if (wanted["attempt"] <= BAD_ATTEMPTS) {
            out.write(STREAM_HEAD + chunk(tokenEvent(wanted, 9) + tokenEvent(wanted, 9) + tokenEvent(wanted, 9)));
            out.waitForClose(SILENCE_MS);
            return false;
        }
        std::string events;
        for (int index = 0; index < TOKENS; ++index) {
            events += tokenEvent(wanted, index);
        }
        out.write(STREAM_HEAD + chunk(events + endEvent(wanted)) + "0\r\n\r\n");
        return true;
    });
    const engine_site site({&engine}, {});
    CHECK(answerText(site.chat(1, true).front()) == WHOLE_TEXT);
    CHECK(generations(engine) == BAD_ATTEMPTS + 1);
}

//-----------------------------------------------------------------------------
// Services
//-----------------------------------------------------------------------------

TEST_CASE("a repeatable call that a silent replica may have run is not reported as not_run", "[failure]")
{
    const bool refusesNext = GENERATE(false, true);
    std::atomic<int> calls = 0;
    // The first replica asked takes the call and breaks off or stays silent; the other one refuses.
    const server_script script = [&](raw_connection &out, const raw_request &) {
        if (calls++ > 0) {
            out.write(plainAnswer("503 Service Unavailable", "{}", "Chestnutgw-Verdict: not_run\r\n"));
            return true;
        }
        if (!refusesNext) {
            out.waitForClose(SILENCE_MS);
        }
        return false;
    };
    const scripted_server first(script);
    const scripted_server second(script);
    const int deadlineMs = refusesNext ? 30'000 : 600; // a call is not repeated after its deadline
    const service_site site({&first, &second}, deadlineMs);
    const http_result result = site.call();
    CHECK(result.status >= 500);
    CHECK(result.verdictHeader == "may_have_run");
    CHECK(calls == (refusesNext ? 2 : 1));
}

TEST_CASE("a call to a replica that falls silent for a second is answered whole", "[failure]")
{
    const auto point = GENERATE(silence_point::before_head, silence_point::after_head, silence_point::between_events);
    CAPTURE(static_cast<int>(point));
    const scripted_server replica([&](raw_connection &out, const raw_request &) {
        const std::string whole = plainAnswer("200 OK", "a whole body");
        const std::size_t headEnd = whole.find("\r\n\r\n") + 4;
        const std::size_t at = point == silence_point::before_head ? 0 : point == silence_point::after_head ? headEnd : headEnd + 3;
        out.write(whole.substr(0, at));
        const bool closed = out.waitForClose(SILENCE_MS);
        out.write(whole.substr(at));
        return !closed;
    });
    const service_site site({&replica}, 5000);
    const http_result result = site.call();
    CHECK(result.status == 200);
    CHECK(result.body == "a whole body");
    CHECK(replica.count() == 1);
}

TEST_CASE("a repeatable call that every replica refused is reported as not_run", "[failure]")
{
    const server_script script = [](raw_connection &out, const raw_request &) {
        out.write(plainAnswer("503 Service Unavailable", "{}", "Chestnutgw-Verdict: not_run\r\n"));
        return true;
    };
    const scripted_server first(script);
    const scripted_server second(script);
    const service_site site({&first, &second}, 600);
    CHECK(site.call().verdictHeader == "not_run");
}

TEST_CASE("a late second copy of a service's answer is not taken for the answer to the next call", "[failure]")
{
    const bool refuses = GENERATE(false, true);
    std::mutex mutex;
    std::map<int, std::string> copies; // of the last answer on each connection
    const scripted_server replica([&](raw_connection &out, const raw_request &in) {
        const std::lock_guard lock(mutex);
        const bool refused = refuses && in.index == 0;
        const std::string own = refused ? plainAnswer("503 Service Unavailable", "{}", "Chestnutgw-Verdict: not_run\r\n") : plainAnswer("200 OK", in.body);
        out.write(copies[in.connection] + own);
        copies[in.connection] = own;
        return true;
    });
    const service_site site({&replica}, 2000);
    for (int number = 0; number < 6; ++number) {
        const std::string body = "call" + std::to_string(number);
        const http_result result = site.call(body);
        const bool executed = result.status == 200;
        CHECK((!executed || result.body == body));
        CHECK((executed || refuses));
    }
    for (const raw_request &seen : replica.requests()) {
        CHECK(seen.index == 0); // no other rule tells whose answer an answer is
    }
}

//-----------------------------------------------------------------------------
// Operators
//-----------------------------------------------------------------------------

TEST_CASE("two requests with the id of one change are both answered while the log is silent", "[failure]")
{
    cluster::options options;
    options.entries = 1;
    options.enginesPerStage = 0;
    cluster all(options);
    all.publish();
    all.log->setFaults({{"stall", true}});
    http_request change;
    change.method = "POST";
    change.url = all.url(0) + "/operator/sheets?id=same&wait_ms=30000";
    change.body = all.sheet() + "model,m2,,,,,8,,,,,,,,\n";
    change.totalTimeout = milliseconds(20'000);
    auto answers = sendInBackground({change, change});
    CHECK(eventually([&] { return all.status(0)["log_reachable"] == false; }));
    all.log->setFaults({{"stall", false}});
    for (const http_result &one : answers.get()) {
        INFO(one.error << " " << one.body);
        CHECK(one.status == 200);
    }
}
