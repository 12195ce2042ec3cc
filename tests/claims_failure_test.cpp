// Non-repeatable calls under failure, with real instances. The service counts the runs of each idempotency key, and the
// verdicts that clients received are checked against these counts.

#include "cluster.h"

#include <catch2/catch.hpp>
#include <csignal>

using namespace chestnut;
using namespace chestnut::test;

namespace
{

// Counts the verdicts that the clients of one idempotency key received.
struct verdict_counts
{
    int ran = 0;
    int notRun = 0;
    int mayHaveRun = 0;
    int answers = 0;

    void add(const http_result &result)
    {
        ++answers;
        ran += result.verdictHeader == "ran" ? 1 : 0;
        notRun += result.verdictHeader == "not_run" ? 1 : 0;
        mayHaveRun += result.verdictHeader == "ran" || result.verdictHeader == "not_run" ? 0 : 1;
    }
};

// A key runs at most once. If any client received `ran`, it ran exactly once; if all clients received `not_run`, it never ran.
void checkVerdicts(const std::map<std::string, verdict_counts> &verdicts, const std::map<std::string, int> &runs)
{
    for (const auto &[key, one] : verdicts) {
        const auto found = runs.find(key);
        const int count = found == runs.end() ? 0 : found->second;
        INFO(key << " ran " << count << ", verdicts: ran " << one.ran << " not_run " << one.notRun << " may_have_run " << one.mayHaveRun);
        CHECK(count <= 1);
        if (one.ran > 0) {
            CHECK(count == 1);
        }
        if (one.notRun == one.answers) {
            CHECK(count == 0);
        }
    }
}

// Sends the keys in waves, each key through all instances concurrently. Calls between(wave) before each wave.
std::map<std::string, verdict_counts> sendKeys(const cluster &all, int keys, int waves, const std::function<void(int)> &between)
{
    std::map<std::string, verdict_counts> verdicts;
    const int entries = static_cast<int>(all.entries.size());
    for (int wave = 0; wave < waves; ++wave) {
        between(wave);
        std::vector<http_request> requests;
        std::vector<std::string> names;
        for (int i = 0; i < keys / waves; ++i) {
            const std::string key = "k" + std::to_string(wave) + "-" + std::to_string(i);
            for (int entry = 0; entry < entries; ++entry) {
                requests.push_back(all.submission(entry, key, "price=" + std::to_string(i)));
                names.push_back(key);
            }
        }
        const std::vector<http_result> results = requestAll(requests);
        for (std::size_t i = 0; i < results.size(); ++i) {
            verdicts[names[i]].add(results[i]);
        }
    }
    return verdicts;
}

}

TEST_CASE("2000 keys sent concurrently through 6 instances run at most once each when answers are lost after the effect", "[failure]")
{
    cluster::options options;
    options.entries = 6;
    options.enginesPerStage = 1;
    cluster all(options);
    all.publish();
    const auto verdicts = sendKeys(all, 2000, 10, [&](int wave) {
        all.log->setFaults({{"drop_answers", wave % 2 == 0 ? 3 : 0}});
        all.services[0]->setFaults({{"drop_answers", wave % 3 == 1 ? 5 : 0}});
    });
    checkVerdicts(verdicts, all.runs());
    int ran = 0;
    for (const auto &[key, one] : verdicts) {
        ran += one.ran > 0 ? 1 : 0;
    }
    CHECK(ran >= 1900); // of 2000; the service dropped the answers of the rest
}

