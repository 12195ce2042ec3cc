// Leases and placement: unit tests of the core types, then failure tests with real controllers.

#include "cluster.h"

#include <catch2/catch.hpp>
#include <csignal>

using namespace chestnut;
using namespace chestnut::test;

namespace
{

lease_record record(lease_record::kind type, const std::string &holder, std::uint64_t fence = 0)
{
    lease_record one;
    one.type = type;
    one.name = "placement";
    one.holder = holder;
    one.fence = log_offset{fence};
    return one;
}

placement_server server(const std::string &name, const std::string &domain, double layerMs, int maxLayers)
{
    placement_server one;
    one.id = server_id{name};
    one.domain = domain_id{domain};
    one.layerMs = layerMs;
    one.maxLayers = maxLayers;
    return one;
}

// Applies the moves to the servers' holdings immediately.
void applyMoves(std::vector<placement_server> &servers, const std::vector<placement_reassignment> &moves)
{
    for (const placement_reassignment &move : moves) {
        for (placement_server &one : servers) {
            if (one.id == move.server) {
                one.holdings = move.holdings;
            }
        }
    }
}

const placement_target TARGET{model_id{"m"}, "v1", 24, 1};

}

TEST_CASE("a lease expires only after its term plus the lifetime of its orders, by the log's clock", "[unit]")
{
    using kind = lease_record::kind;
    lease_limits limits;
    lease_table table(limits);
    table.apply(log_offset{1}, 1000, record(kind::acquire, "a"));
    table.apply(log_offset{2}, 1500, record(kind::acquire, "b"));
    CHECK(table.find("placement")->holder == "a");
    table.apply(log_offset{3}, 2000, record(kind::renew, "a", 1));
    table.apply(log_offset{4}, 2000 + limits.term.count() + 1, record(kind::renew, "a", 1));
    CHECK(table.find("placement")->renewedMs == 2000);
    table.apply(log_offset{5}, 2000 + limits.term.count() + limits.orderLifetime.count(), record(kind::acquire, "b"));
    CHECK(table.find("placement")->holder == "a");
    table.apply(log_offset{6}, 2001 + limits.term.count() + limits.orderLifetime.count(), record(kind::acquire, "b"));
    CHECK(table.find("placement")->holder == "b");
    CHECK(table.find("placement")->fence == log_offset{6});
    table.apply(log_offset{7}, 9100, record(kind::renew, "a", 1));
    CHECK(table.find("placement")->holder == "b");
}

TEST_CASE("a lease holder stops at its own deadline, which counts from before the request is sent", "[unit]")
{
    lease_limits limits;
    lease_table table(limits);
    lease_keeper keeper("placement", "a", limits);
    const steady_time start = steady_time(seconds(100));
    const auto acquire = keeper.dueRecord(start);
    REQUIRE(acquire);
    CHECK_FALSE(keeper.fence(start));
    table.apply(log_offset{1}, 1000, *acquire);
    keeper.observe(table, start + seconds(3));
    CHECK(keeper.fence(start + seconds(3)) == log_offset{1});
    CHECK_FALSE(keeper.fence(start + limits.term));
    const auto renew = keeper.dueRecord(start + seconds(3));
    REQUIRE(renew);
    table.apply(log_offset{2}, 3500, *renew);
    keeper.observe(table, start + milliseconds(3500));
    CHECK(keeper.fence(start + limits.term));
    CHECK_FALSE(keeper.fence(start + seconds(3) + limits.term));
}

TEST_CASE("layers are split to minimise the time of the slowest stage", "[unit]")
{
    const std::vector<placement_server> mixed{server("fast", "a", 1, 100), server("slow", "a", 8, 100), server("mid", "a", 2, 100)};
    const std::vector<layer_range> ranges = splitLayers(mixed, 26);
    REQUIRE(ranges.size() == 3);
    CHECK(ranges[0] == layer_range{0, 16});
    CHECK(ranges[1] == layer_range{16, 18});
    CHECK(ranges[2] == layer_range{18, 26});
    CHECK(splitLayers({server("small", "a", 1, 10)}, 26).empty());
}

TEST_CASE("empty servers are placed into pipelines within a failure domain, and a complete placement yields no moves", "[unit]")
{
    std::vector<placement_server> servers;
    for (int i = 0; i < 9; ++i) {
        servers.push_back(server("s" + std::to_string(i), std::string(1, static_cast<char>('a' + i % 3)), 1, 8));
    }
    applyMoves(servers, planPlacement(servers, {TARGET}, 100));
    CHECK(pipelineRate(servers, TARGET.model, "v1", 24) == Approx(3 * 1000.0 / 8));
    for (const char *domain : {"a", "b", "c"}) {
        std::vector<placement_server> domainServers;
        for (const placement_server &one : servers) {
            if (one.domain.text == domain) {
                domainServers.push_back(one);
            }
        }
        CHECK(pipelineRate(domainServers, TARGET.model, "v1", 24) > 0);
    }
    CHECK(planPlacement(servers, {TARGET}, 100).empty());
}

