#include "entry/config_service.h"

#include "kernel/log.h"

#include <algorithm>
#include <iterator>

namespace chestnut
{

namespace
{

constexpr std::size_t MAX_RECENT_RECORDS = 2000; // kept to serve reads of peers
constexpr milliseconds APPEND_RETRY_DELAY{300};  // delay after a failed append; ten times as long after a successful one

}

config_service::config_service(entry_shared &shared, event_loop &loop, log_service &direct, log_service &relayed, peer_node &peers)
    : m_shared(shared)
    , m_loop(loop)
    , m_relayed(relayed)
    , m_follower(loop, direct, CONFIG_STREAM,
                 {[this](const std::vector<log_entry> &entries) { applyEntries(entries); }, [this](log_offset oldest) { startRebuild(oldest); },
                  [this] {
                      m_fold.startEmpty();
                      activateConfig();
                  },
                  [](bool reachable) {
                      logLine(log_level::warning, reachable ? "log_reachable" : "log_unreachable", {{"stream", CONFIG_STREAM}});
                  }})
    , m_confirmedAt(std::chrono::steady_clock::now())
{
    m_follower.setFallback(
        [&peers](const std::string &stream, log_offset from, std::function<void(read_result)> done) { peers.readViaPeers(stream, from, std::move(done)); });
}

void config_service::start()
{
    m_follower.start({});
}

milliseconds config_service::age() const
{
    if (m_follower.reachable()) {
        return milliseconds(0);
    }
    return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - m_confirmedAt);
}

void config_service::applyEntries(const std::vector<log_entry> &entries)
{
    if (m_follower.reachable()) {
        m_confirmedAt = std::chrono::steady_clock::now();
    }
    const log_offset before = m_fold.applied();
    for (const log_entry &entry : entries) {
        if (m_rebuiltFold) {
            m_rebuiltFold->apply(entry.offset, entry.data);
            continue;
        }
        m_fold.apply(entry.offset, entry.data);
        m_recentRecords.push_back(entry);
        if (m_recentRecords.size() > MAX_RECENT_RECORDS) {
            m_recentRecords.pop_front();
        }
    }
    if (m_rebuiltFold && m_rebuiltFold->started() && m_rebuiltFold->applied() >= m_fold.applied()) {
        m_fold = std::move(*m_rebuiltFold);
        m_rebuiltFold.reset();
        m_recentRecords.clear();
    }
    if (m_fold.applied() > before) {
        activateConfig();
    }
    completePending();
}

// The log has dropped records that were not read yet. A new fold is built from the next snapshot; the current rows stay active until it has caught up.
void config_service::startRebuild(log_offset oldest)
{
    logLine(log_level::warning, "config_records_lost", {{"applied", std::to_string(m_fold.applied().value)}, {"oldest", std::to_string(oldest.value)}});
    m_rebuiltFold = std::make_unique<config_fold>();
}

void config_service::activateConfig()
{
    if (!m_fold.started()) {
        return;
    }
    auto next = std::make_shared<const config_view>(buildConfigView(m_fold.rows(), m_fold.applied()));
    m_shared.servers.with([&](fleet &servers) { servers.configure(next->rows); });
    m_shared.current.store(next);
    m_shared.counters.set("chestnutgw_config_offset", static_cast<double>(m_fold.applied().value));
    logLine(log_level::info, "config_in_force", {{"offset", std::to_string(m_fold.applied().value)}, {"rows", std::to_string(m_fold.rows().size())}});
}

read_result config_service::recordsFor(log_offset from) const
{
    read_result result;
    result.ok = m_fold.started();
    result.next = log_offset{m_fold.applied().value + 1};
    result.oldest = m_recentRecords.empty() ? result.next : m_recentRecords.front().offset;
    if (from.value < result.oldest.value && from <= m_fold.applied()) {
        result.oldest = from;
        result.entries.push_back({m_fold.applied(), wallClockMs(), m_fold.encodeSnapshot()});
        return result;
    }
    for (const log_entry &entry : m_recentRecords) {
        if (entry.offset >= from) {
            result.entries.push_back(entry);
        }
    }
    return result;
}

void config_service::publish(config_change change, milliseconds timeout, std::function<void(std::optional<change_result>)> done)
{
    const std::string id = change.id;
    if (const auto known = m_fold.resultOf(id)) {
        done(known);
        return;
    }
    const steady_time deadline = std::chrono::steady_clock::now() + timeout;
    const auto [pending, added] = m_pending.try_emplace(id);
    pending->second.callers.push_back({deadline, std::move(done)});
    if (added) {
        pending->second.change = std::move(change);
        tryAppend(id);
    }
}

void config_service::tryAppend(const std::string &id)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end()) {
        return;
    }
    const steady_time now = std::chrono::steady_clock::now();
    std::vector<waiting_caller> &callers = found->second.callers;
    const auto late = std::stable_partition(callers.begin(), callers.end(), [now](const waiting_caller &one) { return now < one.deadline; });
    const std::vector<waiting_caller> expired(std::make_move_iterator(late), std::make_move_iterator(callers.end()));
    callers.erase(late, callers.end());
    const bool wanted = !callers.empty();
    if (!wanted) {
        m_pending.erase(found);
    }
    for (const waiting_caller &one : expired) {
        one.done(std::nullopt);
    }
    if (!wanted) {
        return;
    }
    m_relayed.append(CONFIG_STREAM, {encodeChange(found->second.change)}, [this, id](const append_result &result) {
        // The append result does not decide the change: it is accepted or rejected when the fold reads it back from the log.
        // Until then it is appended again; this is safe because the fold applies each change id once.
        const milliseconds pause = result.status == append_status::appended ? APPEND_RETRY_DELAY * 10 : APPEND_RETRY_DELAY;
        m_loop.after(pause, [this, id] { tryAppend(id); });
    });
}

void config_service::completePending()
{
    for (auto at = m_pending.begin(); at != m_pending.end();) {
        const auto result = m_fold.resultOf(at->first);
        if (!result) {
            ++at;
            continue;
        }
        const std::vector<waiting_caller> callers = std::move(at->second.callers);
        at = m_pending.erase(at);
        for (const waiting_caller &one : callers) {
            one.done(result);
        }
    }
}

}
