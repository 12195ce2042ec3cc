#include "gateway/upstream.h"

#include "gateway/completion.h"
#include "gateway/headers.h"
#include "kernel/http_status.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace chestnut
{

namespace
{

using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr milliseconds DEFAULT_REUSE{3000}; // lifetime of an idle connection if the server sends no Keep-Alive timeout
constexpr milliseconds REUSE_MARGIN{700};   // subtracted from the server's Keep-Alive timeout
constexpr milliseconds USER_TIMEOUT{4000};  // unacknowledged data closes the connection after this time (TCP_USER_TIMEOUT); a sound server may pause
constexpr std::size_t PIECE_BYTES = 16 * 1024;
constexpr std::size_t ANSWER_HEADER_BYTES = 64 * 1024;
constexpr std::size_t MAX_IDLE_PER_SERVER = 48;
constexpr milliseconds LATE_DATA_LIMIT{1000};                   // after the time limit, data that has arrived by then is still read for this long
constexpr int MAX_SKIPPED_ANSWERS = 4;                          // interim (1xx) answers and late answers to other requests
constexpr std::size_t MAX_SKIPPED_BYTES = std::size_t(1) << 22; // of the body of a late answer to another request
constexpr std::size_t MAX_REFUSED_IDS = 16;                     // kept for each connection

void setOption(int socket, int level, int name, int value)
{
    // Errors are ignored: without an option, latency is higher and a lost connection is detected later.
    (void)::setsockopt(socket, level, name, &value, sizeof value);
}

void tuneSocket(int socket)
{
    setOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(USER_TIMEOUT.count()));
}

// True if the connection is open and has no unread data. Unread data could not be the answer to the next request.
bool isOpenAndIdle(int socket)
{
    char byte = 0;
    const ssize_t got = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void closeNow(upstream_connection &connection)
{
    error_code ignored; // the connection is discarded either way
    connection.stream.socket().close(ignored);
}

// Closes the connection with a TCP reset, which discards what was not delivered yet: the server must not get a request later that nobody
// waits for any more, for example when the network between them works again.
void resetNow(upstream_connection &connection)
{
    error_code ignored; // the connection is discarded either way
    connection.stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    connection.stream.socket().close(ignored);
}

}

std::optional<asio::ip::tcp::endpoint> parseEndpoint(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    error_code error;
    const asio::ip::address ip = asio::ip::make_address(address.substr(0, colon), error);
    unsigned port = 0;
    const char *begin = address.data() + colon + 1;
    const char *end = address.data() + address.size();
    if (error || std::from_chars(begin, end, port).ptr != end || port == 0 || port > 65535) {
        return std::nullopt;
    }
    return asio::ip::tcp::endpoint(ip, static_cast<unsigned short>(port));
}

std::string_view headerValue(const header_list &headers, std::string_view name)
{
    for (const auto &[key, value] : headers) {
        if (sameHeader(key, name)) {
            return value;
        }
    }
    return {};
}

const char *toText(exchange_status status)
{
    static constexpr const char *NAMES[] = {"ok", "connect_failed", "timed_out", "broken", "aborted"};
    return NAMES[static_cast<int>(status)];
}

//-----------------------------------------------------------------------------
// Pool
//-----------------------------------------------------------------------------

std::unique_ptr<upstream_connection> upstream_pool::takeIdle(const std::string &address, const std::string &requestId)
{
    auto &idle = m_idle[address];
    const steady_time now = std::chrono::steady_clock::now();
    const auto isUsable
        = [now](const std::unique_ptr<upstream_connection> &one) { return one->reusableUntil > now && isOpenAndIdle(one->stream.socket().native_handle()); };
    for (auto next = idle.end(); next != idle.begin();) {
        --next;
        if (!isUsable(*next)) {
            closeNow(**next);
            next = idle.erase(next);
            continue;
        }
        const std::deque<std::string> &refused = (*next)->refused;
        if (std::find(refused.begin(), refused.end(), requestId) == refused.end()) {
            std::unique_ptr<upstream_connection> connection = std::move(*next);
            idle.erase(next);
            connection->reused = true;
            return connection;
        }
    }
    return nullptr;
}

void upstream_pool::giveBack(const std::string &address, std::unique_ptr<upstream_connection> connection)
{
    auto &idle = m_idle[address];
    idle.push_back(std::move(connection));
    if (idle.size() > MAX_IDLE_PER_SERVER) {
        idle.pop_front();
    }
}

void upstream_pool::dropIdle(const std::string &address)
{
    m_idle.erase(address);
}

void upstream_pool::closeExpired(steady_time now)
{
    if (now - m_expiryChecked < EXPIRY_INTERVAL) {
        return;
    }
    m_expiryChecked = now;
    for (auto &[address, idle] : m_idle) {
        std::erase_if(idle, [now](const auto &one) { return one->reusableUntil <= now; });
    }
    std::erase_if(m_idle, [](const auto &entry) { return entry.second.empty(); });
}

std::size_t upstream_pool::idleConnections() const
{
    std::size_t count = 0;
    for (const auto &[address, idle] : m_idle) {
        count += idle.size();
    }
    return count;
}

//-----------------------------------------------------------------------------
// Exchange
//-----------------------------------------------------------------------------

upstream_exchange::upstream_exchange(upstream_pool &pool, std::string address, std::string requestId)
    : m_pool(pool)
    , m_address(std::move(address))
    , m_requestId(std::move(requestId))
    , m_buffered(pool.buffers())
{
}

upstream_exchange::~upstream_exchange()
{
    if (!m_connection) {
        return;
    }
    const bool clean = m_complete && !m_aborted && m_head.keepAlive && m_connection->buffer.size() == 0;
    const bool open = m_connection->reusableUntil > std::chrono::steady_clock::now();
    if (clean && open) {
        m_connection->stream.expires_never();
        m_pool.giveBack(m_address, std::move(m_connection));
    } else if (m_complete) {
        closeNow(*m_connection);
    } else {
        resetNow(*m_connection);
    }
}

void upstream_exchange::abort()
{
    m_aborted = true;
    if (m_connection) {
        resetNow(*m_connection);
    }
}

std::size_t upstream_exchange::unacknowledgedBytes()
{
    int bytes = 0;
    const bool open = m_connection && m_connection->stream.socket().is_open();
    const bool known = open && ::ioctl(m_connection->stream.socket().native_handle(), SIOCOUTQ, &bytes) == 0;
    return known && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

// Closing a socket does not take back an operation that has completed and whose handler is queued: its step ends as aborted all the same.
exchange_status upstream_exchange::stepResult(error_code error)
{
    if (error) {
        m_error = error.message();
    }
    if (m_aborted) {
        return exchange_status::aborted;
    }
    if (!error) {
        return exchange_status::ok;
    }
    return error == beast::error::timeout ? exchange_status::timed_out : exchange_status::broken;
}

asio::awaitable<exchange_status> upstream_exchange::connect(bool fresh, steady_time until)
{
    if (m_aborted) {
        co_return exchange_status::aborted;
    }
    if (!fresh) {
        m_connection = m_pool.takeIdle(m_address, m_requestId);
        if (m_connection) {
            co_return exchange_status::ok;
        }
    }
    const std::optional<tcp::endpoint> endpoint = parseEndpoint(m_address);
    if (!endpoint) {
        co_return exchange_status::connect_failed;
    }
    m_connection = std::make_unique<upstream_connection>(m_pool.context());
    m_connection->stream.expires_at(until);
    error_code error;
    co_await m_connection->stream.async_connect(*endpoint, into(error));
    if (m_aborted) {
        co_return exchange_status::aborted;
    }
    if (error) {
        co_return exchange_status::connect_failed;
    }
    tuneSocket(m_connection->stream.socket().native_handle());
    co_return exchange_status::ok;
}

asio::awaitable<exchange_status> upstream_exchange::send(std::string head, const std::string &body, steady_time until)
{
    if (m_aborted) {
        co_return exchange_status::aborted;
    }
    m_sent = true;
    m_connection->stream.expires_at(until);
    error_code error;
    const std::array<asio::const_buffer, 2> bytes{asio::buffer(head), asio::buffer(body)};
    co_await asio::async_write(m_connection->stream, bytes, into(error));
    co_return stepResult(error);
}

asio::awaitable<exchange_status> upstream_exchange::readHead(const std::string &idHeader, steady_time until)
{
    for (int skipped = 0; skipped <= MAX_SKIPPED_ANSWERS; ++skipped) {
        m_parser.emplace();
        m_parser->body_limit(std::numeric_limits<std::uint64_t>::max()); // Boost 1.74 treats boost::none as a limit of 0
        m_parser->header_limit(ANSWER_HEADER_BYTES);
        m_parser->skip(m_noBody);
        m_connection->stream.expires_at(until);
        const error_code error = co_await receiveHead();
        if (const exchange_status received = stepResult(error); received != exchange_status::ok) {
            co_return received;
        }
        storeHead();
        const status_kind kind = classifyStatus(m_head.status);
        if (kind == status_kind::invalid) {
            co_return rejectHead("invalid status");
        }
        if (kind == status_kind::interim && announcesBody()) {
            co_return rejectHead("interim answer with a body, status");
        }
        if (kind == status_kind::interim) {
            continue;
        }
        const std::string_view echoed = headerValue(m_head.headers, idHeader);
        if (echoed.empty() && m_connection->reused) {
            co_return exchange_status::broken; // may be a late answer to an earlier request on this connection
        }
        if (echoed.empty() || echoed == m_requestId) {
            m_answered = true;
            setReuseDeadline();
            co_return exchange_status::ok;
        }
        const exchange_status rest = co_await skipBody(MAX_SKIPPED_BYTES, until);
        if (rest != exchange_status::ok || !m_head.keepAlive) {
            co_return rest == exchange_status::ok ? exchange_status::broken : rest;
        }
        m_complete = false;
    }
    co_return exchange_status::broken;
}

asio::awaitable<error_code> upstream_exchange::receiveHead()
{
    error_code error;
    while (!error && !m_parser->is_header_done()) {
        co_await http::async_read_some(m_connection->stream, m_connection->buffer, *m_parser, into(error));
        m_buffered.set(m_connection->buffer.capacity());
        if (!error && m_buffered.exceeded()) {
            error = http::error::buffer_overflow;
        }
    }
    co_return error;
}

void upstream_exchange::noteRefused()
{
    m_connection->refused.push_back(m_requestId);
    if (m_connection->refused.size() > MAX_REFUSED_IDS) {
        m_connection->refused.pop_front();
    }
}

void upstream_exchange::storeHead()
{
    const auto &message = m_parser->get();
    m_head = {};
    m_head.status = static_cast<int>(message.result_int());
    m_head.endsWithConnection = m_parser->need_eof();
    m_head.keepAlive = m_parser->keep_alive() && !m_head.endsWithConnection;
    const std::string_view connection = viewOf(message[http::field::connection]);
    for (const auto &field : message) {
        const std::string name(field.name_string());
        if (!isHopByHopHeader(name, connection)) {
            m_head.headers.emplace_back(name, std::string(field.value()));
        }
    }
}

exchange_status upstream_exchange::rejectHead(const char *problem)
{
    m_answered = true;
    m_error = std::string(problem) + " " + std::to_string(m_head.status);
    return exchange_status::broken;
}

bool upstream_exchange::announcesBody() const
{
    return m_parser->chunked() || m_parser->content_length().value_or(0) > 0;
}

void upstream_exchange::setReuseDeadline()
{
    milliseconds lifetime = DEFAULT_REUSE;
    const std::string_view text = viewOf(m_parser->get()["Keep-Alive"]);
    if (const std::size_t at = text.find("timeout="); at != std::string_view::npos) {
        int timeout = 0;
        std::from_chars(text.data() + at + 8, text.data() + text.size(), timeout);
        lifetime = std::max(milliseconds(0), milliseconds(timeout * 1000) - REUSE_MARGIN);
    }
    m_connection->reusableUntil = std::chrono::steady_clock::now() + lifetime;
}

asio::awaitable<exchange_status> upstream_exchange::readPiece(std::string &piece, steady_time until)
{
    piece.clear();
    std::array<char, PIECE_BYTES> pieceBuffer;
    while (!m_aborted && piece.empty() && !m_parser->is_done()) {
        if (std::chrono::steady_clock::now() > until + LATE_DATA_LIMIT) { // data that is always there never meets the timeout of the stream
            co_return exchange_status::timed_out;
        }
        auto &body = m_parser->get().body();
        body.data = pieceBuffer.data();
        body.size = pieceBuffer.size();
        m_connection->stream.expires_at(until);
        error_code error;
        co_await http::async_read_some(m_connection->stream, m_connection->buffer, *m_parser, into(error));
        if (error == http::error::need_buffer) {
            error = {};
        }
        piece.assign(pieceBuffer.data(), pieceBuffer.size() - body.size);
        if (error) {
            co_return stepResult(error);
        }
    }
    m_complete = m_parser->is_done();
    co_return stepResult({});
}

asio::awaitable<exchange_status> upstream_exchange::readBody(std::string &body, std::size_t limit, steady_time until)
{
    std::string piece;
    while (true) {
        const exchange_status status = co_await readPiece(piece, until);
        if (status != exchange_status::ok) {
            co_return status;
        }
        body += piece;
        m_buffered.set(body.capacity());
        if (piece.empty()) {
            co_return exchange_status::ok;
        }
        if (body.size() > limit || m_buffered.exceeded()) {
            co_return exchange_status::broken;
        }
    }
}

asio::awaitable<exchange_status> upstream_exchange::skipBody(std::size_t limit, steady_time until)
{
    std::string piece;
    std::size_t skipped = 0;
    while (skipped <= limit) {
        const exchange_status status = co_await readPiece(piece, until);
        if (status != exchange_status::ok || piece.empty()) {
            co_return status;
        }
        skipped += piece.size();
    }
    co_return exchange_status::broken;
}

}
