// The part of traffic_state that chooses the paths of generations and counts their load.

#include "core/routing/stage_pace.h"
#include "gateway/traffic_state.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chestnut
{

namespace
{

constexpr double PASS_WAIT_MS = 1.2;          // mean wait per stage until the server's current pass ends
constexpr double ENTRY_HOP_PENALTY_MS = 5.0;  // penalty per token for a first stage in another failure domain, which gets no activations from here
constexpr double REPLACEMENT_SPREAD_MS = 0.5; // random part of the cost of a replacement, so that instances do not all choose the same one
constexpr int TRANSFER_SHARE = 2;             // of the objective for a first event, one in this many parts may be spent on transfers

// How long a prompt may wait for the network between failure domains. A route without objectives sets no limit.
milliseconds transferPatience(const path_demand &demand, bool streamBegan)
{
    const milliseconds limit = streamBegan ? demand.clientPatience : demand.objective / TRANSFER_SHARE;
    return limit.count() > 0 ? limit : milliseconds::max();
}

}

std::vector<stage_candidate> traffic_state::candidates(const service_profile &service, const std::vector<std::string> &avoid, steady_time now)
{
    const engine_profile &engine = *service.engine;
    std::vector<stage_candidate> found;
    for (const auto &[id, server] : fleet->servers) {
        const auto kind = engine.kinds.find(server.accelerator);
        const bool excluded = server.service != service.id || isLeaving(server) || kind == engine.kinds.end() || server.held.count() <= 0;
        const bool avoided = health.avoided(server.address, now) || health.isQuiet(server.address, now);
        if (excluded || avoided || containsAddress(avoid, server.address)) {
            continue;
        }
        stage_candidate candidate;
        candidate.server = &server;
        candidate.kvCapacity = engine.kvCapacityTokens(kind->second, server.held.count());
        candidate.usedTokens = health.of(server.address).tokens + peers.tokens(server.address, now);
        candidate.running = health.of(server.address).running + peers.running(server.address, now);
        const double stepMs = settings.countLoad ? loadedStepMs(engine, candidate.usedTokens) : engine.stepMs;
        candidate.msPerLayer = stepMs * kind->second.stepFactor / engine.layers;
        candidate.slots = server.slots > 0 ? server.slots : candidate.slots;
        found.push_back(candidate);
    }
    return found;
}

double traffic_state::domainLinkWaitMs(const path_demand &demand, steady_time now)
{
    return domainTransferMs(*demand.service.engine, waitingLinkTokens(now));
}

double traffic_state::waitingLinkTokens(steady_time now)
{
    return linkTokens + peers.tokens(DOMAIN_LINK_NAME, now);
}

path_query traffic_state::pathQuery(const path_demand &demand, bool ignoreCapacity, steady_time now)
{
    const engine_profile &engine = *demand.service.engine;
    path_query query;
    query.from = domain_id{settings.failureDomain};
    query.layers = engine.layers;
    query.tokens = demand.tokens;
    query.stageOverheadMs = PASS_WAIT_MS;
    query.domainHopMs = domainHopCostMs(engine, {waitingLinkTokens(now), transferPatience(demand, ignoreCapacity)}, demand.tokens);
    query.entryHopMs = ENTRY_HOP_PENALTY_MS;
    query.headroom = demand.headroom;
    query.ignoreCapacity = ignoreCapacity;
    return query;
}

std::optional<std::vector<path_stage>> traffic_state::choosePath(const path_demand &demand, const std::vector<std::string> &avoid, bool ignoreCapacity,
                                                                 steady_time now)
{
    std::vector<stage_candidate> all = candidates(demand.service, avoid, now);
    addPrefixes(all, *demand.service.engine, demand.prompt, prefixes, now);
    return findPathByPrefix(all, pathQuery(demand, ignoreCapacity, now));
}

path_gap traffic_state::explainNoPath(const path_demand &demand, const std::vector<std::string> &avoid, steady_time now)
{
    std::vector<layer_range> holders;
    for (const auto &[id, server] : fleet->servers) {
        if (server.service == demand.service.id && !isLeaving(server) && server.held.count() > 0) {
            holders.push_back(server.held);
        }
    }
    return chestnut::explainNoPath(holders, candidates(demand.service, avoid, now), pathQuery(demand, false, now));
}

std::map<std::string, traffic_state::server_releases> traffic_state::releasesByAddress(steady_time now) const
{
    std::map<std::string, server_releases> releases;
    for (const path_load *load : pathLoads) {
        if (load->expectedEnd() == steady_time()) {
            continue;
        }
        const auto after = std::chrono::duration_cast<milliseconds>(load->expectedEnd() - now);
        for (const path_stage &stage : load->path()) {
            releases[stage.address].tokens.push_back({after, load->tokens()});
        }
        releases[load->path().front().address].slots.push_back({after, 1});
    }
    return releases;
}

std::optional<milliseconds> traffic_state::timeUntilFree(const stage_candidate &candidate, const server_releases &releases, const path_demand &demand,
                                                         bool asFirst, int parts, steady_time now)
{
    promised_returns &promised = promisesOf(demand.service.id);
    const double kvCapacity = candidate.kvCapacity * (1 - demand.headroom);
    const double slots = candidate.slots - std::floor(demand.headroom * candidate.slots);
    const capacity_shortage tokens{candidate.usedTokens + demand.tokens - kvCapacity, candidate.usedTokens, promised.tokens(now) / parts, releases.tokens};
    const capacity_shortage first{candidate.running + 1 - slots, candidate.running, static_cast<double>(promised.clients(now)) / parts, releases.slots};
    milliseconds latest{0};
    if (tokens.missing > 0) {
        const auto until = chestnut::timeUntilFree(tokens);
        if (!until) {
            return std::nullopt;
        }
        latest = *until;
    }
    if (asFirst && first.missing > 0) {
        const auto until = chestnut::timeUntilFree(first);
        if (!until) {
            return std::nullopt;
        }
        latest = std::max(latest, *until);
    }
    return latest;
}

std::optional<milliseconds> traffic_state::timeUntilCapacity(const path_demand &demand, layer_range layers, const std::vector<std::string> &avoid,
                                                             steady_time now)
{
    const std::map<std::string, server_releases> releases = releasesByAddress(now);
    const std::vector<stage_candidate> servers = candidates(demand.service, avoid, now);
    milliseconds latest{0};
    for (int layer = layers.first; layer < layers.last; ++layer) {
        const auto holds = [layer](const stage_candidate &one) { return one.server->held.first <= layer && layer < one.server->held.last; };
        const int holders = static_cast<int>(std::count_if(servers.begin(), servers.end(), holds));
        std::optional<milliseconds> soonest;
        for (const stage_candidate &one : servers) {
            const auto known = releases.find(one.server->address);
            if (!holds(one) || known == releases.end()) {
                continue;
            }
            const auto until = timeUntilFree(one, known->second, demand, layer == 0, holders, now);
            if (until && (!soonest || *until < *soonest)) {
                soonest = until;
            }
        }
        if (!soonest) {
            return std::nullopt;
        }
        latest = std::max(latest, *soonest);
    }
    return latest;
}

std::optional<milliseconds> traffic_state::timeUntilReleased(const path_demand &demand, const std::vector<std::string> &addresses, steady_time now)
{
    const std::map<std::string, server_releases> releases = releasesByAddress(now);
    std::optional<milliseconds> soonest;
    for (const std::string &address : addresses) {
        const auto known = releases.find(address);
        if (known == releases.end()) {
            continue;
        }
        const double used = health.of(address).tokens + peers.tokens(address, now);
        const double promised = promisesOf(demand.service.id).tokens(now) / static_cast<double>(addresses.size());
        const auto until = chestnut::timeUntilFree({demand.tokens, used, promised, known->second.tokens});
        if (until && (!soonest || *until < *soonest)) {
            soonest = until;
        }
    }
    return soonest;
}

std::optional<std::vector<path_stage>> traffic_state::chooseReplacement(const path_demand &demand, layer_range range, const stage_neighbours &neighbours,
                                                                        const std::vector<path_stage> &path, const std::vector<std::string> &avoid,
                                                                        bool ignoreCapacity, steady_time now)
{
    std::vector<std::string> excluded = avoid;
    for (const path_stage &stage : path) {
        excluded.push_back(stage.address);
    }
    // Layer numbers are shifted to start at 0, as findPath() expects.
    std::vector<stage_candidate> all = candidates(demand.service, excluded, now);
    addPrefixes(all, *demand.service.engine, demand.prompt, prefixes, now);
    std::vector<listed_server> shifted;
    shifted.reserve(all.size());
    for (stage_candidate &candidate : all) {
        listed_server server = *candidate.server;
        server.held = {std::max(0, server.held.first - range.first), std::min(server.held.last, range.last) - range.first};
        shifted.push_back(server);
        candidate.server = &shifted.back();
        candidate.penaltyMs += settings.stageProbes ? draw() * REPLACEMENT_SPREAD_MS : 0;
        candidate.prefix.firstLayer -= range.first;
    }
    path_query query = pathQuery(demand, ignoreCapacity, now);
    query.layers = range.count();
    query.from = neighbours.before;
    query.entryHopMs = query.domainHopMs;
    query.to = neighbours.behind;
    std::optional<std::vector<path_stage>> found = findPathByPrefix(all, query);
    if (found) {
        for (path_stage &stage : *found) {
            stage.range = {stage.range.first + range.first, stage.range.last + range.first};
        }
    }
    return found;
}

path_load::path_load(traffic_state &state, const std::vector<path_stage> &path, double tokens, std::vector<prompt_prefix> prompt)
    : m_state(state)
    , m_path(path)
    , m_tokens(tokens)
    , m_prompt(state.prefixes.enabled() ? std::move(prompt) : std::vector<prompt_prefix>())
    , m_since(std::chrono::steady_clock::now())
{
    m_state.pathLoads.insert(this);
    add(1);
    addTransfer(countDomainHops(path));
}

path_load::~path_load()
{
    notePrefixes();
    endTransfer();
    add(-1);
    m_state.pathLoads.erase(this);
}

void path_load::move(const std::vector<path_stage> &path)
{
    notePrefixes();
    endTransfer();
    addTransfer(countNewDomainHops(m_path, path));
    add(-1);
    m_path = path;
    m_since = std::chrono::steady_clock::now();
    m_prefilled = false;
    add(1);
}

void path_load::noteTransferred()
{
    m_prefilled = true;
    endTransfer();
}

void path_load::notePrefixes()
{
    if (!m_prefilled || !m_state.prefixes.enabled()) {
        return;
    }
    const steady_time now = std::chrono::steady_clock::now();
    for (const path_stage &stage : m_path) {
        m_state.prefixes.noteUse(stage.server, stage.range, m_prompt, m_since, now);
    }
}

void path_load::endTransfer()
{
    m_state.linkTokens -= std::exchange(m_inTransfer, 0);
}

void path_load::addTransfer(int hops)
{
    m_inTransfer = m_tokens * hops;
    m_state.linkTokens += m_inTransfer;
}

void path_load::add(double sign)
{
    for (const path_stage &stage : m_path) {
        server_state &state = m_state.health.of(stage.address);
        state.tokens += sign * m_tokens;
        state.running += &stage == &m_path.front() ? static_cast<int>(sign) : 0;
    }
}

}
