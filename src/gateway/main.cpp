// chestnutgw-gateway: routes client requests to the backend servers of the users' platform. This file only creates the parts
// and connects them; docs/DESIGN.md describes them.

#include "core/drain_admission.h"
#include "core/late_event.h"
#include "core/store_pace.h"
#include "gateway/control_plane.h"
#include "gateway/front_server.h"
#include "gateway/operator_api.h"
#include "kernel/clock.h"
#include "kernel/registry.h"

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <charconv>
#include <cstdlib>
#include <malloc.h>
#include <set>

namespace
{

using namespace chestnut;

constexpr milliseconds DRAIN_CHECK_INTERVAL{50};
constexpr milliseconds ABORT_TIME{200};          // from the drain limit until the process ends: time to send the last error answers
constexpr milliseconds LOAD_REPORT_INTERVAL{80}; // interval at which this instance's load is passed to the mesh
constexpr milliseconds LOOP_DELAY_LOGGED{100};   // a thread that is later than this is logged
constexpr int MAPPED_BYTES = 64 * 1024;          // allocations of this size and more are returned to the system when freed
constexpr int KEPT_FREE_BYTES = 256 * 1024;      // at the end of the heap
constexpr seconds DROPPED_LINES_INTERVAL{5};     // interval of the log line with the number of dropped lines

using platform_plugins = plugin_registry<platform_port, event_loop &, const std::string &, metrics &>;

http_server_options metricsOptions(const std::string &address)
{
    http_server_options options;
    const std::size_t colon = address.rfind(':');
    options.address = address.substr(0, colon);
    std::from_chars(address.data() + colon + 1, address.data() + address.size(), options.port);
    options.maxConnections = 16;
    return options;
}

// All parts of a gateway process; each member depends only on those declared before it.
class gateway_process
{
public:
    explicit gateway_process(const gateway_settings &settings)
        : m_control("control")
        , m_port(platform_plugins::instance().make(settings.platformAdapter, m_control, settings.platformUrl, m_counters))
        , m_state(m_context, settings, m_counters, *m_port)
        , m_front(m_state)
        , m_plane(m_control, *m_port, m_counters, settings, planeHandler())
        , m_mesh(std::make_unique<mesh_node>(m_control, m_counters,
                                             mesh_settings{settings.name, settings.failureDomain, settings.peerAddress, settings.peerAdvertisedAddress,
                                                           static_cast<std::uint64_t>(wallClockMs())},
                                             meshHandler()))
        , m_operators(metricsOptions(settings.metricsAddress), [this](const std::shared_ptr<http_call> &call) { answerOperator(call, m_state); })
        , m_signals(m_context, SIGTERM, SIGINT, SIGHUP)
        , m_drainTimer(m_context)
        , m_dropTimer(m_context)
        , m_loadTimer(m_context)
    {
        m_state.control = controlCalls();
        m_state.pauses.setRefresh(m_state.control.refresh);
        m_state.partReports.setKeeper(m_state.control.keepQuarantine);
    }

    void run()
    {
        logLine(log_level::info, "listening",
                {{"front", m_front.frontAddress()},
                 {"ready", m_front.readyAddress()},
                 {"peer", m_mesh->address()},
                 {"metrics_port", std::to_string(m_operators.port())}});
        m_counters.set("memory_limit_bytes", static_cast<double>(m_state.settings.memoryLimit()));
        m_counters.set("descriptor_limit", static_cast<double>(m_state.settings.descriptorLimit()));
        m_front.start();
        m_plane.start();
        joinMesh();
        awaitSignal();
        reportDropped();
        reportLoad();
        m_context.run();
    }

private:
    control_handler planeHandler();
    control_calls controlCalls();
    mesh_handler meshHandler();
    void joinMesh();
    void reportLoad();
    // Takes over evidence about parts of prompts from a peer or the platform. Control thread only.
    void importEvidence(const evidence_update &update);
    // Passes new evidence about parts of prompts to the mesh.
    void passEvidence(steady_time now);
    // Measures how late the traffic thread runs a timer and the control thread runs a task.
    void measureDelays(steady_time now);
    void awaitSignal();
    void beginDrain(int signal);
    void drainStep();
    void reportDropped();

