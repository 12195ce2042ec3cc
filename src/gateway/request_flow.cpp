#include "gateway/request_flow.h"

#include "gateway/completion.h"
#include "gateway/headers.h"

#include <boost/asio/steady_timer.hpp>

#include <array>
#include <charconv>
#include <cstdio>

namespace chestnut
{

namespace
{

constexpr double QUIET_SPREAD = 0.5;         // random part of a quiet period that is added to Retry-After, so that clients do not return as one wave
constexpr std::size_t MAX_LOGGED_VALUE = 64; // bytes
constexpr milliseconds MEMORY_WAIT{1500};    // longer than the time after which an unread answer is dropped
constexpr milliseconds MEMORY_POLL_INTERVAL{50};
constexpr int SERVER_ERROR = 500; // first status that says that the server failed

// Parses the first two numbers of "running,waiting,slots". False if the text has another format.
bool parseLoad(std::string_view text, int &running, int &waiting)
{
    const char *end = text.data() + text.size();
    const auto first = std::from_chars(text.data(), end, running);
    if (first.ec != std::errc() || first.ptr == end || *first.ptr != ',') {
        return false;
    }
    const auto second = std::from_chars(first.ptr + 1, end, waiting);
    return second.ec == std::errc();
}

std::string fractionalSeconds(milliseconds value)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.2f", static_cast<double>(value.count()) / 1000.0);
    return text.data();
}

}

const char *toText(attempt_end end)
{
    static constexpr const char *NAMES[]
        = {"none", "answered", "refused", "not_connected", "server_broke", "deadline", "silent", "stage_lost", "queued", "no_progress", "client_left"};
    return NAMES[static_cast<int>(end)];
}

bool isClientError(int status)
{
    const bool promise = status == 408 || status == 421 || status == 429;
    return status >= 300 && status < SERVER_ERROR && !promise;
}

std::string errorBody(const char *reason)
{
    return std::string("{\"error\":\"") + reason + "\"}\n";
}

header_list errorHeaders(const header_names &headerNames, const std::string &id, milliseconds retryAfter)
{
    header_list headers{{"Content-Type", "application/json"}};
    if (!id.empty()) {
        headers.emplace_back(headerNames.requestId, id);
    }
    if (retryAfter.count() > 0) {
        headers.emplace_back("Retry-After", fractionalSeconds(retryAfter));
    }
    return headers;
}

request_flow::request_flow(traffic_state &state, request_facts facts, answer_sink &sink)
    : m_state(state)
    , m_facts(std::move(facts))
    , m_sink(sink)
{
}

request_flow::~request_flow() = default;

void request_flow::abandon()
{
    m_abandoned = true;
    std::size_t unacknowledged = 0;
    for (const auto &known : m_exchanges) {
        if (const auto exchange = known.lock()) {
            unacknowledged += exchange->unacknowledgedBytes();
            exchange->abort();
        }
    }
    logAbandoned(unacknowledged);
}

void request_flow::logAbandoned(std::size_t unacknowledgedBytes)
{
    const steady_time now = std::chrono::steady_clock::now();
    m_state.counters.count("requests_abandoned", {{"waiting_for", waitingFor()}, {"unacknowledged", unacknowledgedBytes > 0 ? "yes" : "no"}});
    if (!m_state.logLimiter.take(now)) {
        return;
    }
    logLine(log_level::info, "request_abandoned",
            {{"request", m_facts.id},
             {"waiting_for", waitingFor()},
             {"servers", serversInUse()},
             {"ms", std::to_string(std::chrono::duration_cast<milliseconds>(now - m_facts.accepted).count())},
             {"unacknowledged_bytes", std::to_string(unacknowledgedBytes)}});
}

bool request_flow::clientWaits()
{
    return !m_abandoned && m_sink.clientConnected();
}

std::shared_ptr<upstream_exchange> request_flow::makeExchange(const std::string &address)
{
    auto exchange = std::make_shared<upstream_exchange>(m_state.pool, address, m_facts.id);
    m_exchanges.push_back(exchange);
    return exchange;
}

bool request_flow::overdue() const
{
    return std::chrono::steady_clock::now() >= m_facts.deadline;
}

std::string request_flow::encodeHead(const listed_server &server, const header_list &extra, steady_time now) const
{
    const client_message &message = *m_facts.message;
    const header_names &headerNames = m_state.headerNames;
    const std::string_view connection = viewOf(message[http::field::connection]);
    std::string text;
    text.reserve(1024);
    text.append(viewOf(message.method_string())).append(" ").append(viewOf(message.target())).append(" HTTP/1.1\r\n");
    for (const auto &field : message) {
        const std::string_view name = viewOf(field.name_string());
        const bool ours = sameHeader(name, headerNames.authorization) || sameHeader(name, headerNames.account) || sameHeader(name, headerNames.targetInstance)
            || sameHeader(name, headerNames.deadline) || sameHeader(name, headerNames.path) || sameHeader(name, headerNames.priority)
            || sameHeader(name, headerNames.expectedVersion);
        const bool replaced = std::any_of(extra.begin(), extra.end(), [name](const auto &header) { return sameHeader(name, header.first); });
        if (ours || replaced || isHopByHopHeader(name, connection)) {
            continue;
        }
        text.append(name).append(": ").append(viewOf(field.value())).append("\r\n");
    }
    const auto left = std::chrono::duration_cast<milliseconds>(m_facts.deadline - now).count();
    text += headerNames.deadline + ": " + std::to_string(std::max<std::int64_t>(1, left)) + "\r\n";
    text += headerNames.targetInstance + ": " + server.id.text + "\r\n";
    if (!m_facts.account.empty()) {
        text += headerNames.account + ": " + m_facts.account.text + "\r\n";
    }
    if (m_facts.urgency.active()) {
        text += headerNames.priority + ": " + std::to_string(m_facts.urgency.priority) + "\r\n";
    }
    for (const auto &[name, value] : extra) {
        text += name + ": " + value + "\r\n";
    }
    const bool hasBody = !message.body().empty() || message.has_content_length() || message.chunked();
    if (hasBody || message.method() == http::verb::post || message.method() == http::verb::put) {
        text += "Content-Length: " + std::to_string(message.body().size()) + "\r\n";
    }
    text += "\r\n";
    return text;
}

