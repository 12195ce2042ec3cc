// chestnutgw-entry: routes client requests to backend servers. Creates and connects the parts; docs/DESIGN.md describes them.

#include "entry/http_api.h"
#include "entry/load_monitor.h"
#include "kernel/exchange_limits.h"
#include "kernel/log.h"
#include "kernel/registry.h"
#include "kernel/scope.h"

#include <malloc.h>
#include <map>
#include <mutex>
#include <sstream>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>

namespace
{

using namespace chestnut;

constexpr milliseconds SELF_REFRESH_INTERVAL{200}; // between updates of this instance's membership row
constexpr milliseconds DRAIN_CHECK_INTERVAL{50};   // between checks for open work at shutdown
constexpr seconds LIMIT_LOG_PAUSE{10};             // a limit that is reached again within this time is not logged again
constexpr int MMAP_THRESHOLD_BYTES = 32 * 1024;    // larger blocks go back to the system when they are freed

std::size_t descriptorLimit()
{
    rlimit limit{};
    return ::getrlimit(RLIMIT_NOFILE, &limit) == 0 ? static_cast<std::size_t>(limit.rlim_cur) : 0;
}

std::size_t machineMemoryBytes()
{
    const long pages = ::sysconf(_SC_PHYS_PAGES);
    const long pageBytes = ::sysconf(_SC_PAGESIZE);
    return pages > 0 && pageBytes > 0 ? static_cast<std::size_t>(pages) * static_cast<std::size_t>(pageBytes) : 0;
}

member makeSelfRow(const entry_settings &settings, std::uint64_t incarnation)
{
    member self;
    self.id = instance_id{settings.name};
    self.domain = domain_id{settings.failureDomain};
    self.incarnation = incarnation;
    return self;
}

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');) {
        if (!part.empty()) {
            parts.push_back(part);
        }
    }
    return parts;
}

// All parts of one entry process. Members are declared in dependency order.
class entry_process
{
public:
    explicit entry_process(const entry_settings &settings)
        : m_shared(settings)
        , m_incarnation(static_cast<std::uint64_t>(wallClockMs()))
        , m_control("control")
        , m_log(plugin_registry<log_service, event_loop &, const std::string &>::instance().make(settings.logAdapter, m_control, settings.logUrl))
        , m_list(settings.listUrl.empty()
                     ? nullptr
                     : plugin_registry<instance_list, event_loop &, const std::string &>::instance().make(settings.listAdapter, m_control, settings.listUrl))
        , m_engines(plugin_registry<engine_adapter, event_loop &>::instance().make(settings.engineAdapter, m_control))
        , m_members(makeSelfRow(settings, m_incarnation), {})
        , m_peers(m_control, m_shared.counters, m_members, settings.address + ":" + std::to_string(settings.peerPort), peerHandler())
        , m_relayed(*m_log, m_peers)
        , m_config(m_shared, m_control, *m_log, m_relayed, m_peers)
        , m_claims(m_shared, m_control, *m_log, m_relayed, m_peers, m_incarnation)
        , m_monitor(m_shared, m_control, *m_engines, m_list.get())
        , m_serviceLoop("services")
        , m_services(m_shared, m_serviceLoop, m_claims, static_cast<std::uint64_t>(settings.seed))
    {
        for (int i = 0; i < settings.shards; ++i) {
            m_shardLoops.push_back(std::make_unique<event_loop>("shard-" + std::to_string(i)));
            auto engines = plugin_registry<engine_adapter, event_loop &>::instance().make(settings.engineAdapter, *m_shardLoops.back());
            m_pipelines.push_back(
                std::make_unique<pipeline_driver>(m_shared, *m_shardLoops.back(), std::move(engines), static_cast<std::uint64_t>(settings.seed + i)));
        }
        m_httpApi = std::make_unique<http_api>(m_shared, http_api_parts{m_control, m_config, m_claims, m_members, m_peers, m_pipelines, m_services});
        startControl();
        m_server = std::make_unique<http_server>(serverOptions(settings), [this](const std::shared_ptr<http_call> &call) { m_httpApi->handle(call); });
        m_control.post([this] { exportClientUsage(); });
    }

