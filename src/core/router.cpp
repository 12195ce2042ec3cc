#include "core/chestnutgw.h"

#include <algorithm>
#include <limits>

namespace chestnut
{

namespace
{

// Maximum number of servers evaluated per start layer. Larger sets are sampled, so that the time of a routing decision does not grow
// with the fleet.
constexpr std::size_t MAX_CANDIDATES_PER_STAGE = 24;

constexpr double LOAD_PENALTY_SHARE = 0.1; // load penalty at full slots, as a share of the service time

// A server and layer range that may become a stage, with the cheapest chain that ends in it.
struct candidate
{
    const fleet_server *server = nullptr;
    layer_range range;
    double cost = std::numeric_limits<double>::infinity(); // of the cheapest chain from layer 0 to the end of this stage
    const candidate *previous = nullptr;                   // preceding stage of that chain
};

using candidates_by_start = std::map<int, std::vector<candidate>>;

// All usable servers with a range of the wanted model version.
candidates_by_start collectCandidates(const fleet &servers, const route_query &query)
{
    candidates_by_start found;
    for (const auto &[id, server] : servers.servers) {
        if (query.avoid.contains(id) || !server.unusableReason(query.now).empty()) {
            continue;
        }
        for (const holding &part : server.report->holdings) {
            if (part.model == query.model && part.version == query.version && part.range.count() > 0) {
                found[part.range.first].push_back({&server, part.range});
            }
        }
    }
    return found;
}

// Reduces the list to a random sample (partial Fisher-Yates shuffle).
void sampleCandidates(std::vector<candidate> &all, pcg32 &random)
{
    if (all.size() <= MAX_CANDIDATES_PER_STAGE) {
        return;
    }
    for (std::size_t i = 0; i < MAX_CANDIDATES_PER_STAGE; ++i) {
        const std::size_t other = i + random(static_cast<std::uint32_t>(all.size() - i));
        std::swap(all[i], all[other]);
    }
    all.resize(MAX_CANDIDATES_PER_STAGE);
}

// Builds the chain that ends in the given stage.
pipeline_chain buildChain(const candidate &last)
{
    pipeline_chain chain;
    chain.cost = last.cost;
    for (const candidate *at = &last; at != nullptr; at = at->previous) {
        chain.stages.push_back({at->server->id, at->server->address, at->range});
    }
    std::reverse(chain.stages.begin(), chain.stages.end());
    return chain;
}

}

double predictStageMs(const fleet &servers, const fleet_server *previous, const fleet_server &server, const layer_range &range)
{
    const server_report &report = *server.report;
    const double serviceMs = report.layerMs * range.count() * server.delayFactor;
    const int streams = std::max(server.inFlight, report.streams + server.startedSinceReport - server.endedSinceReport);
    // With more streams than slots, each token waits until a slot is free.
    const double waitFactor = std::max(1.0, static_cast<double>(streams + 1) / std::max(1, report.slots));
    const double linkMs = servers.linkMs(previous != nullptr ? previous->id : server_id(), server.id);
    // A small penalty for load below saturation spreads streams over servers, so that the failure of one server affects fewer of them.
    const double loadPenaltyMs = LOAD_PENALTY_SHARE * serviceMs * streams / std::max(1, report.slots);
    return serviceMs * waitFactor + loadPenaltyMs + linkMs;
}

// Shortest path by dynamic programming. Start layers are visited in ascending order, so every stage that ends at a layer has its final
// cost before the stages that start there are evaluated.
std::optional<pipeline_chain> chooseChain(const fleet &servers, const route_query &query, routing_policy &policy, pcg32 &random)
{
    candidates_by_start byStart = collectCandidates(servers, query);
    std::map<int, std::vector<const candidate *>> byEnd; // reachable stages by the end of their range
    std::vector<const candidate *> finalStages;
    for (auto &[start, stages] : byStart) {
        if (start != 0 && !byEnd.contains(start)) {
            continue; // no chain from layer 0 ends here
        }
        sampleCandidates(stages, random);
        for (candidate &stage : stages) {
            if (start == 0) {
                stage.cost = policy.stageCost(servers, nullptr, *stage.server, stage.range, random);
            }
            for (const candidate *before : byEnd[start]) {
                const double cost = before->cost + policy.stageCost(servers, before->server, *stage.server, stage.range, random);
                if (cost < stage.cost) {
                    stage.cost = cost;
                    stage.previous = before;
                }
            }
            if (stage.range.last == query.layers) {
                finalStages.push_back(&stage);
            } else {
                byEnd[stage.range.last].push_back(&stage);
            }
        }
    }
    if (finalStages.empty()) {
        return std::nullopt;
    }
    const candidate *best
        = *std::min_element(finalStages.begin(), finalStages.end(), [](const candidate *left, const candidate *right) { return left->cost < right->cost; });
    pipeline_chain chain = buildChain(*best);
    policy.onChainChosen(chain);
    return chain;
}

}
