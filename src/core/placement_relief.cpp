#include "core/placement_relief.h"

#include <algorithm>
#include <set>

namespace chestnut
{

namespace
{

// KV capacity in tokens by failure domain and layer.
class room_table
{
public:
    room_table(const engine_profile &engine, const std::vector<placed_server> &servers)
        : m_engine(engine)
        , m_total(static_cast<std::size_t>(engine.layers), 0)
    {
        for (const placed_server &server : servers) {
            m_own.try_emplace(server.domain, m_total.size(), 0.0);
        }
        for (const placed_server &server : servers) {
            if (!server.lost) {
                add(server, server.range, 1);
            }
        }
    }

    // Adds (sign 1) or subtracts (sign -1) the KV capacity that a server provides with that range.
    void add(const placed_server &server, layer_range range, double sign)
    {
        std::vector<double> &own = m_own.at(server.domain);
        for (int layer = range.first; layer < range.last; ++layer) {
            const double tokens = sign * roomAtLayer(m_engine, server, range, layer);
            own[static_cast<std::size_t>(layer)] += tokens;
            m_total[static_cast<std::size_t>(layer)] += tokens;
        }
    }

    // Scarcity of a layer, summed over all failure domains, if one of them had `more` tokens of KV capacity there.
    double needWith(int layer, const domain_id &domain, double more) const
    {
        const auto at = static_cast<std::size_t>(layer);
        double sum = 0;
        for (const auto &[id, own] : m_own) {
            sum += roomNeed(own[at] + (id == domain ? more : 0), m_total[at] + more);
        }
        return sum;
    }

    double needOf(const domain_id &domain) const
    {
        const std::vector<double> &own = m_own.at(domain);
        double sum = 0;
        for (std::size_t layer = 0; layer < own.size(); ++layer) {
            sum += roomNeed(own[layer], m_total[layer]);
        }
        return sum;
    }

private:
    const engine_profile &m_engine;
    std::map<domain_id, std::vector<double>> m_own;
    std::vector<double> m_total;
};

struct server_move
{
    const placed_server *server = nullptr;
    layer_range range;
    double gain = 0; // drop of the scarcity
};

// Prefix sums over the layers of the drop in scarcity if a server that holds `length` layers held each of them.
std::vector<double> runningGain(const engine_profile &engine, const room_table &room, const placed_server &server, int length)
{
    std::vector<double> sum(static_cast<std::size_t>(engine.layers) + 1, 0);
    for (int layer = 0; layer < engine.layers; ++layer) {
        const double tokens = roomAtLayer(engine, server, {0, length}, layer);
        const double gain = room.needWith(layer, server.domain, 0) - room.needWith(layer, server.domain, tokens);
        sum[static_cast<std::size_t>(layer) + 1] = sum[static_cast<std::size_t>(layer)] + gain;
    }
    return sum;
}

// The best range for one server and its gain over the current range. Leaves the table unchanged.
server_move bestMove(const engine_profile &engine, room_table &room, const placed_server &server, const std::set<int> &lengths)
{
    room.add(server, server.range, -1);
    server_move best{&server, server.range, 0};
    double kept = 0;
    std::set<int> all = lengths;
    all.insert(server.range.count());
    for (const int length : all) {
        const std::vector<double> gain = runningGain(engine, room, server, length);
        const auto gainOf = [&](int first) { return gain[static_cast<std::size_t>(first + length)] - gain[static_cast<std::size_t>(first)]; };
        if (length == server.range.count()) {
            kept = gainOf(server.range.first);
        }
        for (int first = 0; first + length <= engine.layers; ++first) {
            if (gainOf(first) > best.gain) {
                best.gain = gainOf(first);
                best.range = {first, first + length};
            }
        }
    }
    room.add(server, server.range, 1);
    best.gain -= kept;
    return best;
}

}

std::vector<layer_assignment> planRelief(const engine_profile &engine, const std::vector<placed_server> &servers, const relief_limits &limits)
{
    std::vector<placed_server> known;
    std::map<domain_id, std::vector<placed_server>> domains;
    for (const placed_server &server : servers) {
        if (engine.kinds.contains(server.accelerator) && server.range.first >= 0 && server.range.last <= engine.layers) {
            known.push_back(server);
            domains[server.domain].push_back(server);
        }
    }
    std::map<domain_id, double> wantedRoom;
    for (const auto &[domain, members] : domains) {
        wantedRoom[domain] = chooseRoom(engine, members, {});
    }
    room_table room(engine, known);
    std::vector<layer_assignment> plan;
    std::set<server_id> moved;
    while (static_cast<int>(plan.size()) < limits.mostMoves) {
        server_move best;
        for (const placed_server &server : known) {
            if (server.lost || server.changing || server.range.count() <= 0 || moved.contains(server.id)) {
                continue;
            }
            const accelerator_kind &kind = engine.kinds.at(server.accelerator);
            std::set<int> lengths{layersWithRoom(engine, kind, wantedRoom.at(server.domain)), layersWithRoom(engine, kind, limits.leastRoomTokens)};
            lengths.erase(0);
            const server_move move = bestMove(engine, room, server, lengths);
            const double least = std::max(limits.leastGain, limits.leastGainShare * room.needOf(server.domain));
            if (move.gain >= least && move.gain > best.gain) {
                best = move;
            }
        }
        if (best.server == nullptr) {
            break;
        }
        room.add(*best.server, best.server->range, -1);
        room.add(*best.server, best.range, 1);
        plan.push_back({best.server->id, best.range});
        moved.insert(best.server->id);
    }
    return plan;
}

}
