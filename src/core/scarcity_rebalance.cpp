#include "core/scarcity_rebalance.h"

#include <algorithm>
#include <set>

namespace chestnut
{

namespace
{

// KV capacity in tokens by failure domain and layer.
class kv_capacity_table
{
public:
    kv_capacity_table(const engine_profile &engine, const std::vector<placed_server> &servers)
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
            const double tokens = sign * kvCapacityAtLayer(m_engine, server, range, layer);
            own[static_cast<std::size_t>(layer)] += tokens;
            m_total[static_cast<std::size_t>(layer)] += tokens;
        }
    }

    // Scarcity of a layer, summed over all failure domains, if one of them had `more` tokens of KV capacity there.
    double scarcityWith(int layer, const domain_id &domain, double more) const
    {
        const auto at = static_cast<std::size_t>(layer);
        double sum = 0;
        for (const auto &[id, own] : m_own) {
            sum += kvScarcity(own[at] + (id == domain ? more : 0), m_total[at] + more);
        }
        return sum;
    }

    double scarcityOf(const domain_id &domain) const
    {
        const std::vector<double> &own = m_own.at(domain);
        double sum = 0;
        for (std::size_t layer = 0; layer < own.size(); ++layer) {
            sum += kvScarcity(own[layer], m_total[layer]);
        }
        return sum;
    }

private:
    const engine_profile &m_engine;
    std::map<domain_id, std::vector<double>> m_own;
    std::vector<double> m_total;
};

struct reassignment_candidate
{
    const placed_server *server = nullptr;
    layer_range range;
    double gain = 0; // drop of the scarcity
};

// Prefix sums over the layers of the drop in scarcity if a server that holds `length` layers held each of them.
std::vector<double> cumulativeGain(const engine_profile &engine, const kv_capacity_table &capacity, const placed_server &server, int length)
{
    std::vector<double> sum(static_cast<std::size_t>(engine.layers) + 1, 0);
    for (int layer = 0; layer < engine.layers; ++layer) {
        const double tokens = kvCapacityAtLayer(engine, server, {0, length}, layer);
        const double gain = capacity.scarcityWith(layer, server.domain, 0) - capacity.scarcityWith(layer, server.domain, tokens);
        sum[static_cast<std::size_t>(layer) + 1] = sum[static_cast<std::size_t>(layer)] + gain;
    }
    return sum;
}

// The best range for one server and its gain over the current range. Leaves the table unchanged.
reassignment_candidate bestReassignment(const engine_profile &engine, kv_capacity_table &capacity, const placed_server &server, const std::set<int> &lengths)
{
    capacity.add(server, server.range, -1);
    reassignment_candidate best{&server, server.range, 0};
    double kept = 0;
    std::set<int> all = lengths;
    all.insert(server.range.count());
    for (const int length : all) {
        const std::vector<double> gain = cumulativeGain(engine, capacity, server, length);
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
    capacity.add(server, server.range, 1);
    best.gain -= kept;
    return best;
}

}

std::vector<layer_assignment> planScarcityRebalance(const engine_profile &engine, const std::vector<placed_server> &servers,
                                                    const scarcity_rebalance_limits &limits)
{
    std::vector<placed_server> known;
    std::map<domain_id, std::vector<placed_server>> domains;
    for (const placed_server &server : servers) {
        if (engine.kinds.contains(server.accelerator) && server.range.first >= 0 && server.range.last <= engine.layers) {
            known.push_back(server);
            domains[server.domain].push_back(server);
        }
    }
    std::map<domain_id, double> targetCapacity;
    for (const auto &[domain, members] : domains) {
        targetCapacity[domain] = chooseKvCapacity(engine, members, {});
    }
    kv_capacity_table capacity(engine, known);
    std::vector<layer_assignment> plan;
    std::set<server_id> reassigned;
    while (static_cast<int>(plan.size()) < limits.maxReassignments) {
        reassignment_candidate best;
        for (const placed_server &server : known) {
            if (server.lost || server.changing || server.range.count() <= 0 || reassigned.contains(server.id)) {
                continue;
            }
            const accelerator_kind &kind = engine.kinds.at(server.accelerator);
            std::set<int> lengths{layersWithKvCapacity(engine, kind, targetCapacity.at(server.domain)),
                                  layersWithKvCapacity(engine, kind, limits.minKvCapacity)};
            lengths.erase(0);
            const reassignment_candidate reassignment = bestReassignment(engine, capacity, server, lengths);
            const double least = std::max(limits.minGain, limits.minGainShare * capacity.scarcityOf(server.domain));
            if (reassignment.gain >= least && reassignment.gain > best.gain) {
                best = reassignment;
            }
        }
        if (best.server == nullptr) {
            break;
        }
        capacity.add(*best.server, best.server->range, -1);
        capacity.add(*best.server, best.range, 1);
        plan.push_back({best.server->id, best.range});
        reassigned.insert(best.server->id);
    }
    return plan;
}

}
