#pragma once

#include "core/chestnutgw.h"
#include "entry/entry_settings.h"
#include "entry/shared_admission.h"
#include "kernel/clock.h"
#include "kernel/metrics.h"
#include "kernel/sharded.h"

#include <atomic>
#include <deque>
#include <memory>
#include <mutex>

namespace chestnut
{

// One decision about a request, as `chestnutctl explain` shows it.
struct decision_entry
{
    std::int64_t timeMs = 0; // since the epoch
    decision_reason reason = decision_reason::admitted;
    std::string detail; // servers, codes, offsets
};

// Keeps the decisions on recent requests in memory, up to a limit. Any thread.
class decision_log
{
public:
    explicit decision_log(metrics &counters)
        : m_counters(counters)
    {
    }
    void record(const request_id &request, decision_reason reason, const std::string &detail);
    std::vector<decision_entry> find(const request_id &request);

private:
    struct shard_state
    {
        std::unordered_map<std::string, std::vector<decision_entry>> byRequest;
        std::deque<std::string> insertionOrder; // request ids, oldest first, for eviction
    };

    metrics &m_counters;
    sharded<shard_state> m_shards;
};

// The fleet with its routing policy and random number generator, guarded by one mutex. Any thread.
class shared_fleet
{
public:
    shared_fleet(std::unique_ptr<routing_policy> policy, std::uint64_t seed)
        : m_policy(std::move(policy))
        , m_random(seed)
    {
    }
    // Calls use(fleet &) with the mutex held.
    template <typename callable>
    auto with(callable use)
    {
        const std::lock_guard lock(m_mutex);
        return use(m_fleet);
    }
    std::optional<pipeline_chain> choose(const route_query &query)
    {
        const std::lock_guard lock(m_mutex);
        return chooseChain(m_fleet, query, *m_policy, m_random);
    }

private:
    std::mutex m_mutex; // guards all below
    fleet m_fleet;
    std::unique_ptr<routing_policy> m_policy;
    pcg32 m_random;
};

// State shared by the parts of one entry process.
struct entry_shared
{
    explicit entry_shared(const entry_settings &given);

    entry_settings settings;
    metrics counters;
    decision_log decisions;
    shared_fleet servers;
    shared_admission admission;
    std::mutex limiterMutex; // guards limiter
    account_limiter limiter;
    std::atomic<int> liveInstances = 1;                      // including this one
    std::atomic<std::shared_ptr<const config_view>> current; // active configuration
    std::atomic<bool> leaving = false;                       // shutting down, new requests are refused
    std::atomic<int> inFlight = 0;                           // open chat requests and service calls
    std::atomic<std::uint64_t> nextRequest = 1;
    std::atomic<int> testHoldDispatchMs = 0; // fault injection: delay between a won claim and the check before its send
    std::atomic<int> testHoldSendMs = 0;     // fault injection: delay between that check and the send
    std::mutex budgetMutex;                  // guards budget
    retry_budget budget;

    // A new id, unique across instances and restarts.
    request_id newRequestId();

private:
    std::string m_idPrefix;
};

}
