// Pipelines under failure: every delivered text equals the oracle's, or the client receives an explicit error.

#include "cluster.h"

#include <catch2/catch.hpp>
#include <csignal>

using namespace chestnut;
using namespace chestnut::test;

namespace
{

constexpr int STREAMS = 12;
constexpr int TOKENS = 50;

std::string promptOf(int number)
{
    return "commentary number " + std::to_string(number);
}

cluster::options threeEnginesPerStage()
{
    cluster::options options;
    options.stages = 3;
    options.enginesPerStage = 3;
    options.layerMs = 1;
    return options;
}

nlohmann::json reportOf(const engine_standin &engine)
{
    return nlohmann::json::parse(request("GET", engine.url() + "/v1/report").body);
}

int tokensSoFar(const cluster &all)
{
    int sum = 0;
    for (const auto &engine : all.engines) {
        sum += reportOf(*engine)["tokens"].get<int>();
    }
    return sum;
}

// Makes the layers of all engines take `factor` times as long.
void setSlowness(const cluster &all, int factor)
{
    for (const auto &engine : all.engines) {
        engine->setFaults({{"slow", factor}});
    }
}

// Index of the engine of a stage with the most open streams.
int busiestEngine(cluster &all, int stage)
{
    int best = 0;
    for (int i = 1; i < 3; ++i) {
        best = reportOf(all.engine(stage, i))["streams"].get<int>() > reportOf(all.engine(stage, best))["streams"].get<int>() ? i : best;
    }
    return best;
}

// Starts streams through all instances and injects the fault once the engines have produced tokensBefore tokens in total.
std::vector<http_result> streamsWithFault(cluster &all, int tokensBefore, const std::function<void()> &fault)
{
    std::vector<http_request> requests;
    for (int i = 0; i < STREAMS; ++i) {
        requests.push_back(all.chatRequest(i % static_cast<int>(all.entries.size()), promptOf(i), TOKENS, i % 2 == 0));
    }
    auto answers = sendInBackground(std::move(requests));
    const bool reached = eventually([&] { return tokensSoFar(all) >= tokensBefore; });
    CHECK(reached);
    fault();
    return answers.get();
}

void checkAnswers(const cluster &all, const std::vector<http_result> &answers)
{
    for (int i = 0; i < STREAMS; ++i) {
        INFO("stream " << i << " status " << answers[static_cast<std::size_t>(i)].status << " " << answers[static_cast<std::size_t>(i)].error);
        CHECK(answerText(answers[static_cast<std::size_t>(i)]) == all.expected(promptOf(i), TOKENS));
    }
}

}

TEST_CASE("every answer is complete when an engine of any stage crashes, stalls, stops sending data or refuses requests", "[failure]")
{
    const int stage = GENERATE(0, 1, 2);
    const int tokens = GENERATE(1, 250);
    const std::string fault = GENERATE("crash", "stall", "silence", "refuse");
    DYNAMIC_SECTION("stage " << stage << ", " << fault << " after " << tokens << " tokens")
    {
        cluster all(threeEnginesPerStage());
        all.publish();
        checkAnswers(all, streamsWithFault(all, tokens, [&] { all.engine(stage, busiestEngine(all, stage)).setFaults({{fault, true}}); }));
    }
}

TEST_CASE("answers are correct when an engine changes its model version in the middle of a stream", "[failure]")
{
    cluster all(threeEnginesPerStage());
    all.publish();
    const auto answers = streamsWithFault(all, 20, [&] {
        request("POST", all.engine(1, busiestEngine(all, 1)).url() + "/v1/orders", R"({"fence":7,"holds":[{"model":"m1","version":"v2","first":4,"last":8}]})");
    });
    checkAnswers(all, answers);
}

TEST_CASE("no stream is cut when a third of the engines leave at the same time", "[failure]")
{
    cluster all(threeEnginesPerStage());
    all.publish();
    const auto answers = streamsWithFault(all, 20, [&] {
        for (int stage = 0; stage < 3; ++stage) {
            all.engine(stage, 1).setFaults({{"leaving", true}});
        }
    });
    checkAnswers(all, answers);
    for (int entry = 0; entry < 3; ++entry) {
        const auto metrics = request("GET", all.url(entry) + "/metrics").body;
        CHECK(metrics.find("reason=\"gave_up\"") == std::string::npos);
    }
}

