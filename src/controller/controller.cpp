// Sections: settings, streams, lease, placement, orders, snapshots, status.

#include "controller/controller.h"

#include "kernel/clock.h"
#include "kernel/log.h"
#include "kernel/registry.h"

#include <algorithm>

namespace chestnut
{

//-----------------------------------------------------------------------------
// Settings
//-----------------------------------------------------------------------------

const setting_row<controller_settings> CONTROLLER_SETTINGS[18] = {
    {"instance.name", &controller_settings::name, 1, 100, "text", "instance name, unique in the deployment"},
    {"instance.failure_domain", &controller_settings::failureDomain, 1, 100, "text", "failure domain of this instance"},
    {"instance.address", &controller_settings::address, 7, 15, "IP address", "listen address of the HTTP server for status and metrics"},
    {"instance.port", &controller_settings::port, 0, 65535, "TCP port", "listen port for status and metrics, 0 = any free port"},
    {"platform.log_adapter", &controller_settings::logAdapter, 1, 50, "plug-in", "adapter of the log service"},
    {"platform.log_url", &controller_settings::logUrl, 1, 300, "URL", "base URL of the log service"},
    {"platform.log_retention", &controller_settings::logRetention, 1000, 1e12, "ms", "retention period of the log service"},
    {"backend.engine_adapter", &controller_settings::engineAdapter, 1, 50, "plug-in", "adapter of the model engines"},
    {"backend.report_interval", &controller_settings::reportInterval, 50, 60000, "ms", "interval at which the lease holder fetches server reports"},
    {"placement.interval", &controller_settings::planInterval, 50, 60000, "ms", "interval at which the lease holder plans the placement"},
    {"placement.max_loads", &controller_settings::maxLoads, 1, 10000, "servers", "maximum number of servers that load weights at the same time"},
    {"placement.order_timeout", &controller_settings::orderTimeout, 100, 1e7, "ms",
     "an order that no server report confirms within this time is dropped and planned again"},
    {"config.snapshot_records", &controller_settings::snapshotRecords, 1, 1e6, "records", "configuration records after which a snapshot is written"},
    {"lease.term", &controller_settings::leaseTerm, 100, 600000, "ms", "validity of a lease after its last renewal"},
    {"lease.renew_interval", &controller_settings::renewInterval, 20, 600000, "ms", "renewal interval of a held lease, at most a third of lease.term"},
    {"lease.order_lifetime", &controller_settings::orderLifetime, 0, 600000, "ms", "maximum time after sending during which an order may take effect"},
    {"log.format", &controller_settings::logFormat, 4, 4, "word", "log format: text or json"},
    {"log.level", &controller_settings::logLevel, 4, 7, "word", "minimum log level: debug, info, warning or error"},
};

void checkSettings(const controller_settings &settings)
{
    if (settings.logUrl.empty()) {
        throw settings_error("platform.log_url: must be set");
    }
    if (settings.renewInterval * 3 > settings.leaseTerm) {
        throw settings_error("lease.renew_interval: must be at most a third of lease.term");
    }
    try {
        parseLogLevel(settings.logLevel);
    } catch (const std::invalid_argument &problem) {
        throw settings_error(std::string("log.level: ") + problem.what());
    }
}

namespace
{

constexpr milliseconds TICK_INTERVAL{100};
constexpr int SNAPSHOTS_PER_RETENTION = 4;   // minimum number of snapshots per retention period of the log
constexpr milliseconds MAX_REPORT_AGE{5000}; // an older report is outdated; its server counts as unavailable

lease_limits limitsOf(const controller_settings &settings)
{
    lease_limits limits;
    limits.term = settings.leaseTerm;
    limits.renewEvery = settings.renewInterval;
    limits.orderLifetime = settings.orderLifetime;
    return limits;
}

std::string formatHoldings(const std::vector<holding> &holdings)
{
    std::string text;
    for (const holding &one : holdings) {
        text += (text.empty() ? "" : " ") + one.model.text + "@" + one.version + ":" + std::to_string(one.range.first) + "-" + std::to_string(one.range.last);
    }
    return text.empty() ? "nothing" : text;
}

}

//-----------------------------------------------------------------------------
// Streams
//-----------------------------------------------------------------------------

controller::controller(const controller_settings &settings)
    : m_settings(settings)
    , m_holder(settings.name + "." + std::to_string(wallClockMs()))
    , m_loop("controller")
    , m_log(plugin_registry<log_service, event_loop &, const std::string &>::instance().make(settings.logAdapter, m_loop, settings.logUrl))
    , m_engines(plugin_registry<engine_adapter, event_loop &>::instance().make(settings.engineAdapter, m_loop))
    , m_configFollower(m_loop, *m_log, CONTROL_CONFIG_STREAM,
                       {[this](const std::vector<log_entry> &entries) { applyConfigRecords(entries); }, [this](log_offset) { m_fold = config_fold(); },
                        [this] { m_fold.startEmpty(); }, [](bool) {}})
    , m_leaseFollower(m_loop, *m_log, LEASES_STREAM,
                      {[this](const std::vector<log_entry> &entries) { applyLeaseRecords(entries); }, [](log_offset) {}, [] {},
                       [](bool reachable) {
                           logLine(log_level::warning, reachable ? "log_reachable" : "log_unreachable", {{"stream", LEASES_STREAM}});
                       }})
    , m_leases(limitsOf(settings))
    , m_keeper(PLACEMENT_LEASE, m_holder, limitsOf(settings))
{
    m_loop.run([this] {
        m_configFollower.start({});
        m_leaseFollower.start({});
        tick();
    });
    http_server_options options;
    options.address = settings.address;
    options.port = static_cast<std::uint16_t>(settings.port);
    m_server = std::make_unique<http_server>(options, [this](const std::shared_ptr<http_call> &call) { m_loop.post([this, call] { handle(call); }); });
}

controller::~controller() = default;

std::uint16_t controller::port() const
{
    return m_server->port();
}

void controller::release()
{
    m_loop.run([this] {
        m_keeper.release();
        if (const auto record = m_keeper.dueRecord(std::chrono::steady_clock::now() + m_settings.renewInterval)) {
            m_log->append(LEASES_STREAM, {encodeLease(*record)}, [](const append_result &) {});
        }
    });
}

void controller::applyConfigRecords(const std::vector<log_entry> &entries)
{
    for (const log_entry &entry : entries) {
        m_fold.apply(entry.offset, entry.data);
        const nlohmann::json value = nlohmann::json::parse(entry.data, nullptr, false);
        if (value.is_object() && value.contains("type") && value["type"] == "snapshot" && value.contains("as_of") && value["as_of"].is_number_unsigned()) {
            m_snapshotOffset = std::max(m_snapshotOffset, log_offset{value["as_of"].get<std::uint64_t>()});
            m_snapshotTimeMs = std::max(m_snapshotTimeMs, entry.timeMs);
        }
    }
}

void controller::applyLeaseRecords(const std::vector<log_entry> &entries)
{
    const steady_time now = std::chrono::steady_clock::now();
    for (const log_entry &entry : entries) {
        try {
            m_leases.apply(entry.offset, entry.timeMs, decodeLease(entry.data));
        } catch (const std::invalid_argument &) {
            m_counters.count("chestnutgw_controller_undecodable_total");
        }
        m_keeper.observe(m_leases, now);
    }
}

//-----------------------------------------------------------------------------
// Lease
//-----------------------------------------------------------------------------

void controller::tick()
{
    const steady_time now = std::chrono::steady_clock::now();
    if (m_leaseFollower.caughtUp()) {
        if (const auto record = m_keeper.dueRecord(now)) {
            m_log->append(LEASES_STREAM, {encodeLease(*record)}, [](const append_result &) {});
        }
    }
    const bool holder = m_keeper.fence(now).has_value();
    if (holder != m_wasHolder) {
        m_wasHolder = holder;
        logLine(log_level::info, holder ? "lease_acquired" : "lease_lost",
                {{"lease", PLACEMENT_LEASE}, {"fence", holder ? std::to_string(m_keeper.fence(now)->value) : ""}});
        // The first plan waits for one round of reports.
        m_nextPlan = now + m_settings.reportInterval;
    }
    m_counters.set("chestnutgw_controller_holder", holder ? 1 : 0);
    if (holder) {
        if (now >= m_nextReportFetch) {
            m_nextReportFetch = now + m_settings.reportInterval;
            fetchReports();
        }
        if (now >= m_nextPlan) {
            m_nextPlan = now + m_settings.planInterval;
            plan();
            writeSnapshot();
        }
    }
    m_loop.after(TICK_INTERVAL, [this] { tick(); });
}

//-----------------------------------------------------------------------------
// Placement
//-----------------------------------------------------------------------------

void controller::fetchReports()
{
    for (const auto &[key, row] : m_fold.rows()) {
        if (row.kind != "server") {
            continue;
        }
        const server_id id{row.name};
        known_server &known = m_servers[id];
        if (known.fetching) {
            continue;
        }
        known.fetching = true;
        m_engines->report(row.address, [this, id](std::optional<server_report> report) {
            known_server &server = m_servers[id];
            server.fetching = false;
            if (!report) {
                return;
            }
            server.report = std::move(report);
            server.reportedAt = std::chrono::steady_clock::now();
            if (server.orderPending && server.report->holdings == server.orderedHoldings) {
                server.orderPending = false;
            }
        });
    }
}

std::vector<placement_server> controller::collectServers(steady_time now)
{
    std::vector<placement_server> list;
    for (const auto &[key, row] : m_fold.rows()) {
        const auto found = row.kind == "server" ? m_servers.find(server_id{row.name}) : m_servers.end();
        if (found == m_servers.end() || !found->second.report) {
            continue;
        }
        known_server &known = found->second;
        const server_report &report = *known.report;
        if (known.orderPending && now - known.orderedAt > m_settings.orderTimeout) {
            known.orderPending = false; // the order may have failed: plan from the reported holdings again
        }
        placement_server one;
        one.id = found->first;
        one.domain = domain_id{row.failureDomain};
        one.layerMs = report.layerMs;
        one.slots = report.slots;
        one.maxLayers = report.maxLayers;
        one.available = row.state != "draining" && !report.leaving && now - known.reportedAt <= MAX_REPORT_AGE;
        one.loading = known.orderPending || report.loading;
        // Pending orders count as held; otherwise the next plan would order the same layers from another server as well.
        one.holdings = known.orderPending ? known.orderedHoldings : report.holdings;
        list.push_back(std::move(one));
    }
    return list;
}

std::vector<placement_target> controller::collectTargets() const
{
    std::vector<placement_target> targets;
    for (const auto &[key, row] : m_fold.rows()) {
        if (row.kind != "version" || row.state == "retired") {
            continue;
        }
        const auto model = m_fold.rows().find("model//" + row.of);
        if (model == m_fold.rows().end()) {
            continue;
        }
        targets.push_back({model_id{row.of}, row.name, model->second.layers, 1.0});
    }
    return targets;
}

void controller::plan()
{
    const steady_time now = std::chrono::steady_clock::now();
    const std::vector<placement_server> servers = collectServers(now);
    for (const placement_reassignment &move : planPlacement(servers, collectTargets(), m_settings.maxLoads)) {
        sendOrder(move);
    }
}

//-----------------------------------------------------------------------------
// Orders
//-----------------------------------------------------------------------------

void controller::sendOrder(const placement_reassignment &move)
{
    const steady_time now = std::chrono::steady_clock::now();
    const auto row = m_fold.rows().find("server//" + move.server.text);
    // Check the lease immediately before sending: its deadline may have passed while the process was paused.
    const std::optional<log_offset> fence = m_keeper.fence(now);
    if (!fence || row == m_fold.rows().end()) {
        return;
    }
    known_server &known = m_servers[move.server];
    known.orderedHoldings = move.holdings;
    known.orderedAt = now;
    known.orderPending = true;
    m_counters.count("chestnutgw_controller_orders_total");
    logLine(log_level::info, "order",
            {{"server", move.server.text}, {"holds", formatHoldings(move.holdings)}, {"reason", move.reason}, {"fence", std::to_string(fence->value)}});
    appendNote(move.server.text + " holds " + formatHoldings(move.holdings) + ": " + move.reason);
    m_engines->order(row->second.address, {fence->value, move.holdings}, [this, id = move.server](order_status status) {
        if (status == order_status::done) {
            return;
        }
        m_counters.count("chestnutgw_controller_order_failures_total");
        logLine(log_level::warning, status == order_status::fenced ? "order_fenced" : "order_failed", {{"server", id.text}});
        if (status == order_status::fenced) {
            m_servers[id].orderPending = false;
        }
    });
}

void controller::appendNote(const std::string &text)
{
    lease_record note;
    note.type = lease_record::kind::note;
    note.name = PLACEMENT_LEASE;
    note.holder = m_holder;
    note.text = text;
    m_log->append(LEASES_STREAM, {encodeLease(note)}, [](const append_result &) {});
}

//-----------------------------------------------------------------------------
// Snapshots
//-----------------------------------------------------------------------------

void controller::writeSnapshot()
{
    const bool enoughRecords = m_fold.applied().value >= m_snapshotOffset.value + static_cast<std::uint64_t>(m_settings.snapshotRecords);
    const bool tooOld = m_fold.applied().value > 0 && wallClockMs() - m_snapshotTimeMs > m_settings.logRetention.count() / SNAPSHOTS_PER_RETENTION;
    if (!m_fold.started() || m_snapshotPending || !(enoughRecords || tooOld)) {
        return;
    }
    m_snapshotPending = true;
    const log_offset asOf = m_fold.applied();
    m_log->append(CONTROL_CONFIG_STREAM, {m_fold.encodeSnapshot()}, [this, asOf](const append_result &result) {
        m_snapshotPending = false;
        if (result.status == append_status::appended) {
            m_snapshotOffset = std::max(m_snapshotOffset, log_offset{asOf.value + 1});
            m_snapshotTimeMs = wallClockMs();
            logLine(log_level::info, "snapshot_written", {{"as_of", std::to_string(asOf.value)}});
        }
    });
}

//-----------------------------------------------------------------------------
// Status
//-----------------------------------------------------------------------------

nlohmann::json controller::placementStatus()
{
    const steady_time now = std::chrono::steady_clock::now();
    const lease_table::held_lease *lease = m_leases.find(PLACEMENT_LEASE);
    nlohmann::json notes = nlohmann::json::array();
    for (const lease_record &note : m_leases.notes()) {
        notes.push_back({{"by", note.holder}, {"text", note.text}});
    }
    nlohmann::json rates = nlohmann::json::object();
    const std::vector<placement_server> servers = collectServers(now);
    for (const placement_target &target : collectTargets()) {
        rates[target.model.text + "@" + target.version] = pipelineRate(servers, target.model, target.version, target.layers);
    }
    return {{"instance", m_settings.name},
            {"holder", lease == nullptr ? "" : lease->holder},
            {"fence", lease == nullptr ? 0 : lease->fence.value},
            {"is_holder", m_keeper.fence(now).has_value()},
            {"config_offset", m_fold.applied().value},
            {"tokens_per_second", rates},
            {"decisions", notes}};
}

void controller::handle(const std::shared_ptr<http_call> &call)
{
    if (call->path() == "/healthz") {
        call->respond({200, "{\"status\":\"up\"}\n", "application/json", {}});
        return;
    }
    if (call->path() == "/metrics") {
        call->respond({200, m_counters.expose(), "text/plain; version=0.0.4", {}});
        return;
    }
    if (call->path() == "/operator/placement") {
        call->respond({200, placementStatus().dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n", "application/json", {}});
        return;
    }
    call->respond(errorResponse(404, "no_such_path", call->path(), verdict::not_run));
}

}