    std::string describe() const
    {
        return "listening on " + m_shared.settings.address + ":" + std::to_string(m_server->port()) + " peers " + m_shared.settings.address + ":"
            + std::to_string(m_peers.port());
    }

    // Refuses new requests and waits until all open ones have ended, at most for instance.drain_limit.
    void drain()
    {
        logLine(log_level::info, "draining", {{"in_flight", std::to_string(m_shared.inFlight.load())}});
        m_shared.leaving = true;
        const steady_time limit = std::chrono::steady_clock::now() + m_shared.settings.drainLimit;
        while (hasOpenWork() && std::chrono::steady_clock::now() < limit) {
            std::this_thread::sleep_for(DRAIN_CHECK_INTERVAL);
        }
        logLine(log_level::info, "drained", {{"in_flight", std::to_string(m_shared.inFlight.load())}});
    }

private:
    peer_handler peerHandler()
    {
        peer_handler handler;
        handler.read = [this](const std::string &stream, log_offset from, const std::function<void(read_result)> &done) {
            if (stream == CONFIG_STREAM) {
                done(m_config.recordsFor(from));
                return;
            }
            m_log->read(stream, from, 2000, milliseconds(0), done);
        };
        handler.append = [this](const std::string &stream, std::vector<std::string> records, std::function<void(append_result)> done) {
            m_log->append(stream, std::move(records), std::move(done));
        };
        handler.onExchange = [this](const std::vector<member> &rows) {
            for (const member &row : rows) {
                m_config.hint(row.configOffset);
            }
        };
        return handler;
    }

    http_server_options serverOptions(const entry_settings &settings)
    {
        http_server_options options;
        options.address = settings.address;
        options.port = static_cast<std::uint16_t>(settings.port);
        options.threads = static_cast<unsigned>(settings.httpThreads);
        options.maxBodyBytes = static_cast<std::size_t>(settings.maxBodyBytes);
        options.maxConnections = static_cast<unsigned>(settings.maxConnections > 0 ? settings.maxConnections : derivedConnections(descriptorLimit()));
        options.memoryBytes = settings.clientMemoryMb > 0 ? static_cast<std::size_t>(settings.clientMemoryMb) << 20
                                                          : derivedClientMemory(options.maxBodyBytes, machineMemoryBytes());
        options.maxUnreadBytes = static_cast<std::size_t>(settings.maxUnreadBytes);
        options.idleTimeout = std::chrono::ceil<seconds>(settings.idleTimeout);
        options.receiveLimit = settings.receiveLimit;
        options.onLimit = [this](std::string_view reason) { noteClientLimit(reason); };
        m_shared.counters.set("chestnutgw_client_connections_limit", options.maxConnections);
        m_shared.counters.set("chestnutgw_client_memory_limit_bytes", static_cast<double>(options.memoryBytes));
        return options;
    }

    // Counts each case, and logs the first one of a reason after a time without any. Any thread.
    void noteClientLimit(std::string_view reason)
    {
        m_shared.counters.count("chestnutgw_client_limits_total", {{"reason", std::string(reason)}});
        const steady_time now = std::chrono::steady_clock::now();
        bool first = false;
        {
            const std::lock_guard lock(m_limitMutex);
            const auto [known, added] = m_limitSeen.try_emplace(std::string(reason), now);
            first = added || now - known->second > LIMIT_LOG_PAUSE;
            known->second = now;
        }
        if (first) {
            logLine(log_level::warning, "client_limit_reached", {{"reason", std::string(reason)}});
        }
    }

