#include "entry/ledger.h"

#include "kernel/log.h"

#include <algorithm>

namespace chestnut
{

namespace
{

constexpr milliseconds TICK{50};              // deadlines are checked this often
constexpr milliseconds LONGEST_INTERVAL{500}; // between appends while the log throttles

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
    , m_desk(instance_id{shared.settings.name}, incarnation, limitsOf(shared.settings))
    , m_follower(loop, direct, CLAIMS_STREAM,
                 {[this](const std::vector<log_entry> &entries) {
                      const steady_time now = std::chrono::steady_clock::now();
                      for (const log_entry &entry : entries) {
                          m_desk.fold(entry.offset, entry.timeMs, entry.data, now);
                      }
                      deliver();
                  },
                  [this](log_offset oldest) {
                      logLine(log_level::warning, "claims_records_lost", {{"oldest", std::to_string(oldest.value)}});
                      m_desk.foldReset(oldest); // ready again once the window has been folded anew
                  },
                  [this] {
                      m_desk.setReady(true);
                      logLine(log_level::info, "claims_ready",
                              {{"offset", std::to_string(m_desk.table().applied().value)}, {"keys", std::to_string(m_desk.table().size())}});
                  },
                  [](bool reachable) {
                      logLine(log_level::warning, reachable ? "log_reachable" : "log_unreachable", {{"stream", CLAIMS_STREAM}});
                  }})
    , m_interval(shared.settings.appendInterval)
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
        const claim_ticket ticket = m_desk.submit(key, fingerprint, std::chrono::steady_clock::now(), deadline);
        m_callbacks[ticket] = std::move(decided);
        deliver();
    });
}

void ledger::finish(claim_ticket ticket, claim_record outcome)
{
    m_loop.post([this, ticket, outcome = std::move(outcome)]() mutable {
        m_desk.finished(ticket, std::move(outcome));
        schedulePump();
    });
}

void ledger::deliver()
{
    for (claim_decision &decision : m_desk.takeDecisions()) {
        const auto found = m_callbacks.find(decision.ticket);
        if (found == m_callbacks.end()) {
            continue;
        }
        const auto decided = std::move(found->second);
        m_callbacks.erase(found);
        decided(std::move(decision));
    }
    schedulePump();
}

void ledger::schedulePump()
{
    if (m_pumpScheduled) {
        return;
    }
    m_pumpScheduled = true;
    const auto since = std::chrono::steady_clock::now() - m_lastAppend;
    const auto wait = since >= m_interval ? milliseconds(0) : std::chrono::ceil<milliseconds>(m_interval - since);
    m_loop.after(wait, [this] {
        m_pumpScheduled = false;
        pump();
    });
}

void ledger::pump()
{
    std::vector<std::string> batch = m_desk.takeBatch(std::chrono::steady_clock::now());
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
        m_interval = throttled ? std::min(LONGEST_INTERVAL, m_interval * 2 + milliseconds(1))
                               : std::max(m_shared.settings.appendInterval, m_interval - milliseconds(1));
        m_desk.appendEnded(result.status, std::chrono::steady_clock::now());
        deliver();
    });
}

void ledger::tick()
{
    m_desk.tick(std::chrono::steady_clock::now());
    deliver();
    m_loop.after(TICK, [this] { tick(); });
}

}
