#pragma once

// State of the thread that carries requests: what is in force, what was seen of servers, what is in flight. Only that
// thread touches it; the control thread hands over immutable snapshots.

#include "core/gateway_types.h"
#include "core/layer_path.h"
#include "core/repeat_budget.h"
#include "core/server_health.h"
#include "core/shared_load.h"
#include "core/stream_duration_estimator.h"
#include "gateway/gateway_settings.h"
#include "gateway/platform_port.h"
#include "gateway/upstream.h"
#include "kernel/log.h"
#include "kernel/metrics.h"

#include <pcg_random.hpp>

namespace chestnut
{

// Calls into the control thread, answered on the traffic thread.
struct control_calls
{
    std::function<void(const std::string &address, const server_id &server, std::function<void(server_report)> done)> fetchReport;
    std::function<void(const std::string &address, const server_id &server, const std::string &request, const std::vector<path_stage> &path,
                       std::function<void(order_outcome, std::string)> done)>
        orderRepath;
};

// Limits the lines written for requests; the dropped ones are counted.
class line_budget
{
public:
    explicit line_budget(int perSecond)
        : m_perSecond(perSecond)
    {
    }
    bool take(steady_time now);
    // Lines dropped since the last call.
    std::uint64_t takeDropped();

private:
    int m_perSecond;
    int m_used = 0;
    steady_time m_second{};
    std::uint64_t m_dropped = 0;
};

class traffic_state
{
public:
    traffic_state(asio::io_context &context, const gateway_settings &settings, metrics &counters, const platform_port &port);

    asio::io_context &context;
    const gateway_settings &settings;
    metrics &counters;
    const platform_port &port;
    const wire_vocabulary &words;
    control_calls control;
    std::shared_ptr<const gateway_config> config; // null until known
    std::shared_ptr<const fleet_snapshot> fleet;  // null until known
    server_health health;
    shared_load peers;                    // what the other instances say
    int knownInstances = 1;               // this one included; shares the repeats' budget
    stream_duration_estimator streamTime; // of streams that this instance carried
    upstream_pool pool;
    pcg32 random;
    line_budget lines;
    bool draining = false;  // a shutdown has begun
    steady_time drainEnd{}; // when the process ends at the latest, once draining
    int openRequests = 0;   // read and not answered in full

    // True while this instance should get new connections.
    bool ready() const
    {
        return config && fleet && !draining;
    }
    // Puts another view of the servers in force.
    void takeFleet(std::shared_ptr<const fleet_snapshot> next);
    // This instance's report for its peers.
    std::vector<server_load> ownLoads(steady_time now) const;
    void takePeerReport(peer_report report);
    repeat_budget &budgetOf(const service_id &service);
    double draw();

    // Servers of a service that may get new work, best first by load; those in `tried` are left out.
    std::vector<const listed_server *> plainServers(const service_id &service, const std::vector<std::string> &tried, steady_time now);

    // Path for a generation that avoids some addresses; nothing if there is none.
    std::optional<std::vector<path_stage>> choosePath(const service_profile &service, double tokens, const std::vector<std::string> &avoid, bool ignoreCapacity,
                                                      steady_time now);
    // Why choosePath() finds nothing.
    path_gap explainNoPath(const service_profile &service, double tokens, const std::vector<std::string> &avoid, steady_time now);
    // Other stages for layers [range) that use none of the servers of `path` nor an avoided one.
    std::optional<std::vector<path_stage>> chooseReplacement(const service_profile &service, layer_range range, double tokens,
                                                             const std::vector<path_stage> &path, const std::vector<std::string> &avoid, bool ignoreCapacity,
                                                             steady_time now);

private:
    path_query question(const service_profile &service, double tokens, bool ignoreCapacity) const;
    std::vector<stage_candidate> candidates(const service_profile &service, const std::vector<std::string> &avoid, steady_time now);

    std::map<service_id, repeat_budget> m_budgets;
};

// Counts a generation's tokens at the servers of its path while it lives.
class path_load
{
public:
    path_load(server_health &health, const std::vector<path_stage> &path, double tokens);
    ~path_load();
    path_load(const path_load &) = delete;
    path_load &operator=(const path_load &) = delete;
    // Moves the count to another path.
    void move(const std::vector<path_stage> &path);

private:
    void add(double sign);

    server_health &m_health;
    std::vector<path_stage> m_path;
    double m_tokens;
};

}
