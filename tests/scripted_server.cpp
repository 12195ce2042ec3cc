#include "scripted_server.h"

#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <strings.h>
#include <sys/socket.h>

namespace chestnut::test
{

namespace
{

using clock = std::chrono::steady_clock;

bool waitReadable(int socket, int limitMs)
{
    pollfd entry{socket, POLLIN, 0};
    return ::poll(&entry, 1, limitMs) > 0;
}

void sendAll(int socket, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return; // the peer has closed the connection; the test checks this where it matters
        }
        sent += static_cast<std::size_t>(count);
    }
}

bool sendUntilClosed(int socket, const std::string &bytes, int limitMs)
{
    const auto until = clock::now() + std::chrono::milliseconds(limitMs);
    while (clock::now() < until) {
        pollfd entry{socket, POLLOUT, 0};
        if (::poll(&entry, 1, 20) <= 0) {
            continue; // the peer does not read
        }
        const ssize_t count = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count < 0 && errno != EAGAIN) {
            return true;
        }
    }
    return false;
}

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

}

std::string raw_request::header(const std::string &name) const
{
    std::size_t at = head.find("\r\n");
    while (at != std::string::npos && at + 2 < head.size()) {
        const std::size_t start = at + 2;
        at = head.find("\r\n", start);
        const std::string line = head.substr(start, at - start);
        if (line.size() > name.size() && line[name.size()] == ':' && strncasecmp(line.c_str(), name.c_str(), name.size()) == 0) {
            const std::size_t value = line.find_first_not_of(' ', name.size() + 1);
            return value == std::string::npos ? "" : line.substr(value);
        }
    }
    return "";
}

std::string raw_request::target() const
{
    const std::size_t first = head.find(' ');
    return head.substr(first + 1, head.find(' ', first + 1) - first - 1);
}

raw_connection::raw_connection(int socket)
    : m_socket(socket)
{
}

bool raw_connection::read(raw_request &request)
{
    char buffer[16384];
    while (true) {
        const std::size_t end = m_buffer.find("\r\n\r\n");
        if (end != std::string::npos) {
            request.head = m_buffer.substr(0, end + 2);
            const std::string length = request.header("Content-Length");
            const std::size_t size = length.empty() ? 0 : std::stoul(length);
            if (m_buffer.size() >= end + 4 + size) {
                request.body = m_buffer.substr(end + 4, size);
                m_buffer.erase(0, end + 4 + size);
                return true;
            }
        }
        const ssize_t got = ::recv(m_socket.get(), buffer, sizeof buffer, 0);
        if (got <= 0) {
            return false;
        }
        m_buffer.append(buffer, static_cast<std::size_t>(got));
    }
}

void raw_connection::write(const std::string &bytes) const
{
    sendAll(m_socket.get(), bytes);
}

bool raw_connection::writeUntilClosed(const std::string &bytes, int limitMs) const
{
    return sendUntilClosed(m_socket.get(), bytes, limitMs);
}

void raw_connection::reset()
{
    const linger resetOnClose{1, 0};
    ::setsockopt(m_socket.get(), SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof resetOnClose);
    m_socket = unique_fd();
}

bool raw_connection::waitForClose(int limitMs) const
{
    const auto until = clock::now() + std::chrono::milliseconds(limitMs);
    char byte = 0;
    while (clock::now() < until) {
        if (waitReadable(m_socket.get(), 20) && ::recv(m_socket.get(), &byte, 1, 0) <= 0) {
            return true;
        }
    }
    return false;
}

void raw_connection::shutdown() const
{
    ::shutdown(m_socket.get(), SHUT_RDWR);
}

