// Sections: limits, calls, server, public interface.

#include "kernel/http_server.h"

#include "kernel/exchange_limits.h"
#include "kernel/scope.h"

#include <arpa/inet.h>
#include <atomic>
#include <cmath>
#include <microhttpd.h>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <sys/socket.h>
#include <unordered_set>

namespace chestnut
{

namespace
{

constexpr std::size_t SMALLEST_BUFFER_BYTES = 1024; // first capacity of a body or of a streamed response
constexpr std::size_t STREAM_BLOCK_BYTES = 4096;    // size of the pieces in which libmicrohttpd requests a streamed response

constexpr unsigned CLOSING_CONNECTIONS = 32; // accepted beyond the limit while those chosen to be closed still are open
// A rejected body is read and dropped up to this many times the limit on bodies, and then answered: closing a connection with unread input
// can destroy the answer on its way. A longer one is answered or closed at once.
constexpr std::size_t DISCARDED_BODIES = 2;
constexpr milliseconds MEMORY_RETRY_AFTER{1000};
constexpr std::size_t EXCHANGE_BYTES = 24'576; // charged for a request in progress beside its body: connection to a server, parser, response block

//-----------------------------------------------------------------------------
// Limits
//-----------------------------------------------------------------------------

// The limits of one server with the sockets of its connections. Calls keep it alive. Any thread.
class shared_limits
{
public:
    explicit shared_limits(const http_server_options &options)
        : m_limits(options.memoryBytes, options.maxConnections)
        , m_onLimit(options.onLimit)
    {
    }
    bool hasSpace(std::size_t bytes)
    {
        const std::lock_guard lock(m_mutex);
        return m_limits.hasSpace(0, bytes);
    }
    // If there is no space, closes an old unfinished exchange, so that there is some for later requests.
    bool take(std::size_t held, std::size_t more)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_limits.take(held, more)) {
                return true;
            }
            shutDown(m_limits.reclaim(std::chrono::steady_clock::now()));
        }
        report("memory");
        return false;
    }
    void release(std::size_t bytes)
    {
        const std::lock_guard lock(m_mutex);
        m_limits.release(bytes);
    }
    void open(connection_number number, int socket)
    {
        bool closesOne = false;
        {
            const std::lock_guard lock(m_mutex);
            m_sockets[number] = socket;
            const auto chosen = m_limits.open(number, std::chrono::steady_clock::now());
            closesOne = chosen.has_value();
            shutDown(chosen);
        }
        if (closesOne) {
            report("connections");
        }
    }
    // Called before the socket is closed, so that no other descriptor of the same number is shut down.
    void close(connection_number number)
    {
        const std::lock_guard lock(m_mutex);
        m_limits.close(number);
        m_sockets.erase(number);
    }
    void setStage(connection_number number, connection_stage stage)
    {
        const std::lock_guard lock(m_mutex);
        m_limits.setStage(number, stage, std::chrono::steady_clock::now());
    }
    http_server_usage usage() const
    {
        const std::lock_guard lock(m_mutex);
        return {m_limits.connections(), m_limits.usedBytes()};
    }
    void report(std::string_view reason) const
    {
        if (m_onLimit) {
            m_onLimit(reason);
        }
    }

private:
    // libmicrohttpd sees the end of the connection and closes it.
    void shutDown(std::optional<connection_number> number)
    {
        const auto found = number ? m_sockets.find(*number) : m_sockets.end();
        if (found != m_sockets.end()) {
            ::shutdown(found->second, SHUT_RDWR);
        }
    }

    mutable std::mutex m_mutex; // guards all below
    exchange_limits m_limits;
    std::unordered_map<connection_number, int> m_sockets;
    const std::function<void(std::string_view)> m_onLimit;
};

//-----------------------------------------------------------------------------
// Calls
//-----------------------------------------------------------------------------