TEST_CASE("a leaving engine gets no new work once all instances have read its report", "[failure]")
{
    cluster all(threeEnginesPerStage());
    all.publish();
    all.engine(0, 2).setFaults({{"leaving", true}});
    REQUIRE(eventually([&] {
        for (int entry = 0; entry < 3; ++entry) {
            const nlohmann::json status = all.status(entry);
            for (const auto &server : status["servers"]) {
                if (server["server"] == "s0-2" && server["usable"] == true) {
                    return false;
                }
            }
        }
        return true;
    }));
    for (int i = 0; i < 12; ++i) {
        CHECK(all.chat(i % 3, promptOf(i), 4).ok());
    }
    CHECK(nlohmann::json::parse(request("GET", all.engine(0, 2).url() + "/v1/report").body)["tokens"] == 0);
}

TEST_CASE("an engine process completes its streams after SIGTERM", "[failure]")
{
    cluster::options options;
    options.stages = 2;
    options.enginesPerStage = 1;
    options.layerMs = 1;
    cluster all(options);
    const child_process leaving("chestnutgw-standin", {"standin.mode=engine", "engine.name=extra", "engine.holds=m1@v1:0-6", "engine.layer_ms=1"});
    all.publish();
    const std::string sheet = all.sheet() + "server,extra,,domain-a," + leaving.address() + ",standin,,,,,,,,yes,active\n";
    REQUIRE(request("POST", all.url(0) + "/operator/sheets", sheet).ok());
    REQUIRE(eventually([&] { return all.status(0)["servers"].size() == 3 && all.status(0)["servers"][0]["usable"] == true; }));
    std::vector<http_request> requests;
    for (int i = 0; i < STREAMS; ++i) {
        requests.push_back(all.chatRequest(0, promptOf(i), TOKENS, true));
    }
    auto answers = sendInBackground(std::move(requests));
    REQUIRE(eventually([&] { return nlohmann::json::parse(request("GET", "http://" + leaving.address() + "/v1/report").body)["streams"].get<int>() > 0; }));
    leaving.signal(SIGTERM);
    checkAnswers(all, answers.get());
}

TEST_CASE("an entry instance completes its requests after SIGTERM and exits with status 0", "[failure]")
{
    cluster all(threeEnginesPerStage());
    all.publish();
    std::vector<http_request> requests;
    for (int i = 0; i < STREAMS; ++i) {
        requests.push_back(all.chatRequest(1, promptOf(i), TOKENS, i % 2 == 0));
    }
    setSlowness(all, 10); // else the first stream may end before the last one begins
    auto answers = sendInBackground(std::move(requests));
    REQUIRE(eventually([&] { return all.status(1)["in_flight"].get<int>() == STREAMS; }));
    all.entries[1]->signal(SIGTERM);
    setSlowness(all, 1);
    const std::vector<http_result> got = answers.get();
    checkAnswers(all, got);
    CHECK(all.entries[1]->wait() == 0);
}

TEST_CASE("requests are refused with 503 while no chain is available and are served again when the engines return", "[failure]")
{
    cluster::options options;
    options.enginesPerStage = 1;
    cluster all(options);
    all.publish();
    all.engine(1, 0).setFaults({{"leaving", true}});
    http_result last;
    const bool chainLost = eventually([&] {
        last = all.chat(0, "x", 2);
        return last.status == 503;
    });
    INFO("last answer " << last.status << " " << last.error << " " << last.body);
    REQUIRE(chainLost);
    const http_result refused = all.chat(0, "x", 2);
    CHECK(refused.verdictHeader == "not_run");
    CHECK(refused.retryAfter.count() > 0);
    all.engine(1, 0).setFaults({{"leaving", false}});
    CHECK(eventually([&] { return answerText(all.chat(0, "x", 2)) == all.expected("x", 2); }));
}
