#include "gateway/plain_flow.h"

#include "gateway/completion.h"
#include "gateway/spawn.h"
#include "kernel/scope.h"

#include <algorithm>

namespace chestnut
{

namespace
{

constexpr std::size_t MAX_ANSWER_BYTES = std::size_t(16) << 20;
constexpr milliseconds CONNECT_TIMEOUT{300};
constexpr milliseconds MIN_TRY_TIME{20};   // no server is tried with less time left
constexpr milliseconds REFUSED_RETRY{250}; // Retry-After if no server could take the request: slots are free again after a few answers
constexpr milliseconds MIN_TRY_TIMEOUT{150};
constexpr milliseconds RECHECK_INTERVAL{150}; // between two looks for another server while there is none
constexpr int TRY_TIMEOUT_OBJECTIVES = 2;     // another server is asked too after this many latency objectives of silence
constexpr int MAX_UNSENT_TRIES = 3;           // servers that were unreachable or did not execute the request

}

asio::awaitable<void> plain_flow::run()
{
    m_state.budgetOf(m_facts.service).countFirstSend(std::chrono::steady_clock::now());
    const scope_guard stop([this] { stopAttempts(); });
    while (!m_abandoned && !m_answer) {
        const steady_time now = std::chrono::steady_clock::now();
        if (allSilent(now) && startAttempt(now)) {
            continue;
        }
        if (m_running.empty()) {
            break;
        }
        boost::system::error_code ignored; // cancelled when an attempt has ended
        m_changed.expires_at(nextCheck(now));
        co_await m_changed.async_wait(into(ignored));
    }
    stopAttempts();
    if (m_abandoned) {
        m_outcome.lastEnd = attempt_end::client_left;
    } else if (m_answer) {
        co_await forwardAnswer(*m_answer);
    } else {
        co_await finishFailed();
    }
}

asio::awaitable<void> plain_flow::forwardAnswer(const whole_answer &whole)
{
    return request_flow::forwardAnswer(whole.head, whole.body, whole.address);
}

bool plain_flow::mayForwardRefusal(const answer_head &head) const
{
    const bool tellsToComeBack = head.status == 429 || head.status == 503;
    const bool lacksId = head.status == 400 && m_facts.id.empty();
    return tellsToComeBack || lacksId;
}

const char *plain_flow::waitingFor() const
{
    return m_running.empty() ? "server" : "answer";
}

std::string plain_flow::serversInUse() const
{
    std::string addresses;
    for (const auto &one : m_running) {
        addresses += (addresses.empty() ? "" : ",") + one->server.address;
    }
    return addresses;
}

asio::awaitable<void> plain_flow::finishFailed()
{
    if (m_outcome.runs == 0 && m_refusal && mayForwardRefusal(m_refusal->head)) {
        m_outcome.reason = "server_refused";
        co_await forwardAnswer(*m_refusal);
    } else if (m_outcome.runs == 0) {
        const milliseconds wait = m_facts.urgency.active() ? returnAfter(std::nullopt, REFUSED_RETRY, milliseconds(0), m_state.draw()) : REFUSED_RETRY;
        co_await respondWithError(503, m_reason, retryAfter(wait));
    } else if (m_errorAnswer) {
        co_await forwardAnswer(*m_errorAnswer);
    } else {
        co_await respondWithError(overdue() ? 504 : 502, m_reason);
    }
}

//-----------------------------------------------------------------------------
// Start of attempts
//-----------------------------------------------------------------------------

bool plain_flow::attemptsLeft() const
{
    const route &matched = *m_facts.matched;
    const int limit = matched.kind == route_kind::safe ? std::max(1, matched.maxAttempts) : 1;
    return m_unsent <= MAX_UNSENT_TRIES && m_outcome.runs + static_cast<int>(m_running.size()) < limit;
}

milliseconds plain_flow::tryTimeout() const
{
    return std::max(MIN_TRY_TIMEOUT, m_facts.matched->objective * TRY_TIMEOUT_OBJECTIVES);
}

bool plain_flow::allSilent(steady_time now) const
{
    return std::all_of(m_running.begin(), m_running.end(), [&](const auto &one) { return one->lastData + tryTimeout() <= now; });
}

steady_time plain_flow::nextCheck(steady_time now) const
{
    if (!attemptsLeft()) {
        return steady_time::max();
    }
    steady_time silentAt{};
    for (const auto &one : m_running) {
        silentAt = std::max<steady_time>(silentAt, one->lastData + tryTimeout());
    }
    return silentAt > now ? silentAt : now + RECHECK_INTERVAL;
}

void plain_flow::noteSilence()
{
    for (const auto &one : m_running) {
        if (!std::exchange(one->silenceNoted, true)) {
            noteFailure(one->server.address, failure_kind::broken); // one slow answer does not show that the server is lost
        }
    }
}

std::optional<listed_server> plain_flow::pickServer(steady_time now)
{
    auto servers = m_state.serversByLoad(m_facts.service, m_tried, now);
    if (servers.empty() && !m_stale.empty()) {
        std::vector<std::string> others = m_tried;
        std::erase_if(others, [this](const std::string &address) { return std::find(m_stale.begin(), m_stale.end(), address) != m_stale.end(); });
        servers = m_state.serversByLoad(m_facts.service, others, now);
    }
    return servers.empty() ? std::nullopt : std::optional(*servers.front());
}

bool plain_flow::startAttempt(steady_time now)
{
    if (!attemptsLeft()) {
        return false;
    }
    noteSilence();
    if (m_facts.deadline - now < MIN_TRY_TIME) {
        m_reason = "deadline";
        return false;
    }
    const std::optional<listed_server> server = pickServer(now);
    if (!server) {
        return false;
    }
    if (!m_tried.empty() && !m_state.budgetOf(m_facts.service).takeRepeat(now)) {
        m_reason = "repeat_budget";
        return false;
    }
    m_tried.push_back(server->address);
    std::erase(m_stale, server->address);
    m_outcome.servers += (m_outcome.servers.empty() ? "" : ",") + server->id.text;
    const auto one = std::make_shared<attempt>(m_state);
    one->server = *server;
    one->exchange = makeExchange(server->address);
    // A server may be about to close an idle connection: that must not use up the only attempt, nor those that remain after a first.
    one->fresh = m_facts.matched->kind != route_kind::safe || m_outcome.runs > 0 || !m_running.empty();
    one->lastData = now;
    m_running.push_back(one);
    ++m_state.health.of(server->address).running;
    spawnLogged(m_state.context, "plain_attempt", runAttempt(shared_from_this(), one));
    return true;
}

//-----------------------------------------------------------------------------
// One attempt
//-----------------------------------------------------------------------------

asio::awaitable<void> plain_flow::runAttempt(std::shared_ptr<plain_flow>, std::shared_ptr<attempt> one)
{
    try {
        one->status = co_await askServer(*one);
    } catch (const std::exception &problem) {
        logLine(log_level::error, "plain_attempt_failed", {{"request", m_facts.id}, {"reason", problem.what()}});
    }
    --m_state.health.of(one->server.address).running;
    std::erase(m_running, one);
    if (!m_stopped) {
        settle(*one);
    }
    one->exchange.reset();
    m_changed.cancel();
}

asio::awaitable<exchange_status> plain_flow::askServer(attempt &one)
{
    if (m_stopped || m_abandoned) {
        co_return exchange_status::aborted;
    }
    upstream_exchange &exchange = *one.exchange;
    if (m_facts.message->method() == http::verb::head) {
        exchange.expectNoBody();
    }
    const steady_time connectUntil = std::min<steady_time>(m_facts.deadline, one.lastData + CONNECT_TIMEOUT);
    const exchange_status connected = co_await exchange.connect(one.fresh, connectUntil);
    if (m_stopped || !clientWaits()) {
        co_return exchange_status::aborted;
    }
    if (connected != exchange_status::ok) {
        co_return connected;
    }
    std::string head = encodeHead(one.server, {}, std::chrono::steady_clock::now());
    const exchange_status sent = co_await exchange.send(std::move(head), m_facts.message->body(), m_facts.deadline);
    if (sent != exchange_status::ok) {
        co_return sent;
    }
    co_return co_await readAnswer(one);
}

asio::awaitable<exchange_status> plain_flow::readAnswer(attempt &one)
{
    upstream_exchange &exchange = *one.exchange;
    exchange_status status = co_await exchange.readHead(m_state.headerNames.requestId, m_facts.deadline);
    if (status != exchange_status::ok) {
        co_return status;
    }
    one.lastData = std::chrono::steady_clock::now();
    one.answer.head = exchange.head();
    one.answer.address = exchange.address();
    noteLoad(one.answer.head, one.server.address);
    noteLeaving(one.answer.head, one.server.address);
    std::string piece;
    bool fits = true;
    do {
        status = co_await exchange.readPiece(piece, m_facts.deadline);
        one.lastData = piece.empty() ? one.lastData : std::chrono::steady_clock::now();
        one.buffered.grow(piece.size());
        one.answer.body += piece;
        fits = one.buffered.size() <= MAX_ANSWER_BYTES && co_await awaitMemory(one.buffered);
    } while (status == exchange_status::ok && !piece.empty() && fits);
    if (status != exchange_status::ok || !piece.empty()) {
        co_return status == exchange_status::ok ? exchange_status::broken : status;
    }
    co_return status;
}

//-----------------------------------------------------------------------------
// End of attempts
//-----------------------------------------------------------------------------

void plain_flow::stopAttempts()
{
    m_stopped = true;
    for (const auto &one : m_running) {
        m_outcome.runs += one->exchange->sent() ? 1 : 0;
        one->exchange->abort();
    }
    m_running.clear();
}

void plain_flow::settle(attempt &one)
{
    m_outcome.silence = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - one.lastData);
    noteQuietPeriod(one.answer.head, one.server.address);
    if (!one.exchange->sent()) {
        settleUnsent(one);
    } else if (one.status == exchange_status::ok && saysNotRun(one.answer.head)) {
        settleRefused(one);
    } else if (one.status != exchange_status::ok || isUnusable(one.answer.head)) {
        settleLost(one);
    } else {
        settleAnswered(one);
    }
}