class mhd_call : public http_call
{
public:
    mhd_call(MHD_Connection *connection, const char *method, const char *path, std::shared_ptr<shared_limits> limits, const http_server_options &options)
        : m_connection(connection)
        , m_method(method)
        , m_path(path)
        , m_limits(std::move(limits))
        , m_maxBodyBytes(options.maxBodyBytes)
        , m_maxUnreadBytes(options.maxUnreadBytes)
        , m_receiveLimit(options.receiveLimit)
        , m_started(std::chrono::steady_clock::now())
    {
    }
    ~mhd_call() override
    {
        m_limits->release(m_exchangeCharge + m_bodyCharge + m_reserved + m_bufferCharge);
    }
    mhd_call(const mhd_call &) = delete;
    mhd_call &operator=(const mhd_call &) = delete;

    const std::string &method() const override
    {
        return m_method;
    }
    const std::string &path() const override
    {
        return m_path;
    }
    const std::string &body() const override
    {
        return m_body;
    }
    std::string header(const std::string &name) const override
    {
        const auto found = m_headers.find(name);
        return found == m_headers.end() ? std::string() : found->second;
    }
    std::string query(const std::string &name) const override
    {
        const auto found = m_query.find(name);
        return found == m_query.end() ? std::string() : found->second;
    }

    std::uint64_t connection() const override
    {
        return m_connectionNumber;
    }

    bool reserve(std::size_t bytes) override
    {
        const std::lock_guard lock(m_mutex);
        if (m_finished || m_terminated) {
            return true; // its bytes are about to be freed
        }
        return charge(m_reserved, bytes);
    }
    void respond(http_response response) override
    {
        const std::lock_guard lock(m_mutex);
        if (m_headReady || m_terminated) {
            return;
        }
        releaseReserved();
        if (!charge(m_bufferCharge, response.body.size())) {
            response = shortened(response);
            charge(m_bufferCharge, response.body.size());
        }
        m_buffer = std::move(response.body);
        response.body.clear();
        m_head = std::move(response);
        m_headReady = true;
        m_finished = true;
        m_hasFullBody = true;
        resume();
    }
    void beginStream(http_response head) override
    {
        const std::lock_guard lock(m_mutex);
        if (m_headReady || m_terminated) {
            return;
        }
        m_head = std::move(head);
        m_headReady = true;
        resume();
    }
    void write(std::string_view data) override
    {
        const std::lock_guard lock(m_mutex);
        if (m_finished || m_terminated) {
            return;
        }
        if (!makeSpace(data.size())) {
            dropStream();
            return;
        }
        m_buffer.append(data);
        resume();
    }
    void finish() override
    {
        const std::lock_guard lock(m_mutex);
        m_finished = true;
        releaseReserved();
        resume();
    }
    void cut() override
    {
        const std::lock_guard lock(m_mutex);
        m_cut = true;
        m_headReady = true;
        m_finished = true;
        releaseReserved();
        resume();
    }
    bool clientDisconnected() const override
    {
        const std::lock_guard lock(m_mutex);
        return m_terminated || m_cut;
    }

    // The functions below are called on the threads of libmicrohttpd only.

