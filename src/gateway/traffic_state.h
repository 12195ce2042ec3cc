#pragma once

// State of the traffic thread, which handles requests: configuration and servers in force, observed server health, work in
// flight. Only this thread accesses it; the control thread passes immutable snapshots to it.

#include "core/admission/return_time.h"
#include "core/admission/urgency_headroom.h"
#include "core/buffer_quota.h"
#include "core/domain_link.h"
#include "core/drain_admission.h"
#include "core/gateway_types.h"
#include "core/layer_path.h"
#include "core/part_quarantine.h"
#include "core/repeat_budget.h"
#include "core/routing/prefix_saving.h"
#include "core/server_health.h"
#include "core/shared_load.h"
#include "core/stream_duration_estimator.h"
#include "gateway/client_registry.h"
#include "gateway/gateway_settings.h"
#include "gateway/part_reporter.h"
#include "gateway/pause_recovery.h"
#include "gateway/platform_port.h"
#include "gateway/server_end_check.h"
#include "gateway/stage_prober.h"
#include "gateway/upstream.h"
#include "kernel/log.h"
#include "kernel/metrics.h"

#include <pcg_random.hpp>
#include <set>

namespace chestnut
{

// Calls that run on the control thread; their completion handlers run on the traffic thread.
struct control_calls
{
    std::function<void(const std::string &address, const server_id &server, std::function<void(server_report)> done)> fetchReport;
    std::function<void(const std::string &address, const server_id &server, const std::string &request, const std::vector<path_stage> &path,
                       std::function<void(order_outcome, std::string)> done)>
        orderRepath;
    state_refresh refresh;
    keep_quarantine keepQuarantine;
};

// Limits the log lines that requests write per second; counts the dropped ones.
class log_line_limiter
{
public:
    explicit log_line_limiter(int perSecond)
        : m_perSecond(perSecond)
    {
    }
    // Returns false, and counts a dropped line, if the limit of this second is reached.
    bool take(steady_time now);
    // Returns the number of lines dropped since the last call.
    std::uint64_t takeDropped();

private:
    int m_perSecond;
    int m_used = 0;
    steady_time m_second{};
    std::uint64_t m_dropped = 0;
};

// What a generation asks of a path.
struct path_demand
{
    const service_profile &service;
    double tokens = 0;              // of prompt and expected answer
    milliseconds objective{0};      // for its first event, 0 = none
    milliseconds clientPatience{0}; // a client whose stream has begun stays connected for so long without an event, 0 = not known
    const prefixed_prompt &prompt;  // whose beginning servers may hold
    double headroom = 0;            // part of the capacity that is left to more urgent requests
};

// Failure domains of the stages between which others are to be put.
struct stage_neighbours
{
    domain_id before;
    std::optional<domain_id> behind; // nothing if the last stage is to be replaced
};

bool containsAddress(const std::vector<std::string> &addresses, const std::string &address);

class path_load;

class traffic_state
{
public:
    traffic_state(asio::io_context &context, const gateway_settings &settings, metrics &counters, const platform_port &port);

    asio::io_context &context;
    const gateway_settings &settings;
    metrics &counters;
    const platform_port &port;
    const header_names &headerNames;
    control_calls control;
    std::shared_ptr<const gateway_config> config; // null until received
    steady_time configSince{};                    // when `config` was put in force
    urgency_ranks urgencies;                      // of `config`
    std::shared_ptr<const fleet_snapshot> fleet;  // null until received
    server_health health;
    shared_load peers;          // load reports of the other instances
    part_quarantine quarantine; // parts of prompts that end servers
    part_reporter partReports;
    server_end_check endChecks;
    stage_prober prober;       // of the servers of silent streams
    prefix_residency prefixes; // beginnings of prompts that servers are expected to hold
    int knownInstances = 1;    // including this one; the extra repeats are divided by it
    buffer_quota buffers;      // what is kept for requests and answers of clients and servers
    client_registry clients;
    upstream_pool pool;
    pcg32 random;
    log_line_limiter logLimiter;
    log_line_limiter clientErrorLimiter; // of rejections that put the blame on the request: they are not to be lost among other lines
    pause_recovery pauses;
    bool draining = false;                 // shutdown is in progress
    drain_period drain{};                  // valid while draining
    std::set<const path_load *> pathLoads; // of this instance's generations
    int openRequests = 0;                  // received, not fully answered yet
    double linkTokens = 0;                 // of this instance's prompts that are on their way between failure domains
    milliseconds trafficDelay{0};          // last measured lateness of a timer of the traffic thread
    milliseconds controlDelay{0};          // last measured time from posting a task to the control thread until it ran
    steady_time controlProbeSent{};        // when the task was posted that the control thread has not run yet; 0 = none

    // Age of the oldest task that the control thread has not run, or the last measured delay if that is longer.
    milliseconds controlDelayAt(steady_time now) const;

    // True if the load balancer should send new connections to this instance.
    bool ready() const
    {
        return config && fleet && !draining;
    }
    // Puts a new configuration in force for the requests that are read from now on.
    void applyConfig(std::shared_ptr<const gateway_config> next);
    // Limits on what a client may send. A lowered limit on the size of a request applies after a time in which clients learn of it.
    client_limits limitsAt(steady_time now) const;
    // Puts a new list of servers in force; resets the health of addresses at which another process runs now.
    void applyFleet(std::shared_ptr<const fleet_snapshot> next);
    // This instance's load report for its peers.
    std::vector<server_load> ownLoads(steady_time now) const;
    // Stores a peer's load report. Servers that a credible peer avoids are avoided here too.
    void applyPeerReport(peer_report report);
    // The process of a server that runs now, as far as known.
    server_process processOf(const server_id &server) const;
    // This instance's part of the repeat budget of a service.
    repeat_budget &budgetOf(const service_id &service);
    // What the less urgent requests of a service leave to more urgent ones.
    urgency_headroom &headroomOf(const service_id &service);
    // Clients of a service that were told to come back when there is capacity.
    promised_returns &promisesOf(const service_id &service);
    // How long a service lacks layers after the loss of a server.
    repair_clock &repairsOf(const service_id &service);
    // How long the streams of a service take, estimated from those of this instance.
    stream_duration_estimator &streamTimeOf(const service_id &service);
    // Uniformly distributed random number in [0, 1).
    double draw();

