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
    std::string address = "127.0.0.1";    // IP number
    int port = 0;                         // status and metrics over HTTP, 0 = any free one
    std::string logAdapter = "http";      // plug-in for the log service
    std::string logUrl;                   // log service
    milliseconds logRetention{3'600'000}; // records are kept this long by the log service
    std::string engineAdapter = "stages"; // plug-in for engines
    milliseconds reportInterval{1000};    // reports are fetched this often while the lease is held
    milliseconds planInterval{500};       // placement is looked at this often while the lease is held
    int maxLoads = 8;                     // servers that may load weights at the same time
    milliseconds orderTimeout{15'000};    // an order not seen in the report by then is forgotten
    int snapshotRecords = 200;            // a snapshot is written after so many configuration records
    milliseconds leaseTerm{4'000};        // a lease lasts this long after its last renewal
    milliseconds renewInterval{1'000};    // renewals
    milliseconds orderLifetime{3'000};    // longest time that a sent order may take effect
    std::string logFormat = "text";       // text or json
    std::string logLevel = "info";        // debug, info, warning or error
};

void checkSettings(const controller_settings &settings);

extern const setting_row<controller_settings> CONTROLLER_SETTINGS[18];

// Places models on servers under a lease, and writes configuration snapshots. One loop does everything.
class controller
{
public:
    explicit controller(const controller_settings &settings);
    ~controller();
    controller(const controller &) = delete;
    controller &operator=(const controller &) = delete;

    std::uint16_t port() const;
    // Gives the lease back; called at shutdown.
    void release();

private:
    // What is known of one server beyond the sheet.
    struct known_server
    {
        std::optional<server_report> report;
        steady_time reportedAt;
        bool fetching = false;        // a report is under way
        std::vector<holding> ordered; // last order, until the report shows it
        steady_time orderedAt;
        bool orderOpen = false;
    };

    void takeConfig(const std::vector<log_entry> &entries);
    void takeLeases(const std::vector<log_entry> &entries);
    void tick();
    void fetchReports();
    void plan();
    std::vector<placement_server> describeServers(steady_time now);
    std::vector<placement_target> describeTargets() const;
    void sendOrder(const placement_reassignment &move);
    void appendNote(const std::string &text);
    void writeSnapshot();
    void handle(const std::shared_ptr<http_call> &call);
    nlohmann::json describe();

    controller_settings m_settings;
    metrics m_counters;
    std::string m_holder; // name and start time
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
    steady_time m_nextReports;
    steady_time m_nextPlan;
    log_offset m_snapshotAt;       // applied offset of the last snapshot seen or written
    std::int64_t m_snapshotMs = 0; // its time, wall clock
    bool m_snapshotOpen = false;   // an append is under way
    std::unique_ptr<http_server> m_server;
};

}