    void readHead()
    {
        const auto *context = MHD_get_connection_info(m_connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
        m_connectionNumber = context == nullptr ? 0 : reinterpret_cast<std::uint64_t>(context->socket_context);
        MHD_get_connection_values(m_connection, MHD_HEADER_KIND, collect, &m_headers);
        MHD_get_connection_values(m_connection, MHD_GET_ARGUMENT_KIND, collect, &m_query);
    }
    // Decides on the head alone. Returns false if the request is to be answered before its body is read.
    bool acceptHead()
    {
        const std::string announced = header("content-length");
        m_announcedBytes = announced.empty() ? 0 : std::strtoull(announced.c_str(), nullptr, 10);
        if (m_announcedBytes > m_maxBodyBytes) {
            rejectTooLarge();
        } else if (!m_limits->hasSpace(m_announcedBytes)) {
            m_limits->report("memory");
            rejectForMemory();
        }
        return !m_rejection || (header("expect").empty() && m_announcedBytes <= m_maxBodyBytes * DISCARDED_BODIES);
    }
    // Returns false if the connection is to be closed without an answer. A rejected body is dropped.
    bool appendBody(std::string_view piece)
    {
        m_receivedBytes += piece.size();
        if (m_receiveLimit.count() > 0 && std::chrono::steady_clock::now() - m_started > m_receiveLimit) {
            m_limits->report("receive_time");
            return false;
        }
        if (!m_rejection && m_receivedBytes > m_maxBodyBytes) {
            rejectTooLarge();
        }
        if (!m_rejection && !growBody(m_receivedBytes)) {
            rejectForMemory();
        }
        if (m_rejection) {
            return m_receivedBytes <= m_maxBodyBytes * DISCARDED_BODIES;
        }
        m_body.append(piece);
        return true;
    }
    // Charges what a request in progress takes whatever its size, or rejects it.
    void chargeExchange()
    {
        if (m_rejection) {
            return;
        }
        if (!m_limits->take(0, EXCHANGE_BYTES)) {
            rejectForMemory();
            return;
        }
        m_exchangeCharge = EXCHANGE_BYTES;
    }
    // Answers a request that was rejected before it was handed over. Returns false if it was not.
    bool respondRejection()
    {
        if (!m_rejection) {
            return false;
        }
        respond(std::move(*m_rejection));
        return true;
    }
    bool handedOver() const
    {
        return m_handedOver;
    }
    // Returns false if the call has already been cut; it must not be passed to the handler then.
    bool suspendForHandler()
    {
        const std::lock_guard lock(m_mutex);
        if (m_headReady) {
            return false;
        }
        m_handedOver = true;
        m_suspended = true;
        m_limits->setStage(m_connectionNumber, connection_stage::running);
        MHD_suspend_connection(m_connection);
        return true;
    }
    void markTerminated()
    {
        const std::lock_guard lock(m_mutex);
        m_terminated = true;
    }
    // Queues the response, or suspends the connection again if there is none yet.
    MHD_Result queueResponse(const std::shared_ptr<mhd_call> &self)
    {
        const std::lock_guard lock(m_mutex);
        if (!m_headReady) {
            m_suspended = true;
            MHD_suspend_connection(m_connection);
            return MHD_YES;
        }
        if (m_cut) {
            return MHD_NO;
        }
        MHD_Response *response = nullptr;
        if (m_hasFullBody) {
            m_limits->setStage(m_connectionNumber, connection_stage::sending);
            // The response refers to the buffer of the call, which is kept alive until it is sent.
            auto *holder = new std::shared_ptr<mhd_call>(self);
            response = MHD_create_response_from_buffer_with_free_callback_cls(
                m_buffer.size(), m_buffer.data(), [](void *user) { delete static_cast<std::shared_ptr<mhd_call> *>(user); }, holder);
        } else {
            auto *holder = new std::shared_ptr<mhd_call>(self);
            response = MHD_create_response_from_callback(
                MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES,
                [](void *user, std::uint64_t, char *out, std::size_t space) {
                    return (*static_cast<std::shared_ptr<mhd_call> *>(user))->readStream(out, space);
                },
                holder, [](void *user) { delete static_cast<std::shared_ptr<mhd_call> *>(user); });
        }
        MHD_add_response_header(response, "Content-Type", m_head.contentType.c_str());
        for (const auto &[name, value] : m_head.headers) {
            MHD_add_response_header(response, name.c_str(), value.c_str());
        }
        const MHD_Result queued = MHD_queue_response(m_connection, static_cast<unsigned>(m_head.status), response);
        MHD_destroy_response(response);
        return queued;
    }

private:
    static MHD_Result collect(void *user, MHD_ValueKind, const char *name, const char *value)
    {
        auto &values = *static_cast<std::map<std::string, std::string, std::less<>> *>(user);
        std::string lower(name);
        for (char &letter : lower) {
            letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
        }
        values[lower] = value != nullptr ? value : "";
        return MHD_YES;
    }
    ssize_t readStream(char *out, std::size_t space)
    {
        const std::lock_guard lock(m_mutex);
        if (m_cut) {
            return MHD_CONTENT_READER_END_WITH_ERROR;
        }
        if (m_buffer.empty()) {
            if (m_finished) {
                return MHD_CONTENT_READER_END_OF_STREAM;
            }
            m_suspended = true;
            MHD_suspend_connection(m_connection);
            return 0;
        }
        const std::size_t count = std::min(space, m_buffer.size());
        m_buffer.copy(out, count);
        m_buffer.erase(0, count);
        if (m_buffer.empty() && m_bufferCharge > STREAM_BLOCK_BYTES) {
            freeBuffer();
        }
        return static_cast<ssize_t>(count);
    }
    // Adds to one of the charges of this call, if the limit allows it.
    bool charge(std::size_t &charged, std::size_t more)
    {
        if (!m_limits->take(m_bodyCharge + m_reserved + m_bufferCharge, more)) {
            return false;
        }
        charged += more;
        return true;
    }
    void releaseReserved()
    {
        m_limits->release(std::exchange(m_reserved, 0));
    }
    void freeBuffer()
    {
        std::string().swap(m_buffer);
        m_limits->release(std::exchange(m_bufferCharge, 0));
    }
    // Makes the body's capacity at least `wanted`. It doubles as far as the body can still grow.
    bool growBody(std::size_t wanted)
    {
        if (wanted <= m_bodyCharge) {
            return true;
        }
        const std::size_t longest = m_announcedBytes > 0 ? m_announcedBytes : m_maxBodyBytes;
        const std::size_t capacity = std::max(wanted, std::min(std::max(2 * m_bodyCharge, SMALLEST_BUFFER_BYTES), longest));
        if (!charge(m_bodyCharge, capacity - m_bodyCharge)) {
            return false;
        }
        std::string grown; // reserve() of a string in use may allocate more than it is asked for
        grown.reserve(capacity);
        grown.append(m_body);
        m_body.swap(grown);
        return true;
    }
    // Makes room for so many more bytes of a streamed response.
    bool makeSpace(std::size_t bytes)
    {
        const std::size_t wanted = m_buffer.size() + bytes;
        if (m_maxUnreadBytes > 0 && wanted > m_maxUnreadBytes && !m_buffer.empty()) {
            m_limits->report("unread_response");
            return false;
        }
        if (wanted <= m_bufferCharge) {
            return true;
        }
        const std::size_t capacity = std::max({wanted, 2 * m_bufferCharge, SMALLEST_BUFFER_BYTES});
        if (!charge(m_bufferCharge, capacity - m_bufferCharge)) {
            return false;
        }
        std::string grown;
        grown.reserve(capacity);
        grown.append(m_buffer);
        m_buffer.swap(grown);
        return true;
    }
    // Ends a stream whose client reads too slowly.
    void dropStream()
    {
        m_cut = true;
        m_headReady = true;
        m_finished = true;
        releaseReserved();
        freeBuffer();
        resume();
    }
    void rejectTooLarge()
    {
        m_limits->report("body_too_large");
        reject(errorResponse(413, "body_too_large", "the request body is larger than " + std::to_string(m_maxBodyBytes) + " bytes", verdict::not_run));
    }
    void rejectForMemory()
    {
        reject(errorResponse(503, "no_memory", "the open requests of all clients hold all the memory they may", verdict::not_run, MEMORY_RETRY_AFTER));
    }
    void reject(http_response response)
    {
        m_rejection = std::move(response);
        std::string().swap(m_body);
        m_limits->release(std::exchange(m_bodyCharge, 0));
    }
    // Stands in for a response that the memory limit has no space for.
    static http_response shortened(const http_response &whole)
    {
        verdict ran = verdict::may_have_run;
        http_response response;
        for (const auto &[name, value] : whole.headers) {
            ran = name == "Chestnutgw-Verdict" ? parseVerdict(value) : ran;
        }
        const milliseconds retryAfter = ran == verdict::not_run ? MEMORY_RETRY_AFTER : milliseconds(0);
        const int status = ran == verdict::not_run ? 503 : 502; // 503 would tell a client that nothing ran
        response = errorResponse(status, "no_memory", "the response does not fit into the memory that all clients may use", ran, retryAfter);
        for (const auto &[name, value] : whole.headers) {
            if (name == "Chestnutgw-Request-Id") {
                response.headers.emplace_back(name, value);
            }
        }
        return response;
    }
    void resume()
    {
        if (m_suspended && !m_terminated) {
            m_suspended = false;
            MHD_resume_connection(m_connection);
        }
    }

    MHD_Connection *m_connection;
    std::uint64_t m_connectionNumber = 0;
    std::string m_method;
    std::string m_path;
    std::string m_body;
    std::map<std::string, std::string, std::less<>> m_headers;
    std::map<std::string, std::string, std::less<>> m_query;
    const std::shared_ptr<shared_limits> m_limits;
    const std::size_t m_maxBodyBytes;
    const std::size_t m_maxUnreadBytes;
    const milliseconds m_receiveLimit;
    const steady_time m_started;
    std::size_t m_announcedBytes = 0;         // of the body, 0 = none or chunked
    std::size_t m_receivedBytes = 0;          // of the body, also if it was dropped
    std::size_t m_bodyCharge = 0;             // of m_body; constant once the call is handed over
    std::optional<http_response> m_rejection; // answers the request instead of the handler
    std::size_t m_exchangeCharge = 0;
    bool m_handedOver = false;
    mutable std::mutex m_mutex;     // guards all members below
    std::size_t m_reserved = 0;     // charged by reserve()
    std::size_t m_bufferCharge = 0; // of m_buffer
    http_response m_head;
    std::string m_buffer;
    bool m_headReady = false;
    bool m_hasFullBody = false;
    bool m_finished = false;
    bool m_cut = false;
    bool m_suspended = false;
    bool m_terminated = false;
};

using call_holder = std::shared_ptr<mhd_call>;

}

