// Sections: KV capacity, placement of empty servers, repair of gaps, rebalancing of a failure domain.

#include "core/layer_placement.h"

#include <algorithm>
#include <cmath>

namespace chestnut
{

namespace
{

using domain_members = std::map<domain_id, std::vector<placed_server>>;

constexpr double TOTAL_CAPACITY_WEIGHT = 0.04;   // weight of the total KV capacity: it breaks ties between layers
constexpr double FALLBACK_MIN_KV_TOKENS = 2'000; // two requests: less is of no use
constexpr double FALLBACK_KV_STEP_TOKENS = 1'000;
constexpr double SCARCITY_OFFSET_TOKENS = 8'000; // keeps the scarcity of a layer without capacity finite

// KV capacity at each layer, in tokens.
struct layer_kv_capacity
{
    std::vector<double> own;   // in the failure domain
    std::vector<double> total; // in all domains

    void add(const engine_profile &engine, const placed_server &server, const layer_range &range, bool sameDomain)
    {
        for (int layer = range.first; layer < range.last; ++layer) {
            const double tokens = kvCapacityAtLayer(engine, server, range, layer);
            total[layer] += tokens;
            own[layer] += sameDomain ? tokens : 0;
        }
    }
};

domain_members groupByDomain(const engine_profile &engine, const std::vector<placed_server> &servers)
{
    domain_members groups;
    for (const placed_server &server : servers) {
        if (engine.kinds.contains(server.accelerator) && server.range.first >= 0 && server.range.last <= engine.layers) {
            groups[server.domain].push_back(server);
        }
    }
    return groups;
}

layer_range scarcestRange(const layer_kv_capacity &capacity, int layers, int count)
{
    layer_range best{0, count};
    double bestScarcity = -1;
    for (int first = 0; first + count <= layers; ++first) {
        double sum = 0;
        for (int layer = first; layer < first + count; ++layer) {
            sum += kvScarcity(capacity.own[layer], capacity.total[layer]);
        }
        if (sum > bestScarcity * (1 + 1e-9)) {
            bestScarcity = sum;
            best = {first, first + count};
        }
    }
    return best;
}

}

//-----------------------------------------------------------------------------
// KV capacity
//-----------------------------------------------------------------------------

double kvCapacityAtLayer(const engine_profile &engine, const placed_server &server, layer_range range, int layer)
{
    const double tokens = engine.kvCapacityTokens(engine.kinds.at(server.accelerator), range.count());
    const double meanRequestTokens = engine.meanPromptTokens + engine.meanOutputTokens;
    const bool bounded = layer == 0 && server.slots > 0 && meanRequestTokens > 0;
    return bounded ? std::min(tokens, server.slots * meanRequestTokens) : tokens;
}

double kvScarcity(double ownTokens, double totalTokens)
{
    const double capacity = ownTokens + TOTAL_CAPACITY_WEIGHT * totalTokens + SCARCITY_OFFSET_TOKENS;
    return 1e9 / (capacity * capacity);
}

int layersWithKvCapacity(const engine_profile &engine, const accelerator_kind &kind, double kvCapacity)
{
    const double perLayerMb = engine.layerMb + engine.kvBytesPerToken / engine.layers * kvCapacity / 1e6;
    return std::clamp(static_cast<int>(std::floor(kind.memoryMb / perLayerMb)), 0, engine.layers);
}

double chooseKvCapacity(const engine_profile &engine, const std::vector<placed_server> &domainServers, const placement_limits &limits)
{
    const auto layersAt = [&](double capacity) {
        int sum = 0;
        for (const placed_server &server : domainServers) {
            sum += layersWithKvCapacity(engine, engine.kinds.at(server.accelerator), capacity);
        }
        return sum;
    };
    for (double capacity = limits.maxKvCapacity; capacity >= limits.minKvCapacity; capacity -= limits.kvCapacityStep) {
        if (layersAt(capacity) >= engine.layers * limits.targetCopies) {
            return capacity;
        }
    }
    for (double capacity = limits.maxKvCapacity; capacity >= FALLBACK_MIN_KV_TOKENS; capacity -= FALLBACK_KV_STEP_TOKENS) {
        if (layersAt(capacity) >= engine.layers) {
            return capacity;
        }
    }
    return FALLBACK_MIN_KV_TOKENS;
}

//-----------------------------------------------------------------------------
// Placement of empty servers
//-----------------------------------------------------------------------------

std::vector<layer_assignment> planPlacement(const engine_profile &engine, const std::vector<placed_server> &servers, const placement_limits &limits)
{
    domain_members groups = groupByDomain(engine, servers);
    std::vector<double> total(engine.layers, 0);
    for (const auto &[domain, members] : groups) {
        layer_kv_capacity anywhere{std::vector<double>(engine.layers, 0), total};
        for (const placed_server &server : members) {
            if (!server.lost) {
                anywhere.add(engine, server, server.range, false);
            }
        }
        total = anywhere.total;
    }
    std::vector<layer_assignment> plan;
    for (auto &[domain, members] : groups) {
        const double wanted = chooseKvCapacity(engine, members, limits);
        layer_kv_capacity capacity{std::vector<double>(engine.layers, 0), total};
        for (const placed_server &server : members) {
            if (!server.lost) {
                for (int layer = server.range.first; layer < server.range.last; ++layer) {
                    capacity.own[layer] += kvCapacityAtLayer(engine, server, server.range, layer);
                }
            }
        }
        std::sort(members.begin(), members.end(), [&](const placed_server &left, const placed_server &right) {
            const double leftMb = engine.kinds.at(left.accelerator).memoryMb;
            const double rightMb = engine.kinds.at(right.accelerator).memoryMb;
            return leftMb != rightMb ? leftMb > rightMb : left.id < right.id;
        });
        for (const placed_server &server : members) {
            const int count = layersWithKvCapacity(engine, engine.kinds.at(server.accelerator), wanted);
            if (server.range.count() > 0 || server.lost || count <= 0) {
                continue;
            }
            const layer_range range = scarcestRange(capacity, engine.layers, count);
            capacity.add(engine, server, range, true);
            plan.push_back({server.id, range});
        }
        total = capacity.total;
    }
    return plan;
}

//-----------------------------------------------------------------------------
// Repair of gaps
//-----------------------------------------------------------------------------

namespace
{

// Layer ranges that no live server holds.
std::vector<layer_range> gapsOf(const std::vector<placed_server> &members, int layers)
{
    std::vector<bool> covered(layers, false);
    for (const placed_server &server : members) {
        for (int layer = server.range.first; layer < server.range.last && !server.lost; ++layer) {
            covered[layer] = true;
        }
    }
    std::vector<layer_range> gaps;
    for (int layer = 0; layer < layers; ++layer) {
        if (covered[layer]) {
            continue;
        }
        if (gaps.empty() || gaps.back().last != layer) {
            gaps.push_back({layer, layer});
        }
        gaps.back().last = layer + 1;
    }
    return gaps;
}

// Maximum number of layers that a server may hold to close a gap.
int maxExtendedLayers(const engine_profile &engine, const placed_server &server, const placement_limits &limits)
{
    return layersWithKvCapacity(engine, engine.kinds.at(server.accelerator), limits.minExtendedKvCapacity);
}

// The live server adjacent to one end of a gap that can take the most additional layers; null if none can take any.
const placed_server *bestAdjacentServer(const engine_profile &engine, const std::vector<placed_server> &members, const placement_limits &limits, int edge,
                                        bool below)
{
    const placed_server *best = nullptr;
    int bestSpare = 0;
    for (const placed_server &server : members) {
        const bool adjacent = below ? server.range.last == edge : server.range.first == edge;
        if (server.lost || server.changing || server.range.count() <= 0 || !adjacent) {
            continue;
        }
        const int spare = maxExtendedLayers(engine, server, limits) - server.range.count();
        if (spare > bestSpare) {
            bestSpare = spare;
            best = &server;
        }
    }
    return best;
}

}

std::vector<layer_assignment> planRepair(const engine_profile &engine, const std::vector<placed_server> &servers, const placement_limits &limits)
{
    std::vector<layer_assignment> plan;
    for (const auto &[domain, members] : groupByDomain(engine, servers)) {
        for (const layer_range &gap : gapsOf(members, engine.layers)) {
            if (gap.count() == engine.layers) {
                continue; // the domain holds no layers: left to planPlacement()
            }
            const placed_server *below = bestAdjacentServer(engine, members, limits, gap.first, true);
            const placed_server *above = bestAdjacentServer(engine, members, limits, gap.last, false);
            const int spareBelow = below == nullptr ? 0 : maxExtendedLayers(engine, *below, limits) - below->range.count();
            const int spareAbove = above == nullptr ? 0 : maxExtendedLayers(engine, *above, limits) - above->range.count();
            if (spareBelow + spareAbove < gap.count()) {
                continue; // a gap that is closed in part is of no use
            }
            const double share = static_cast<double>(spareBelow) / (spareBelow + spareAbove);
            const int fromBelow = std::clamp(static_cast<int>(std::lround(share * gap.count())), gap.count() - spareAbove, spareBelow);
            if (fromBelow > 0) {
                plan.push_back({below->id, {below->range.first, gap.first + fromBelow}});
            }
            if (fromBelow < gap.count()) {
                plan.push_back({above->id, {gap.first + fromBelow, above->range.last}});
            }
        }
    }
    return plan;
}

//-----------------------------------------------------------------------------
// Rebalancing of a failure domain
//-----------------------------------------------------------------------------

std::vector<domain_id> gappedDomains(const engine_profile &engine, const std::vector<placed_server> &servers)
{
    std::vector<domain_id> found;
    for (const auto &[domain, members] : groupByDomain(engine, servers)) {
        const std::vector<layer_range> gaps = gapsOf(members, engine.layers);
        if (!gaps.empty() && gaps.front().count() < engine.layers) {
            found.push_back(domain);
        }
    }
    return found;
}

namespace
{

// A server between a gap and the free memory that closes it, with its new range.
struct shifted_server
{
    const placed_server *server;
    layer_range range;
};

layer_range mirrored(const layer_range &range, int layers)
{
    return {layers - range.last, layers - range.first};
}

// The live server that holds the layer below an edge and can extend furthest above it; null if there is none.
const placed_server *holderBelow(const engine_profile &engine, const std::vector<placed_server> &members, const placement_limits &limits, int edge)
{
    const placed_server *best = nullptr;
    int bestReach = 0;
    for (const placed_server &server : members) {
        const bool holds = server.range.first < edge && server.range.last >= edge;
        if (server.lost || server.changing || server.range.count() <= 0 || !holds) {
            continue;
        }
        const int reach = maxExtendedLayers(engine, server, limits) - server.range.count() + (server.range.last - edge);
        if (best == nullptr || reach > bestReach) {
            bestReach = reach;
            best = &server;
        }
    }
    return best;
}

// Shifts the servers below `edge` so that they cover the layers up to `wanted`: each takes layers at its upper end and gives
// up layers at its lower end for the next server to take. Empty if their memory does not suffice.
std::vector<shifted_server> shiftUp(const engine_profile &engine, const std::vector<placed_server> &members, const placement_limits &limits, int edge,
                                    int wanted)
{
    std::vector<shifted_server> shifts;
    while (wanted > edge) {
        const placed_server *server = holderBelow(engine, members, limits, edge);
        const bool used = std::any_of(shifts.begin(), shifts.end(), [server](const shifted_server &one) { return one.server == server; });
        if (server == nullptr || used) {
            return {};
        }
        if (server->range.last >= wanted) {
            return shifts; // another server covers these layers too, so nothing more has to shift
        }
        const int first = std::max(server->range.first, wanted - maxExtendedLayers(engine, *server, limits));
        if (first >= wanted) {
            return {};
        }
        shifts.push_back({server, {first, wanted}});
        edge = server->range.first;
        wanted = first;
    }
    return shifts;
}

}

std::vector<layer_assignment> planGapRebalance(const engine_profile &engine, const std::vector<placed_server> &servers, const domain_id &domain)
{
    const domain_members groups = groupByDomain(engine, servers);
    const auto found = groups.find(domain);
    if (found == groups.end()) {
        return {};
    }
    const std::vector<placed_server> &members = found->second;
    const std::vector<layer_range> gaps = gapsOf(members, engine.layers);
    if (gaps.empty() || gaps.front().count() == engine.layers) {
        return {};
    }
    const layer_range gap = gaps.front();
    std::vector<placed_server> mirroredMembers = members; // with the layers counted from the last one downwards
    for (placed_server &server : mirroredMembers) {
        server.range = server.range.count() > 0 ? mirrored(server.range, engine.layers) : layer_range{};
    }
    // Tries every split of the gap between both sides and takes the plan that reassigns the fewest servers.
    const placement_limits limits;
    std::vector<layer_assignment> best;
    for (int split = gap.first; split <= gap.last; ++split) {
        const auto below = shiftUp(engine, members, limits, gap.first, split);
        const auto above = shiftUp(engine, mirroredMembers, limits, engine.layers - gap.last, engine.layers - split);
        const bool whole = (split == gap.first || !below.empty()) && (split == gap.last || !above.empty());
        if (!whole || (!best.empty() && below.size() + above.size() >= best.size())) {
            continue;
        }
        std::vector<layer_assignment> plan;
        for (const shifted_server &shift : below) {
            plan.push_back({shift.server->id, shift.range});
        }
        bool twice = false;
        for (const shifted_server &shift : above) {
            twice = twice || std::any_of(plan.begin(), plan.end(), [&](const layer_assignment &one) { return one.server == shift.server->id; });
            plan.push_back({shift.server->id, mirrored(shift.range, engine.layers)});
        }
        if (!twice) {
            best = plan;
        }
    }
    return best;
}

}
