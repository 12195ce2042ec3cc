// The part of client_session that receives requests.

#include "gateway/client_session.h"
#include "gateway/completion.h"
#include "gateway/headers.h"

#include <array>

namespace chestnut
{

namespace
{

using boost::system::error_code;

constexpr milliseconds CLOSING_WAIT{200};              // time for a request that the client may have sent before it learns that the connection closes
constexpr std::size_t MAX_UNTOUCHED_BYTES = 32 * 1024; // reserved for a body beyond this, the allocator maps what is not written yet
constexpr std::size_t FIELD_BYTES = 80;                // of a parsed header line, beside its text
constexpr std::size_t BODY_READ_BYTES = 16 * 1024;

// Memory of a parsed head: many short lines take a multiple of their text.
std::size_t keptBytes(const http::request_header<> &head)
{
    std::size_t bytes = 0;
    for (const auto &field : head) {
        bytes += FIELD_BYTES + field.name_string().size() + field.value().size();
    }
    return bytes;
}

}

client_limits client_session::currentLimits() const
{
    return m_state.limitsAt(std::chrono::steady_clock::now());
}

void client_session::cancelOperations()
{
    error_code ignored; // nothing to cancel if the socket has been closed
    m_socket.cancel(ignored);
}

void client_session::startTimeout(steady_time until)
{
    m_timer.expires_at(until);
    m_timer.async_wait([self = shared_from_this(), number = ++m_timeouts](error_code error) {
        if (!error && self->m_timeouts == number) {
            self->cancelOperations();
        }
    });
}

void client_session::stopTimeout()
{
    ++m_timeouts;
    m_timer.cancel();
}

asio::awaitable<error_code> client_session::receive(steady_time until, std::size_t most)
{
    error_code error;
    startTimeout(until);
    bool cancelled = false;
    do {
        co_await m_socket.async_wait(asio::ip::tcp::socket::wait_read, into(error));
        cancelled = error == asio::error::operation_aborted;
        if (m_socket.is_open() && (!error || cancelled)) {
            error = bufferReceived(most); // data may have arrived at the moment of the cancellation
        }
    } while (!cancelled && error == asio::error::would_block);
    stopTimeout();
    co_return error == asio::error::would_block ? asio::error::timed_out : error;
}

// Data is received through one array for all connections: a connection that waits for data holds no space for it.
error_code client_session::bufferReceived(std::size_t most)
{
    static thread_local std::array<char, BODY_READ_BYTES> received;
    error_code error;
    const std::size_t got = m_socket.read_some(asio::buffer(received.data(), std::min(most, received.size())), error);
    m_buffer.commit(asio::buffer_copy(m_buffer.prepare(got), asio::buffer(received.data(), got)));
    return error;
}

void client_session::consumeBuffer(std::size_t bytes)
{
    m_buffer.consume(bytes);
    if (m_buffer.size() == 0) {
        m_buffer.shrink_to_fit();
    }
}

asio::awaitable<bool> client_session::awaitRequest()
{
    const steady_time start = std::chrono::steady_clock::now();
    milliseconds limit = currentLimits().idleTimeout;
    error_code error = co_await receive(start + (m_closing ? CLOSING_WAIT : limit));
    // The client uses the limit in force, which a newer configuration may have raised meanwhile.
    while (error == asio::error::timed_out && !m_closing && currentLimits().idleTimeout > limit) {
        limit = currentLimits().idleTimeout;
        error = co_await receive(start + limit);
    }
    if (error) {
        m_closeReason = error != asio::error::timed_out ? "client_closed" : m_closing ? "stopping" : "idle";
    }
    co_return !error;
}

asio::awaitable<bool> client_session::readRequest(request_parser &parser)
{
    m_reading = m_buffer.size() > 0;
    if (!m_reading) {
        m_state.clients.setStage(m_number, client_stage::idle);
        if (!co_await awaitRequest()) {
            co_return false;
        }
        m_reading = true;
    }
    m_state.clients.setStage(m_number, client_stage::receiving);
    const error_code error = co_await readMessage(parser, currentLimits());
    if (error) {
        m_closeReason = "unreadable";
        const std::string id(viewOf(parser.get()[m_state.headerNames.requestId]));
        parser.get() = {}; // memory that is not to wait for the client
        consumeBuffer(m_buffer.size());
        m_buffered.set(0);
        co_await rejectUnreadable(error, id);
        co_return false;
    }
    m_reading = false;
    co_return true;
}

asio::awaitable<error_code> client_session::readMessage(request_parser &parser, const client_limits &limits)
{
    parser.header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    parser.body_limit(limits.bodyBytes);
    parser.eager(true);
    m_headBytes = 0;
    steady_time until = std::chrono::steady_clock::now() + limits.headerTimeout;
    bool headerDone = false;
    while (true) {
        error_code error;
        if (m_buffer.size() > 0) {
            consumeBuffer(parser.put(m_buffer.data(), error));
        }
        if (error && error != http::error::need_more) {
            co_return error;
        }
        if (parser.is_header_done() && !headerDone) {
            m_headBytes = keptBytes(parser.get());
        }
        if (!chargeRequest(parser)) {
            co_return http::error::buffer_overflow;
        }
        if (parser.is_done()) {
            co_return error_code();
        }
        if (m_buffer.size() > std::max(limits.headerBytes, READ_BYTES)) { // an endless extension of a chunk, or endless trailers
            co_return http::error::header_limit;
        }
        if (parser.is_header_done() && !headerDone) {
            headerDone = true;
            if (sameHeader(viewOf(parser.get()[http::field::expect]), "100-continue")) {
                const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
                co_await writeAll(interim);
            }
        }
        if (headerDone) { // a long body may take longer in all, as long as data arrives
            until = std::chrono::steady_clock::now() + limits.idleTimeout;
        }
        error = co_await receive(until, headerDone ? BODY_READ_BYTES : READ_BYTES);
        if (m_evicted != nullptr) {
            co_return http::error::buffer_overflow;
        }
        if (error) {
            co_return error;
        }
    }
}

bool client_session::chargeRequest(request_parser &parser)
{
    const std::string &body = parser.get().body();
    const std::size_t bodyBytes = std::min(body.capacity(), body.size() + MAX_UNTOUCHED_BYTES);
    m_buffered.set(m_headBytes + bodyBytes + m_buffer.capacity());
    if (parser.is_done()) {
        m_state.clients.setStage(m_number, client_stage::serving); // a complete request is not ended for the sake of others
    }
    m_state.clients.reclaimMemory(m_number, m_buffered.size());
    return m_evicted == nullptr && !m_state.clients.rejects(m_buffered.size());
}

asio::awaitable<void> client_session::rejectUnreadable(error_code error, const std::string &id)
{
    m_keepAlive = false;
    int status = 400;
    const char *reason = "malformed_request";
    milliseconds retryAfter{0};
    if (error == http::error::header_limit) {
        status = 431;
        reason = "headers_too_large";
    } else if (error == http::error::body_limit) {
        status = 413;
        reason = "body_too_large";
    } else if (error == http::error::buffer_overflow) {
        status = 503;
        reason = "out_of_buffers";
        retryAfter = BUFFER_RETRY;
    } else if (error == asio::error::timed_out) {
        status = 408;
        reason = "request_too_slow";
    } else if (error.category() != http::make_error_code(http::error::need_more).category()) {
        m_closeReason = "client_closed";
        co_return;
    }
    m_state.counters.count("requests_unreadable", {{"reason", reason}});
    logLine(log_level::info, "request_unreadable", {{"request", id}, {"reason", reason}, {"error", error.message()}});
    co_await rejectRequest(status, reason, id, retryAfter);
}

}
