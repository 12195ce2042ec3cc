#include "gateway/front_server.h"

#include "gateway/completion.h"
#include "gateway/spawn.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <charconv>

namespace chestnut
{

namespace
{

using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr int BACKLOG = 1024;
constexpr milliseconds CHECK_TIMEOUT{3000};
constexpr milliseconds ACCEPT_RETRY{20};             // pause after a failed accept, for example if no file descriptor is free
constexpr std::size_t SESSION_SWEEP_THRESHOLD = 512; // beyond this number of entries, ended sessions are removed from the list

tcp::endpoint endpointOf(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    unsigned port = 0;
    std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
    return {asio::ip::make_address(address.substr(0, colon)), static_cast<unsigned short>(port)};
}

// Keeps the session alive while its coroutine runs.
asio::awaitable<void> runSession(std::shared_ptr<client_session> session)
{
    co_await session->run();
}

std::string textOf(const tcp::endpoint &endpoint)
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

tcp::acceptor listenAt(asio::io_context &context, const std::string &address)
{
    try {
        const tcp::endpoint endpoint = endpointOf(address);
        tcp::acceptor acceptor(context, endpoint.protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(endpoint);
        acceptor.listen(BACKLOG);
        return acceptor;
    } catch (const boost::system::system_error &problem) {
        throw std::runtime_error("cannot listen on " + address + ": " + problem.what());
    }
}

}

front_server::front_server(traffic_state &state)
    : m_state(state)
    , m_clientAcceptor(listenAt(state.context, state.settings.frontAddress))
    , m_readinessAcceptor(listenAt(state.context, state.settings.readyAddress))
{
}

std::string front_server::frontAddress() const
{
    return textOf(m_clientAcceptor.local_endpoint());
}

std::string front_server::readyAddress() const
{
    return textOf(m_readinessAcceptor.local_endpoint());
}

void front_server::start()
{
    spawnLogged(m_state.context, "accept_clients", acceptClients());
    spawnLogged(m_state.context, "accept_checks", acceptReadinessChecks());
}

asio::awaitable<void> front_server::acceptClients()
{
    asio::steady_timer pause(m_state.context);
    while (m_clientAcceptor.is_open()) {
        error_code error;
        tcp::socket socket(m_state.context);
        co_await m_clientAcceptor.async_accept(socket, into(error));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error) {
            logLine(log_level::warning, "accept_failed", {{"error", error.message()}});
            pause.expires_after(ACCEPT_RETRY);
            co_await pause.async_wait(into(error));
            continue;
        }
        startSession(std::move(socket));
    }
}

void front_server::startSession(tcp::socket socket)
{
    m_state.counters.count("client_connections");
    if (!m_state.clients.makeRoomForOne()) {
        m_state.counters.count("client_connections_closed", {{"reason", "too_many"}});
        return; // closes the socket
    }
    auto session = std::make_shared<client_session>(m_state, std::move(socket));
    if (m_sessions.size() > SESSION_SWEEP_THRESHOLD) {
        std::erase_if(m_sessions, [](const auto &known) { return known.expired(); });
    }
    m_sessions.push_back(session);
    spawnLogged(m_state.context, "client_session", runSession(std::move(session)));
}

asio::awaitable<void> front_server::acceptReadinessChecks()
{
    while (m_readinessAcceptor.is_open()) {
        error_code error;
        tcp::socket socket(m_state.context);
        co_await m_readinessAcceptor.async_accept(socket, into(error));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (!error) {
            spawnLogged(m_state.context, "readiness_check", answerReadinessChecks(std::move(socket)));
        }
    }
}

asio::awaitable<void> front_server::answerReadinessChecks(tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    error_code error;
    while (!error) {
        http::request<http::empty_body> check;
        stream.expires_after(CHECK_TIMEOUT);
        co_await http::async_read(stream, buffer, check, into(error));
        if (error) {
            break; // the checking client has closed the connection, or its request is invalid or late
        }
        const bool ready = m_state.ready();
        if (ready != m_wasReady) {
            m_wasReady = ready;
            logLine(log_level::info, ready ? "ready" : "not_ready", {{"draining", m_state.draining ? "yes" : "no"}});
        }
        const std::string answer = ready ? "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" : "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
        co_await asio::async_write(stream, asio::buffer(answer), into(error));
    }
}

void front_server::beginDrain()
{
    m_state.draining = true;
}

void front_server::closeIdle()
{
    for (const auto &known : m_sessions) {
        if (const auto session = known.lock()) {
            session->closeWhenIdle();
        }
    }
}

void front_server::stopAccepting()
{
    error_code error;
    m_clientAcceptor.non_blocking(true, error);
    while (!error) {
        tcp::socket socket(m_state.context);
        m_clientAcceptor.accept(socket, error);
        if (!error) {
            startSession(std::move(socket));
        }
    }
    error_code ignored; // the process is ending
    m_clientAcceptor.close(ignored);
    closeIdle();
}

void front_server::abortSessions()
{
    for (const auto &known : m_sessions) {
        if (const auto session = known.lock()) {
            session->abort();
        }
    }
}

int front_server::openSessions() const
{
    return static_cast<int>(std::count_if(m_sessions.begin(), m_sessions.end(), [](const auto &known) { return !known.expired(); }));
}

int front_server::busySessions() const
{
    return static_cast<int>(std::count_if(m_sessions.begin(), m_sessions.end(), [](const auto &known) {
        const auto session = known.lock();
        return session && session->isBusy();
    }));
}

}
