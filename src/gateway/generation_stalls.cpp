// The part of generation_flow that handles attempts without data: inquiries, replaced stages, requests that wait in a queue.

#include "gateway/completion.h"
#include "gateway/generation_flow.h"

#include <algorithm>

namespace chestnut
{

namespace
{

constexpr milliseconds REPORT_TIMEOUT{250};   // a first server that has not reported by then counts as silent
constexpr milliseconds MAX_THREAD_DELAY{100}; // of the own threads; beyond it a missing or failed report says nothing about the server
constexpr milliseconds ORDER_TIMEOUT{400};
constexpr int MAX_REPATHS = 3;          // repath orders per lost stage
constexpr int QUEUE_EXIT_INQUIRIES = 1; // inquiries without result before a request leaves its first server's queue
constexpr int MAX_EMPTY_INQUIRIES = 12; // consecutive inquiries without result, after which a second attempt is started

}

asio::awaitable<void> generation_flow::monitorStalls(std::shared_ptr<generation_flow>, attempt_ptr attempt)
{
    m_state.prober.watch(attempt);
    while (!attempt->ended && !m_abandoned) {
        const steady_time now = std::chrono::steady_clock::now();
        const steady_time inquiry = attempt->blockedByClient ? now + attempt->stallTimeout() : attempt->nextInquiry();
        const bool probes = nextProbe(*attempt) <= now;
        if (probes) {
            attempt->probedAt = attempt->lastData;
            m_state.prober.probe(attempt);
        }
        if (now < inquiry && !attempt->stageLost) {
            boost::system::error_code ignored; // cancelled at the end of the attempt, and when a server of its path is lost
            attempt->stallTimer.expires_at(std::min(inquiry, nextProbe(*attempt)));
            co_await attempt->stallTimer.async_wait(into(ignored));
            continue;
        }
        attempt->stageLost = false;
        co_await handleStall(attempt);
        attempt->lastInquiry = std::chrono::steady_clock::now();
    }
}

steady_time generation_flow::nextProbe(const stream_attempt &attempt) const
{
    const auto silence = attempt.pace.suspiciousSilence(m_facts.matched->eventGapObjective);
    const bool due = m_state.settings.stageProbes && silence && attempt.probedAt != attempt.lastData && !attempt.blockedByClient;
    return due ? attempt.lastData + *silence : steady_time::max();
}

asio::awaitable<void> generation_flow::handleStall(attempt_ptr attempt)
{
    const steady_time now = std::chrono::steady_clock::now();
    const path_stage first = attempt->first();
    for (const path_stage &stage : attempt->path) {
        if (stage.address != first.address && isLost(stage, now)) {
            co_await replaceStage(attempt, stage.address);
            co_return;
        }
    }
    if (m_state.health.isQuiet(first.address, now)) { // it must not be asked either
        noteEmptyInquiry(attempt, attempt_end::silent);
        co_return;
    }
    const steady_time lastData = attempt->lastData;
    auto answer = std::make_shared<one_shot<server_report>>(m_state.context, now + REPORT_TIMEOUT);
    m_state.control.fetchReport(first.address, first.server, [answer](server_report report) { answer->set(std::move(report)); });
    const std::optional<server_report> report = co_await answer->wait();
    if (attempt->ended || m_abandoned || attempt->lastData != lastData) {
        co_return;
    }
    const bool reported = report && report->ok;
    logWait(*attempt, report);
    if (!reported && isOwnDelay(now + REPORT_TIMEOUT)) {
        m_state.counters.count("inquiries_delayed");
        co_return;
    }
    if (!reported) {
        // Its connections may break only later, or not at all.
        if (report && report->processState() == process_state::ended && attempt->exposure && attempt->exposure->open()) {
            noteEnded(attempt->process, now);
        }
        avoid(first.address, failure_kind::silent);
        noteEmptyInquiry(attempt, attempt_end::silent);
        co_return;
    }
    const auto stalled = report->stalledRequests.find(m_facts.id);
    const bool named = stalled != report->stalledRequests.end() && !stalled->second.empty();
    if (named && attempt->usesStage(stalled->second)) { // a report is some 100 ms old and may name a stage that has been replaced
        avoid(stalled->second, failure_kind::silent);
        co_await replaceStage(attempt, stalled->second);
        co_return;
    }
    const bool queued = !attempt->headRead && attempt->emptyInquiries >= QUEUE_EXIT_INQUIRIES;
    if (queued && leaveQueue(attempt)) {
        co_return;
    }
    if (attempt->emptyInquiries + 1 >= MAX_EMPTY_INQUIRIES) {
        noteEmptyInquiry(attempt, attempt_end::no_progress);
        co_return;
    }
    ++attempt->emptyInquiries;
}

void generation_flow::logWait(const stream_attempt &attempt, const std::optional<server_report> &report)
{
    const steady_time now = std::chrono::steady_clock::now();
    if (!m_state.logLimiter.take(now)) {
        return;
    }
    std::string stages;
    for (const path_stage &stage : attempt.path) {
        stages += (stages.empty() ? "" : ",") + stage.address;
    }
    const engine_load load = report ? report->load : engine_load();
    logLine(log_level::info, "stream_waits",
            {{"request", m_facts.id},
             {"stages", stages},
             {"waiting_for", waitingFor()},
             {"silent_ms", std::to_string(attempt.silence(now).count())},
             {"report",
              !report          ? "none"
                  : report->ok ? "read"
                               : report->error},
             {"stalled_at", report && report->stalledRequests.contains(m_facts.id) ? report->stalledRequests.at(m_facts.id) : ""},
             {"queued", std::to_string(load.queued)},
             {"running", std::to_string(load.running)},
             {"kv_used", std::to_string(static_cast<std::int64_t>(load.kvUsed))},
             {"kv_total", std::to_string(static_cast<std::int64_t>(load.kvTotal))},
             {"step_factor", std::to_string(load.stepFactor)}});
}

asio::awaitable<void> generation_flow::replaceStage(attempt_ptr attempt, std::string lostAddress)
{
    const steady_time lastData = attempt->lastData;
    for (int tries = 0; tries < MAX_REPATHS; ++tries) {
        auto path = pathAround(*attempt, lostAddress, false);
        if (!path && attempt == m_current && (m_second || startSecond(attempt_end::stage_lost, true))) {
            ++attempt->emptyInquiries;
            co_return;
        }
        if (!path) {
            path = pathAround(*attempt, lostAddress, true);
        }
        const bool quiet = m_state.health.isQuiet(attempt->first().address, std::chrono::steady_clock::now());
        if (!path || quiet) {
            const char *reason = quiet ? "the first server asked for a quiet period" : "no replacement";
            logLine(log_level::info, "stream_not_moved", {{"request", m_facts.id}, {"lost", lostAddress}, {"reason", reason}});
            break;
        }
        if (!clientWaits()) {
            co_return;
        }
        auto answer = std::make_shared<one_shot<order_answer>>(m_state.context, std::chrono::steady_clock::now() + ORDER_TIMEOUT);
        m_state.control.orderRepath(path->front().address, path->front().server, m_facts.id, *path, [answer](order_outcome outcome, const std::string &faulty) {
            answer->set({outcome, faulty});
        });
        const std::optional<order_answer> ordered = co_await answer->wait();
        if (attempt->ended || m_abandoned) {
            co_return;
        }
        const bool migrated = ordered && ordered->outcome == order_outcome::begun;
        logLine(log_level::info, migrated ? "stream_moved" : "stream_not_moved",
                {{"request", m_facts.id},
                 {"lost", lostAddress},
                 {"stages", std::to_string(path->size())},
                 {"reason",
                  !ordered       ? "no answer"
                      : migrated ? ""
                                 : "refused"},
                 {"faulty", ordered ? ordered->faulty : ""}});
        if (migrated) {
            ++m_outcome.repaths;
            attempt->path = *path;
            attempt->load->move(*path);
            co_return;
        }
        if (attempt->lastData != lastData) {
            co_return; // the stream goes on
        }
        if (!ordered || ordered->faulty.empty() || ordered->faulty == attempt->first().address) {
            break;
        }
        avoid(ordered->faulty, failure_kind::stage_refused);
    }
    noteEmptyInquiry(attempt, attempt_end::stage_lost);
}

void generation_flow::noteEmptyInquiry(const attempt_ptr &attempt, attempt_end cause)
{
    ++attempt->emptyInquiries;
    if (attempt == m_current) {
        startSecond(cause, false);
    }
}

bool generation_flow::leaveQueue(const attempt_ptr &attempt)
{
    return attempt == m_current && startSecond(attempt_end::queued, true);
}

std::optional<std::vector<path_stage>> generation_flow::pathAround(const stream_attempt &attempt, const std::string &lostAddress, bool ignoreCapacity) const
{
    const steady_time now = std::chrono::steady_clock::now();
    const std::vector<path_stage> &stages = attempt.path;
    if (service() == nullptr || attempt.first().address == lostAddress || !attempt.usesStage(lostAddress)) {
        return std::nullopt;
    }
    const auto mustGo = [&](const path_stage &stage) { return stage.address == lostAddress || isLost(stage, now); };
    std::vector<path_stage> path{attempt.first()}; // which the order goes to
    std::vector<path_stage> used = stages;
    for (auto stage = stages.begin() + 1; stage != stages.end();) {
        if (!mustGo(*stage)) {
            path.push_back(*stage++);
            continue;
        }
        layer_range range = stage->range;
        for (; stage != stages.end() && mustGo(*stage); ++stage) {
            range.last = stage->range.last;
        }
        const stage_neighbours neighbours{path.back().domain, stage == stages.end() ? std::nullopt : std::optional(stage->domain)};
        const auto replacement = m_state.chooseReplacement(demand(), range, neighbours, used, m_avoided, ignoreCapacity, now);
        if (!replacement) {
            return std::nullopt;
        }
        path.insert(path.end(), replacement->begin(), replacement->end());
        used.insert(used.end(), replacement->begin(), replacement->end());
    }
    return path;
}

bool generation_flow::isLost(const path_stage &stage, steady_time now) const
{
    const bool avoidedHere = std::find(m_avoided.begin(), m_avoided.end(), stage.address) != m_avoided.end();
    return avoidedHere || m_state.health.unresponsive(stage.address, now);
}

bool generation_flow::isOwnDelay(steady_time due) const
{
    const steady_time now = std::chrono::steady_clock::now();
    return now - due > MAX_THREAD_DELAY || m_state.controlDelayAt(now) > MAX_THREAD_DELAY;
}

}
