#include "core/layer_path.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

namespace chestnut
{

namespace
{

constexpr double INFINITE = std::numeric_limits<double>::infinity();
constexpr double MAX_FILL_PENALTY_MS = 6; // for a stage without free KV capacity or slots

struct partial_path
{
    double cost = INFINITE;
    int fromLayer = -1;         // first layer of the last stage
    int candidate = -1;         // server of the last stage
    int previousCandidate = -1; // candidate of the stage before it, -1 = none
};

// Cheapest known partial path for each (end layer, candidate of the last stage).
using partial_path_table = std::vector<std::vector<partial_path>>;

double fillPenalty(double used, double capacity)
{
    const double share = capacity > 0 ? std::min(1.0, used / capacity) : 1.0;
    return MAX_FILL_PENALTY_MS * share * share;
}

// Penalties of a candidate, which all its stages share.
struct fill_penalties
{
    explicit fill_penalties(const stage_candidate &candidate)
        : tokens(fillPenalty(candidate.usedTokens, candidate.kvCapacity))
        , slots(fillPenalty(candidate.running, candidate.slots))
    {
    }

    double tokens;
    double slots; // of a first stage
};

double stageCost(const stage_candidate &candidate, const fill_penalties &fill, const path_query &query, int first, int count)
{
    return candidate.msPerLayer * count + query.stageOverheadMs + candidate.penaltyMs + fill.tokens + (first == 0 ? fill.slots : 0);
}

// Stage cost less what the candidate need not prefill.
double reducedStageCost(const stage_candidate &candidate, const fill_penalties &fill, const path_query &query, int first, int count)
{
    const double cost = stageCost(candidate, fill, query, first, count);
    return candidate.prefix.sumMs.empty() ? cost : std::max(0.0, cost - candidate.prefix.ms({first, first + count}));
}

// A server that runs nothing takes any request: the headroom of a small one could be less than a request needs.
bool usable(const stage_candidate &candidate, const path_query &query, int layer)
{
    if (candidate.server->held.count() <= 0) {
        return false;
    }
    const double headroom = candidate.usedTokens > 0 ? query.headroom : 0;
    const double slots = candidate.slots - std::floor(headroom * candidate.slots);
    const double kvCapacity = candidate.kvCapacity - headroom * candidate.kvCapacity;
    const bool hasSlot = layer > 0 || candidate.running + 1 <= slots;
    return query.ignoreCapacity || (hasSlot && candidate.usedTokens + query.tokens <= kvCapacity);
}

// Layers at which a stage may hand over to the next one: the first layers of all servers, and the end of the model.
std::vector<bool> handoverPoints(const std::vector<stage_candidate> &candidates, int layers)
{
    std::vector<bool> points(layers + 1, false);
    points[layers] = true;
    for (const stage_candidate &candidate : candidates) {
        const int first = candidate.server->held.first;
        if (first >= 0 && first < layers) {
            points[first] = true;
        }
    }
    return points;
}

// If a server appears in two stages, merges them and drops the stages in between: the server holds their layers too.
void mergeRepeatedServers(std::vector<path_stage> &path)
{
    for (std::size_t i = 0; i < path.size(); ++i) {
        for (std::size_t j = path.size() - 1; j > i; --j) {
            if (path[j].server == path[i].server) {
                path[i].range.last = path[j].range.last;
                path.erase(path.begin() + static_cast<std::ptrdiff_t>(i) + 1, path.begin() + static_cast<std::ptrdiff_t>(j) + 1);
                break;
            }
        }
    }
}

std::vector<path_stage> reconstructPath(const std::vector<stage_candidate> &candidates, const partial_path_table &best, int layers, int last)
{
    std::vector<path_stage> path;
    int layer = layers;
    while (layer > 0) {
        const partial_path &taken = best[layer][last];
        const listed_server &server = *candidates[taken.candidate].server;
        path.push_back({server.id, server.address, server.domain, {taken.fromLayer, layer}});
        layer = taken.fromLayer;
        last = taken.previousCandidate;
    }
    std::reverse(path.begin(), path.end());
    mergeRepeatedServers(path);
    return path;
}

}

double pathCost(const std::vector<path_stage> &path, const std::vector<stage_candidate> &candidates, const path_query &query)
{
    double cost = !path.empty() && path.front().domain != query.from ? query.entryHopMs : 0;
    for (std::size_t i = 0; i < path.size(); ++i) {
        const path_stage &stage = path[i];
        const auto candidate = std::find_if(candidates.begin(), candidates.end(), [&](const stage_candidate &one) { return one.server->id == stage.server; });
        cost += candidate == candidates.end() ? INFINITE : stageCost(*candidate, fill_penalties(*candidate), query, stage.range.first, stage.range.count());
        cost += i > 0 && path[i - 1].domain != stage.domain ? query.domainHopMs : 0;
    }
    const bool leaves = !path.empty() && query.to && path.back().domain != *query.to;
    return cost + (leaves ? query.domainHopMs : 0);
}

std::optional<std::vector<path_stage>> findPath(const std::vector<stage_candidate> &candidates, const path_query &query)
{
    const int layers = query.layers;
    const int count = static_cast<int>(candidates.size());
    if (layers <= 0 || count == 0) {
        return std::nullopt;
    }
    const std::vector<bool> points = handoverPoints(candidates, layers);
    // It suffices to keep the cheapest partial path for each layer and failure domain: the cost of what follows depends on
    // the last stage by its domain only.
    std::map<domain_id, int> domainIndex;
    std::vector<int> domainOf(count);
    for (int i = 0; i < count; ++i) {
        const auto [entry, added] = domainIndex.emplace(candidates[i].server->domain, static_cast<int>(domainIndex.size()));
        domainOf[i] = entry->second;
    }
    const std::vector<fill_penalties> fills(candidates.begin(), candidates.end());
    const int domains = static_cast<int>(domainIndex.size());
    partial_path_table best(layers + 1, std::vector<partial_path>(count));
    std::vector<std::vector<int>> cheapest(layers + 1, std::vector<int>(domains, -1)); // candidate with the lowest cost
    for (int layer = 0; layer < layers; ++layer) {
        for (int next = 0; next < count; ++next) {
            const stage_candidate &candidate = candidates[next];
            const layer_range held = candidate.server->held;
            if (held.first > layer || held.last <= layer || held.last > layers || !usable(candidate, query, layer)) {
                continue;
            }
            double arrival = INFINITE;
            int from = -1;
            if (layer == 0) {
                arrival = candidate.server->domain == query.from ? 0 : query.entryHopMs;
            }
            for (int domain = 0; domain < domains && layer > 0; ++domain) {
                const int last = cheapest[layer][domain];
                if (last < 0) {
                    continue;
                }
                const double cost = best[layer][last].cost + (domain == domainOf[next] ? 0 : query.domainHopMs);
                if (cost < arrival) {
                    arrival = cost;
                    from = last;
                }
            }
            if (arrival == INFINITE) {
                continue;
            }
            for (int end = layer + 1; end <= held.last; ++end) {
                if (!points[end] && end != held.last) {
                    continue;
                }
                const double cost = arrival + reducedStageCost(candidate, fills[next], query, layer, end - layer);
                if (cost < best[end][next].cost) {
                    best[end][next] = {cost, layer, next, from};
                    int &cheapestHere = cheapest[end][domainOf[next]];
                    if (cheapestHere < 0 || cost <= best[end][cheapestHere].cost) {
                        cheapestHere = next;
                    }
                }
            }
        }
    }
    int last = -1;
    double least = INFINITE;
    for (int domain = 0; domain < domains; ++domain) {
        const int candidate = cheapest[layers][domain];
        if (candidate < 0) {
            continue;
        }
        const bool leaves = query.to && candidates[candidate].server->domain != *query.to;
        const double cost = best[layers][candidate].cost + (leaves ? query.domainHopMs : 0);
        if (cost < least) {
            least = cost;
            last = candidate;
        }
    }
    if (last < 0) {
        return std::nullopt;
    }
    std::vector<path_stage> path = reconstructPath(candidates, best, layers, last);
    if (!isCompletePath(path, layers) || path.size() > MAX_STAGES) {
        return std::nullopt;
    }
    return path;
}

bool isCompletePath(const std::vector<path_stage> &path, int layers)
{
    int next = 0;
    std::set<server_id> seen;
    for (const path_stage &stage : path) {
        if (stage.range.first != next || stage.range.count() <= 0 || !seen.insert(stage.server).second) {
            return false;
        }
        next = stage.range.last;
    }
    return next == layers;
}

const char *toText(path_failure_reason failureReason)
{
    static constexpr const char *NAMES[] = {"none", "unheld", "avoided", "full", "reserved"};
    return NAMES[static_cast<int>(failureReason)];
}

path_gap explainNoPath(const std::vector<layer_range> &holders, const std::vector<stage_candidate> &candidates, const path_query &query)
{
    const auto covers = [](const layer_range &range, int layer) { return range.first <= layer && layer < range.last; };
    path_query mostUrgent = query;
    mostUrgent.headroom = 0;
    const auto reasonAt = [&](int layer) {
        if (std::none_of(holders.begin(), holders.end(), [&](const layer_range &held) { return covers(held, layer); })) {
            return path_failure_reason::unheld;
        }
        const auto holds = [&](const stage_candidate &candidate) { return covers(candidate.server->held, layer); };
        if (std::none_of(candidates.begin(), candidates.end(), holds)) {
            return path_failure_reason::avoided;
        }
        const auto takes = [&](const path_query &asked) {
            return std::any_of(candidates.begin(), candidates.end(),
                               [&](const stage_candidate &candidate) { return holds(candidate) && usable(candidate, asked, layer); });
        };
        if (takes(query)) {
            return path_failure_reason::none;
        }
        return query.headroom > 0 && takes(mostUrgent) ? path_failure_reason::reserved : path_failure_reason::full;
    };
    path_gap worst;
    for (int layer = 0; layer < query.layers; ++layer) {
        const path_failure_reason failureReason = reasonAt(layer);
        const bool worse
            = failureReason != path_failure_reason::none && (worst.failureReason == path_failure_reason::none || failureReason < worst.failureReason);
        if (worse) {
            worst = {failureReason, {layer, layer + 1}};
        } else if (failureReason == worst.failureReason && worst.layers.last == layer) {
            worst.layers.last = layer + 1;
        }
    }
    return worst;
}

}
