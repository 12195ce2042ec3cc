#include "gateway/generation_flow.h"

#include "gateway/one_shot.h"
#include "gateway/spawn.h"
#include "kernel/scope.h"

#include <algorithm>
#include <charconv>

namespace chestnut
{

namespace
{

constexpr milliseconds CONNECT_TIMEOUT{150};     // a server in the same region answers in a few ms
constexpr milliseconds FIRST_EVENT_TIMEOUT{350}; // without data before the first event: starts an inquiry
constexpr milliseconds NEXT_EVENT_TIMEOUT{150};  // without data between two events: starts an inquiry
constexpr milliseconds REPORT_TIMEOUT{250};      // a first server that has not reported by then counts as lost
constexpr milliseconds ORDER_TIMEOUT{400};
constexpr milliseconds MIN_ATTEMPT_TIME{200};  // no attempt is started with less time left
constexpr milliseconds BUSY_RETRY{1200};       // Retry-After if servers refused: the mean answer time, after which a slot should be free
constexpr milliseconds NO_PATH_RETRY{900};     // Retry-After without a path: by then a lost stage is replaced or has recovered
constexpr milliseconds LIVENESS_INTERVAL{100}; // between two updates that the path's servers are alive
constexpr milliseconds PATH_POLL_INTERVAL{60}; // between searches for a path for a stream that has begun
constexpr int MAX_PATHS_TRIED = 6;             // paths tried per request
constexpr int MAX_CLIENT_PAUSES = 8;           // a client is expected to disconnect after this many times the route's longest acceptable pause
constexpr int MAX_REPATHS = 3;                 // repath orders per lost stage
constexpr int QUEUE_EXIT_INQUIRIES = 1;        // inquiries without result before a request leaves its first server's queue
constexpr int MAX_EMPTY_INQUIRIES = 12;        // consecutive inquiries without result, after which another attempt is preferred if one is possible
constexpr std::size_t MAX_ERROR_BODY_BYTES = std::size_t(1) << 20;

}

const service_profile *generation_flow::service() const
{
    const auto found = m_facts.config->services.find(m_facts.service);
    return found == m_facts.config->services.end() || !found->second.engine || found->second.engine->layers <= 0 ? nullptr : &found->second;
}

asio::awaitable<void> generation_flow::run()
{
    if (service() == nullptr) {
        co_await respondWithError(503, "no_engine", NO_PATH_RETRY);
        co_return;
    }
    repeat_budget &budget = m_state.budgetOf(m_facts.service);
    budget.countFirstSend(std::chrono::steady_clock::now());
    const char *reason = "no_path";
    for (int tries = 0; tries < MAX_PATHS_TRIED && !m_abandoned; ++tries) {
        const steady_time now = std::chrono::steady_clock::now();
        if (m_facts.deadline - now < MIN_ATTEMPT_TIME) {
            reason = "deadline";
            break;
        }
        if (tries > 0 && !budget.takeRepeat(now)) {
            reason = "repeat_budget";
            break;
        }
        const auto path = co_await waitForPath();
        if (m_abandoned) {
            co_return;
        }
        if (!path) {
            reason = tries == 0 ? "no_path" : "no_other_path";
            reportNoPath();
            break;
        }
        m_outcome.servers += (m_outcome.servers.empty() ? "" : ",") + path->front().server.text;
        const attempt_result result = co_await runAttempt(*path);
        if (m_abandoned || result == attempt_result::client_gone || result == attempt_result::complete || result == attempt_result::error_forwarded) {
            co_return;
        }
        reason = result == attempt_result::not_run ? "not_run" : "stream_broken";
        if (result == attempt_result::broken && !mayResume()) {
            break;
        }
    }
    if (!m_abandoned) {
        co_await finishFailed(reason);
    }
}

asio::awaitable<std::optional<std::vector<path_stage>>> generation_flow::waitForPath()
{
    const steady_time start = std::chrono::steady_clock::now();
    const auto wait = m_facts.matched->eventGapObjective * MAX_CLIENT_PAUSES;
    asio::steady_timer timer(m_state.context);
    while (true) {
        const steady_time now = std::chrono::steady_clock::now();
        auto path = m_state.choosePath(*service(), m_facts.tokens, m_avoided, false, now);
        if (!path && m_streamBegan) {
            path = m_state.choosePath(*service(), m_facts.tokens, m_avoided, true, now);
        }
        if (path || !m_streamBegan || m_abandoned || now - start >= wait || overdue()) {
            co_return path;
        }
        m_avoided.clear(); // servers that still fail are avoided for all requests by the health state
        timer.expires_after(PATH_POLL_INTERVAL);
        boost::system::error_code ignored; // the timer is never cancelled
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void generation_flow::reportNoPath()
{
    const steady_time now = std::chrono::steady_clock::now();
    const path_gap gap = m_state.explainNoPath(*service(), m_facts.tokens, m_avoided, now);
    m_state.counters.count("paths_missing", {{"obstacle", toText(gap.failureReason)}});
    if (m_state.logLimiter.take(now)) {
        logLine(log_level::info, "path_missing",
                {{"request", m_facts.id},
                 {"obstacle", toText(gap.failureReason)},
                 {"layers", std::to_string(gap.layers.first) + "-" + std::to_string(gap.layers.last)},
                 {"tokens", std::to_string(static_cast<int>(m_facts.tokens))},
                 {"fleet", std::to_string(m_state.fleet->version)},
                 {"peers", std::to_string(m_state.peers.livePeers(now))}});
    }
}

bool generation_flow::mayResume() const
{
    return m_facts.matched->resumable && m_outcome.runs < m_facts.matched->maxAttempts;
}

asio::awaitable<void> generation_flow::finishFailed(const char *reason)
{
    if (m_streamBegan) {
        m_outcome.reason = reason;
        m_outcome.cut = true;
        m_sink.cut();
        co_return;
    }
    if (m_outcome.runs == 0) {
        co_await respondWithError(503, reason, m_outcome.refused > 0 ? BUSY_RETRY : NO_PATH_RETRY);
        co_return;
    }
    co_await respondWithError(overdue() ? 504 : 502, reason);
}

void generation_flow::avoid(const std::string &address, failure_kind kind)
{
    noteFailure(address, kind);
    if (std::find(m_avoided.begin(), m_avoided.end(), address) == m_avoided.end()) {
        m_avoided.push_back(address);
    }
}

void generation_flow::noteRefusal(const answer_head &head, const std::string &address)
{
    ++m_outcome.refused;
    m_outcome.lastEnd = attempt_end::refused;
    const std::string faulty(headerValue(head.headers, m_state.headerNames.faultyStage));
    avoid(faulty.empty() ? address : faulty, failure_kind::refused);
    logLine(log_level::debug, "path_refused", {{"request", m_facts.id}, {"status", std::to_string(head.status)}, {"at", faulty}, {"first", address}});
}

asio::awaitable<generation_flow::attempt_result> generation_flow::runAttempt(const std::vector<path_stage> &path)
{
    m_path = path;
    m_load = std::make_unique<path_load>(m_state.health, path, m_facts.tokens);
    m_splitter = event_splitter();
    const std::shared_ptr<upstream_exchange> exchange = makeExchange(path.front().address);
    const scope_guard release([this] { m_load.reset(); });
    const steady_time start = std::chrono::steady_clock::now();
    exchange_status status = co_await exchange->connect(false, std::min<steady_time>(m_facts.deadline, start + CONNECT_TIMEOUT));
    if (m_abandoned) {
        co_return attempt_result::client_gone;
    }
    if (status != exchange_status::ok) {
        m_outcome.lastEnd = attempt_end::not_connected;
        avoid(path.front().address, failure_kind::unreachable);
        co_return attempt_result::not_run;
    }
    header_list extra{{m_state.headerNames.path, m_state.port.encodePath(path)}};
    if (m_lastId) {
        extra.emplace_back(m_state.headerNames.lastEventId, std::to_string(*m_lastId));
    }
    listed_server first;
    first.id = path.front().server;
    const std::string bytes = encodeRequest(first, extra, start);
    m_emptyInquiries = 0;
    m_headRead = false;
    m_lastProgress = std::chrono::steady_clock::now();
    const auto monitor = std::make_shared<stall_monitor>(m_state.context);
    const scope_guard endMonitor([monitor] {
        monitor->ended = true;
        monitor->timer.cancel();
    });
    status = co_await exchange->send(bytes, m_facts.deadline);
    if (status == exchange_status::ok) {
        spawnLogged(m_state.context, "run_watch", monitorStalls(shared_from_this(), monitor, exchange));
        status = co_await exchange->readHead(m_state.headerNames.requestId, m_facts.id, m_facts.deadline);
    }
    if (m_abandoned) {
        co_return attempt_result::client_gone;
    }
    if (status != exchange_status::ok) {
        ++m_outcome.runs;
        co_return handleBrokenExchange(path.front().address, status);
    }
    m_lastProgress = std::chrono::steady_clock::now();
    co_return co_await handleAnswer(*exchange, path);
}

asio::awaitable<void> generation_flow::monitorStalls(std::shared_ptr<generation_flow>, std::shared_ptr<stall_monitor> monitor,
                                                     std::shared_ptr<upstream_exchange> exchange)
{
    while (!monitor->ended && !m_abandoned) {
        const steady_time until = m_lastProgress + stallTimeout();
        if (std::chrono::steady_clock::now() < until) {
            boost::system::error_code ignored; // cancelled at the end of the attempt
            monitor->timer.expires_at(until);
            co_await monitor->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            continue;
        }
        const bool keepGoing = co_await handleStall(*exchange);
        if (monitor->ended || m_abandoned) {
            co_return;
        }
        if (!keepGoing) {
            exchange->abort();
            co_return;
        }
        m_lastProgress = std::chrono::steady_clock::now();
    }
}

generation_flow::attempt_result generation_flow::handleBrokenExchange(const std::string &address, exchange_status status)
{
    m_outcome.silence = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - m_lastProgress);
    if (overdue()) {
        m_outcome.lastEnd = attempt_end::deadline;
        return attempt_result::broken;
    }
    if (status != exchange_status::aborted) { // aborted by the stall monitor, which has already noted the server at fault
        m_outcome.lastEnd = attempt_end::server_broke;
        avoid(address, status == exchange_status::timed_out ? failure_kind::silent : failure_kind::broken);
    }
    return attempt_result::broken;
}

asio::awaitable<generation_flow::attempt_result> generation_flow::handleAnswer(upstream_exchange &exchange, const std::vector<path_stage> &path)
{
    const answer_head &head = exchange.head();
    noteLoad(head, path.front().address);
    if (saysNotRun(head)) {
        noteRefusal(head, path.front().address);
        std::string ignored;
        co_await exchange.readBody(ignored, MAX_ERROR_BODY_BYTES, std::chrono::steady_clock::now() + CONNECT_TIMEOUT);
        co_return m_abandoned ? attempt_result::client_gone : attempt_result::not_run;
    }
    ++m_outcome.runs;
    m_headRead = true;
    if (head.status < 200 || head.status >= 300) {
        co_return co_await forwardErrorAnswer(exchange);
    }
    if (isUnusable(head)) {
        m_outcome.lastEnd = attempt_end::server_broke;
        avoid(path.front().address, failure_kind::broken);
        co_return attempt_result::broken;
    }
    co_return co_await forwardStream(exchange);
}

// Forwards an error answer of the server, unless the stream to the client has already begun.
asio::awaitable<generation_flow::attempt_result> generation_flow::forwardErrorAnswer(upstream_exchange &exchange)
{
    noteFailure(exchange.address(), failure_kind::error);
    std::string body;
    const exchange_status status = co_await exchange.readBody(body, MAX_ERROR_BODY_BYTES, m_facts.deadline);
    if (m_abandoned) {
        co_return attempt_result::client_gone;
    }
    m_outcome.lastEnd = attempt_end::server_broke;
    if (status != exchange_status::ok || m_streamBegan) {
        co_return attempt_result::broken;
    }
    m_outcome.lastEnd = attempt_end::answered;
    m_outcome.reason = "server_failure";
    co_await forwardAnswer(exchange.head(), body);
    co_return attempt_result::error_forwarded;
}

milliseconds generation_flow::stallTimeout() const
{
    return (m_splitter.events() == 0 ? FIRST_EVENT_TIMEOUT : NEXT_EVENT_TIMEOUT) * (1 + m_emptyInquiries);
}

asio::awaitable<generation_flow::attempt_result> generation_flow::forwardStream(upstream_exchange &exchange)
{
    if (!m_streamBegan) {
        m_headers = exchange.head().headers;
    }
    std::string piece;
    while (true) {
        const exchange_status status = co_await exchange.readPiece(piece, m_facts.deadline);
        if (m_abandoned) {
            co_return attempt_result::client_gone;
        }
        if (status != exchange_status::ok) {
            co_return handleBrokenExchange(exchange.address(), status);
        }
        if (piece.empty()) {
            break;
        }
        m_lastProgress = std::chrono::steady_clock::now();
        const std::string events = m_splitter.feed(piece);
        if (!events.empty() && !co_await forwardEvents(events, exchange.head().status)) {
            co_return attempt_result::client_gone;
        }
    }
    if (m_splitter.pendingBytes() > 0) {
        m_outcome.lastEnd = attempt_end::server_broke;
        avoid(exchange.address(), failure_kind::broken);
        co_return attempt_result::broken; // the answer ended in the middle of an event
    }
    m_state.health.noteSuccess(exchange.address());
    if (!m_streamBegan) {
        m_streamBegan = true;
        if (!co_await m_sink.beginStream(exchange.head().status, m_headers)) {
            co_return attempt_result::client_gone;
        }
    }
    m_outcome.reason = "complete";
    m_outcome.lastEnd = attempt_end::answered;
    if (m_outcome.runs == 1) {
        const auto rest = std::chrono::duration_cast<milliseconds>(m_lastEvent - m_facts.accepted) - m_outcome.firstByte;
        m_state.streamTime.addSample(m_outcome.firstByte, rest, m_splitter.events());
    }
    co_await m_sink.finishStream();
    co_return attempt_result::complete;
}

asio::awaitable<bool> generation_flow::forwardEvents(const std::string &events, int status)
{
    const steady_time now = std::chrono::steady_clock::now();
    if (m_streamBegan) {
        m_outcome.longestGap = std::max(m_outcome.longestGap, std::chrono::duration_cast<milliseconds>(now - m_lastEvent));
    } else {
        m_streamBegan = true;
        m_outcome.status = status;
        m_outcome.firstByte = std::chrono::duration_cast<milliseconds>(now - m_facts.accepted);
        if (!co_await m_sink.beginStream(m_outcome.status, m_headers)) {
            co_return false;
        }
    }
    m_lastEvent = now;
    m_emptyInquiries = 0;
    if (now - m_lastLivenessUpdate >= LIVENESS_INTERVAL) {
        m_lastLivenessUpdate = now;
        for (const path_stage &stage : m_path) {
            m_state.health.noteAlive(stage.address, now);
        }
    }
    m_lastId = m_splitter.lastId();
    m_outcome.events = m_splitter.events();
    co_return co_await m_sink.writeStream(events);
}

asio::awaitable<bool> generation_flow::handleStall(upstream_exchange &exchange)
{
    const steady_time now = std::chrono::steady_clock::now();
    for (const path_stage &stage : m_path) {
        if (stage.address != m_path.front().address && m_state.health.avoided(stage.address, now)) {
            co_return co_await replaceStage(stage.address);
        }
    }
    auto answer = std::make_shared<one_shot<server_report>>(m_state.context, now + REPORT_TIMEOUT);
    m_state.control.fetchReport(m_path.front().address, m_path.front().server, [answer](server_report report) { answer->set(std::move(report)); });
    const std::optional<server_report> report = co_await answer->wait();
    if (m_abandoned) {
        co_return false;
    }
    if (!report || !report->ok) {
        avoid(exchange.address(), failure_kind::silent);
        co_return shouldKeepWaiting(attempt_end::silent);
    }
    const auto stalled = report->stalledRequests.find(m_facts.id);
    const bool named = stalled != report->stalledRequests.end() && !stalled->second.empty();
    if (!named || !usesStage(stalled->second)) { // a report is some 100 ms old and may name a stage that has been replaced
        if (!m_headRead && m_emptyInquiries >= QUEUE_EXIT_INQUIRIES && leaveQueue()) {
            m_outcome.lastEnd = attempt_end::queued;
            co_return false;
        }
        if (m_emptyInquiries + 1 >= MAX_EMPTY_INQUIRIES) {
            co_return shouldKeepWaiting(attempt_end::no_progress);
        }
        ++m_emptyInquiries;
        co_return true;
    }
    avoid(stalled->second, failure_kind::silent);
    co_return co_await replaceStage(stalled->second);
}

asio::awaitable<bool> generation_flow::replaceStage(std::string lostAddress)
{
    for (int tries = 0; tries < MAX_REPATHS && !m_abandoned; ++tries) {
        const auto path = pathAround(lostAddress);
        if (!path) {
            logLine(log_level::info, "stream_not_moved", {{"request", m_facts.id}, {"lost", lostAddress}, {"reason", "no replacement"}});
            co_return shouldKeepWaiting(attempt_end::stage_lost);
        }
        auto answer = std::make_shared<one_shot<order_answer>>(m_state.context, std::chrono::steady_clock::now() + ORDER_TIMEOUT);
        m_state.control.orderRepath(path->front().address, path->front().server, m_facts.id, *path, [answer](order_outcome outcome, const std::string &faulty) {
            answer->set({outcome, faulty});
        });
        const std::optional<order_answer> ordered = co_await answer->wait();
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
            m_path = *path;
            if (m_load) {
                m_load->move(*path);
            }
            co_return true;
        }
        if (!ordered || ordered->faulty.empty()) {
            break;
        }
        avoid(ordered->faulty, failure_kind::refused);
    }
    co_return shouldKeepWaiting(attempt_end::stage_lost);
}

bool generation_flow::usesStage(const std::string &address) const
{
    return std::any_of(m_path.begin(), m_path.end(), [&](const path_stage &stage) { return stage.address == address; });
}

bool generation_flow::canStartAnotherAttempt(bool ignoreCapacity) const
{
    const steady_time now = std::chrono::steady_clock::now();
    const int runs = m_outcome.runs + (m_headRead ? 0 : 1);
    const bool allowed = m_facts.matched->resumable && runs < m_facts.matched->maxAttempts && m_state.budgetOf(m_facts.service).left(now) >= 1;
    return allowed && m_state.choosePath(*service(), m_facts.tokens, m_avoided, ignoreCapacity, now);
}

bool generation_flow::shouldKeepWaiting(attempt_end cause)
{
    ++m_emptyInquiries;
    if (!canStartAnotherAttempt(true)) {
        return true;
    }
    m_outcome.lastEnd = cause;
    return false;
}

bool generation_flow::leaveQueue()
{
    m_avoided.push_back(m_path.front().address);
    if (canStartAnotherAttempt(false)) {
        logLine(log_level::info, "queue_left", {{"request", m_facts.id}, {"address", m_path.front().address}});
        return true;
    }
    m_avoided.pop_back();
    return false;
}

std::optional<std::vector<path_stage>> generation_flow::pathAround(const std::string &lostAddress) const
{
    const steady_time now = std::chrono::steady_clock::now();
    const auto lost = std::find_if(m_path.begin(), m_path.end(), [&](const path_stage &stage) { return stage.address == lostAddress; });
    if (lost == m_path.end() || lost == m_path.begin() || service() == nullptr) {
        return std::nullopt;
    }
    auto replacement = m_state.chooseReplacement(*service(), lost->range, m_facts.tokens, m_path, m_avoided, false, now);
    if (!replacement) {
        replacement = m_state.chooseReplacement(*service(), lost->range, m_facts.tokens, m_path, m_avoided, true, now);
    }
    if (!replacement) {
        return std::nullopt;
    }
    std::vector<path_stage> path(m_path.begin(), lost);
    path.insert(path.end(), replacement->begin(), replacement->end());
    path.insert(path.end(), lost + 1, m_path.end());
    return path;
}

}
