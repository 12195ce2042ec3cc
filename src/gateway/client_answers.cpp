// The part of client_session that writes answers.

#include "gateway/client_session.h"
#include "gateway/completion.h"

#include <boost/beast/core/buffers_suffix.hpp>

#include <array>
#include <charconv>

namespace chestnut
{

namespace
{

using boost::system::error_code;

constexpr std::string_view CHUNK_END = "\r\n";
constexpr milliseconds WRITE_TIMEOUT{5000}; // a client that accepts no data for this long is disconnected

}

asio::awaitable<bool> client_session::writeAll(std::string_view first, std::string_view second, std::string_view third)
{
    if (m_clientGone || m_cut) {
        co_return false;
    }
    error_code error;
    const std::array<asio::const_buffer, 3> parts{asio::buffer(first), asio::buffer(second), asio::buffer(third)};
    beast::buffers_suffix<std::array<asio::const_buffer, 3>> rest(parts);
    while (beast::buffer_bytes(rest) > 0 && !error) {
        m_state.clients.setStage(m_number, client_stage::blocked);
        startTimeout(std::chrono::steady_clock::now() + WRITE_TIMEOUT);
        const std::size_t sent = co_await m_socket.async_write_some(rest, into(error));
        stopTimeout();
        rest.consume(sent);
    }
    m_state.clients.setStage(m_number, m_serving ? client_stage::serving : client_stage::receiving);
    if (error && !m_clientGone) {
        handleClientGone(error == asio::error::operation_aborted ? client_end::not_reading : client_end::reset);
    }
    co_return !error && !m_clientGone && !m_cut; // both may have happened since the last bytes were accepted
}

std::string client_session::encodeHead(int status, const header_list &headers) const
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
    const auto phrase = http::obsolete_reason(static_cast<http::status>(status));
    text.append(phrase.data(), phrase.size()).append("\r\n");
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    text += m_keepAlive ? "Connection: keep-alive\r\n" : "Connection: close\r\n";
    return text;
}

asio::awaitable<bool> client_session::respond(int status, const header_list &headers, const std::string &body)
{
    m_keepAlive = m_keepAlive && !m_state.draining;
    m_answer = answer_progress::begun;
    std::string text = encodeHead(status, headers);
    const bool noBody = status == 204 || status == 304;
    if (!noBody) {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    text += "\r\n";
    const std::string_view sentBody = noBody || m_isHeadRequest ? std::string_view() : std::string_view(body);
    const bool sent = co_await writeAll(text, sentBody);
    m_answer = answer_progress::complete;
    co_return sent;
}

asio::awaitable<bool> client_session::beginStream(int status, const header_list &headers)
{
    m_keepAlive = m_keepAlive && !m_state.draining;
    m_answer = answer_progress::begun;
    const std::string text = encodeHead(status, headers) + "Transfer-Encoding: chunked\r\n\r\n";
    co_return co_await writeAll(text);
}

asio::awaitable<bool> client_session::writeStream(const std::string &bytes)
{
    std::array<char, 20> size{};
    const auto [end, error] = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16);
    const std::string head = std::string(size.data(), end) + "\r\n";
    co_return co_await writeAll(head, bytes, CHUNK_END);
}

asio::awaitable<bool> client_session::finishStream()
{
    const std::string text = "0\r\n\r\n";
    const bool sent = co_await writeAll(text);
    m_answer = answer_progress::complete;
    co_return sent;
}

void client_session::cut()
{
    m_cut = true;
    m_keepAlive = false;
    error_code ignored; // the connection is over either way
    m_socket.close(ignored);
}

asio::awaitable<void> client_session::rejectRequest(int status, const char *reason, const std::string &id, milliseconds retryAfter)
{
    m_state.counters.count("requests_rejected", {{"reason", reason}});
    const steady_time now = std::chrono::steady_clock::now();
    log_line_limiter &limiter = isClientError(status) ? m_state.clientErrorLimiter : m_state.logLimiter;
    if (limiter.take(now)) {
        const auto configAge = std::chrono::duration_cast<milliseconds>(now - m_state.configSince);
        logLine(log_level::info, "request_rejected",
                {{"request", id},
                 {"status", std::to_string(status)},
                 {"reason", reason},
                 {"config", m_state.config ? std::to_string(m_state.config->version) : "none"},
                 {"config_age_ms", m_state.config ? std::to_string(configAge.count()) : ""}});
    }
    const header_list headers = errorHeaders(m_state.headerNames, id, retryAfter);
    const std::string body = errorBody(reason);
    co_await respond(status, headers, body);
}

}