scripted_server::scripted_server(server_script script)
    : m_script(std::move(script))
    , m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof address;
    const bool bound = ::bind(m_listener.get(), reinterpret_cast<sockaddr *>(&address), size) == 0;
    if (!bound || ::listen(m_listener.get(), 128) != 0 || ::getsockname(m_listener.get(), reinterpret_cast<sockaddr *>(&address), &size) != 0) {
        throw std::runtime_error("scripted server cannot listen");
    }
    m_port = ntohs(address.sin_port);
    m_acceptor = std::thread([this] { accept(); });
}

scripted_server::~scripted_server()
{
    end();
    m_acceptor.join();
    end(); // connections accepted meanwhile
    for (std::thread &worker : m_workers) {
        worker.join();
    }
}

void scripted_server::refuseConnections()
{
    m_refusing = true;
    ::shutdown(m_listener.get(), SHUT_RDWR);
}

void scripted_server::end()
{
    m_refusing = true;
    m_stopping = true;
    ::shutdown(m_listener.get(), SHUT_RDWR);
    const std::lock_guard lock(m_mutex);
    for (const raw_connection &connection : m_connections) {
        connection.shutdown();
    }
}

std::string scripted_server::address() const
{
    return "127.0.0.1:" + std::to_string(m_port);
}

std::vector<raw_request> scripted_server::requests() const
{
    const std::lock_guard lock(m_mutex);
    return m_requests;
}

int scripted_server::count() const
{
    const std::vector<raw_request> all = requests();
    return static_cast<int>(
        std::count_if(all.begin(), all.end(), [](const raw_request &one) { return one.target() != "/report" && one.target() != "/order"; }));
}

void scripted_server::accept()
{
    for (int number = 0; !m_stopping; ++number) {
        const int socket = ::accept4(m_listener.get(), nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            return;
        }
        const std::lock_guard lock(m_mutex);
        raw_connection &connection = m_connections.emplace_back(socket);
        m_workers.emplace_back([this, &connection, number] { serve(connection, number); });
    }
}

void scripted_server::serve(raw_connection &connection, int number)
{
    raw_request request;
    for (int index = 0; connection.read(request); ++index) {
        request.connection = number;
        request.index = index;
        {
            const std::lock_guard lock(m_mutex);
            m_requests.push_back(request);
        }
        if (!m_script(connection, request)) {
            break;
        }
    }
    connection.shutdown();
}

raw_client::raw_client(const std::string &address)
    : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const sockaddr_in peer = loopback(std::stoi(address.substr(address.rfind(':') + 1)));
    if (::connect(m_socket.get(), reinterpret_cast<const sockaddr *>(&peer), sizeof peer) != 0) {
        throw std::runtime_error("cannot connect to " + address);
    }
}

void raw_client::write(const std::string &bytes) const
{
    sendAll(m_socket.get(), bytes);
}

bool raw_client::writeUntilClosed(const std::string &bytes, int limitMs) const
{
    return sendUntilClosed(m_socket.get(), bytes, limitMs);
}

std::string raw_client::readUntil(const std::string &text, int limitMs)
{
    const auto until = clock::now() + std::chrono::milliseconds(limitMs);
    char buffer[16384];
    while (m_received.find(text) == std::string::npos && clock::now() < until) {
        if (!waitReadable(m_socket.get(), 20)) {
            continue;
        }
        const ssize_t got = ::recv(m_socket.get(), buffer, sizeof buffer, 0);
        if (got <= 0) {
            break;
        }
        m_received.append(buffer, static_cast<std::size_t>(got));
    }
    return m_received;
}

bool raw_client::closedWithin(int limitMs)
{
    const auto until = clock::now() + std::chrono::milliseconds(limitMs);
    char buffer[16384];
    while (clock::now() < until) {
        if (!waitReadable(m_socket.get(), 20)) {
            continue;
        }
        const ssize_t got = ::recv(m_socket.get(), buffer, sizeof buffer, 0);
        if (got <= 0) {
            return true;
        }
        m_received.append(buffer, static_cast<std::size_t>(got));
    }
    return false;
}

void raw_client::close()
{
    m_socket = unique_fd();
}

}
