// Configuration under failure, with real instances: accepted changes become active on every instance and stay active.

#include "cluster.h"

#include <catch2/catch.hpp>
#include <csignal>

using namespace chestnut;
using namespace chestnut::test;

namespace
{

std::string withModel(const cluster &all, const std::string &name, int layers)
{
    return all.sheet() + "model," + name + ",,,,," + std::to_string(layers) + ",,,,,,,,\n";
}

// Active rows of an instance, formatted as a sheet; empty if the request fails.
std::string activeSheet(const cluster &all, int entry)
{
    const http_result result = request("GET", all.url(entry) + "/operator/sheet");
    return result.ok() ? nlohmann::json::parse(result.body)["sheet"].get<std::string>() : std::string();
}

bool activeEverywhere(const cluster &all, const std::string &text)
{
    for (std::size_t i = 0; i < all.entries.size(); ++i) {
        if (all.entries[i]->running() && activeSheet(all, static_cast<int>(i)).find(text) == std::string::npos) {
            return false;
        }
    }
    return true;
}

http_request sheetRequest(const cluster &all, int entry, const std::string &sheet, const std::string &query)
{
    http_request one;
    one.method = "POST";
    one.url = all.url(entry) + "/operator/sheets?" + query;
    one.body = sheet;
    one.totalTimeout = milliseconds(60'000);
    return one;
}

}

TEST_CASE("concurrent changes by three operators are all accepted on disjoint rows, and exactly one is accepted on the same row", "[failure]")
{
    cluster::options options;
    options.enginesPerStage = 1;
    cluster all(options);
    all.publish();
    const std::string base = "base=" + std::to_string(all.status(0)["config_offset"].get<int>());
    const auto disjoint = requestAll({sheetRequest(all, 0, withModel(all, "d0", 3), base), sheetRequest(all, 1, withModel(all, "d1", 4), base),
                                      sheetRequest(all, 2, withModel(all, "d2", 5), base)});
    for (const http_result &one : disjoint) {
        CHECK(one.status == 200);
    }
    for (const char *name : {"model,d0", "model,d1", "model,d2"}) {
        CHECK(eventually([&] { return activeEverywhere(all, name); }));
    }
    for (int round = 0; round < 5; ++round) {
        const std::string name = "same" + std::to_string(round);
        const auto racing = requestAll({sheetRequest(all, 0, withModel(all, name, 10), base), sheetRequest(all, 1, withModel(all, name, 11), base),
                                        sheetRequest(all, 2, withModel(all, name, 12), base)});
        int accepted = 0;
        std::string acceptedRow;
        for (std::size_t i = 0; i < racing.size(); ++i) {
            CHECK((racing[i].status == 200 || racing[i].status == 409));
            if (racing[i].status == 200) {
                ++accepted;
                acceptedRow = "model," + name + ",,,,," + std::to_string(10 + i) + ",";
            }
        }
        CHECK(accepted == 1);
        CHECK(eventually([&] { return activeEverywhere(all, acceptedRow); }));
    }
}

TEST_CASE("a publication whose answer is lost is found in the log and applied once", "[failure]")
{
    cluster::options options;
    options.enginesPerStage = 1;
    cluster all(options);
    all.publish();
    all.log->setFaults({{"drop_answers", 2}});
    const http_result result = requestAll({sheetRequest(all, 1, withModel(all, "lost", 7), "id=sheet-7")}).front();
    CHECK(result.status == 200);
    const http_result again = requestAll({sheetRequest(all, 2, withModel(all, "lost", 7), "id=sheet-7")}).front();
    CHECK(again.status == 200);
    CHECK(nlohmann::json::parse(again.body)["offset"] == nlohmann::json::parse(result.body)["offset"]);
    CHECK(eventually([&] { return activeEverywhere(all, "model,lost"); }));
}

TEST_CASE("an instance that cannot reach the platform reads and publishes configuration through its peers", "[failure]")
{
    cluster::options options;
    options.enginesPerStage = 1;
    options.links = true;
    cluster all(options);
    all.publish();
    REQUIRE(eventually([&] { return all.status(0)["instances"].size() == 3; }));
    const std::string fault = GENERATE("crash", "stall");
    all.links[0]->setFaults({{fault, true}});
    CHECK(requestAll({sheetRequest(all, 1, withModel(all, "cut", 9), "")}).front().status == 200);
    CHECK(eventually([&] { return activeEverywhere(all, "model,cut"); }));
    CHECK(requestAll({sheetRequest(all, 0, withModel(all, "through", 9), "wait_ms=30000")}).front().status == 200);
    CHECK(eventually([&] { return activeEverywhere(all, "model,through"); }));
    CHECK(eventually([&] { return all.status(0)["log_reachable"] == false; }));
    all.links[0]->setFaults({{fault, false}});
    CHECK(eventually([&] { return all.status(0)["log_reachable"] == true; }));
}

TEST_CASE("a publication made during a log outage becomes active when the log is reachable again", "[failure]")
{
    cluster::options options;
    options.enginesPerStage = 1;
    cluster all(options);
    all.publish();
    all.log->setFaults({{"refuse", true}});
    auto pending = sendInBackground({sheetRequest(all, 0, withModel(all, "late", 9), "wait_ms=60000")});
    ::usleep(2'000'000);
    CHECK(activeSheet(all, 0).find("model,late") == std::string::npos);
    all.log->setFaults({{"refuse", false}});
    CHECK(pending.get().front().status == 200);
    CHECK(eventually([&] { return activeEverywhere(all, "model,late"); }));
}

TEST_CASE("instances replaced one by one during a log outage keep the configuration and serve requests", "[failure]")
{
    cluster::options options;
    cluster all(options);
    all.publish();
    REQUIRE(eventually([&] { return all.status(0)["instances"].size() == 3 && all.status(2)["instances"].size() == 3; }));
    all.log->setFaults({{"refuse", true}});
    for (int i = 0; i < 3; ++i) {
        all.entries[static_cast<std::size_t>(i)]->kill();
        all.startEntry("entry-new-" + std::to_string(i));
        const int added = static_cast<int>(all.entries.size()) - 1;
        REQUIRE(eventually([&] { return request("GET", all.url(added) + "/readyz").status == 200; }));
        REQUIRE(eventually([&] { return answerText(all.chat(added, "after the restart", 5)) == all.expected("after the restart", 5); }));
    }
    CHECK(activeSheet(all, 5).find("model,m1") != std::string::npos);
    // The new instance has not folded the key window yet, so it refuses non-repeatable calls as not_run.
    CHECK(requestAll({all.submission(5, "k", "x")}).front().verdictHeader == "not_run");
}

TEST_CASE("an instance that starts after the first records have expired loads the configuration from a snapshot", "[failure]")
{
    cluster::options options;
    options.enginesPerStage = 1;
    options.retention = milliseconds(6'000);
    options.entrySettings = {"platform.log_retention=6000", "claims.key_window=2000", "claims.dispatch_limit=200"};
    cluster all(options);
    const child_process controller("chestnutgw-controller",
                                   {"instance.name=c", "platform.log_url=" + all.log->url(), "platform.log_retention=6000", "lease.term=900",
                                    "lease.renew_interval=200", "lease.order_lifetime=300", "log.level=error"});
    all.publish();
    const auto oldest
        = [&] { return nlohmann::json::parse(request("GET", all.log->url() + "/streams/config/records?from=0&limit=1").body)["oldest"].get<int>(); };
    REQUIRE(eventually([&] { return oldest() > 1; }));
    for (auto &entry : all.entries) {
        entry->kill();
    }
    all.startEntry("late");
    CHECK(eventually([&] { return activeSheet(all, 3).find("model,m1") != std::string::npos; }));
}