asio::awaitable<bool> request_flow::awaitMemory(const buffered_bytes &kept)
{
    const steady_time until = std::chrono::steady_clock::now() + MEMORY_WAIT;
    asio::steady_timer timer(m_state.context);
    while (kept.exceeded()) {
        m_state.clients.reclaimMemory();
        if (m_abandoned || std::chrono::steady_clock::now() >= until) {
            co_return false;
        }
        timer.expires_after(MEMORY_POLL_INTERVAL);
        boost::system::error_code ignored; // the timer is never cancelled
        co_await timer.async_wait(into(ignored));
    }
    co_return true;
}

asio::awaitable<void> request_flow::respondWithError(int status, const char *reason, milliseconds retryAfter)
{
    m_outcome.status = status;
    m_outcome.reason = reason;
    m_outcome.retryAfter = retryAfter;
    const header_list headers = errorHeaders(m_state.headerNames, m_facts.id, retryAfter);
    const std::string body = errorBody(reason);
    co_await m_sink.respond(status, headers, body);
}

asio::awaitable<void> request_flow::forwardAnswer(const answer_head &head, const std::string &body, const std::string &address)
{
    m_outcome.status = head.status;
    if (m_outcome.reason.empty()) {
        m_outcome.reason = "answered";
    }
    m_outcome.firstByte = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - m_facts.accepted);
    if (isClientError(head.status)) {
        m_state.counters.count("client_errors_forwarded", {{"status", std::to_string(head.status)}});
        logLine(log_level::info, "client_error_forwarded",
                {{"request", m_facts.id}, {"status", std::to_string(head.status)}, {"servers", m_outcome.servers}, {"address", address}});
    }
    co_await m_sink.respond(head.status, head.headers, body);
}

bool request_flow::saysNotRun(const answer_head &head) const
{
    return head.status == 421 || !headerValue(head.headers, m_state.headerNames.notRun).empty();
}

bool request_flow::isUnusable(const answer_head &head) const
{
    const bool encoded = !headerValue(head.headers, "Content-Encoding").empty();
    const bool isUnsigned = headerValue(head.headers, m_state.headerNames.signature).empty();
    return encoded || (isUnsigned && head.status < SERVER_ERROR);
}

void request_flow::noteLoad(const answer_head &head, const std::string &address)
{
    int running = 0;
    int waiting = 0;
    if (parseLoad(headerValue(head.headers, m_state.headerNames.serverLoad), running, waiting)) {
        server_state &state = m_state.health.of(address);
        state.reportedRunning = running;
        state.reportedWaiting = waiting;
        state.reportedAt = std::chrono::steady_clock::now();
    }
}

void request_flow::noteLeaving(const answer_head &head, const std::string &address)
{
    if (headerValue(head.headers, m_state.headerNames.serverLeaving) == "1" && m_state.health.noteLeaving(address)) {
        m_state.counters.count("servers_leaving");
        logLine(log_level::info, "server_leaving", {{"address", address}, {"request", m_facts.id}});
    }
}

void request_flow::noteQuietPeriod(const answer_head &head, const std::string &address)
{
    const std::string text(headerValue(head.headers, "Retry-After"));
    if (head.status != 503 || text.empty()) {
        return;
    }
    const std::optional<milliseconds> period = parseRetryAfter(text);
    if (!period) {
        logLine(log_level::info, "retry_after_unreadable", {{"address", address}, {"value", text.substr(0, MAX_LOGGED_VALUE)}});
        return;
    }
    const std::string named(headerValue(head.headers, m_state.headerNames.faultyStage));
    const std::string &server = named.empty() ? address : named;
    m_state.health.noteQuietPeriod(server, *period, std::chrono::steady_clock::now());
    m_state.counters.count("server_quiet_periods");
    logLine(log_level::info, "server_quiet", {{"address", server}, {"ms", std::to_string(period->count())}, {"request", m_facts.id}});
}

milliseconds request_flow::retryAfter(milliseconds usual)
{
    const milliseconds quiet = m_state.quietLeft(m_facts.service, std::chrono::steady_clock::now());
    const auto spread = std::chrono::duration_cast<milliseconds>(quiet * QUIET_SPREAD * m_state.draw());
    return std::max(usual, quiet + spread);
}

void request_flow::noteFailure(const std::string &address, failure_kind kind)
{
    const steady_time now = std::chrono::steady_clock::now();
    const bool before = m_state.health.avoided(address, now);
    m_state.health.noteFailure(address, kind, now);
    m_state.counters.count("server_failures", {{"kind", toText(kind)}});
    if (!before && m_state.health.avoided(address, now)) {
        logLine(log_level::info, "server_avoided", {{"address", address}, {"failure", toText(kind)}, {"request", m_facts.id}});
    }
    if (kind == failure_kind::unreachable || kind == failure_kind::silent) {
        m_state.pool.dropIdle(address);
    }
}

}
