#pragma once

#include "backend/engine.h"
#include "kernel/http_server.h"
#include "kernel/metrics.h"
#include "kernel/settings.h"
#include "platform/stream_follower.h"

#include <memory>
#include <nlohmann/json.hpp>

namespace chestnut
{

constexpr const char *CONTROL_CONFIG_STREAM = "config";
constexpr const char *LEASES_STREAM = "leases";
constexpr const char *PLACEMENT_LEASE = "placement";

// Settings of chestnutgw-controller.
struct controller_settings
{
    std::string name = "controller-1";    // instance name, unique in the deployment
    std::string failureDomain = "local";  // failure domain of this instance
    std::string address = "127.0.0.1";    // listen IP address
    int port = 0;                         // listen port for status and metrics over HTTP, 0 = any free port
    std::string logAdapter = "http";      // plug-in name of the log adapter
    std::string logUrl;                   // base URL of the log service
    milliseconds logRetention{3'600'000}; // retention period of the log service
    std::string engineAdapter = "stages"; // plug-in name of the engine adapter
    milliseconds reportInterval{1000};    // interval between fetches of server reports while the lease is held
    milliseconds planInterval{500};       // interval between placement plans while the lease is held
    int maxLoads = 8;                     // maximum number of servers that load weights at the same time
    milliseconds orderTimeout{15'000};    // an order that no report confirms within this time is dropped
    int snapshotRecords = 200;            // configuration records after which a snapshot is written
    milliseconds leaseTerm{4'000};        // validity of a lease after its last renewal
    milliseconds renewInterval{1'000};    // interval between renewals of a held lease
    milliseconds orderLifetime{3'000};    // maximum time after sending during which an order may take effect
    std::string logFormat = "text";       // text or json
    std::string logLevel = "info";        // debug, info, warning or error
};

// Throws settings_error if a required setting is missing or a value is invalid.
void checkSettings(const controller_settings &settings);

extern const setting_row<controller_settings> CONTROLLER_SETTINGS[18];

// Places models on backend servers and writes configuration snapshots while it holds the placement lease. All state belongs
// to one event loop.
class controller
{
public:
    explicit controller(const controller_settings &settings);
    ~controller();
    controller(const controller &) = delete;
    controller &operator=(const controller &) = delete;

    std::uint16_t port() const;
    // Appends the release of the lease if it is held, without waiting for the result. Called at shutdown.
    void release();

private:
    // Runtime state of one server, which the sheet does not have.
    struct known_server
    {
        std::optional<server_report> report;
        steady_time reportedAt;
        bool fetching = false;                // a report request is in flight
        std::vector<holding> orderedHoldings; // holdings of the last order, which count as held while orderPending is set
        steady_time orderedAt;
        bool orderPending = false; // sent, and not yet confirmed by a report, fenced or timed out
    };

    void applyConfigRecords(const std::vector<log_entry> &entries);
    void applyLeaseRecords(const std::vector<log_entry> &entries);
    void tick();
    void fetchReports();
    void plan();
    std::vector<placement_server> collectServers(steady_time now);
    std::vector<placement_target> collectTargets() const;
    void sendOrder(const placement_reassignment &move);
    void appendNote(const std::string &text);
    void writeSnapshot();
    void handle(const std::shared_ptr<http_call> &call);
    nlohmann::json placementStatus();

    controller_settings m_settings;
    metrics m_counters;
    std::string m_holder; // lease holder name: instance name and start time, so that a restart is a new holder
    event_loop m_loop;
    std::unique_ptr<log_service> m_log;
    std::unique_ptr<engine_adapter> m_engines;
    stream_follower m_configFollower;
    stream_follower m_leaseFollower;
    config_fold m_fold;
    lease_table m_leases;
    lease_keeper m_keeper;
    bool m_wasHolder = false;
    std::map<server_id, known_server> m_servers;
    steady_time m_nextReportFetch;
    steady_time m_nextPlan;
    log_offset m_snapshotOffset;       // configuration offset covered by the last snapshot read or written
    std::int64_t m_snapshotTimeMs = 0; // wall-clock time of that snapshot, ms since the epoch
    bool m_snapshotPending = false;    // a snapshot append is in flight
    std::unique_ptr<http_server> m_server;
};

}