void plain_flow::settleUnsent(const attempt &one)
{
    ++m_unsent;
    m_reason = "not_run";
    m_outcome.lastEnd = attempt_end::not_connected;
    if (!m_abandoned) {
        noteFailure(one.server.address, failure_kind::unreachable);
    }
}

void plain_flow::settleRefused(attempt &one)
{
    ++m_unsent;
    ++m_outcome.refused;
    m_reason = "not_run";
    m_outcome.lastEnd = attempt_end::refused;
    one.exchange->noteRefused();
    noteFailure(one.server.address, failure_kind::refused);
    m_refusal = std::move(one.answer);
}

void plain_flow::settleLost(const attempt &one)
{
    ++m_outcome.runs;
    m_reason = "answer_lost";
    m_outcome.lastEnd = one.status == exchange_status::timed_out ? attempt_end::deadline : attempt_end::server_broke;
    if (!m_abandoned && !one.silenceNoted) {
        noteFailure(one.server.address, failure_kind::broken); // also after a timeout: one slow answer does not show that the server is lost
    }
    const int status = one.answer.head.status;
    if (one.status == exchange_status::broken && !one.exchange->answered() && one.exchange->onReusedConnection()) {
        m_stale.push_back(one.server.address);
    }
    logLine(log_level::info, "answer_unusable",
            {{"request", m_facts.id},
             {"server", one.server.id.text},
             {"status", std::to_string(status)},
             {"exchange", toText(one.status)},
             {"error", one.exchange->errorText()},
             {"bytes", std::to_string(one.buffered.size())}});
}

void plain_flow::settleAnswered(attempt &one)
{
    ++m_outcome.runs;
    m_outcome.lastEnd = attempt_end::answered;
    if (one.answer.head.status >= 500) {
        m_reason = "server_error";
        noteFailure(one.server.address, failure_kind::error);
        m_errorAnswer = std::move(one.answer);
        return;
    }
    m_state.health.noteSuccess(one.server.address);
    if (!m_answer) {
        m_answer = std::move(one.answer);
    }
}

}
