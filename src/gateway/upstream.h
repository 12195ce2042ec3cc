#pragma once

// Pooled HTTP connections to backend servers, and a single request/answer exchange on one of them (Boost.Beast). A request is
// never resent automatically. Not thread-safe: everything runs on one thread.

#include "core/buffer_quota.h"
#include "kernel/ids.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace chestnut
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using header_list = std::vector<std::pair<std::string, std::string>>;

// Returns the value of a header, empty if there is none. Names are case-insensitive.
std::string_view headerValue(const header_list &headers, std::string_view name);

// Parses "IP:port"; nothing if it is malformed.
std::optional<asio::ip::tcp::endpoint> parseEndpoint(const std::string &address);

// boost::beast::string_view does not convert to std::string_view implicitly.
inline std::string_view viewOf(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

// Bytes of an answer that are kept until they can be parsed: a head, a chunk's extension or trailers. An answer that needs more is
// invalid. The parser itself limits only the head.
constexpr std::size_t MAX_UNPARSED_BYTES = 128 * 1024;

// An open connection to a server.
struct upstream_connection
{
    explicit upstream_connection(asio::io_context &context)
        : stream(context)
        , buffer(MAX_UNPARSED_BYTES)
    {
    }
    beast::tcp_stream stream;
    beast::flat_buffer buffer;       // bytes received and not yet parsed
    steady_time reusableUntil{};     // the server may close the idle connection from then on
    bool reused = false;             // has been used for an earlier exchange
    std::deque<std::string> refused; // ids of the last requests that the server refused on it, newest last
};

// Idle connections by server address.
class upstream_pool
{
public:
    upstream_pool(asio::io_context &context, buffer_quota &buffers)
        : m_context(context)
        , m_buffers(buffers)
    {
    }
    // Returns an idle connection that is still open and has no unread data, or null. None on which the server has refused the request
    // before: a late copy of that refusal would be taken for a new one.
    std::unique_ptr<upstream_connection> takeIdle(const std::string &address, const std::string &requestId);
    void giveBack(const std::string &address, std::unique_ptr<upstream_connection> connection);
    // Closes the idle connections of a server that may no longer know them, for example after a restart.
    void dropIdle(const std::string &address);
    // Closes the idle connections that their servers may close from now on, also those of servers that have left. To be called
    // periodically; looks at them once per EXPIRY_INTERVAL.
    void closeExpired(steady_time now);
    // Number of idle connections to all servers.
    std::size_t idleConnections() const;
    asio::io_context &context()
    {
        return m_context;
    }

    buffer_quota &buffers()
    {
        return m_buffers;
    }

private:
    static constexpr milliseconds EXPIRY_INTERVAL{500};

    asio::io_context &m_context;
    buffer_quota &m_buffers;
    steady_time m_expiryChecked{};
    std::unordered_map<std::string, std::deque<std::unique_ptr<upstream_connection>>> m_idle;
};

// How a step of an exchange ended.
enum class exchange_status
{
    ok,
    connect_failed, // no byte of the request was sent
    timed_out,
    broken,  // connection lost or invalid answer
    aborted, // abort() was called before the step ended
};

const char *toText(exchange_status status);

struct answer_head
{
    int status = 0;
    header_list headers; // as received, without hop-by-hop headers
    bool keepAlive = false;
    bool endsWithConnection = false; // the answer has neither a length nor chunks
};

// One request and its answer. The steps (connect, send, read) are awaited one after the other; abort() may be called at any time. Each step
// that ends after that ends as `aborted`: whoever awaits one knows from `ok` that nobody has given up the exchange meanwhile.
class upstream_exchange
{
public:
    upstream_exchange(upstream_pool &pool, std::string address, std::string requestId);
    // Returns the connection to the pool if the answer was read completely and the connection can be reused, else closes it.
    ~upstream_exchange();
    upstream_exchange(const upstream_exchange &) = delete;
    upstream_exchange &operator=(const upstream_exchange &) = delete;

    // Takes an idle connection from the pool unless `fresh` is set, or opens a new one.
    asio::awaitable<exchange_status> connect(bool fresh, steady_time until);
    // Sends a request; its body must stay valid until then.
    asio::awaitable<exchange_status> send(std::string head, const std::string &body, steady_time until);
    // Reads the head of the answer to the request; skips interim (1xx) answers and late answers to other requests. `broken` if the status
    // is invalid, or if a body follows an interim answer, which would be taken for the next head.
    asio::awaitable<exchange_status> readHead(const std::string &idHeader, steady_time until);
    // Notes that the answer is a refusal: the connection is not used for this request again.
    void noteRefused();
    // Reads the next piece of the body. An empty piece with status ok means that the answer is complete.
    asio::awaitable<exchange_status> readPiece(std::string &piece, steady_time until);
    // Reads the whole body; `broken` if it is longer than `limit`, or if all exchanges together keep too much.
    asio::awaitable<exchange_status> readBody(std::string &body, std::size_t limit, steady_time until);
    // Reads the body without keeping it; `broken` if it is longer than `limit`.
    asio::awaitable<exchange_status> skipBody(std::size_t limit, steady_time until);

    const answer_head &head() const
    {
        return m_head;
    }
    const std::string &address() const
    {
        return m_address;
    }
    bool onReusedConnection() const
    {
        return m_connection && m_connection->reused;
    }
    // True once the server has answered the request, whatever the status. Late answers to other requests do not count.
    bool answered() const
    {
        return m_answered;
    }
    // True once bytes of the request may have been sent.
    bool sent() const
    {
        return m_sent;
    }
    void abort();
    // Bytes of the request that the server's machine has not acknowledged; 0 without a connection.
    std::size_t unacknowledgedBytes();
    // Error text of the last step that failed, for logs.
    const std::string &errorText() const
    {
        return m_error;
    }
    // For HEAD requests: the answer has no body, whatever its Content-Length says.
    void expectNoBody()
    {
        m_noBody = true;
    }

private:
    using head_parser = http::response_parser<http::buffer_body>;

    // Result of a step whose last operation ended with this error.
    exchange_status stepResult(boost::system::error_code error);
    // Reads until the parser has a whole head.
    asio::awaitable<boost::system::error_code> receiveHead();
    void storeHead();
    // Notes why the head cannot be used. Returns `broken`.
    exchange_status rejectHead(const char *problem);
    bool announcesBody() const;
    void setReuseDeadline();

    upstream_pool &m_pool;
    std::string m_address;
    std::string m_requestId;
    std::unique_ptr<upstream_connection> m_connection;
    std::optional<head_parser> m_parser;
    buffered_bytes m_buffered; // of the head, and of the body in readBody()
    answer_head m_head;
    std::string m_error;
    bool m_sent = false;
    bool m_answered = false; // see answered()
    bool m_complete = false; // the answer was read completely
    bool m_aborted = false;
    bool m_noBody = false;
};

}
