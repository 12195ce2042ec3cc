#include "gateway/plain_flow.h"

#include "kernel/scope.h"

namespace chestnut
{

namespace
{

constexpr std::size_t MAX_ANSWER_BYTES = std::size_t(16) << 20;
constexpr milliseconds CONNECT_TIMEOUT{300};
constexpr milliseconds MIN_TRY_TIME{20};   // no server is tried with less time left
constexpr milliseconds REFUSED_RETRY{250}; // Retry-After if no server could take the request: slots are free again after a few answers
constexpr milliseconds MIN_TRY_TIMEOUT{150};
constexpr int TRY_TIMEOUT_OBJECTIVES = 2; // a server that has not answered after this many latency objectives is given up
constexpr int MAX_UNSENT_TRIES = 3;       // servers that were unreachable or did not execute the request

}

asio::awaitable<void> plain_flow::run()
{
    std::vector<std::string> tried;
    repeat_budget &budget = m_state.budgetOf(m_facts.service);
    budget.countFirstSend(std::chrono::steady_clock::now());
    int unsent = 0;
    const char *reason = "no_server";
    while (!m_abandoned) {
        const steady_time now = std::chrono::steady_clock::now();
        const auto servers = m_state.serversByLoad(m_facts.service, tried, now);
        const bool late = m_facts.deadline - now < MIN_TRY_TIME;
        const bool repeatAllowed = tried.empty() || budget.left(now) >= 1;
        if (servers.empty() || late || !repeatAllowed || unsent > MAX_UNSENT_TRIES) {
            reason = late ? "deadline" : servers.empty() ? reason : !repeatAllowed ? "repeat_budget" : reason;
            break;
        }
        if (!tried.empty()) {
            budget.takeRepeat(now);
        }
        const listed_server server = *servers.front();
        tried.push_back(server.address);
        m_outcome.servers += (m_outcome.servers.empty() ? "" : ",") + server.id.text;
        const try_result result = co_await tryServer(server);
        if (m_abandoned) {
            co_return;
        }
        if (result == try_result::answered && !(m_head.status >= 500 && mayRepeat())) {
            co_await forwardAnswer(m_head, m_body);
            co_return;
        }
        if (result == try_result::not_run) {
            ++unsent;
            reason = "not_run";
            continue;
        }
        reason = result == try_result::answered ? "server_error" : "answer_lost";
        if (!mayRepeat()) {
            break;
        }
    }
    if (m_abandoned) {
        co_return;
    }
    if (m_outcome.runs == 0) {
        if (m_hasRefusal && m_head.status != 421) {
            m_outcome.reason = "server_refused";
            co_await forwardAnswer(m_head, m_body);
            co_return;
        }
        co_await respondWithError(503, reason, REFUSED_RETRY);
        co_return;
    }
    if (m_hasAnswer) {
        co_await forwardAnswer(m_head, m_body); // the last server's own error answer
        co_return;
    }
    co_await respondWithError(overdue() ? 504 : 502, reason);
}

bool plain_flow::mayRepeat() const
{
    return m_facts.matched->kind == route_kind::safe && m_outcome.runs < m_facts.matched->maxAttempts;
}

steady_time plain_flow::tryDeadline(steady_time start) const
{
    const route &matched = *m_facts.matched;
    const bool lastTry = matched.kind != route_kind::safe || m_outcome.runs + 1 >= matched.maxAttempts;
    const auto tryTimeout = std::max(MIN_TRY_TIMEOUT, matched.objective * TRY_TIMEOUT_OBJECTIVES);
    return lastTry ? m_facts.deadline : std::min<steady_time>(m_facts.deadline, start + tryTimeout);
}

asio::awaitable<plain_flow::try_result> plain_flow::tryServer(const listed_server &server)
{
    const steady_time start = std::chrono::steady_clock::now();
    // A request that must not be executed twice gets a new connection: the server may be about to close an idle one.
    const bool freshConnection = m_facts.matched->kind != route_kind::safe;
    m_head = {};
    m_body.clear();
    m_hasRefusal = false;
    m_hasAnswer = false;
    const std::shared_ptr<upstream_exchange> exchange = makeExchange(server.address);
    if (m_facts.message->method() == http::verb::head) {
        exchange->expectNoBody();
    }
    ++m_state.health.of(server.address).running;
    const scope_guard release([this, &server] { --m_state.health.of(server.address).running; });
    const steady_time connectUntil = std::min(m_facts.deadline, start + CONNECT_TIMEOUT);
    exchange_status status = co_await exchange->connect(freshConnection, connectUntil);
    if (status != exchange_status::ok) {
        if (!m_abandoned) {
            noteFailure(server.address, failure_kind::unreachable);
        }
        m_outcome.lastEnd = attempt_end::not_connected;
        co_return try_result::not_run;
    }
    if (m_abandoned) {
        co_return try_result::not_run;
    }
    const std::string bytes = encodeRequest(server, {}, std::chrono::steady_clock::now());
    const steady_time until = tryDeadline(start);
    status = co_await exchange->send(bytes, until);
    if (status == exchange_status::ok) {
        status = co_await exchange->readHead(m_state.headerNames.requestId, m_facts.id, until);
    }
    if (status == exchange_status::ok) {
        m_head = exchange->head();
        noteLoad(m_head, server.address);
        status = co_await exchange->readBody(m_body, MAX_ANSWER_BYTES, until);
    }
    if (status == exchange_status::ok && saysNotRun(m_head)) {
        ++m_outcome.refused;
        m_hasRefusal = true;
        m_outcome.lastEnd = attempt_end::refused;
        noteFailure(server.address, failure_kind::refused);
        co_return try_result::not_run;
    }
    ++m_outcome.runs;
    if (status != exchange_status::ok || isUnusable(m_head)) {
        m_outcome.lastEnd = status == exchange_status::timed_out ? attempt_end::deadline : attempt_end::server_broke;
        if (!m_abandoned) {
            noteFailure(server.address, failure_kind::broken); // also after a timeout: one slow answer does not show that the server is lost
        }
        logLine(log_level::info, "answer_unusable",
                {{"request", m_facts.id},
                 {"server", server.id.text},
                 {"status", std::to_string(m_head.status)},
                 {"exchange", toText(status)},
                 {"error", exchange->errorText()},
                 {"bytes", std::to_string(m_body.size())}});
        m_head = {};
        m_body.clear();
        co_return try_result::uncertain;
    }
    m_hasAnswer = true;
    m_outcome.lastEnd = attempt_end::answered;
    if (m_head.status >= 500) {
        noteFailure(server.address, failure_kind::error);
    } else {
        m_state.health.noteSuccess(server.address);
    }
    co_return try_result::answered;
}

}
