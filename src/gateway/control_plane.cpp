#include "gateway/control_plane.h"

#include "core/scarcity_rebalance.h"
#include "core/store_pace.h"
#include "kernel/clock.h"
#include "kernel/hash.h"
#include "kernel/log.h"

#include <algorithm>

namespace chestnut
{

namespace
{

constexpr milliseconds COORDINATOR_CONFIRMATION_TTL{700}; // a coordinator confirmed within this time counts as alive
constexpr milliseconds LEASE_READ_AGE{1500};              // the lease log is read if nobody has confirmed the coordinator for this long
constexpr milliseconds LEASE_CHECK_INTERVAL{250};         // between two checks of that age
constexpr milliseconds TICK_INTERVAL{250};
constexpr milliseconds PENDING_ORDER_TTL{15'000};       // an order that the server received late has taken effect by then
constexpr milliseconds GAP_GRACE_PERIOD{5000};          // a crashed server has usually restarted by then
constexpr milliseconds ORDER_RETRY_DELAY{3000};         // after an order that was not sent or not confirmed as begun
constexpr milliseconds REBALANCE_QUIET_PERIOD{2500};    // crashed servers return empty within seconds; placing them takes no KV capacity from others
constexpr milliseconds FLEET_STARTUP_SETTLE_TIME{1400}; // when the whole fleet starts, servers register one after the other
constexpr milliseconds NEW_SERVER_SETTLE_TIME{100};     // for new servers in a fleet that mostly holds layers

std::string rangeText(layer_range range)
{
    return std::to_string(range.first) + "-" + std::to_string(range.last);
}

}

control_plane::control_plane(event_loop &loop, platform_port &port, metrics &counters, const gateway_settings &settings, control_handler handler)
    : m_loop(loop)
    , m_port(port)
    , m_counters(counters)
    , m_handler(std::move(handler))
    , m_lease(makeHolderName(settings.name, static_cast<std::uint64_t>(wallClockMs())), {})
{
    const std::uint64_t origin = hashBytes(m_lease.self());
    m_coordinatorConfirmed.setSelf(origin);
    m_port.setOrigin(origin);
}

void control_plane::start()
{
    m_loop.post([this] {
        platform_handler handler;
        handler.onConfig = [this](std::shared_ptr<const gateway_config> config) {
            logLine(log_level::info, "config_applied", {{"version", std::to_string(config->version)}, {"routes", std::to_string(config->routes.size())}});
            m_counters.set("config_version", static_cast<double>(config->version));
            m_config = config;
            m_handler.onConfig(std::move(config));
        };
        handler.onFleet = [this](std::shared_ptr<const fleet_snapshot> fleet) {
            if (!m_fleet || m_fleet->servers.size() != fleet->servers.size()) {
                m_fleetChanged = std::chrono::steady_clock::now();
                logLine(log_level::info, "fleet_changed", {{"version", std::to_string(fleet->version)}, {"servers", std::to_string(fleet->servers.size())}});
            }
            m_counters.set("fleet_servers", static_cast<double>(fleet->servers.size()));
            m_fleet = fleet;
            m_handler.onFleet(std::move(fleet));
        };
        handler.onReachable = [this](bool reachable) { m_counters.set("platform_reachable", reachable ? 1 : 0); };
        m_port.follow(std::move(handler));
        pollLease();
        tick();
    });
}

//-----------------------------------------------------------------------------
// Lease
//-----------------------------------------------------------------------------

milliseconds control_plane::coordinatorAge(steady_time now) const
{
    return m_lease.holds(now) ? milliseconds(0) : m_coordinatorConfirmed.age(now);
}

void control_plane::addConfirmations(peer_confirmations &known, steady_time now)
{
    if (m_lease.holds(now)) {
        m_coordinatorConfirmed.confirmHere(now);
    }
    known.coordinator = m_coordinatorConfirmed.newest(now);
    known.lease = m_lease.state();
}

void control_plane::takeConfirmations(const peer_confirmations &known, steady_time now)
{
    m_coordinatorConfirmed.learn(known.coordinator, now);
    m_lease.recordLearnedFromPeer(known.lease, now);
}

// Reads the lease log only if no instance has confirmed the coordinator recently.
void control_plane::pollLease()
{
    if (coordinatorAge(std::chrono::steady_clock::now()) < LEASE_READ_AGE) {
        m_loop.after(LEASE_CHECK_INTERVAL, [this] { pollLease(); });
        return;
    }
    readLease();
}

void control_plane::readLease()
{
    const log_position from = m_lease.nextRead();
    m_port.readLease(from.offset, milliseconds(0), [this, from](const lease_read &read) {
        m_lease.recordRead(from, read, std::chrono::steady_clock::now());
        m_leaseFailures = read.ok ? 0 : m_leaseFailures + 1;
        m_loop.after(read.ok ? leasePollInterval(m_rank) : storeRetryDelay(m_leaseFailures, m_rank), [this] { pollLease(); });
    });
}

void control_plane::tryAppend()
{
    const steady_time now = std::chrono::steady_clock::now();
    if (!m_lease.shouldAppend(now)) {
        return;
    }
    if (!m_lease.holds(now) && coordinatorAge(now) < COORDINATOR_CONFIRMATION_TTL) {
        return; // our copy of the log is out of date, but a peer has confirmed the coordinator
    }
    const lease_append append = m_lease.recordAppendSent(now);
    m_port.appendLease(append.at.offset, m_lease.ownEntry(), [this, append](const lease_append_answer &answer) {
        if (answer.outcome == append_outcome::unknown) {
            return; // the next read of the log shows whether it was appended
        }
        if (answer.outcome != append_outcome::appended) {
            logLine(log_level::info, "lease_not_appended",
                    {{"end", std::to_string(append.at.offset)},
                     {"epoch", std::to_string(append.at.epoch.number)},
                     {"answered_epoch", std::to_string(answer.epoch.number)},
                     {"holder", m_lease.state().newest.holder}});
        }
        m_lease.recordAppendResult(append, answer.outcome == append_outcome::appended, answer.epoch, std::chrono::steady_clock::now());
    });
}

//-----------------------------------------------------------------------------
// Orders
//-----------------------------------------------------------------------------

void control_plane::tick()
{
    const steady_time now = std::chrono::steady_clock::now();
    tryAppend();
    const bool coordinator = m_lease.holds(now);
    if (coordinator != m_wasCoordinator) {
        m_wasCoordinator = coordinator;
        logLine(log_level::info, coordinator ? "lease_taken" : "lease_lost",
                {{"holder", m_lease.state().newest.holder},
                 {"end", std::to_string(m_lease.state().end.offset)},
                 {"epoch", std::to_string(m_lease.state().end.epoch.number)}});
        m_counters.set("gives_orders", coordinator ? 1 : 0);
    }
    if (coordinator && m_config && m_fleet && now - m_fleetChanged >= (mostlyEmpty() ? FLEET_STARTUP_SETTLE_TIME : NEW_SERVER_SETTLE_TIME)) {
        forgetSettledOrders(now);
        checkFaultyServers(now);
        for (const auto &[id, service] : m_config->services) {
            if (service.engine && service.engine->layers > 0) {
                planAndSendOrders(service, now);
            }
        }
    }
    m_loop.after(TICK_INTERVAL, [this] { tick(); });
}

// True if more than half of the servers with accelerators hold no layers: the fleet has just started.
bool control_plane::mostlyEmpty() const
{
    int empty = 0;
    int all = 0;
    for (const auto &[id, server] : m_fleet->servers) {
        if (!server.accelerator.empty()) {
            ++all;
            empty += server.held.count() == 0 ? 1 : 0;
        }
    }
    return empty * 2 > all;
}

void control_plane::forgetSettledOrders(steady_time now)
{
    std::erase_if(m_pending, [&](const auto &entry) {
        const auto server = m_fleet->servers.find(entry.first);
        if (server == m_fleet->servers.end() || server->second.incarnation != entry.second.incarnation) {
            return true; // the server is gone, or it restarted and lost its layers
        }
        return server->second.held == entry.second.range || now - entry.second.given > PENDING_ORDER_TTL;
    });
}

void control_plane::planAndSendOrders(const service_profile &service, steady_time now)
{
    std::vector<placed_server> servers;
    for (const auto &[id, server] : m_fleet->servers) {
        if (server.service != service.id || server.draining) {
            continue;
        }
        const auto pending = m_pending.find(id);
        const bool changing = pending != m_pending.end();
        servers.push_back({id, server.domain, server.accelerator, changing ? pending->second.range : server.held, m_lost.isLost(server.address, now), changing,
                           server.slots});
    }
    std::vector<layer_assignment> plan = planPlacement(*service.engine, servers, {});
    if (plan.empty()) {
        plan = planRepair(*service.engine, servers, {}); // servers without layers come first: placing them takes no KV capacity from others
    }
    if (plan.empty()) {
        plan = planScarcityRebalanceIfStable(service, servers, now);
    }
    if (plan.empty()) {
        plan = planPersistentGapRebalance(*service.engine, servers, now);
    }
    for (const layer_assignment &assignment : plan) {
        const listed_server &server = m_fleet->servers.at(assignment.server);
        m_pending[server.id] = {assignment.range, now, server.incarnation};
        m_lastOrder = now;
        order(server, assignment.range);
    }
}

// Rebalances servers towards scarce layers. A reassigned server serves its new layers only after the requests that pass
// through it have ended, so this runs only if no server has joined, left or received an order for a while.
std::vector<layer_assignment> control_plane::planScarcityRebalanceIfStable(const service_profile &service, const std::vector<placed_server> &servers,
                                                                           steady_time now)
{
    if (!m_pending.empty() || now - std::max(m_fleetChanged, m_lastOrder) < REBALANCE_QUIET_PERIOD) {
        return {};
    }
    std::vector<layer_assignment> plan = planScarcityRebalance(*service.engine, servers, {});
    if (!plan.empty()) {
        logLine(log_level::info, "layers_relieved", {{"service", service.id.text}, {"orders", std::to_string(plan.size())}});
    }
    return plan;
}

// Closes a gap that neither new nor adjacent servers have closed within the grace period by shifting ranges across the whole
// failure domain.
std::vector<layer_assignment> control_plane::planPersistentGapRebalance(const engine_profile &engine, const std::vector<placed_server> &servers,
                                                                        steady_time now)
{
    const std::vector<domain_id> gapped = gappedDomains(engine, servers);
    std::erase_if(m_gapSince, [&](const auto &entry) { return std::find(gapped.begin(), gapped.end(), entry.first) == gapped.end(); });
    for (const domain_id &domain : gapped) {
        const steady_time since = m_gapSince.try_emplace(domain, now).first->second;
        if (now - since < GAP_GRACE_PERIOD) {
            continue;
        }
        const std::vector<layer_assignment> plan = planGapRebalance(engine, servers, domain);
        m_gapSince[domain] = now; // retry after another grace period
        if (!plan.empty()) {
            logLine(log_level::info, "domain_rebalanced", {{"domain", domain.text}, {"orders", std::to_string(plan.size())}});
            return plan;
        }
    }
    return {};
}

void control_plane::checkFaultyServers(steady_time now)
{
    for (const std::string &address : m_lost.takeDueChecks(now)) {
        const auto server = std::find_if(m_fleet->servers.begin(), m_fleet->servers.end(), [&](const auto &entry) { return entry.second.address == address; });
        if (server == m_fleet->servers.end()) {
            continue;
        }
        m_port.fetchReport(address, server->first, [this, address](const server_report &report) { m_lost.noteState(address, report.processState()); });
    }
}

// Reads the server's state first: an order carries the number of orders that the server must have begun, so that a delayed
// order cannot undo a newer one.
void control_plane::order(const listed_server &server, layer_range range)
{
    m_port.fetchReport(server.address, server.id, [this, server, range](const server_report &report) {
        const bool changeable = report.ok && !report.busy && report.held == server.held;
        if (!changeable) {
            logLine(log_level::info, "order_not_given",
                    {{"server", server.id.text},
                     {"range", rangeText(range)},
                     {"reason", report.ok ? "server is busy or holds other layers than in its registered entry" : report.error}});
            m_pending[server.id] = {range, std::chrono::steady_clock::now() - PENDING_ORDER_TTL + ORDER_RETRY_DELAY, server.incarnation};
            return;
        }
        if (m_lease.holds(std::chrono::steady_clock::now())) {
            sendOrder(server, range, report.orderSequence);
        }
    });
}

void control_plane::sendOrder(const listed_server &server, layer_range range, std::uint64_t sequence)
{
    m_port.orderLayers(server.address, server.id, range, sequence, [this, server, range, sequence](order_outcome outcome) {
        logLine(log_level::info, "order",
                {{"server", server.id.text},
                 {"kind", server.accelerator},
                 {"domain", server.domain.text},
                 {"range", rangeText(range)},
                 {"sequence", std::to_string(sequence)},
                 {"outcome", toText(outcome)}});
        if (outcome != order_outcome::begun) {
            m_pending[server.id] = {range, std::chrono::steady_clock::now() - PENDING_ORDER_TTL + ORDER_RETRY_DELAY, server.incarnation};
        }
    });
}

}