    asio::io_context m_context{1};
    metrics m_counters;
    event_loop m_control;
    std::unique_ptr<platform_port> m_port;
    traffic_state m_state;
    front_server m_front;
    control_plane m_plane;
    std::unique_ptr<mesh_node> m_mesh;
    std::vector<server_load> m_ownLoads; // control thread only
    crash_evidence m_evidence;           // copy that is exchanged with peers; control thread only
    std::uint64_t m_evidencePassed = 0;  // revision of the traffic thread's copy up to which that one has it
    milliseconds m_timeUntilStop{0};     // time until this process ends, 0 = not stopping; control thread only
    http_server m_operators;
    asio::signal_set m_signals;
    asio::steady_timer m_drainTimer;
    asio::steady_timer m_dropTimer;
    asio::steady_timer m_loadTimer;
    std::set<std::string> m_members;                                  // every instance ever registered; traffic thread only
    late_event_bound m_signalBound{std::chrono::steady_clock::now()}; // traffic thread only
    steady_time m_drainBegan{};                                       // when the signal to stop was handled
    bool m_idleClosed = false;
    bool m_listenerClosed = false;
    bool m_aborted = false;
};

control_handler gateway_process::planeHandler()
{
    control_handler handler;
    handler.onConfig
        = [this](std::shared_ptr<const gateway_config> config) { asio::post(m_context, [this, config = std::move(config)] { m_state.applyConfig(config); }); };
    handler.onFleet
        = [this](std::shared_ptr<const fleet_snapshot> fleet) { asio::post(m_context, [this, fleet = std::move(fleet)] { m_state.applyFleet(fleet); }); };
    return handler;
}

// Each call is posted to the control thread; its result is posted back to the traffic thread.
control_calls gateway_process::controlCalls()
{
    control_calls calls;
    calls.fetchReport = [this](const std::string &address, const server_id &server, std::function<void(server_report)> done) {
        m_control.post([this, address, server, done = std::move(done)] {
            m_port->fetchReport(address, server, [this, done](server_report report) {
                asio::post(m_context, [done, report = std::move(report)]() mutable { done(std::move(report)); });
            });
        });
    };
    calls.orderRepath = [this](const std::string &address, const server_id &server, const std::string &request, const std::vector<path_stage> &path,
                               std::function<void(order_outcome, std::string)> done) {
        m_control.post([this, address, server, request, path, done = std::move(done)] {
            m_port->orderRepath(address, server, request, path, [this, done](order_outcome outcome, std::string faulty) {
                asio::post(m_context, [done, outcome, faulty = std::move(faulty)]() mutable { done(outcome, std::move(faulty)); });
            });
        });
    };
    calls.keepQuarantine
        = [this](const part_id &part, const evidence_update &evidence) { m_control.post([this, part, evidence] { m_port->keepQuarantine(part, evidence); }); };
    calls.refresh = [this](std::function<void(bool)> done) {
        m_control.post([this, done = std::move(done)] { m_port->refresh([this, done](bool ok) { asio::post(m_context, [done, ok] { done(ok); }); }); });
    };
    return calls;
}

mesh_handler gateway_process::meshHandler()
{
    mesh_handler handler;
    handler.loads = [this] { return m_ownLoads; };
    handler.stopping = [this] { return m_timeUntilStop; };
    handler.onRank = [this](int rank) {
        m_port->setRank(rank);
        m_plane.setRank(rank);
        m_port->setMaxConfirmationAge(maxConfirmationAge(milliseconds(m_state.settings.noticeLimitMs), rank));
    };
    handler.confirmations = [this] {
        const steady_time now = std::chrono::steady_clock::now();
        peer_confirmations known = m_port->confirmations(now);
        m_plane.addConfirmations(known, now);
        return known;
    };
    handler.onConfirmations = [this](const peer_confirmations &known, const update_position &position) {
        const steady_time now = std::chrono::steady_clock::now();
        m_port->confirm(known, position, now);
        m_plane.takeConfirmations(known, now);
    };
    handler.onReport
        = [this](peer_report report) { asio::post(m_context, [this, report = std::move(report)]() mutable { m_state.applyPeerReport(std::move(report)); }); };
    handler.position = [this] { return m_port->position(); };
    handler.exportUpdates = [this](const update_position &since) { return m_port->exportUpdates(since); };
    handler.exportEvidence = [this](std::uint64_t revision) { return m_evidence.since(revision); };
    handler.importEvidence = [this](const evidence_update &update) { importEvidence(update); };
    handler.importUpdates = [this](const std::string &updates) { m_port->importUpdates(updates); };
    return handler;
}

void gateway_process::joinMesh()
{
    m_control.post([this] {
        const member_entry self{m_state.settings.name, m_state.settings.failureDomain, m_mesh->advertisedAddress()};
        m_port->announce(self, [this](const member_entry &member) {
            m_mesh->addPeer(member);
            asio::post(m_context, [this, instance = member.instance] {
                m_members.insert(instance);
                m_state.knownInstances = static_cast<int>(m_members.size());
            });
        });
        m_port->readQuarantine([this](const evidence_update &kept) { importEvidence(kept); });
        m_mesh->start();
    });
}

void gateway_process::measureDelays(steady_time now)
{
    const auto note = [this](const char *thread, milliseconds &last, milliseconds delay) {
        last = delay;
        m_counters.set("thread_delay_ms", static_cast<double>(delay.count()), {{"thread", thread}});
        if (delay >= LOOP_DELAY_LOGGED) {
            logLine(log_level::info, "thread_delayed", {{"thread", thread}, {"ms", std::to_string(delay.count())}});
        }
    };
    const auto elapsed = [](steady_time since) { return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - since); };
    if (m_loadTimer.expiry() != steady_time()) {
        note("traffic", m_state.trafficDelay, std::max(milliseconds(0), elapsed(m_loadTimer.expiry())));
    }
    if (m_state.controlProbeSent != steady_time()) {
        return; // the control thread has not run the last task yet
    }
    m_state.controlProbeSent = now;
    m_control.post([this, now, elapsed, note] {
        asio::post(m_context, [this, note, delay = elapsed(now)] {
            m_state.controlProbeSent = {};
            note("control", m_state.controlDelay, delay);
        });
    });
}