TEST_CASE("a lost stage is refilled from a spare server without changing complete pipelines", "[unit]")
{
    std::vector<placement_server> servers;
    for (int i = 0; i < 6; ++i) {
        servers.push_back(server("s" + std::to_string(i), i < 3 ? "a" : "b", 1, 8));
    }
    applyMoves(servers, planPlacement(servers, {TARGET}, 100));
    servers[1].available = false;
    servers.push_back(server("spare", "c", 1, 8));
    const std::vector<placement_reassignment> moves = planPlacement(servers, {TARGET}, 100);
    REQUIRE(moves.size() == 1);
    CHECK(moves[0].server == server_id{"spare"});
    CHECK(moves[0].holdings == std::vector<holding>{{TARGET.model, "v1", servers[1].holdings[0].range}});
}

TEST_CASE("a new version takes servers only if the old version keeps a complete pipeline", "[unit]")
{
    std::vector<placement_server> servers;
    for (int i = 0; i < 6; ++i) {
        servers.push_back(server("s" + std::to_string(i), i < 3 ? "a" : "b", 1, 8));
    }
    const placement_target next{model_id{"m"}, "v2", 24, 1};
    applyMoves(servers, planPlacement(servers, {TARGET}, 100));
    for (int round = 0; round < 3; ++round) {
        const std::vector<placement_reassignment> moves = planPlacement(servers, {TARGET, next}, 2);
        for (const placement_reassignment &move : moves) {
            applyMoves(servers, {move});
            CHECK(pipelineRate(servers, TARGET.model, "v1", 24) > 0);
        }
    }
    CHECK(pipelineRate(servers, next.model, "v2", 24) > 0);
    std::vector<placement_server> three(servers.begin(), servers.begin() + 3);
    for (placement_server &one : three) {
        one.holdings.clear();
    }
    applyMoves(three, planPlacement(three, {TARGET}, 100));
    CHECK(planPlacement(three, {TARGET, next}, 100).empty());
}

TEST_CASE("a paused lease holder sends no order after another has taken over, with and without fencing engines", "[failure]")
{
    const bool checksFence = GENERATE(true, false);
    cluster::options options;
    options.controllers = true;
    options.checksFence = checksFence;
    cluster all(options);
    all.publish();
    const auto holderOf = [&](int controller) {
        return nlohmann::json::parse(
                   request("GET", "http://" + all.controllers[static_cast<std::size_t>(controller)]->address() + "/operator/placement").body)["is_holder"]
            == true;
    };
    REQUIRE(eventually([&] { return holderOf(0) || holderOf(1); }));
    const int holder = holderOf(0) ? 0 : 1;
    all.controllers[static_cast<std::size_t>(holder)]->signal(SIGSTOP);
    REQUIRE(eventually([&] { return holderOf(1 - holder); }));
    // Makes both controllers want to send orders: the new holder, and the old one if it still considered its lease valid.
    all.engine(0, 0).setFaults({{"leaving", true}});
    request("POST", all.engine(1, 0).url() + "/v1/orders", R"({"fence":1000000,"holds":[]})");
    all.controllers[static_cast<std::size_t>(holder)]->signal(SIGCONT);
    ::usleep(1'500'000);
    CHECK_FALSE((holderOf(0) && holderOf(1)));
    for (const auto &engine : all.engines) {
        const auto report = nlohmann::json::parse(request("GET", engine->url() + "/v1/report").body);
        const bool tampered = engine.get() == &all.engine(1, 0);
        CHECK((tampered || report["stale_orders"] == 0));
    }
    CHECK(eventually([&] { return answerText(all.chat(0, "still served", 5)) == all.expected("still served", 5); }));
}

TEST_CASE("controllers refill a lost stage, and killing the lease holder cuts no stream", "[failure]")
{
    cluster::options options;
    options.controllers = true;
    options.enginesPerStage = 3;
    cluster all(options);
    all.publish();
    REQUIRE(eventually([&] { return answerText(all.chat(0, "placed", 5)) == all.expected("placed", 5); }));
    auto streams = sendInBackground({all.chatRequest(0, "long", 200), all.chatRequest(1, "longer", 200)});
    // Wait until both streams have started: a request that has not started is refused, correctly, once no chain is left.
    REQUIRE(eventually([&] {
        int tokens = 0;
        for (int i = 0; i < 3; ++i) {
            tokens += nlohmann::json::parse(request("GET", all.engine(0, i).url() + "/v1/report").body)["tokens"].get<int>();
        }
        return tokens >= 25;
    }));
    all.controllers[0]->kill();
    for (int i = 0; i < 3; ++i) {
        all.engine(0, i).setFaults({{"leaving", true}});
    }
    const auto answers = streams.get();
    CHECK(answerText(answers[0]) == all.expected("long", 200));
    CHECK(answerText(answers[1]) == all.expected("longer", 200));
    CHECK(eventually([&] { return answerText(all.chat(2, "repaired", 5)) == all.expected("repaired", 5); }));
}