    // True if the server gets no new work because it is about to leave, as the store or an answer of its own says.
    bool isLeaving(const listed_server &server) const;
    // Time until the first server of a service accepts requests again if each of them asked for a quiet period, else 0.
    milliseconds quietLeft(const service_id &service, steady_time now) const;
    // Servers of a service that may receive a request, least loaded first, without the addresses in `tried` and those that asked for a
    // quiet period. Contains avoided servers only if there are no others.
    std::vector<const listed_server *> serversByLoad(const service_id &service, const std::vector<std::string> &tried, steady_time now);

    // Time that a prompt sent between failure domains now would wait for the network, in ms.
    double domainLinkWaitMs(const path_demand &demand, steady_time now);
    // Returns the cheapest complete path that uses no address in `avoid`, or nothing if there is none. `ignoreCapacity` accepts servers
    // without enough free KV capacity or slots, and a network between failure domains that is backed up.
    std::optional<std::vector<path_stage>> choosePath(const path_demand &demand, const std::vector<std::string> &avoid, bool ignoreCapacity, steady_time now);
    // Explains why choosePath() found no path.
    path_gap explainNoPath(const path_demand &demand, const std::vector<std::string> &avoid, steady_time now);
    // Expected time until servers have capacity for the request in all these layers, as they lack it now. Nothing if it is not known.
    std::optional<milliseconds> timeUntilCapacity(const path_demand &demand, layer_range layers, const std::vector<std::string> &avoid, steady_time now);
    // Expected time until the first of these servers, which have refused the request, has capacity for it. Nothing if it is not known.
    std::optional<milliseconds> timeUntilReleased(const path_demand &demand, const std::vector<std::string> &addresses, steady_time now);
    // Returns stages for the layers of `range` that use neither a server of `path` nor an address in `avoid`, or nothing. The neighbours
    // are the stages before and behind the range.
    std::optional<std::vector<path_stage>> chooseReplacement(const path_demand &demand, layer_range range, const stage_neighbours &neighbours,
                                                             const std::vector<path_stage> &path, const std::vector<std::string> &avoid, bool ignoreCapacity,
                                                             steady_time now);

private:
    // A probe has found that a server is lost.
    void noteLost(const std::string &address, probe_result result);
    // Tokens of the prompts of all instances that are on their way between failure domains, as far as known.
    double waitingLinkTokens(steady_time now);
    // Capacity that this instance's streams hold at a server.
    struct server_releases
    {
        std::vector<capacity_release> tokens;
        std::vector<capacity_release> slots; // of streams whose first stage it is
    };
    std::map<std::string, server_releases> releasesByAddress(steady_time now) const;
    // Expected time until a server has capacity; it gets one in `parts` of the clients that were told to come back.
    std::optional<milliseconds> timeUntilFree(const stage_candidate &candidate, const server_releases &releases, const path_demand &demand, bool asFirst,
                                              int parts, steady_time now);
    path_query pathQuery(const path_demand &demand, bool ignoreCapacity, steady_time now);
    std::vector<stage_candidate> candidates(const service_profile &service, const std::vector<std::string> &avoid, steady_time now);

    // Limits of a configuration that was replaced.
    struct former_limits
    {
        client_limits limits;
        steady_time until; // sizes that they allow are accepted until then
    };

    std::map<service_id, repeat_budget> m_budgets;
    std::map<service_id, urgency_headroom> m_headrooms;
    std::map<service_id, promised_returns> m_promises;
    std::map<service_id, repair_clock> m_repairs;
    std::map<service_id, stream_duration_estimator> m_streamTimes;
    std::vector<former_limits> m_formerLimits;
};

// Adds a generation's tokens to the load of the servers on its path and a running request to the first; removes both on destruction.
// Until noteTransferred() its prompt also loads the network between failure domains, once for each hop; after that the stages are
// expected to hold the prompt when the load is moved or removed.
class path_load
{
public:
    path_load(traffic_state &state, const std::vector<path_stage> &path, double tokens, std::vector<prompt_prefix> prompt = {});
    ~path_load();
    path_load(const path_load &) = delete;
    path_load &operator=(const path_load &) = delete;
    // Transfers the load to another path; what the new stages need crosses the network again.
    void move(const std::vector<path_stage> &path);
    // Data of the answer has arrived, so that the prompt has passed every stage.
    void noteTransferred();
    // When the generation is expected to end.
    void expectEnd(steady_time end)
    {
        m_expectedEnd = end;
    }
    steady_time expectedEnd() const
    {
        return m_expectedEnd;
    }
    const std::vector<path_stage> &path() const
    {
        return m_path;
    }
    double tokens() const
    {
        return m_tokens;
    }

private:
    void add(double sign);
    void addTransfer(int hops);
    void endTransfer();
    // If the prompt has passed every stage: notes that they hold it.
    void notePrefixes();

    traffic_state &m_state;
    std::vector<path_stage> m_path;
    double m_tokens;
    steady_time m_expectedEnd{}; // 0 = not known
    double m_inTransfer = 0;     // tokens times hops
    std::vector<prompt_prefix> m_prompt;
    steady_time m_since;      // when the path was taken
    bool m_prefilled = false; // the prompt has passed every stage
};

}
