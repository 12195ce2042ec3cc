#include "core/chestnutgw.h"

#include <algorithm>
#include <limits>

namespace chestnut
{

namespace
{

constexpr std::size_t CANDIDATES_PER_STAGE = 24; // servers rated for one position; more are sampled, so that the cost of a choice does not grow with the fleet

constexpr double SPREAD_SHARE = 0.1; // of the service time, at full slots

struct candidate
{
    const fleet_server *server = nullptr;
    layer_range range;
    double cost = std::numeric_limits<double>::infinity(); // cheapest way from layer 0 to the end of this stage
    const candidate *previous = nullptr;                   // stage before on that way
};

using candidates_by_start = std::map<int, std::vector<candidate>>;

candidates_by_start collectCandidates(const fleet &servers, const route_query &query)
{
    candidates_by_start found;
    for (const auto &[id, server] : servers.servers) {
        if (query.avoid.contains(id) || !server.unusable(query.now).empty()) {
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

void sampleCandidates(std::vector<candidate> &all, pcg32 &random)
{
    if (all.size() <= CANDIDATES_PER_STAGE) {
        return;
    }
    for (std::size_t i = 0; i < CANDIDATES_PER_STAGE; ++i) {
        const std::size_t other = i + random(static_cast<std::uint32_t>(all.size() - i));
        std::swap(all[i], all[other]);
    }
    all.resize(CANDIDATES_PER_STAGE);
}

pipeline_chain unwind(const candidate &last)
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
    // With more streams than slots, each token waits for its turn.
    const double turns = std::max(1.0, static_cast<double>(streams + 1) / std::max(1, report.slots));
    const double linkMs = servers.linkMs(previous != nullptr ? previous->id : server_id(), server.id);
    // Below saturation the load still counts a little: it spreads streams, and so what one failure hits.
    const double spread = SPREAD_SHARE * serviceMs * streams / std::max(1, report.slots);
    return serviceMs * turns + spread + linkMs;
}

std::optional<pipeline_chain> chooseChain(const fleet &servers, const route_query &query, routing_policy &policy, pcg32 &random)
{
    candidates_by_start byStart = collectCandidates(servers, query);
    std::map<int, std::vector<const candidate *>> byEnd; // reached stages by the layer they end before
    std::vector<const candidate *> finals;
    for (auto &[start, stages] : byStart) {
        if (start != 0 && !byEnd.contains(start)) {
            continue; // no chain reaches this layer
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
                finals.push_back(&stage);
            } else {
                byEnd[stage.range.last].push_back(&stage);
            }
        }
    }
    if (finals.empty()) {
        return std::nullopt;
    }
    const candidate *best
        = *std::min_element(finals.begin(), finals.end(), [](const candidate *left, const candidate *right) { return left->cost < right->cost; });
    pipeline_chain chain = unwind(*best);
    policy.chosen(chain);
    return chain;
}

}
