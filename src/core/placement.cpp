// Placement planner. Sections: rates, servers in use, planning.

#include "core/chestnutgw.h"

#include <algorithm>
#include <limits>

namespace chestnut
{

namespace
{

//-----------------------------------------------------------------------------
// Rates
//-----------------------------------------------------------------------------

// True if the holding belongs to the target's model version.
bool belongsTo(const holding &one, const placement_target &target)
{
    return one.model == target.model && one.version == target.version;
}

// Time per token of a stage that runs this many layers, with all slots of the server busy.
double stageMs(const placement_server &server, int layers)
{
    return server.layerMs * layers / server.slots;
}

// Layer boundaries connected to `start` by contiguous ranges: forwards from a first layer, or backwards from an end.
std::set<int> reachableBoundaries(const std::vector<holding> &parts, int start, bool forward)
{
    std::set<int> reached{start};
    bool changed = true;
    while (changed) {
        changed = false;
        for (const holding &one : parts) {
            const int from = forward ? one.range.first : one.range.last;
            const int to = forward ? one.range.last : one.range.first;
            changed = (reached.contains(from) && reached.insert(to).second) || changed;
        }
    }
    return reached;
}

//-----------------------------------------------------------------------------
// Servers in use
//-----------------------------------------------------------------------------

// Holdings of a target on available servers.
std::vector<holding> availableHoldings(const std::vector<placement_server> &servers, const placement_target &target)
{
    std::vector<holding> parts;
    for (const placement_server &server : servers) {
        for (const holding &one : server.holdings) {
            if (server.available && belongsTo(one, target)) {
                parts.push_back(one);
            }
        }
    }
    return parts;
}

// True if the server is part of a complete pipeline of the target.
bool isInCompletePipeline(const placement_server &server, const std::vector<placement_server> &servers, const placement_target &target)
{
    const std::vector<holding> parts = availableHoldings(servers, target);
    const std::set<int> fromStart = reachableBoundaries(parts, 0, true);
    const std::set<int> fromEnd = reachableBoundaries(parts, target.layers, false);
    return std::any_of(server.holdings.begin(), server.holdings.end(),
                       [&](const holding &one) { return belongsTo(one, target) && fromStart.contains(one.range.first) && fromEnd.contains(one.range.last); });
}

// Available servers that are not loading and not part of any target's complete pipeline.
std::vector<server_id> findFreeServers(const std::vector<placement_server> &servers, const std::vector<placement_target> &targets)
{
    std::vector<server_id> free;
    for (const placement_server &server : servers) {
        if (!server.available || server.loading) {
            continue;
        }
        const bool used
            = std::any_of(targets.begin(), targets.end(), [&](const placement_target &target) { return isInCompletePipeline(server, servers, target); });
        if (!used) {
            free.push_back(server.id);
        }
    }
    return free;
}

//-----------------------------------------------------------------------------
// Planning
//-----------------------------------------------------------------------------

// Working state of a plan. `servers` is a copy in which each planned reassignment is already done.
struct planner
{
    std::vector<placement_server> servers;
    const std::vector<placement_target> &targets;
    std::set<server_id> free; // may be reassigned
    std::vector<placement_reassignment> reassignments;
    int remainingReassignments;

