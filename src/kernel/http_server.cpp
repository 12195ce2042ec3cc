// Sections: calls, server, public interface.

#include "kernel/http_server.h"

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
#include <unordered_set>

namespace chestnut
{

namespace
{

constexpr std::size_t STREAM_BLOCK_BYTES = 16384; // size of the pieces in which libmicrohttpd requests a streamed response

//-----------------------------------------------------------------------------
// Calls
//-----------------------------------------------------------------------------

class mhd_call : public http_call
{
public:
    mhd_call(MHD_Connection *connection, const char *method, const char *path)
        : m_connection(connection)
        , m_method(method)
        , m_path(path)
    {
    }

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

    void respond(http_response response) override
    {
        const std::lock_guard lock(m_mutex);
        if (m_headReady || m_terminated) {
            return;
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
        m_buffer.append(data);
        resume();
    }
    void finish() override
    {
        const std::lock_guard lock(m_mutex);
        m_finished = true;
        resume();
    }
    void cut() override
    {
        const std::lock_guard lock(m_mutex);
        m_cut = true;
        m_headReady = true;
        m_finished = true;
        resume();
    }
    bool clientDisconnected() const override
    {
        const std::lock_guard lock(m_mutex);
        return m_terminated;
    }

    // The functions below are called on the threads of libmicrohttpd only.

    void readHead()
    {
        const auto *context = MHD_get_connection_info(m_connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
        m_connectionNumber = context == nullptr ? 0 : reinterpret_cast<std::uint64_t>(context->socket_context);
        MHD_get_connection_values(m_connection, MHD_HEADER_KIND, collect, &m_headers);
        MHD_get_connection_values(m_connection, MHD_GET_ARGUMENT_KIND, collect, &m_query);
    }
    // Returns false and drops the body if it exceeds the bound, given in bytes.
    bool appendBody(std::string_view piece, std::size_t bound)
    {
        if (m_body.size() + piece.size() > bound) {
            m_tooLarge = true;
            m_body.clear();
        } else if (!m_tooLarge) {
            m_body.append(piece);
        }
        return !m_tooLarge;
    }
    bool tooLarge() const
    {
        return m_tooLarge;
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
            response = MHD_create_response_from_buffer(m_buffer.size(), m_buffer.data(), MHD_RESPMEM_MUST_COPY);
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
        return static_cast<ssize_t>(count);
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
    bool m_tooLarge = false;
    bool m_handedOver = false;
    mutable std::mutex m_mutex; // guards all members below
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
        m_daemon
            = MHD_start_daemon(flags, options.port, nullptr, nullptr, &implementation::onRequest, this, MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_ARRAY,
                               poolOption, MHD_OPTION_CONNECTION_LIMIT, options.maxConnections, MHD_OPTION_CONNECTION_TIMEOUT, 0U, MHD_OPTION_NOTIFY_COMPLETED,
                               &implementation::onCompleted, this, MHD_OPTION_NOTIFY_CONNECTION, &implementation::onConnection, this,
                               MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_EXTERNAL_LOGGER, &implementation::onLog, nullptr, MHD_OPTION_END);
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

private:
    static void onLog(void *, const char *, va_list)
    {
    }
    static MHD_Result onRequest(void *user, MHD_Connection *connection, const char *path, const char *method, const char *, const char *data, std::size_t *size,
                                void **state)
    {
        auto *self = static_cast<implementation *>(user);
        if (*state == nullptr) {
            auto *holder = new call_holder(std::make_shared<mhd_call>(connection, method, path));
            (*holder)->readHead();
            *state = holder;
            const std::lock_guard lock(self->m_mutex);
            self->m_open.insert(*holder);
            return self->m_stopping ? MHD_NO : MHD_YES;
        }
        const call_holder call = *static_cast<call_holder *>(*state);
        if (*size > 0) {
            call->appendBody({data, *size}, self->m_options.maxBodyBytes);
            *size = 0;
            return MHD_YES;
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
    void handOver(const call_holder &call)
    {
        if (call->tooLarge()) {
            call->respond(
                errorResponse(413, "body_too_large", "the request body is larger than " + std::to_string(m_options.maxBodyBytes) + " bytes", verdict::not_run));
            return;
        }
        try {
            m_handler(call);
        } catch (const std::exception &failure) {
            call->respond(errorResponse(500, "internal", failure.what(), verdict::may_have_run));
        }
    }
    static void onConnection(void *user, MHD_Connection *, void **context, MHD_ConnectionNotificationCode code)
    {
        auto *self = static_cast<implementation *>(user);
        if (code == MHD_CONNECTION_NOTIFY_STARTED) {
            *context = reinterpret_cast<void *>(++self->m_connections);
        }
    }
    static void onCompleted(void *user, MHD_Connection *, void **state, MHD_RequestTerminationCode)
    {
        auto *self = static_cast<implementation *>(user);
        auto *holder = static_cast<call_holder *>(*state);
        if (holder == nullptr) {
            return;
        }
        (*holder)->markTerminated();
        {
            const std::lock_guard lock(self->m_mutex);
            self->m_open.erase(*holder);
        }
        delete holder;
        *state = nullptr;
    }

    http_server_options m_options;
    http_handler m_handler;
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
