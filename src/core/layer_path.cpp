#include "core/layer_path.h"

#include <algorithm>
#include <limits>
#include <set>

namespace chestnut
{

namespace
{

constexpr double INFINITE = std::numeric_limits<double>::infinity();
constexpr double FULL_SURCHARGE_MS = 6; // for a stage without free KV capacity or slots

struct step
{
    double cost = INFINITE;
    int fromLayer = -1; // first layer of the last stage
    int candidate = -1; // server of the last stage
    int fromLast = -1;  // candidate of the stage before it, -1 = none
};

// Cheapest known partial path for each (end layer, candidate of the last stage).
using step_table = std::vector<std::vector<step>>;

double fullSurcharge(double used, double room)
{
    const double share = room > 0 ? std::min(1.0, used / room) : 1.0;
    return FULL_SURCHARGE_MS * share * share;
}

double stageCost(const stage_candidate &candidate, const path_question &question, int first, int count)
{
    const double asFirst = first == 0 ? fullSurcharge(candidate.running, candidate.slots) : 0;
    return candidate.msPerLayer * count + question.stageOverheadMs + candidate.surcharge + fullSurcharge(candidate.usedTokens, candidate.roomTokens) + asFirst;
}

bool usable(const stage_candidate &candidate, const path_question &question, int layer)
{
    if (candidate.server->held.count() <= 0) {
        return false;
    }
    const bool hasPlace = layer > 0 || candidate.running + 1 <= candidate.slots;
    return question.ignoreRoom || (hasPlace && candidate.usedTokens + question.tokens <= candidate.roomTokens);
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
void mergeRepeats(std::vector<path_stage> &path)
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

std::vector<path_stage> trace(const std::vector<stage_candidate> &candidates, const step_table &best, int layers, int last)
{
    std::vector<path_stage> path;
    int layer = layers;
    while (layer > 0) {
        const step &taken = best[layer][last];
        const listed_server &server = *candidates[taken.candidate].server;
        path.push_back({server.id, server.address, server.domain, {taken.fromLayer, layer}});
        layer = taken.fromLayer;
        last = taken.fromLast;
    }
    std::reverse(path.begin(), path.end());
    mergeRepeats(path);
    return path;
}

}

std::optional<std::vector<path_stage>> findPath(const std::vector<stage_candidate> &candidates, const path_question &question)
{
    const int layers = question.layers;
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
    const int domains = static_cast<int>(domainIndex.size());
    step_table best(layers + 1, std::vector<step>(count));
    std::vector<std::vector<int>> cheapest(layers + 1, std::vector<int>(domains, -1)); // candidate with the lowest cost
    for (int layer = 0; layer < layers; ++layer) {
        for (int next = 0; next < count; ++next) {
            const stage_candidate &candidate = candidates[next];
            const layer_range held = candidate.server->held;
            if (held.first > layer || held.last <= layer || held.last > layers || !usable(candidate, question, layer)) {
                continue;
            }
            double arrival = INFINITE;
            int from = -1;
            if (layer == 0) {
                arrival = candidate.server->domain == question.from ? 0 : question.domainHopMs;
            }
            for (int domain = 0; domain < domains && layer > 0; ++domain) {
                const int last = cheapest[layer][domain];
                if (last < 0) {
                    continue;
                }
                const double cost = best[layer][last].cost + (domain == domainOf[next] ? 0 : question.domainHopMs);
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
                const double cost = arrival + stageCost(candidate, question, layer, end - layer);
                if (cost < best[end][next].cost) {
                    best[end][next] = {cost, layer, next, from};
                    int &leader = cheapest[end][domainOf[next]];
                    if (leader < 0 || cost <= best[end][leader].cost) {
                        leader = next;
                    }
                }
            }
        }
    }
    int last = -1;
    for (int domain = 0; domain < domains; ++domain) {
        const int candidate = cheapest[layers][domain];
        if (candidate >= 0 && (last < 0 || best[layers][candidate].cost < best[layers][last].cost)) {
            last = candidate;
        }
    }
    if (last < 0) {
        return std::nullopt;
    }
    std::vector<path_stage> path = trace(candidates, best, layers, last);
    if (!isCompletePath(path, layers) || path.size() > MOST_STAGES) {
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

const char *toText(path_obstacle obstacle)
{
    static constexpr const char *NAMES[] = {"none", "unheld", "avoided", "full"};
    return NAMES[static_cast<int>(obstacle)];
}

path_gap explainNoPath(const std::vector<layer_range> &holders, const std::vector<stage_candidate> &candidates, const path_question &question)
{
    const auto covers = [](const layer_range &range, int layer) { return range.first <= layer && layer < range.last; };
    const auto obstacleAt = [&](int layer) {
        if (std::none_of(holders.begin(), holders.end(), [&](const layer_range &held) { return covers(held, layer); })) {
            return path_obstacle::unheld;
        }
        const auto holds = [&](const stage_candidate &candidate) { return covers(candidate.server->held, layer); };
        if (std::none_of(candidates.begin(), candidates.end(), holds)) {
            return path_obstacle::avoided;
        }
        const auto hasRoom = [&](const stage_candidate &candidate) { return holds(candidate) && usable(candidate, question, layer); };
        return std::any_of(candidates.begin(), candidates.end(), hasRoom) ? path_obstacle::none : path_obstacle::full;
    };
    path_gap worst;
    for (int layer = 0; layer < question.layers; ++layer) {
        const path_obstacle obstacle = obstacleAt(layer);
        const bool worse = obstacle != path_obstacle::none && (worst.obstacle == path_obstacle::none || obstacle < worst.obstacle);
        if (worse) {
            worst = {obstacle, {layer, layer + 1}};
        } else if (obstacle == worst.obstacle && worst.layers.last == layer) {
            worst.layers.last = layer + 1;
        }
    }
    return worst;
}

}
