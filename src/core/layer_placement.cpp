#include "core/layer_placement.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace chestnut
{

namespace
{

constexpr double OTHER_DOMAIN_SHARE = 0.05;    // weight of copies elsewhere: they only break ties
constexpr double FALLBACK_ROOM_TOKENS = 8'000; // a few requests: less is no use to anyone

struct coverage
{
    std::vector<double> own;   // copies of each layer in the failure domain
    std::vector<double> total; // copies of each layer anywhere

    void add(const layer_range &range, bool sameDomain)
    {
        for (int layer = range.first; layer < range.last; ++layer) {
            total[layer] += 1;
            own[layer] += sameDomain ? 1 : 0;
        }
    }
};

// Worth of one more copy of a layer: falls steeply with the copies that exist.
double gain(double own, double total)
{
    const double copies = own + OTHER_DOMAIN_SHARE * total;
    return 1.0 / ((1 + copies * 4) * (1 + copies * 4));
}

layer_range bestRange(const coverage &known, int layers, int count)
{
    layer_range best{0, count};
    double bestGain = -1;
    for (int first = 0; first + count <= layers; ++first) {
        double sum = 0;
        for (int layer = first; layer < first + count; ++layer) {
            sum += gain(known.own[layer], known.total[layer]);
        }
        if (sum > bestGain + 1e-9) {
            bestGain = sum;
            best = {first, first + count};
        }
    }
    return best;
}

double totalLayers(const engine_profile &engine, const std::vector<placed_server> &servers, double room)
{
    double sum = 0;
    for (const placed_server &server : servers) {
        const auto kind = engine.kinds.find(server.accelerator);
        sum += kind == engine.kinds.end() ? 0 : layersWithRoom(engine, kind->second, room);
    }
    return sum;
}

}

int layersWithRoom(const engine_profile &engine, const accelerator_kind &kind, double roomTokens)
{
    const double perLayerMb = engine.layerMb + engine.kvBytesPerToken / engine.layers * roomTokens / 1e6;
    return std::clamp(static_cast<int>(std::floor(kind.memoryMb / perLayerMb)), 0, engine.layers);
}

double chooseRoom(const engine_profile &engine, const std::vector<placed_server> &domainServers, const placement_limits &limits)
{
    for (double room = limits.mostRoomTokens; room >= limits.leastRoomTokens; room -= limits.roomStepTokens) {
        if (totalLayers(engine, domainServers, room) >= engine.layers * limits.wantedCopies) {
            return room;
        }
    }
    for (double room = limits.leastRoomTokens; room > FALLBACK_ROOM_TOKENS; room -= limits.roomStepTokens) {
        if (totalLayers(engine, domainServers, room) >= engine.layers) {
            return room;
        }
    }
    return limits.leastRoomTokens;
}

std::vector<layer_assignment> planPlacement(const engine_profile &engine, const std::vector<placed_server> &servers, const placement_limits &limits)
{
    std::map<domain_id, std::vector<placed_server>> byDomain;
    for (const placed_server &server : servers) {
        if (engine.kinds.contains(server.accelerator)) {
            byDomain[server.domain].push_back(server);
        }
    }
    std::vector<layer_assignment> plan;
    std::vector<double> total(engine.layers, 0);
    for (const auto &[domain, members] : byDomain) {
        for (const placed_server &server : members) {
            for (int layer = server.range.first; layer < std::min(server.range.last, engine.layers); ++layer) {
                total[layer] += 1;
            }
        }
    }
    for (auto &[domain, members] : byDomain) {
        const double room = chooseRoom(engine, members, limits);
        coverage known{std::vector<double>(engine.layers, 0), total};
        for (const placed_server &server : members) {
            for (int layer = server.range.first; layer < std::min(server.range.last, engine.layers); ++layer) {
                known.own[layer] += 1;
            }
        }
        std::sort(members.begin(), members.end(), [&](const placed_server &left, const placed_server &right) {
            const double leftMb = engine.kinds.at(left.accelerator).memoryMb;
            const double rightMb = engine.kinds.at(right.accelerator).memoryMb;
            return leftMb != rightMb ? leftMb > rightMb : left.id < right.id;
        });
        for (const placed_server &server : members) {
            if (server.range.count() > 0) {
                continue;
            }
            const int count = layersWithRoom(engine, engine.kinds.at(server.accelerator), room);
            if (count <= 0) {
                continue;
            }
            const layer_range range = bestRange(known, engine.layers, count);
            known.add(range, true);
            plan.push_back({server.id, range});
        }
        total = known.total;
    }
    return plan;
}

}