void gateway_process::reportLoad()
{
    const steady_time now = std::chrono::steady_clock::now();
    m_state.pauses.noteRunning(now);
    m_signalBound.noteTick(now);
    m_state.pool.closeExpired(now);
    measureDelays(now);
    m_counters.set("server_connections_idle", static_cast<double>(m_state.pool.idleConnections()));
    if (m_state.prefixes.enabled()) {
        m_counters.set("prefixes_tracked", static_cast<double>(m_state.prefixes.size()));
    }
    m_state.clients.report();
    m_counters.set("peers_live", m_state.peers.livePeers(now));
    const auto left = std::chrono::ceil<milliseconds>(m_state.drain.end - now);
    const milliseconds stopping = m_state.draining ? std::max(left, milliseconds(1)) : milliseconds(0);
    m_control.post([this, stopping, loads = m_state.ownLoads(now), faulty = m_state.health.faulty(now)]() mutable {
        m_timeUntilStop = stopping;
        m_ownLoads = std::move(loads);
        m_plane.setFaultyServers(faulty);
    });
    passEvidence(now);
    m_loadTimer.expires_after(LOAD_REPORT_INTERVAL);
    m_loadTimer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            reportLoad();
        }
    });
}

void gateway_process::importEvidence(const evidence_update &update)
{
    if (m_evidence.merge(update)) {
        asio::post(m_context, [this, update] {
            m_state.quarantine.merge(update);
            m_state.partReports.report();
        });
    }
}

void gateway_process::passEvidence(steady_time now)
{
    m_state.quarantine.dropExpired(now);
    m_state.partReports.report();
    evidence_update update = m_state.quarantine.evidence().since(m_evidencePassed);
    m_evidencePassed = update.revision;
    m_control.post([this, now, update = std::move(update)] {
        m_evidence.dropExpired(now);
        m_evidence.merge(update);
    });
}

void gateway_process::awaitSignal()
{
    m_signals.async_wait([this](boost::system::error_code error, int signal) {
        if (error) {
            return; // the process is ending
        }
        if (signal == SIGHUP) {
            logLine(log_level::info, "reload_asked", {{"effect", "none: addresses and limits are fixed at start"}});
            awaitSignal();
            return;
        }
        beginDrain(signal);
    });
}