    placement_server &server(const server_id &id)
    {
        return *std::find_if(servers.begin(), servers.end(), [&](const placement_server &one) { return one.id == id; });
    }
    double rate(const placement_target &target) const
    {
        return pipelineRate(servers, target.model, target.version, target.layers);
    }
    void reassign(const server_id &id, const placement_target &target, const layer_range &range, const std::string &reason)
    {
        placement_server &one = server(id);
        one.holdings = {{target.model, target.version, range}};
        free.erase(id);
        reassignments.push_back({id, one.holdings, reason});
        --remainingReassignments;
    }
};

// Free servers of one failure domain, or of all if it is empty, fastest first, so that adjacent servers form groups of similar speed.
std::vector<placement_server> candidates(planner &plan, const domain_id &domain)
{
    std::vector<placement_server> list;
    for (const server_id &id : plan.free) {
        const placement_server &one = plan.server(id);
        if (domain.empty() || one.domain == domain) {
            list.push_back(one);
        }
    }
    std::stable_sort(list.begin(), list.end(),
                     [](const placement_server &left, const placement_server &right) { return stageMs(left, 1) < stageMs(right, 1); });
    return list;
}

// Smallest prefix of the list whose servers together fit the layers; empty if the whole list does not.
std::vector<placement_server> smallestGroup(const std::vector<placement_server> &list, int layers)
{
    int layerCapacity = 0;
    std::vector<placement_server> group;
    for (const placement_server &one : list) {
        group.push_back(one);
        layerCapacity += one.maxLayers;
        if (layerCapacity >= layers) {
            return group;
        }
    }
    return {};
}

// Splits the target's layers over the group. Returns false if they do not fit.
bool placeGroup(planner &plan, const placement_target &target, const std::vector<placement_server> &group, const std::string &reason)
{
    const std::vector<layer_range> ranges = splitLayers(group, target.layers);
    if (ranges.empty()) {
        return false;
    }
    for (std::size_t i = 0; i < group.size(); ++i) {
        if (ranges[i].count() > 0) {
            plan.reassign(group[i].id, target, ranges[i], reason);
        }
    }
    return true;
}

// Token rate of a target in tokens per second if only servers of this failure domain are used.
double rateInDomain(const planner &plan, const placement_target &target, const domain_id &domain)
{
    std::vector<placement_server> own;
    for (const placement_server &one : plan.servers) {
        if (one.domain == domain) {
            own.push_back(one);
        }
    }
    return pipelineRate(own, target.model, target.version, target.layers);
}

// Holdings of a target that are not part of a complete pipeline.
std::vector<holding> findOrphans(const std::vector<holding> &parts, const placement_target &target)
{
    const std::set<int> fromStart = reachableBoundaries(parts, 0, true);
    const std::set<int> fromEnd = reachableBoundaries(parts, target.layers, false);
    std::vector<holding> orphans;
    for (const holding &one : parts) {
        if (!fromStart.contains(one.range.first) || !fromEnd.contains(one.range.last)) {
            orphans.push_back(one);
        }
    }
    return orphans;
}

// At most `layerCapacity` missing layers next to an orphaned holding that would complete a pipeline with it; empty if there are none.
std::optional<layer_range> findGap(const std::vector<holding> &parts, const placement_target &target, int layerCapacity)
{
    const std::set<int> fromStart = reachableBoundaries(parts, 0, true);
    const std::set<int> fromEnd = reachableBoundaries(parts, target.layers, false);
    for (const holding &orphan : findOrphans(parts, target)) {
        for (const int first : fromStart) {
            for (const int last : fromEnd) {
                const bool isAdjacent = orphan.range.last == first || orphan.range.first == last;
                if (isAdjacent && first < last && last - first <= layerCapacity) {
                    return layer_range{first, last};
                }
            }
        }
    }
    return std::nullopt;
}

// Replaces a lost stage of a pipeline whose other stages are still loaded. This is the cheapest repair, since only one server loads.
bool fillGap(planner &plan, const placement_target &target)
{
    for (const placement_server &one : candidates(plan, {})) {
        std::vector<placement_server> others;
        for (const placement_server &server : plan.servers) {
            if (server.id != one.id) {
                others.push_back(server); // the candidate's present holding will be unloaded, so it must not count as an orphan
            }
        }
        if (const auto gap = findGap(availableHoldings(others, target), target, one.maxLayers)) {
            plan.reassign(one.id, target, *gap, "fills the gap in layers " + std::to_string(gap->first) + "-" + std::to_string(gap->last));
            return true;
        }
    }
    return false;
}

// Builds a new pipeline within one failure domain, trying first the domain with the lowest rate for this target; if none has enough
// free servers, across domains.
bool addPipeline(planner &plan, const placement_target &target)
{
    std::set<domain_id> domains;
    for (const server_id &id : plan.free) {
        domains.insert(plan.server(id).domain);
    }
    std::vector<std::pair<double, domain_id>> byRate;
    for (const domain_id &domain : domains) {
        byRate.emplace_back(rateInDomain(plan, target, domain), domain);
    }
    std::sort(byRate.begin(), byRate.end());
    for (const auto &[rate, domain] : byRate) {
        const std::vector<placement_server> group = smallestGroup(candidates(plan, domain), target.layers);
        if (!group.empty() && placeGroup(plan, target, group, "new pipeline in " + domain.text)) {
            return true;
        }
    }
    const std::vector<placement_server> group = smallestGroup(candidates(plan, {}), target.layers);
    return !group.empty() && placeGroup(plan, target, group, "new pipeline over several failure domains");
}

// Uses a free server as a replica of an existing stage, when there are too few free servers for a pipeline. Chooses the stage with the
// lowest capacity among those that fit the server.
bool addSpare(planner &plan, const placement_target &target)
{
    std::map<layer_range, double> capacity;
    for (const placement_server &server : plan.servers) {
        for (const holding &one : server.holdings) {
            if (server.available && belongsTo(one, target)) {
                capacity[one.range] += 1 / stageMs(server, one.range.count());
            }
        }
    }
    for (const placement_server &one : candidates(plan, {})) {
        const layer_range *weakest = nullptr;
        for (const auto &[range, rate] : capacity) {
            if (range.count() <= one.maxLayers && (weakest == nullptr || rate < capacity[*weakest])) {
                weakest = &range;
            }
        }
        if (weakest != nullptr) {
            plan.reassign(one.id, target, *weakest, "spare for layers " + std::to_string(weakest->first) + "-" + std::to_string(weakest->last));
            return true;
        }
    }
    return false;
}

// Takes servers from the target with the highest rate in relation to its demand until a pipeline fits. The donor keeps at least one
// complete pipeline.
bool takeFromOverprovisioned(planner &plan, const placement_target &target)
{
    const placement_target *donor = nullptr;
    for (const placement_target &one : plan.targets) {
        const bool other = one.model != target.model || one.version != target.version;
        if (other && plan.rate(one) > 0 && (donor == nullptr || plan.rate(one) / one.demand > plan.rate(*donor) / donor->demand)) {
            donor = &one;
        }
    }
    if (donor == nullptr) {
        return false;
    }
    planner trial = plan;
    int layerCapacity = 0;
    for (const server_id &id : trial.free) {
        layerCapacity += trial.server(id).maxLayers;
    }
    std::vector<server_id> taken;
    for (const placement_server &one : plan.servers) {
        if (layerCapacity >= target.layers) {
            break;
        }
        const bool holds = one.available && !one.loading
            && std::any_of(one.holdings.begin(), one.holdings.end(), [&](const holding &part) { return belongsTo(part, *donor); });
        if (!holds) {
            continue;
        }
        placement_server &copy = trial.server(one.id);
        const std::vector<holding> before = std::exchange(copy.holdings, {});
        if (trial.rate(*donor) <= 0) {
            copy.holdings = before;
            continue;
        }
        trial.free.insert(one.id);
        taken.push_back(one.id);
        layerCapacity += one.maxLayers;
    }
    const std::vector<placement_server> group = smallestGroup(candidates(trial, {}), target.layers);
    if (group.empty() || !placeGroup(trial, target, group, "taken from " + donor->model.text + "@" + donor->version)) {
        return false;
    }
    plan.servers = trial.servers;
    plan.free = trial.free;
    plan.reassignments = trial.reassignments;
    plan.remainingReassignments = trial.remainingReassignments;
    return true;
}

// Target with the lowest rate in relation to its demand, except those in `exhausted`; nullptr if there is none.
const placement_target *findMostUnderserved(const planner &plan, const std::set<const placement_target *> &exhausted)
{
    const placement_target *underserved = nullptr;
    double lowestRate = std::numeric_limits<double>::infinity();
    for (const placement_target &target : plan.targets) {
        const double rate = plan.rate(target) / std::max(1e-9, target.demand);
        if (!exhausted.contains(&target) && rate < lowestRate) {
            underserved = &target;
            lowestRate = rate;
        }
    }
    return underserved;
}

}

double pipelineRate(const std::vector<placement_server> &servers, const model_id &model, const std::string &version, int layers)
{
    std::vector<server_capacity> parts;
    for (const placement_server &server : servers) {
        for (const holding &one : server.holdings) {
            if (server.available && one.model == model && one.version == version) {
                parts.push_back({one.range, 1000 / stageMs(server, one.range.count())});
            }
        }
    }
    return pipelineCapacity(parts, layers);
}

// Dynamic programming over servers and layers.
std::vector<layer_range> splitLayers(const std::vector<placement_server> &servers, int layers)
{
    constexpr double INFEASIBLE = std::numeric_limits<double>::infinity();
    const std::size_t count = servers.size();
    const auto width = static_cast<std::size_t>(layers) + 1;
    // slowest[i][l]: minimal time of the slowest stage if the first i servers run the first l layers.
    std::vector<std::vector<double>> slowest(count + 1, std::vector<double>(width, INFEASIBLE));
    std::vector<std::vector<int>> taken(count + 1, std::vector<int>(width, 0));
    slowest[0][0] = 0;
    for (std::size_t i = 1; i <= count; ++i) {
        for (int l = 0; l <= layers; ++l) {
            for (int k = 0; k <= std::min(l, servers[i - 1].maxLayers); ++k) {
                const double time = std::max(slowest[i - 1][static_cast<std::size_t>(l - k)], stageMs(servers[i - 1], k));
                if (time < slowest[i][static_cast<std::size_t>(l)]) {
                    slowest[i][static_cast<std::size_t>(l)] = time;
                    taken[i][static_cast<std::size_t>(l)] = k;
                }
            }
        }
    }
    if (slowest[count][static_cast<std::size_t>(layers)] == INFEASIBLE) {
        return {};
    }
    std::vector<layer_range> ranges(count);
    int last = layers;
    for (std::size_t i = count; i > 0; --i) {
        const int first = last - taken[i][static_cast<std::size_t>(last)];
        ranges[i - 1] = {first, last};
        last = first;
    }
    return ranges;
}

std::vector<placement_reassignment> planPlacement(const std::vector<placement_server> &servers, const std::vector<placement_target> &targets,
                                                  int maxReassignments)
{
    const auto loading = std::count_if(servers.begin(), servers.end(), [](const placement_server &one) { return one.loading; });
    planner plan{servers, targets, {}, {}, maxReassignments - static_cast<int>(loading)};
    for (const server_id &id : findFreeServers(servers, targets)) {
        plan.free.insert(id);
    }
    std::set<const placement_target *> exhausted;
    while (plan.remainingReassignments > 0) {
        const placement_target *target = findMostUnderserved(plan, exhausted);
        if (target == nullptr) {
            break;
        }
        const bool placed = fillGap(plan, *target) || addPipeline(plan, *target) || (plan.rate(*target) <= 0 && takeFromOverprovisioned(plan, *target))
            || addSpare(plan, *target);
        if (!placed) {
            exhausted.insert(target); // no step improves this target at present
        }
    }
    return plan.reassignments;
}

}