    void exportClientUsage()
    {
        const http_server_usage usage = m_server->usage();
        m_shared.counters.set("chestnutgw_client_connections", static_cast<double>(usage.connections));
        m_shared.counters.set("chestnutgw_client_memory_bytes", static_cast<double>(usage.memoryBytes));
        m_control.after(SELF_REFRESH_INTERVAL, [this] { exportClientUsage(); });
    }

    void startControl()
    {
        m_control.run([this] {
            m_members.self().address = m_shared.settings.address + ":" + std::to_string(m_peers.port());
            for (const std::string &seed : splitList(m_shared.settings.peers)) {
                m_members.addSeed(seed);
            }
            m_config.start();
            m_claims.start();
            m_monitor.start();
            refreshSelfRow();
        });
        m_peers.start();
    }

    void refreshSelfRow()
    {
        member &self = m_members.self();
        self.configOffset = m_config.fold().applied();
        self.claimsOffset = m_claims.claimManager().table().applied();
        self.leaving = m_shared.leaving;
        self.streams = m_shared.inFlight;
        updateAdmissionCapacity();
        m_control.after(SELF_REFRESH_INTERVAL, [this] { refreshSelfRow(); });
    }

    // Sets the capacity of each admission queue to an equal share of the backend servers among the live instances.
    void updateAdmissionCapacity()
    {
        const steady_time now = std::chrono::steady_clock::now();
        const auto instances = static_cast<int>(m_members.alive(now).size());
        m_shared.liveInstances = instances;
        const std::shared_ptr<const config_view> current = m_shared.current.load();
        for (const std::string &queue : m_shared.admission.models()) {
            const auto at = queue.find('@');
            const model_id model{queue.substr(0, at)};
            const auto layers = current->layers.find(model);
            if (layers == current->layers.end()) {
                continue;
            }
            admission_capacity share = m_shared.servers.with(
                [&](const fleet &servers) { return admissionShare(servers, model, queue.substr(at + 1), layers->second, instances, now); });
            if (!m_shared.settings.admission) {
                share = {};
            }
            m_shared.admission.setCapacity(queue, share);
        }
    }

    bool hasOpenWork()
    {
        std::size_t unsettled = 0;
        m_control.run([&] { unsettled = m_claims.claimManager().unsettled(); });
        return m_shared.inFlight > 0 || unsettled > 0 || m_server->openCalls() > 0;
    }

    entry_shared m_shared;
    std::uint64_t m_incarnation;
    event_loop m_control;
    std::unique_ptr<log_service> m_log;
    std::unique_ptr<instance_list> m_list;
    std::unique_ptr<engine_adapter> m_engines;
    membership m_members;
    peer_node m_peers;
    relayed_log m_relayed;
    config_service m_config;
    ledger m_claims;
    load_monitor m_monitor;
    event_loop m_serviceLoop;
    service_driver m_services;
    std::vector<std::unique_ptr<event_loop>> m_shardLoops;
    std::vector<std::unique_ptr<pipeline_driver>> m_pipelines;
    std::mutex m_limitMutex;                                     // guards m_limitSeen
    std::map<std::string, steady_time, std::less<>> m_limitSeen; // last time of each reason
    std::unique_ptr<http_api> m_httpApi;
    std::unique_ptr<http_server> m_server;
};

int run(const entry_settings &settings)
{
    // By default the allocator raises this threshold to the size of freed blocks and then keeps blocks of that size.
    ::mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
    startLog("chestnutgw-entry", settings.logFormat, parseLogLevel(settings.logLevel));
    auto process = std::make_unique<entry_process>(settings);
    printLine(process->describe());
    waitForTermination();
    process->drain();
    // Destructors are skipped: no state needs saving, and the event loops hold callbacks into each other, so no order of destruction is safe.
    std::_Exit(0);
}

}

int main(int argc, char **argv)
{
    chestnut::blockTerminationSignals();
    return chestnut::runProgram(argc, argv, "chestnutgw-entry", "Routes client requests over pipelines of backend servers", chestnut::ENTRY_SETTINGS, run);
}
