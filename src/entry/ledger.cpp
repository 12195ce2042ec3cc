#include "entry/ledger.h"

#include "kernel/log.h"

#include <algorithm>

namespace chestnut
{

namespace
{

constexpr milliseconds DEADLINE_CHECK_INTERVAL{50}; // between two checks of the deadlines of claims
constexpr milliseconds MAX_APPEND_INTERVAL{500};    // upper bound on the time between appends while the log throttles

claim_limits limitsOf(const entry_settings &settings)
{
    claim_limits limits;
    limits.window = settings.keyWindow;
    limits.dispatchLimit = settings.dispatchLimit;
    return limits;
}

}

ledger::ledger(entry_shared &shared, event_loop &loop, log_service &direct, log_service &relayed, peer_node &peers, std::uint64_t incarnation)
    : m_shared(shared)
    , m_loop(loop)
    , m_relayed(relayed)
    , m_claimManager(instance_id{shared.settings.name}, incarnation, limitsOf(shared.settings))
    , m_follower(loop, direct, CLAIMS_STREAM,
                 {[this](const std::vector<log_entry> &entries) {
                      const steady_time now = std::chrono::steady_clock::now();
                      for (const log_entry &entry : entries) {
                          m_claimManager.fold(entry.offset, entry.timeMs, entry.data, now);
                      }
                      deliverDecisions();
                  },
                  [this](log_offset oldest) {
                      logLine(log_level::warning, "claims_records_lost", {{"oldest", std::to_string(oldest.value)}});
                      m_claimManager.foldReset(oldest); // ready again once a whole key window has been read
                  },
                  [this] {
                      m_claimManager.setReady(true);
                      logLine(log_level::info, "claims_ready",
                              {{"offset", std::to_string(m_claimManager.table().applied().value)}, {"keys", std::to_string(m_claimManager.table().size())}});
                  },
                  [](bool reachable) {
                      logLine(log_level::warning, reachable ? "log_reachable" : "log_unreachable", {{"stream", CLAIMS_STREAM}});
                  }})
    , m_appendInterval(shared.settings.appendInterval)
{
    m_follower.setFallback(
        [&peers](const std::string &stream, log_offset from, std::function<void(read_result)> done) { peers.readViaPeers(stream, from, std::move(done)); });
}

void ledger::start()
{
    m_follower.start({});
    tick();
}

void ledger::claim(const std::string &key, const std::string &fingerprint, steady_time deadline, std::function<void(claim_decision)> decided)
{
    m_loop.post([this, key, fingerprint, deadline, decided = std::move(decided)]() mutable {
        const claim_ticket ticket = m_claimManager.submit(key, fingerprint, std::chrono::steady_clock::now(), deadline);
        m_callbacks[ticket] = std::move(decided);
        deliverDecisions();
    });
}

void ledger::finish(claim_ticket ticket, claim_record outcome)
{
    m_loop.post([this, ticket, outcome = std::move(outcome)]() mutable {
        m_claimManager.finished(ticket, std::move(outcome));
        scheduleAppend();
    });
}

void ledger::deliverDecisions()
{
    for (claim_decision &decision : m_claimManager.takeDecisions()) {
        const auto found = m_callbacks.find(decision.ticket);
        if (found == m_callbacks.end()) {
            continue;
        }
        const auto decided = std::move(found->second);
        m_callbacks.erase(found);
        decided(std::move(decision));
    }
    scheduleAppend();
}

void ledger::scheduleAppend()
{
    if (m_appendScheduled) {
        return;
    }
    m_appendScheduled = true;
    const auto since = std::chrono::steady_clock::now() - m_lastAppend;
    const auto wait = since >= m_appendInterval ? milliseconds(0) : std::chrono::ceil<milliseconds>(m_appendInterval - since);
    m_loop.after(wait, [this] {
        m_appendScheduled = false;
        appendBatch();
    });
}

void ledger::appendBatch()
{
    std::vector<std::string> batch = m_claimManager.takeBatch(std::chrono::steady_clock::now());
    if (batch.empty()) {
        return;
    }
    m_lastAppend = std::chrono::steady_clock::now();
    m_shared.counters.count("chestnutgw_claim_appends_total");
    m_shared.counters.count("chestnutgw_claim_records_total", {}, static_cast<double>(batch.size()));
    m_relayed.append(CLAIMS_STREAM, std::move(batch), [this](const append_result &result) {
        static constexpr const char *NAMES[] = {"appended", "refused", "throttled", "unknown"};
        m_shared.counters.count("chestnutgw_claim_append_results_total", {{"result", NAMES[static_cast<int>(result.status)]}});
        const bool throttled = result.status == append_status::throttled;
        m_appendInterval = throttled ? std::min(MAX_APPEND_INTERVAL, m_appendInterval * 2 + milliseconds(1))
                                     : std::max(m_shared.settings.appendInterval, m_appendInterval - milliseconds(1));
        m_claimManager.appendEnded(result.status, std::chrono::steady_clock::now());
        deliverDecisions();
    });
}

void ledger::tick()
{
    m_claimManager.tick(std::chrono::steady_clock::now());
    deliverDecisions();
    m_loop.after(DEADLINE_CHECK_INTERVAL, [this] { tick(); });
}

}