// The platform counts the grace period from when it sent the signal, which may have waited while this process did not run.
void gateway_process::beginDrain(int signal)
{
    m_drainBegan = std::chrono::steady_clock::now();
    const steady_time sent = m_signalBound.earliest();
    m_state.drain = {sent, sent + m_state.settings.drainLimit()};
    const auto signalAge = std::chrono::duration_cast<milliseconds>(m_drainBegan - sent);
    const auto left = std::chrono::duration_cast<milliseconds>(m_state.drain.end - m_drainBegan);
    m_counters.set("stop_signal_max_age_ms", static_cast<double>(signalAge.count()));
    logLine(log_level::info, "stop_asked",
            {{"signal", std::to_string(signal)},
             {"max_age_ms", std::to_string(signalAge.count())},
             {"left_ms", std::to_string(left.count())},
             {"open_requests", std::to_string(m_state.openRequests)}});
    m_front.beginDrain();
    drainStep();
}

// Called periodically while draining: requests are served until the load balancer sends no new ones and those in flight have
// ended, at most until the drain limit. The listener closes then, and the process ends once all client connections have ended.
// Requests that are still in flight at the drain limit get an error answer.
void gateway_process::drainStep()
{
    const steady_time now = std::chrono::steady_clock::now();
    const auto elapsed = now - m_drainBegan;
    if (!m_idleClosed && elapsed >= OUT_OF_ROTATION) {
        m_idleClosed = true;
        m_front.closeIdle();
    }
    const bool limitReached = now >= m_state.drain.end;
    const bool quiet = elapsed >= OUT_OF_ROTATION + DRAIN_CHECK_INTERVAL * 4 && m_front.busySessions() == 0;
    if (!m_listenerClosed && (quiet || limitReached)) {
        m_listenerClosed = true;
        m_front.stopAccepting();
    }
    if (!m_aborted && limitReached) {
        m_aborted = true;
        logLine(log_level::warning, "drain_limit_reached",
                {{"open_requests", std::to_string(m_state.openRequests)}, {"busy_connections", std::to_string(m_front.busySessions())}});
        m_front.abortSessions();
    }
    if ((m_listenerClosed && m_front.openSessions() == 0) || now >= m_state.drain.end + ABORT_TIME) {
        logLine(log_level::info, "stopped",
                {{"open_requests", std::to_string(m_state.openRequests)}, {"busy_connections", std::to_string(m_front.busySessions())}});
        m_context.stop();
        return;
    }
    m_drainTimer.expires_after(DRAIN_CHECK_INTERVAL);
    m_drainTimer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            drainStep();
        }
    });
}

void gateway_process::reportDropped()
{
    if (const std::uint64_t dropped = m_state.logLimiter.takeDropped(); dropped > 0) {
        m_counters.count("log_lines_dropped", {}, static_cast<double>(dropped));
        logLine(log_level::warning, "log_lines_dropped", {{"lines", std::to_string(dropped)}});
    }
    m_dropTimer.expires_after(DROPPED_LINES_INTERVAL);
    m_dropTimer.async_wait([this](boost::system::error_code error) {
        if (!error) {
            reportDropped();
        }
    });
}

// Without this, the allocator raises the first limit to the size of what was freed, up to 32 MB, and then keeps freed bodies.
void returnFreedMemory()
{
    mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES);
    mallopt(M_TRIM_THRESHOLD, KEPT_FREE_BYTES);
}

int serve(const gateway_settings &settings)
{
    returnFreedMemory();
    startLog("gateway", settings.logFormat, parseLogLevel(settings.logLevel), log_target::standard_output);
    logLine(log_level::info, "start", {{"instance", settings.name}, {"domain", settings.failureDomain}, {"front", settings.frontAddress}});
    gateway_process process(settings);
    process.run();
    // Destructors are skipped: no state needs saving, and the end of the calls to peers may take longer than the grace period leaves.
    std::_Exit(0);
}

}

int main(int argc, char **argv)
{
    return runProgram(argc, argv, "chestnutgw-gateway", "routes client requests to the backend servers of the users' platform", GATEWAY_SETTINGS, serve);
}
