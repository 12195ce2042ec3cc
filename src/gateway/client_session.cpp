#include "gateway/client_session.h"

#include "gateway/completion.h"
#include "gateway/headers.h"
#include "gateway/request_limits.h"
#include "gateway/request_log.h"
#include "kernel/scope.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <netinet/tcp.h>
#include <poll.h>

namespace chestnut
{

namespace
{

using boost::system::error_code;

constexpr milliseconds UNKNOWN_CONFIG_RETRY{400};      // Retry-After: a starting instance has loaded its configuration by then
constexpr milliseconds CLOSE_LINGER{500};              // a closing connection waits this long for the client to close it too
constexpr std::size_t MAX_READ_AHEAD_BYTES = 4 * 1024; // of further requests, buffered while one is being answered
constexpr int RECEIVE_BUFFER_BYTES = 128 * 1024;       // of a client's socket: bounds what the system keeps unread
constexpr milliseconds FULL_BUFFER_CHECK{100};         // between two looks at a client that has sent more than that
constexpr int USER_TIMEOUT_MS = 4000;                  // unacknowledged data closes the connection after this time (TCP_USER_TIMEOUT)
constexpr int UNANSWERED_STATUS = 502;                 // makes no statement on whether the request was executed
constexpr milliseconds SERVER_SILENCE{1500};           // a sound server may send nothing for so long in the middle of a stream
constexpr milliseconds DRAIN_RETRY{150};               // Retry-After while draining: another instance can accept the request at once
constexpr milliseconds RESTART_TIME{900};              // from the end of a process until the restarted one accepts requests
constexpr milliseconds RETRY_JITTER{1000};             // random spread, so that the clients of a restarting instance do not all return at once

// True if the peer has closed the connection, also behind data that was not read.
bool hasHungUp(int socket)
{
    pollfd entry{socket, POLLRDHUP, 0};
    return ::poll(&entry, 1, 0) > 0;
}

}

client_session::client_session(traffic_state &state, asio::ip::tcp::socket socket, flow_factory createFlow)
    : m_state(state)
    , m_socket(std::move(socket))
    , m_timer(state.context)
    , m_watchTimer(state.context)
    , m_buffered(state.buffers)
    , m_number(state.clients.add([this](eviction_cause cause) { evict(cause); }))
    , m_createFlow(std::move(createFlow))
{
    const int native = m_socket.native_handle();
    const int on = 1;
    const int timeout = USER_TIMEOUT_MS;
    // Errors are ignored: without an option, latency is higher and a lost connection is detected later.
    (void)::setsockopt(native, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    (void)::setsockopt(native, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
    (void)::setsockopt(native, SOL_SOCKET, SO_RCVBUF, &RECEIVE_BUFFER_BYTES, sizeof RECEIVE_BUFFER_BYTES);
    error_code ignored; // asio sets the mode itself on the first asynchronous operation
    m_socket.non_blocking(true, ignored);
}

client_session::~client_session()
{
    m_state.clients.remove(m_number);
}

asio::awaitable<void> client_session::run()
{
    const auto self = shared_from_this();
    while (m_keepAlive && !m_clientGone && !m_cut) {
        request_parser parser;
        if (!co_await readRequest(parser)) {
            break;
        }
        auto message = std::make_shared<const client_message>(parser.release());
        co_await serve(std::move(message));
    }
    if (!m_clientGone && !m_cut) {
        co_await closeGracefully();
    }
    error_code ignored; // the connection is over either way
    m_socket.close(ignored);
    const char *reason = m_evicted != nullptr ? m_evicted : m_cut ? "cut" : m_clientGone ? toText(m_clientEnd) : m_closeReason;
    m_state.counters.count("client_connections_closed", {{"reason", reason}});
}

asio::awaitable<void> client_session::closeGracefully()
{
    m_state.clients.setStage(m_number, client_stage::idle);
    error_code error; // the client may have closed the connection
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    const steady_time until = std::chrono::steady_clock::now() + CLOSE_LINGER;
    bool dropped = m_buffer.size() > 0;
    while (!error && std::chrono::steady_clock::now() < until) { // data that always arrives in time never meets the timeout of receive()
        consumeBuffer(m_buffer.size());
        error = co_await receive(until);
        dropped = dropped || m_buffer.size() > 0;
    }
    if (dropped) {
        m_state.counters.count("client_data_dropped"); // for example a request that crossed the close
    }
}

bool client_session::endsBeforeStop(const request_facts &facts, steady_time now)
{
    if (!m_state.draining) {
        return true;
    }
    expected_end expected{facts.deadline};
    if (facts.matched->kind == route_kind::stream) {
        expected.usualDuration = m_state.streamTimeOf(facts.service).upperEstimate(maxEvents(facts)) + SERVER_SILENCE;
    }
    return acceptsWhileDraining(m_state.drain, expected, now);
}

milliseconds client_session::drainRetryAfter(steady_time now)
{
    const peer_readiness peers = m_state.peers.readiness(now);
    if (peers.ready > peers.stopping) {
        return DRAIN_RETRY;
    }
    const auto ownEnd = std::chrono::ceil<milliseconds>(m_state.drain.end - now);
    const milliseconds firstEnd = std::min(peers.firstEnd.value_or(ownEnd), ownEnd);
    const auto spread = std::chrono::duration_cast<milliseconds>(RETRY_JITTER * m_state.draw());
    return std::max(DRAIN_RETRY, firstEnd) + RESTART_TIME + spread;
}

void client_session::closeWhenIdle()
{
    m_closing = true;
    if (!isBusy()) {
        cancelOperations();
    }
}

void client_session::evict(eviction_cause cause)
{
    m_evicted = toText(cause);
    if (cause == eviction_cause::incomplete) {
        m_buffered.set(0);
        cancelOperations(); // readMessage() ends
        return;
    }
    cut();
}

void client_session::abort()
{
    m_aborted = true;
    m_closing = true;
    if (m_flow) {
        m_flow->abandon();
    } else if (!m_serving) {
        cancelOperations();
    }
}

//-----------------------------------------------------------------------------
// Answering a request
//-----------------------------------------------------------------------------

asio::awaitable<bool> client_session::admit(std::shared_ptr<const client_message> received, request_facts &facts)
{
    const client_message &message = *received;
    const header_names &headerNames = m_state.headerNames;
    facts.accepted = std::chrono::steady_clock::now();
    facts.message = std::move(received);
    facts.id = std::string(viewOf(message[headerNames.requestId]));
    if (!co_await m_state.pauses.awaitConfirmedState()) {
        co_await rejectRequest(503, "configuration_unconfirmed", facts.id, UNKNOWN_CONFIG_RETRY);
        co_return false;
    }
    facts.config = m_state.config;
    if (!m_state.config || !m_state.fleet) {
        co_await rejectRequest(503, "configuration_unknown", facts.id, UNKNOWN_CONFIG_RETRY);
        co_return false;
    }
    facts.matched = matchRoute(*facts.config, viewOf(message[http::field::host]), viewOf(message.target()));
    if (facts.matched == nullptr) {
        co_await rejectRequest(404, "no_route", facts.id);
        co_return false;
    }
    if (facts.config->hasAccounts && !facts.matched->anonymous) {
        std::string_view key = viewOf(message[headerNames.authorization]);
        const bool schemed = key.starts_with(headerNames.keyScheme);
        key.remove_prefix(schemed ? headerNames.keyScheme.size() : 0);
        const auto account = facts.config->accountsByKey.find(std::string(key));
        if (!schemed || account == facts.config->accountsByKey.end()) {
            co_await rejectRequest(401, "unknown_key", facts.id);
            co_return false;
        }
        facts.account = account->second;
    }
    facts.service = pickService(*facts.matched, m_state.draw());
    facts.urgency = m_state.urgencies.of(*facts.config, *facts.matched, facts.service, facts.account);
    facts.deadline = facts.accepted + answerTime(parseLeadingNumber(viewOf(message[headerNames.deadline])), facts.matched->timeout);
    readTokenCounts(message, headerNames, facts);
    readPromptParts(message, headerNames, facts);
    if (m_state.clients.lacksDescriptor(m_state.openRequests)) {
        co_await rejectRequest(503, "out_of_descriptors", facts.id, BUFFER_RETRY);
        co_return false;
    }
    const steady_time now = std::chrono::steady_clock::now(); // what is known may have had to be confirmed meanwhile
    if (!endsBeforeStop(facts, now)) {
        co_await rejectRequest(503, "stopping", facts.id, drainRetryAfter(now));
        co_return false;
    }
    co_return true;
}

asio::awaitable<void> client_session::serve(std::shared_ptr<const client_message> message)
{
    m_serving = true;
    m_state.clients.setStage(m_number, client_stage::serving);
    ++m_state.openRequests;
    ++m_requestEpoch;
    const scope_guard ended([this] {
        m_serving = false;
        --m_state.openRequests;
        m_flow.reset();
        m_buffered.set(0);
        ++m_requestEpoch;
        cancelOperations(); // watchClient()
        m_watchTimer.cancel();
    });
    m_keepAlive = m_keepAlive && message->keep_alive() && !m_state.draining;
    m_isHeadRequest = message->method() == http::verb::head;
    m_answer = answer_progress::none;
    request_facts facts;
    const std::string failure = co_await runFlow(std::move(message), facts);
    if (!failure.empty()) {
        m_state.counters.count("requests_failed");
        logLine(log_level::error, "request_failed", {{"request", facts.id}, {"error", failure}});
    }
    request_outcome outcome = m_flow ? m_flow->outcome() : request_outcome();
    if (m_answer != answer_progress::complete && !m_clientGone && !m_cut) {
        co_await endUnanswered(facts, outcome, failure);
    }
    if (m_flow) {
        const client_end end = m_clientGone ? m_clientEnd : client_end::open;
        if (m_cut || m_clientGone) {
            logIncompleteAnswer(m_state, facts, outcome, m_cut ? "gateway" : toText(end));
        }
        logOutcome(m_state, facts, outcome, end);
    }
}

asio::awaitable<std::string> client_session::runFlow(std::shared_ptr<const client_message> message, request_facts &facts)
{
    try {
        if (co_await admit(std::move(message), facts)) {
            m_flow = m_createFlow(m_state, facts, *this);
            if (clientConnected()) { // the request may have been read late
                watchClient();
                co_await m_flow->run();
            }
        }
    } catch (const std::exception &problem) {
        co_return problem.what();
    }
    co_return std::string();
}

asio::awaitable<void> client_session::endUnanswered(const request_facts &facts, request_outcome &outcome, const std::string &failure)
{
    const char *reason = !failure.empty() ? "internal_error" : m_aborted ? "stopped" : "unanswered";
    outcome.reason = reason;
    m_keepAlive = false;
    if (m_answer == answer_progress::begun) {
        outcome.cut = true;
        cut();
        co_return;
    }
    outcome.status = UNANSWERED_STATUS;
    co_await rejectRequest(UNANSWERED_STATUS, reason, facts.id);
}

//-----------------------------------------------------------------------------
// Detection of a client that disconnects
//-----------------------------------------------------------------------------

void client_session::watchClient()
{
    const auto look = [self = shared_from_this(), epoch = m_requestEpoch](error_code error) {
        if (!error && self->m_requestEpoch == epoch && self->clientConnected()) {
            self->watchClient();
        }
    };
    if (m_buffer.size() < MAX_READ_AHEAD_BYTES) {
        m_socket.async_wait(asio::ip::tcp::socket::wait_read, look);
        return;
    }
    m_watchTimer.expires_after(FULL_BUFFER_CHECK); // unread data would end the other wait at once
    m_watchTimer.async_wait(look);
}

error_code client_session::readAhead()
{
    error_code error;
    while (!error && m_buffer.size() < MAX_READ_AHEAD_BYTES) {
        error = bufferReceived(MAX_READ_AHEAD_BYTES - m_buffer.size());
    }
    return error;
}

bool client_session::clientConnected()
{
    if (m_clientGone || m_cut) {
        return false;
    }
    const error_code error = readAhead();
    const bool gone = error ? error != asio::error::would_block : hasHungUp(m_socket.native_handle());
    if (gone) {
        handleClientGone(!error || error == asio::error::eof ? client_end::closed : client_end::reset);
    }
    return !gone;
}

void client_session::handleClientGone(client_end end)
{
    m_clientGone = true;
    m_clientEnd = end;
    m_state.counters.count("clients_left");
    if (m_flow) {
        m_flow->abandon();
    }
}

}
