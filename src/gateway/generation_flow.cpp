#include "gateway/generation_flow.h"

#include "gateway/completion.h"
#include "gateway/request_limits.h"
#include "gateway/spawn.h"
#include "kernel/scope.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <utility>

// Sections: attempts, helpers. The opening of an attempt is in generation_opening.cpp, forwarding in generation_forwarding.cpp, second attempts are in
// generation_second.cpp, stalls in generation_stalls.cpp, servers that end under a request in generation_parts.cpp.

namespace chestnut
{

namespace
{

constexpr milliseconds BUSY_RETRY{1200};       // Retry-After if servers refused: the mean answer time, after which a slot should be free
constexpr milliseconds NO_PATH_RETRY{900};     // Retry-After without a path: by then a lost stage is replaced or has recovered
constexpr milliseconds PATH_POLL_INTERVAL{60}; // between searches for a path for a stream that has begun
constexpr int MAX_CLIENT_PAUSES = 8;           // a client is expected to disconnect after this many times the route's longest acceptable pause

}

//-----------------------------------------------------------------------------
// Attempts
//-----------------------------------------------------------------------------

asio::awaitable<void> generation_flow::run()
{
    if (service() == nullptr) {
        co_await respondWithError(503, "no_engine", NO_PATH_RETRY);
        co_return;
    }
    m_state.budgetOf(m_facts.service).countFirstSend(std::chrono::steady_clock::now());
    if (m_facts.urgency.active()) {
        m_state.headroomOf(m_facts.service).noteArrival(m_facts.urgency, std::chrono::steady_clock::now());
    }
    const scope_guard release([this] {
        dropSecond();
        endAttempt(m_current);
        noteDuration();
    });
    const char *reason = nullptr;
    while (!m_abandoned) {
        if (!m_current) {
            reason = co_await startNext();
            if (reason != nullptr || m_abandoned) {
                break;
            }
        }
        const attempt_result result = co_await followAttempt(m_current);
        const bool failed = result == attempt_result::not_run || result == attempt_result::broken;
        if (m_abandoned || !failed) {
            co_return;
        }
        reason = result == attempt_result::not_run ? "not_run" : "stream_broken";
        endAttempt(m_current);
        m_current = std::exchange(m_second, nullptr);
        if (!m_current && !co_await awaitServerCheck()) {
            reason = "servers_ended";
            break;
        }
        const bool exhausted = m_pathsTried >= MAX_PATHS_TRIED || (result == attempt_result::broken && !mayResume());
        if (!m_current && exhausted) {
            break;
        }
    }
    if (!m_abandoned) {
        co_await finishFailed(reason);
    }
}

asio::awaitable<const char *> generation_flow::startNext()
{
    const steady_time now = std::chrono::steady_clock::now();
    if (m_facts.deadline - now < MIN_ATTEMPT_TIME) {
        co_return "deadline";
    }
    const bool first = m_pathsTried == 0;
    if (!first && m_state.budgetOf(m_facts.service).left(now) < 1) {
        co_return "repeat_budget";
    }
    const auto path = co_await waitForPath();
    if (!clientWaits()) {
        co_return nullptr;
    }
    if (!path) {
        const bool reserved = reportNoPath() == path_failure_reason::reserved;
        co_return !first ? "no_other_path" : reserved ? "reserved" : "no_path";
    }
    if (const char *refusal = refuseByParts()) {
        co_return refusal;
    }
    if (!first && !m_state.budgetOf(m_facts.service).takeRepeat(std::chrono::steady_clock::now())) {
        co_return "repeat_budget";
    }
    if (m_avoided.empty()) {
        m_state.repairsOf(m_facts.service).noteComplete(now);
    }
    if (first && m_facts.urgency.active()) {
        m_state.headroomOf(m_facts.service).noteAdmitted(m_facts.urgency, m_facts.tokens, now);
    }
    m_current = startAttempt(*path);
    co_return nullptr;
}

asio::awaitable<std::optional<std::vector<path_stage>>> generation_flow::waitForPath()
{
    const steady_time start = std::chrono::steady_clock::now();
    const milliseconds wait = clientPatience();
    asio::steady_timer timer(m_state.context);
    while (true) {
        const steady_time now = std::chrono::steady_clock::now();
        auto path = m_state.choosePath(demand(), m_avoided, false, now);
        if (!path && m_streamBegan) {
            path = m_state.choosePath(demand(), m_avoided, true, now);
        }
        if (path || !m_streamBegan || m_abandoned || now - start >= wait || overdue()) {
            co_return path;
        }
        m_avoided.clear(); // servers that still fail are avoided for all requests by the health state
        timer.expires_after(PATH_POLL_INTERVAL);
        boost::system::error_code ignored; // the timer is never cancelled
        co_await timer.async_wait(into(ignored));
    }
}

generation_flow::attempt_ptr generation_flow::startAttempt(const std::vector<path_stage> &path)
{
    ++m_pathsTried;
    m_outcome.servers += (m_outcome.servers.empty() ? "" : ",") + path.front().server.text;
    notePrefixHit(path);
    auto attempt = std::make_shared<stream_attempt>(m_state, path, m_facts.tokens, m_facts.prompt.prefixes, makeExchange(path.front().address));
    const double eventsLeft = std::max(0.0, expectedEvents(m_facts) - static_cast<double>(m_outcome.events));
    attempt->load->expectEnd(std::chrono::steady_clock::now() + m_state.streamTimeOf(m_facts.service).estimate(eventsLeft));
    spawnLogged(m_state.context, "attempt_opening", openAttempt(shared_from_this(), attempt, attempt->exchange));
    return attempt;
}

asio::awaitable<generation_flow::attempt_result> generation_flow::followAttempt(attempt_ptr attempt)
{
    co_await attempt->waitUntilOpened();
    if (m_abandoned) {
        co_return attempt_result::client_gone;
    }
    if (attempt->replaced) {
        co_return attempt_result::broken;
    }
    switch (attempt->opening) {
    case opening_state::open:
        co_return co_await forwardStream(*attempt);
    case opening_state::whole_answer:
        co_return co_await forwardWholeAnswer(*attempt);
    case opening_state::not_run:
        co_return attempt_result::not_run;
    case opening_state::pending:
    case opening_state::broken:
        break;
    }
    co_return attempt_result::broken;
}

void generation_flow::endAttempt(const attempt_ptr &attempt)
{
    if (!attempt || attempt->ended) {
        return;
    }
    attempt->ended = true;
    if (attempt->opening == opening_state::pending) {
        attempt->exchange->abort(); // its coroutine uses what is released here
    }
    attempt->stallTimer.cancel();
    attempt->exposure.reset();
    attempt->load.reset();
    attempt->exchange.reset(); // closes the connection, or returns it to the pool if the answer was read completely
}

//-----------------------------------------------------------------------------
// Helpers
//-----------------------------------------------------------------------------

// Also of streams that were moved, broken off or left by their clients: these are often the slow ones.
void generation_flow::noteDuration()
{
    if (m_outcome.events == 0) {
        return;
    }
    const auto rest = std::chrono::duration_cast<milliseconds>(m_lastEvent - m_facts.accepted) - m_outcome.firstByte;
    m_state.streamTimeOf(m_facts.service).addSample(m_outcome.firstByte, rest, m_outcome.events);
}

void generation_flow::notePrefixHit(const std::vector<path_stage> &path)
{
    if (!m_state.prefixes.enabled() || m_facts.prompt.prefixes.empty()) {
        return;
    }
    m_outcome.prefixTokens = expectedTokens(path, m_facts.prompt, m_state.prefixes, std::chrono::steady_clock::now());
    m_state.counters.count("prefix_attempts", {{"expected", *m_outcome.prefixTokens > 0 ? "hit" : "miss"}});
    m_state.counters.count("prefix_tokens_expected", {}, *m_outcome.prefixTokens);
}

path_failure_reason generation_flow::reportNoPath()
{
    const steady_time now = std::chrono::steady_clock::now();
    const path_demand asked = demand();
    const path_gap gap = m_state.explainNoPath(asked, m_avoided, now);
    std::string forRank;
    if (asked.headroom > 0) {
        m_state.headroomOf(m_facts.service).noteTurnedAway(m_facts.urgency, now);
    }
    if (gap.failureReason == path_failure_reason::reserved) {
        forRank = std::to_string(m_state.headroomOf(m_facts.service).leavesTo(m_facts.urgency, now));
        m_state.counters.count("requests_yielded", {{"service", m_facts.service.text}, {"rank", std::to_string(m_facts.urgency.rank)}, {"for_rank", forRank}});
    }
    m_state.counters.count("paths_missing", {{"obstacle", toText(gap.failureReason)}});
    if (m_facts.urgency.active()) {
        expectReturn(gap, asked, now);
    }
    if (m_state.logLimiter.take(now)) {
        logLine(log_level::info, "path_missing",
                {{"request", m_facts.id},
                 {"obstacle", toText(gap.failureReason)},
                 {"layers", std::to_string(gap.layers.first) + "-" + std::to_string(gap.layers.last)},
                 {"tokens", std::to_string(static_cast<int>(m_facts.tokens))},
                 {"rank", std::to_string(m_facts.urgency.rank)},
                 {"for_rank", forRank},
                 {"domain_link_ms", std::to_string(static_cast<int>(m_state.domainLinkWaitMs(demand(), now)))},
                 {"fleet", std::to_string(m_state.fleet->version)},
                 {"peers", std::to_string(m_state.peers.livePeers(now))}});
    }
    return gap.failureReason;
}

void generation_flow::expectReturn(const path_gap &gap, const path_demand &asked, steady_time now)
{
    repair_clock &repairs = m_state.repairsOf(m_facts.service);
    const bool lost = gap.failureReason == path_failure_reason::unheld || gap.failureReason == path_failure_reason::avoided;
    const bool full = gap.failureReason == path_failure_reason::full || gap.failureReason == path_failure_reason::reserved;
    if (lost) {
        if (m_avoided.empty()) { // else the servers may have failed for this request only
            repairs.noteGap(now);
        }
        m_expectedReturn = repairs.left(now);
        m_returnBasis = "repair";
    } else if (full) {
        repairs.noteComplete(now);
        m_expectedReturn = m_state.timeUntilCapacity(asked, gap.layers, m_avoided, now);
        m_returnBasis = "streams";
    }
}

milliseconds generation_flow::chooseRetryAfter()
{
    const steady_time now = std::chrono::steady_clock::now();
    const bool refused = m_outcome.refused > 0;
    if (!m_facts.urgency.active()) { // with one priority in use requests are rejected as before
        return refused ? BUSY_RETRY : NO_PATH_RETRY;
    }
    if (refused) {
        m_expectedReturn = m_state.timeUntilReleased(demand(), m_avoided, now);
        m_returnBasis = "streams";
    }
    const auto timeLeft = std::chrono::duration_cast<milliseconds>(m_facts.deadline - now);
    const milliseconds wait = returnAfter(m_expectedReturn, refused ? BUSY_RETRY : NO_PATH_RETRY, timeLeft, m_state.draw());
    m_state.promisesOf(m_facts.service).add(now + wait, m_facts.tokens, now);
    m_state.counters.observe("retry_after_seconds", toSeconds(wait), {{"basis", m_expectedReturn ? m_returnBasis : "usual"}});
    return wait;
}

double generation_flow::headroom() const
{
    const bool mayRun = m_streamBegan || m_outcome.runs > 0;
    if (mayRun || !m_facts.urgency.active()) {
        return 0;
    }
    return m_state.headroomOf(m_facts.service).of(m_facts.urgency, std::chrono::steady_clock::now());
}

const char *generation_flow::waitingFor() const
{
    if (!m_current) {
        return "path";
    }
    if (m_current->blockedByClient) {
        return "client";
    }
    return m_streamBegan ? "next_event" : m_current->sent == steady_time() ? "connection" : "first_event";
}

std::string generation_flow::serversInUse() const
{
    std::string addresses;
    for (const attempt_ptr &attempt : {m_current, m_second}) {
        for (const path_stage &stage : attempt ? attempt->path : std::vector<path_stage>()) {
            addresses += (addresses.empty() ? "" : ",") + stage.address;
        }
    }
    return addresses;
}

bool generation_flow::mayResume() const
{
    const bool knowsWhere = !m_streamBegan || m_lastId.has_value();
    return m_facts.matched->resumable && knowsWhere && m_outcome.runs < m_facts.matched->maxAttempts;
}

void generation_flow::noteRefusal(const answer_head &head, const std::string &address)
{
    ++m_outcome.refused;
    m_outcome.lastEnd = attempt_end::refused;
    const std::string faulty(headerValue(head.headers, m_state.headerNames.faultyStage));
    const bool byStage = !faulty.empty() && faulty != address;
    avoid(byStage ? faulty : address, byStage ? failure_kind::stage_refused : failure_kind::refused);
    logLine(log_level::debug, "path_refused", {{"request", m_facts.id}, {"status", std::to_string(head.status)}, {"at", faulty}, {"first", address}});
}

void generation_flow::avoid(const std::string &address, failure_kind kind)
{
    noteFailure(address, kind);
    if (std::find(m_avoided.begin(), m_avoided.end(), address) == m_avoided.end()) {
        m_avoided.push_back(address);
    }
}

milliseconds generation_flow::clientPatience() const
{
    return m_facts.matched->eventGapObjective * MAX_CLIENT_PAUSES;
}

path_demand generation_flow::demand() const
{
    return {*service(), m_facts.tokens, m_facts.matched->objective, clientPatience(), m_facts.prompt, headroom()};
}

const service_profile *generation_flow::service() const
{
    const auto found = m_facts.config->services.find(m_facts.service);
    return found == m_facts.config->services.end() || !found->second.engine || found->second.engine->layers <= 0 ? nullptr : &found->second;
}

}