TEST_CASE("a key does not run again after its instance is killed between claim and send", "[failure]")
{
    cluster::options options;
    options.enginesPerStage = 1;
    options.entrySettings = {"claims.key_window=60000", "claims.dispatch_limit=2000"};
    cluster all(options);
    all.publish();
    all.setEntryFaults(0, {{"hold_dispatch_ms", 60'000}});
    auto held = sendInBackground({all.submission(0, "k", "x")});
    REQUIRE(eventually([&] { return all.status(1)["keys"] == 1; }));
    all.entries[0]->kill();
    held.get();
    http_request repeat = all.submission(1, "k", "x");
    const http_result answer = requestAll({repeat}).front();
    CHECK(answer.verdictHeader == "may_have_run");
    CHECK(all.runs().empty());
}

TEST_CASE("a key runs once when its instance is killed after the send", "[failure]")
{
    cluster::options options;
    options.enginesPerStage = 1;
    options.serviceTime = milliseconds(1500);
    cluster all(options);
    all.publish();
    auto held = sendInBackground({all.submission(0, "k", "x")});
    REQUIRE(eventually([&] { return all.runs()["k"] == 1; }));
    all.entries[0]->kill();
    held.get();
    CHECK(requestAll({all.submission(1, "k", "x")}).front().verdictHeader == "may_have_run");
    CHECK(all.runs() == std::map<std::string, int>{{"k", 1}});
}

TEST_CASE("an instance paused between claim and send past the dispatch limit does not send", "[failure]")
{
    cluster::options options;
    options.enginesPerStage = 1;
    options.entrySettings = {"claims.key_window=60000", "claims.dispatch_limit=1000"};
    cluster all(options);
    all.publish();
    all.setEntryFaults(0, {{"hold_dispatch_ms", 200}});
    auto held = sendInBackground({all.submission(0, "k", "x")});
    REQUIRE(eventually([&] { return all.status(1)["keys"] == 1; }));
    all.entries[0]->signal(SIGSTOP);
    auto repeat = sendInBackground({all.submission(1, "k", "x")});
    ::usleep(3'000'000);
    all.entries[0]->signal(SIGCONT);
    CHECK(held.get().front().verdictHeader == "not_run");
    // The owner of the claim releases the key when it resumes, so the waiting repeat runs instead.
    CHECK(repeat.get().front().verdictHeader == "ran");
    CHECK(all.runs() == std::map<std::string, int>{{"k", 1}});
}

TEST_CASE("an instance paused for 10 s during the service call still answers, and the key runs once", "[failure]")
{
    cluster::options options;
    options.enginesPerStage = 1;
    options.serviceTime = milliseconds(500);
    cluster all(options);
    all.publish();
    auto held = sendInBackground({all.submission(0, "k", "x")});
    REQUIRE(eventually([&] { return all.runs()["k"] == 1; }));
    all.entries[0]->signal(SIGSTOP);
    ::usleep(10'000'000);
    all.entries[0]->signal(SIGCONT);
    const std::string first = held.get().front().verdictHeader;
    CHECK((first == "ran" || first == "may_have_run"));
    const std::string repeat = requestAll({all.submission(2, "k", "x")}).front().verdictHeader;
    CHECK(repeat == first);
    CHECK(all.runs() == std::map<std::string, int>{{"k", 1}});
}

TEST_CASE("during a log outage calls are refused as not_run, repeatable requests are served, and calls succeed again afterwards", "[failure]")
{
    cluster all({});
    all.publish();
    all.log->setFaults({{"refuse", true}});
    const http_result refused = requestAll({all.submission(0, "k", "x")}).front();
    CHECK(refused.status == 503);
    CHECK(refused.verdictHeader == "not_run");
    CHECK(refused.retryAfter.count() > 0);
    CHECK(answerText(all.chat(1, "during the outage", 10)) == all.expected("during the outage", 10));
    CHECK(all.runs().empty());
    all.log->setFaults({{"refuse", false}});
    CHECK(eventually([&] { return requestAll({all.submission(0, "k", "x")}).front().verdictHeader == "ran"; }));
    CHECK(all.runs() == std::map<std::string, int>{{"k", 1}});
}

TEST_CASE("no call runs twice when open connections to the log stop carrying data", "[failure]")
{
    cluster::options options;
    options.enginesPerStage = 1;
    cluster all(options);
    all.publish();
    std::map<std::string, verdict_counts> verdicts;
    verdicts["before"].add(requestAll({all.submission(0, "before", "x")}).front());
    all.log->setFaults({{"silence", true}});
    for (int entry = 0; entry < 3; ++entry) {
        verdicts["after"].add(requestAll({all.submission(entry, "after", "x")}).front());
    }
    checkVerdicts(verdicts, all.runs());
    CHECK(verdicts["after"].ran == 3);
}

TEST_CASE("a key runs once and is reported as may_have_run when the service drops its answer after the effect", "[failure]")
{
    cluster::options options;
    options.enginesPerStage = 1;
    cluster all(options);
    all.publish();
    for (const auto &service : all.services) {
        service->setFaults({{"drop_answers", 1}});
    }
    const http_result first = requestAll({all.submission(0, "k", "x")}).front();
    CHECK(first.verdictHeader == "may_have_run");
    CHECK(requestAll({all.submission(1, "k", "x")}).front().verdictHeader == "may_have_run");
    for (const auto &service : all.services) {
        service->setFaults({{"drop_answers", 0}}); // otherwise the answer to the /stats request would be dropped too
    }
    CHECK(all.runs() == std::map<std::string, int>{{"k", 1}});
}

TEST_CASE("calls run on another replica when one cannot be reached", "[failure]")
{
    cluster::options options;
    options.enginesPerStage = 1;
    cluster all(options);
    all.publish();
    all.services[0].reset();
    all.services[1].reset();
    for (int i = 0; i < 6; ++i) {
        CHECK(requestAll({all.submission(i % 3, "k" + std::to_string(i), "x")}).front().verdictHeader == "ran");
    }
    all.services.erase(all.services.begin(), all.services.begin() + 2);
    for (const auto &[key, count] : all.runs()) {
        CHECK(count == 1);
    }
}

TEST_CASE("an instance that cannot reach the log claims through its peers", "[failure]")
{
    cluster::options options;
    options.enginesPerStage = 1;
    options.links = true;
    cluster all(options);
    all.publish();
    REQUIRE(eventually([&] { return all.status(0)["instances"].size() == 3; }));
    all.links[0]->setFaults({{"crash", true}});
    std::map<std::string, verdict_counts> verdicts;
    for (int i = 0; i < 5; ++i) {
        const std::string key = "k" + std::to_string(i);
        verdicts[key].add(requestAll({all.submission(0, key, "x")}).front());
        verdicts[key].add(requestAll({all.submission(1, key, "x")}).front());
    }
    checkVerdicts(verdicts, all.runs());
    for (const auto &[key, one] : verdicts) {
        CHECK(one.ran == 2);
    }
}
