// Tests how paths use the network between failure domains.

#include "core/domain_link.h"
#include "core/layer_path.h"
#include "core/server_health.h"

#include <catch2/catch.hpp>
#include <limits>
#include <set>

using namespace chestnut;

namespace
{

struct placed_range
{
    const char *domain;
    layer_range range;
};

std::vector<listed_server> makeServers(const std::vector<placed_range> &ranges)
{
    std::vector<listed_server> servers;
    for (const placed_range &one : ranges) {
        const std::string name = one.domain + std::to_string(one.range.first) + "-" + std::to_string(servers.size());
        servers.push_back({server_id{name}, service_id{"pool"}, name, domain_id{one.domain}, false, 192, "k", one.range});
    }
    return servers;
}

// Candidates of equal speed; those in domain "a" are half as slow, so that a path prefers them.
std::vector<stage_candidate> makeCandidates(const std::vector<listed_server> &servers)
{
    std::vector<stage_candidate> candidates;
    for (const listed_server &server : servers) {
        stage_candidate candidate;
        candidate.server = &server;
        candidate.msPerLayer = server.domain.text == "a" ? 0.05 : 0.1;
        candidate.kvCapacity = 100'000;
        candidates.push_back(candidate);
    }
    return candidates;
}

path_query makeQuery(double hopMs)
{
    path_query query;
    query.from = domain_id{"a"};
    query.layers = 80;
    query.tokens = 900;
    query.domainHopMs = hopMs;
    query.entryHopMs = 5;
    return query;
}

std::set<std::string> domainsOf(const std::vector<path_stage> &path)
{
    std::set<std::string> domains;
    for (const path_stage &stage : path) {
        domains.insert(stage.domain.text);
    }
    return domains;
}

engine_profile makeEngine()
{
    engine_profile engine;
    engine.layers = 80;
    engine.activationBytes = 16'000;
    engine.interDomainMbps = 1000;
    return engine;
}

}

TEST_CASE("a path begins in another failure domain rather than hand a prompt over to it", "[unit]")
{
    const auto servers = makeServers({{"a", {0, 20}}, {"a", {20, 40}}, {"b", {0, 20}}, {"b", {20, 40}}, {"b", {40, 60}}, {"b", {60, 80}}});
    const auto path = findPath(makeCandidates(servers), makeQuery(15));
    REQUIRE(path);
    CHECK(domainsOf(*path) == std::set<std::string>{"b"});
}

TEST_CASE("a path hands over between failure domains only if no domain holds all layers", "[unit]")
{
    const auto servers = makeServers({{"a", {0, 40}}, {"b", {40, 80}}});
    const auto path = findPath(makeCandidates(servers), makeQuery(15));
    REQUIRE(path);
    CHECK(countDomainHops(*path) == 1);
    CHECK_FALSE(findPath(makeCandidates(servers), makeQuery(std::numeric_limits<double>::infinity())));
}

TEST_CASE("a stage is replaced in the failure domain of its neighbours", "[unit]")
{
    const auto servers = makeServers({{"a", {0, 80}}, {"b", {0, 40}}, {"b", {40, 80}}});
    path_query query = makeQuery(15);
    query.entryHopMs = query.domainHopMs;
    query.from = domain_id{"b"};
    query.to = domain_id{"b"};
    const auto between = findPath(makeCandidates(servers), query);
    REQUIRE(between);
    CHECK(domainsOf(*between) == std::set<std::string>{"b"});
    query.to = std::nullopt;
    CHECK(findPath(makeCandidates(servers), query));
    query.domainHopMs = query.entryHopMs = std::numeric_limits<double>::infinity();
    query.to = domain_id{"a"};
    CHECK_FALSE(findPath(makeCandidates(servers), query));
}

TEST_CASE("a hop between failure domains costs more the more prompts wait for it and is not made beyond the patience", "[unit]")
{
    const engine_profile engine = makeEngine();
    const milliseconds patience{250};
    CHECK(domainTransferMs(engine, 900) == Approx(115.2));
    const double idle = domainHopCostMs(engine, {0, patience}, 900);
    const double busy = domainHopCostMs(engine, {1500, patience}, 900);
    CHECK(idle < busy);
    CHECK(std::isfinite(busy));
    CHECK(std::isinf(domainHopCostMs(engine, {2500, patience}, 900)));
    CHECK(std::isfinite(domainHopCostMs(engine, {0, milliseconds(0)}, 900))); // an idle network takes any prompt
    engine_profile unlimited = engine;
    unlimited.interDomainMbps = 0;
    CHECK(std::isfinite(domainHopCostMs(unlimited, {1e9, patience}, 900)));
}

TEST_CASE("only hops with a new stage load the network again when a path changes", "[unit]")
{
    const auto stage = [](const char *name, const char *domain, layer_range range) { return path_stage{server_id{name}, name, domain_id{domain}, range}; };
    const std::vector<path_stage> before{stage("x", "a", {0, 20}), stage("y", "b", {20, 40}), stage("z", "b", {40, 80})};
    std::vector<path_stage> after = before;
    after[2] = stage("w", "b", {40, 80});
    CHECK(countNewDomainHops(before, after) == 0);
    after[2] = stage("w", "c", {40, 80});
    CHECK(countNewDomainHops(before, after) == 1);
    after[1] = stage("v", "c", {20, 40});
    CHECK(countNewDomainHops(before, after) == 1);
    CHECK(countDomainHops(before) == 1);
}

TEST_CASE("a stage that goes on refusing is asked less often and one that serves others soon again", "[unit]")
{
    const steady_time start = steady_time() + seconds(1000);
    server_health health;
    steady_time now = start;
    int asked = 0;
    for (; now < start + seconds(10); now += milliseconds(10)) {
        if (!health.avoided("x", now)) {
            ++asked;
            health.noteFailure("x", failure_kind::stage_refused, now);
        }
    }
    CHECK(asked <= 8);
    CHECK_FALSE(health.unresponsive("x", now)); // streams that run there go on
    health.noteAlive("x", now);
    now += seconds(3);
    health.noteFailure("x", failure_kind::stage_refused, now);
    CHECK_FALSE(health.avoided("x", now + milliseconds(160)));
}
