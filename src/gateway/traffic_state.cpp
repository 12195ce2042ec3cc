#include "gateway/traffic_state.h"

#include <algorithm>
#include <random>

namespace chestnut
{

namespace
{

constexpr milliseconds FORMER_LIMITS_TIME{10'000}; // an older configuration may be in force elsewhere for so long
constexpr milliseconds MAX_REPORT_AGE{1000};       // older load reports of a server are ignored

}

bool containsAddress(const std::vector<std::string> &addresses, const std::string &address)
{
    return std::find(addresses.begin(), addresses.end(), address) != addresses.end();
}

bool log_line_limiter::take(steady_time now)
{
    if (now - m_second >= seconds(1)) {
        m_second = now;
        m_used = 0;
    }
    if (m_used >= m_perSecond) {
        ++m_dropped;
        return false;
    }
    ++m_used;
    return true;
}

std::uint64_t log_line_limiter::takeDropped()
{
    return std::exchange(m_dropped, 0);
}

traffic_state::traffic_state(asio::io_context &ioContext, const gateway_settings &gatewaySettings, metrics &gatewayCounters, const platform_port &platform)
    : context(ioContext)
    , settings(gatewaySettings)
    , counters(gatewayCounters)
    , port(platform)
    , headerNames(platform.platformHeaderNames())
    , quarantine(instance_id{gatewaySettings.name}, {gatewaySettings.quarantineEnds})
    , partReports(quarantine, gatewayCounters)
    , endChecks(ioContext)
    , prober(ioContext, gatewayCounters)
    , prefixes(gatewaySettings.prefixRetention())
    , clients(buffers, gatewaySettings, gatewayCounters)
    , pool(ioContext, buffers)
    , random(std::hash<std::string>()(gatewaySettings.name))
    , logLimiter(gatewaySettings.logLinesPerSecond)
    , clientErrorLimiter(gatewaySettings.logLinesPerSecond)
    , pauses(ioContext, gatewayCounters)
{
    prober.setHandlers([this](const std::string &address, probe_result result) { noteLost(address, result); },
                       [this](const std::string &address) { return health.of(address).lastAlive; });
}

milliseconds traffic_state::controlDelayAt(steady_time now) const
{
    const bool waiting = controlProbeSent != steady_time();
    return std::max(controlDelay, waiting ? std::chrono::duration_cast<milliseconds>(now - controlProbeSent) : milliseconds(0));
}

void traffic_state::applyConfig(std::shared_ptr<const gateway_config> next)
{
    const steady_time now = std::chrono::steady_clock::now();
    if (config) {
        std::erase_if(m_formerLimits, [now](const former_limits &former) { return former.until <= now; });
        m_formerLimits.push_back({config->limits, now + FORMER_LIMITS_TIME});
    }
    config = std::move(next);
    urgencies = urgency_ranks(*config);
    configSince = now;
}

client_limits traffic_state::limitsAt(steady_time now) const
{
    client_limits limits = config ? config->limits : client_limits();
    for (const former_limits &former : m_formerLimits) {
        if (former.until > now) {
            limits.headerBytes = std::max(limits.headerBytes, former.limits.headerBytes);
            limits.bodyBytes = std::max(limits.bodyBytes, former.limits.bodyBytes);
        }
    }
    return limits;
}

void traffic_state::applyFleet(std::shared_ptr<const fleet_snapshot> next)
{
    std::map<std::string, std::uint64_t> before; // address -> incarnation
    for (const auto &[id, server] : fleet ? fleet->servers : decltype(fleet->servers)()) {
        before[server.address] = server.incarnation;
    }
    for (const auto &[id, server] : next->servers) {
        const auto known = before.find(server.address);
        if (known == before.end() || known->second < server.incarnation) {
            health.noteRestart(server.address);
            prober.forget(server.address);
        }
    }
    fleet = std::move(next);
    prefixes.applyFleet(*fleet, std::chrono::steady_clock::now());
}

repeat_budget &traffic_state::budgetOf(const service_id &service)
{
    const double part = settings.repeatExtra / std::max(knownInstances, settings.expectedInstances);
    repeat_budget &budget = m_budgets.try_emplace(service, repeat_budget_limits{settings.repeatRatio, part, settings.repeatWindow()}).first->second;
    budget.setExtra(part);
    return budget;
}

urgency_headroom &traffic_state::headroomOf(const service_id &service)
{
    return m_headrooms[service];
}

promised_returns &traffic_state::promisesOf(const service_id &service)
{
    return m_promises[service];
}

repair_clock &traffic_state::repairsOf(const service_id &service)
{
    return m_repairs[service];
}

stream_duration_estimator &traffic_state::streamTimeOf(const service_id &service)
{
    return m_streamTimes[service];
}

std::vector<server_load> traffic_state::ownLoads(steady_time now) const
{
    std::vector<server_load> loads;
    for (const auto &[address, state] : health.all()) {
        const milliseconds pause = health.ownBackoff(address, now);
        if (state.running > 0 || state.tokens > 0 || pause.count() > 0) {
            loads.push_back({address, state.running, state.tokens, pause, state.lastFailure});
        }
    }
    if (linkTokens > 0) {
        loads.push_back({DOMAIN_LINK_NAME, 0, linkTokens, milliseconds(0), failure_kind::broken});
    }
    return loads;
}

void traffic_state::applyPeerReport(peer_report report)
{
    const steady_time now = std::chrono::steady_clock::now();
    peers.take(std::move(report));
    const int size = fleet ? static_cast<int>(fleet->servers.size()) : 0;
    for (const server_load &load : peers.avoided(size, now)) {
        const bool known = health.unresponsive(load.address, now);
        health.notePeerAvoids(load.address, load.failure, load.avoid, now);
        if (settings.stageProbes && !known && health.unresponsive(load.address, now)) {
            prober.wakeUsersOf(load.address);
        }
    }
}

void traffic_state::noteLost(const std::string &address, probe_result result)
{
    const steady_time now = std::chrono::steady_clock::now();
    if (health.unresponsive(address, now)) {
        return;
    }
    health.noteFailure(address, failure_kind::unreachable, now);
    pool.dropIdle(address);
    counters.count("stages_lost", {{"probe", toText(result)}});
    logLine(log_level::info, "stage_lost", {{"address", address}, {"probe", toText(result)}});
}

server_process traffic_state::processOf(const server_id &server) const
{
    const auto found = fleet->servers.find(server);
    return {server, found == fleet->servers.end() ? 0 : found->second.incarnation};
}

double traffic_state::draw()
{
    return std::generate_canonical<double, 32>(random);
}

std::vector<const listed_server *> traffic_state::serversByLoad(const service_id &service, const std::vector<std::string> &tried, steady_time now)
{
    struct rated
    {
        const listed_server *server;
        double load;
    };
    std::vector<rated> usable;
    std::vector<rated> avoided;
    for (const auto &[id, server] : fleet->servers) {
        const bool excluded = server.service != service || isLeaving(server) || containsAddress(tried, server.address);
        if (excluded || health.isQuiet(server.address, now)) {
            continue;
        }
        const server_state &seen = health.of(server.address);
        const bool fresh = seen.reportedRunning >= 0 && now - seen.reportedAt < MAX_REPORT_AGE;
        const int running = seen.running + peers.running(server.address, now);
        const double reported = fresh ? seen.reportedRunning + seen.reportedWaiting : 0;
        const double ownDomain = server.domain.text == settings.failureDomain ? 0 : 0.05; // prefers this instance's failure domain at equal load
        const double load = std::max<double>(running, reported) / server.slots + ownDomain + draw() * 0.02;
        (health.avoided(server.address, now) ? avoided : usable).push_back({&server, load});
    }
    std::vector<rated> &chosen = usable.empty() ? avoided : usable; // an avoided server is better than none
    std::sort(chosen.begin(), chosen.end(), [](const rated &left, const rated &right) { return left.load < right.load; });
    std::vector<const listed_server *> servers;
    for (const rated &one : chosen) {
        servers.push_back(one.server);
    }
    return servers;
}

bool traffic_state::isLeaving(const listed_server &server) const
{
    return server.draining || health.leaving(server.address);
}

milliseconds traffic_state::quietLeft(const service_id &service, steady_time now) const
{
    milliseconds shortest = milliseconds::max();
    for (const auto &[id, server] : fleet->servers) {
        if (server.service == service && !isLeaving(server)) {
            shortest = std::min(shortest, health.quietLeft(server.address, now));
        }
    }
    return shortest == milliseconds::max() ? milliseconds(0) : shortest;
}

}