//-----------------------------------------------------------------------------
// Server
//-----------------------------------------------------------------------------

class http_server::implementation
{
public:
    implementation(const http_server_options &options, http_handler handler)
        : m_options(options)
        , m_handler(std::move(handler))
        , m_limits(std::make_shared<shared_limits>(options))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(options.port);
        if (inet_pton(AF_INET, options.address.c_str(), &address.sin_addr) != 1) {
            throw std::runtime_error("cannot listen on '" + options.address + "': not an IPv4 address");
        }
        unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG | MHD_USE_ITC;
        // For a single thread, libmicrohttpd expects the option to be left out.
        const MHD_OptionItem poolOption[]
            = {{options.threads > 1 ? MHD_OPTION_THREAD_POOL_SIZE : MHD_OPTION_END, static_cast<std::intptr_t>(options.threads), nullptr},
               {MHD_OPTION_END, 0, nullptr}};
        m_daemon = MHD_start_daemon(flags, options.port, nullptr, nullptr, &implementation::onRequest, this, MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_ARRAY,
                                    poolOption, MHD_OPTION_CONNECTION_LIMIT, options.maxConnections + CLOSING_CONNECTIONS, MHD_OPTION_CONNECTION_TIMEOUT,
                                    static_cast<unsigned>(options.idleTimeout.count()), MHD_OPTION_NOTIFY_COMPLETED, &implementation::onCompleted, this,
                                    MHD_OPTION_NOTIFY_CONNECTION, &implementation::onConnection, this, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
                                    MHD_OPTION_EXTERNAL_LOGGER, &implementation::onLog, nullptr, MHD_OPTION_END);
        if (m_daemon == nullptr) {
            throw std::runtime_error("cannot listen on " + options.address + ":" + std::to_string(options.port));
        }
    }
    ~implementation()
    {
        // MHD_quiesce_daemon() hands over the listening socket. Left open, it would accept connections that are never answered.
        const unique_fd listener(MHD_quiesce_daemon(m_daemon));
        std::vector<call_holder> open;
        {
            const std::lock_guard lock(m_mutex);
            m_stopping = true;
            open.assign(m_open.begin(), m_open.end());
        }
        for (const call_holder &call : open) {
            call->cut();
        }
        MHD_stop_daemon(m_daemon);
    }
    std::uint16_t port() const
    {
        return MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
    }
    std::size_t openCalls() const
    {
        const std::lock_guard lock(m_mutex);
        return m_open.size();
    }

    http_server_usage usage() const
    {
        return m_limits->usage();
    }

private:
    static void onLog(void *, const char *, va_list)
    {
    }
    static MHD_Result onRequest(void *user, MHD_Connection *connection, const char *path, const char *method, const char *, const char *data, std::size_t *size,
                                void **state)
    {
        auto *self = static_cast<implementation *>(user);
        if (*state == nullptr) {
            auto *holder = new call_holder(std::make_shared<mhd_call>(connection, method, path, self->m_limits, self->m_options));
            (*holder)->readHead();
            *state = holder;
            return self->beginRequest(*holder);
        }
        const call_holder call = *static_cast<call_holder *>(*state);
        if (*size > 0) {
            const bool goesOn = call->appendBody({data, *size});
            *size = 0;
            return goesOn ? MHD_YES : MHD_NO;
        }
        if (!call->handedOver()) {
            if (!call->suspendForHandler()) {
                return MHD_NO;
            }
            self->handOver(call);
            return MHD_YES;
        }
        return call->queueResponse(call);
    }
    MHD_Result beginRequest(const call_holder &call)
    {
        m_limits->setStage(call->connection(), connection_stage::receiving);
        {
            const std::lock_guard lock(m_mutex);
            m_open.insert(call);
            if (m_stopping) {
                return MHD_NO;
            }
        }
        if (call->acceptHead()) {
            return MHD_YES;
        }
        call->respondRejection();
        return call->queueResponse(call);
    }
    void handOver(const call_holder &call)
    {
        call->chargeExchange();
        if (call->respondRejection()) {
            return;
        }
        try {
            m_handler(call);
        } catch (const std::exception &failure) {
            call->respond(errorResponse(500, "internal", failure.what(), verdict::may_have_run));
        }
    }
    static void onConnection(void *user, MHD_Connection *connection, void **context, MHD_ConnectionNotificationCode code)
    {
        auto *self = static_cast<implementation *>(user);
        if (code != MHD_CONNECTION_NOTIFY_STARTED) {
            self->m_limits->close(reinterpret_cast<connection_number>(*context));
            return;
        }
        const connection_number number = ++self->m_connections;
        *context = reinterpret_cast<void *>(number);
        const auto *socket = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        self->m_limits->open(number, socket == nullptr ? -1 : socket->connect_fd);
    }
    static void onCompleted(void *user, MHD_Connection *, void **state, MHD_RequestTerminationCode)
    {
        auto *self = static_cast<implementation *>(user);
        auto *holder = static_cast<call_holder *>(*state);
        if (holder == nullptr) {
            return;
        }
        (*holder)->markTerminated();
        self->m_limits->setStage((*holder)->connection(), connection_stage::idle);
        {
            const std::lock_guard lock(self->m_mutex);
            self->m_open.erase(*holder);
        }
        delete holder;
        *state = nullptr;
    }

    http_server_options m_options;
    http_handler m_handler;
    const std::shared_ptr<shared_limits> m_limits;
    MHD_Daemon *m_daemon = nullptr;
    std::atomic<std::uint64_t> m_connections = 0;
    mutable std::mutex m_mutex; // guards m_open
    bool m_stopping = false;    // guarded by m_mutex
    std::unordered_set<call_holder> m_open;
};

//-----------------------------------------------------------------------------
// Public interface
//-----------------------------------------------------------------------------

http_server::http_server(const http_server_options &options, http_handler handler)
    : m_impl(std::make_unique<implementation>(options, std::move(handler)))
{
}

http_server::~http_server() = default;

std::uint16_t http_server::port() const
{
    return m_impl->port();
}

std::size_t http_server::openCalls() const
{
    return m_impl->openCalls();
}

http_server_usage http_server::usage() const
{
    return m_impl->usage();
}

http_response errorResponse(int status, std::string_view code, std::string_view message, verdict outcome, milliseconds retryAfter)
{
    http_response response;
    response.status = status;
    nlohmann::json error{{"code", code}, {"message", message}, {"verdict", toText(outcome)}};
    response.headers.emplace_back("Chestnutgw-Verdict", toText(outcome));
    if (retryAfter.count() > 0) {
        const auto wholeSeconds = static_cast<long>(std::ceil(toSeconds(retryAfter)));
        response.headers.emplace_back("Retry-After", std::to_string(wholeSeconds));
        error["retry_after_ms"] = retryAfter.count();
    }
    response.body = nlohmann::json{{"error", error}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    return response;
}

}
