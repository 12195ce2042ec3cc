#include "wire.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <charconv>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>

namespace chestnut::soak
{

namespace
{

constexpr int LISTEN_BACKLOG = 256;

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char letter) { return std::tolower(letter); });
    return text;
}

}

const char *toText(read_end end)
{
    static constexpr const char *NAMES[] = {"complete", "closed", "reset", "timed out", "left", "malformed"};
    return NAMES[static_cast<int>(end)];
}

std::string http_message::header(const std::string &name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
}

int http_message::status() const
{
    return start.starts_with("HTTP/1.1 ") && start.size() >= 12 ? std::atoi(start.c_str() + 9) : 0;
}

std::string http_message::target() const
{
    const std::size_t first = start.find(' ') + 1;
    return start.substr(first, start.find(' ', first) - first);
}

wire_socket::wire_socket(unique_fd socket)
    : m_socket(std::move(socket))
{
    const int on = 1;
    ::setsockopt(m_socket.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

wire_socket wire_socket::connect(const std::string &address)
{
    unique_fd socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const sockaddr_in to = loopback(std::atoi(address.c_str() + address.find(':') + 1));
    if (::connect(socket.get(), reinterpret_cast<const sockaddr *>(&to), sizeof to) != 0) {
        return wire_socket(unique_fd());
    }
    return wire_socket(std::move(socket));
}

bool wire_socket::connected() const
{
    return m_socket.get() >= 0;
}

bool wire_socket::send(const std::string &bytes) const
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(m_socket.get(), bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

read_end wire_socket::receive(const read_limits &limits)
{
    const steady_time now = std::chrono::steady_clock::now();
    const auto left = limits.until == steady_time::max() ? limits.gap : std::min(limits.gap, std::chrono::ceil<milliseconds>(limits.until - now));
    pollfd entry{m_socket.get(), POLLIN, 0};
    if (left.count() <= 0 || ::poll(&entry, 1, static_cast<int>(left.count())) <= 0) {
        return read_end::timed_out;
    }
    char bytes[16384];
    const ssize_t count = ::recv(m_socket.get(), bytes, sizeof bytes, 0);
    if (count <= 0) {
        return count == 0 ? read_end::closed : read_end::reset;
    }
    m_buffer.append(bytes, static_cast<std::size_t>(count));
    return read_end::complete;
}

read_end wire_socket::readLine(std::string &line, const read_limits &limits)
{
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n")) == std::string::npos) {
        if (const read_end received = receive(limits); received != read_end::complete) {
            return received;
        }
    }
    line = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 2);
    return read_end::complete;
}

read_end wire_socket::readBytes(http_message &message, std::size_t count, const read_limits &limits)
{
    while (count > 0) {
        if (m_buffer.empty()) {
            if (const read_end received = receive(limits); received != read_end::complete) {
                return received;
            }
        }
        const std::size_t taken = std::min(count, m_buffer.size());
        message.body.append(m_buffer, 0, taken);
        m_buffer.erase(0, taken);
        count -= taken;
        if (limits.onData && !limits.onData(message)) {
            return read_end::left;
        }
    }
    return read_end::complete;
}

read_end wire_socket::readChunks(http_message &message, const read_limits &limits)
{
    while (true) {
        std::string line;
        if (const read_end end = readLine(line, limits); end != read_end::complete) {
            return end;
        }
        std::size_t size = 0;
        const auto parsed = std::from_chars(line.data(), line.data() + line.size(), size, 16);
        if (parsed.ec != std::errc()) {
            return read_end::malformed;
        }
        if (const read_end end = readBytes(message, size, limits); end != read_end::complete) {
            return end;
        }
        if (const read_end end = readLine(line, limits); end != read_end::complete || size == 0) {
            return end;
        }
    }
}

read_end wire_socket::read(http_message &message, bool answer, const read_limits &limits)
{
    std::string line;
    read_end end = readLine(message.start, limits);
    message.begun = end == read_end::complete || !m_buffer.empty();
    if (end == read_end::complete && answer && message.status() == 0) {
        return read_end::malformed;
    }
    while (end == read_end::complete && (end = readLine(line, limits)) == read_end::complete && !line.empty()) {
        const std::size_t colon = std::min(line.find(':'), line.size());
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        message.headers[lowerCase(line.substr(0, colon))] = value == std::string::npos ? "" : line.substr(value);
    }
    if (end != read_end::complete) {
        return end;
    }
    if (!message.header("transfer-encoding").empty()) {
        return readChunks(message, limits);
    }
    const std::string length = message.header("content-length");
    if (!length.empty() || !answer) {
        return readBytes(message, length.empty() ? 0 : std::stoul(length), limits);
    }
    while ((end = readBytes(message, 1, limits)) == read_end::complete) { }
    return end == read_end::closed ? read_end::complete : end;
}

bool wire_socket::closedWithin(milliseconds limit)
{
    pollfd entry{m_socket.get(), POLLIN | POLLRDHUP, 0};
    if (::poll(&entry, 1, static_cast<int>(limit.count())) <= 0) {
        return false;
    }
    char byte = 0;
    return (entry.revents & (POLLERR | POLLHUP | POLLRDHUP)) != 0 || ::recv(m_socket.get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void wire_socket::interrupt() const
{
    ::shutdown(m_socket.get(), SHUT_RD);
}

void wire_socket::close()
{
    const unique_fd closing(std::move(m_socket));
}

void wire_socket::resetOnClose() const
{
    const linger now{1, 0};
    ::setsockopt(m_socket.get(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

unique_fd listenOn(int &port)
{
    unique_fd listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int on = 1;
    ::setsockopt(listener.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = loopback(port);
    socklen_t length = sizeof address;
    if (::bind(listener.get(), reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 || ::listen(listener.get(), LISTEN_BACKLOG) != 0) {
        throw std::runtime_error("cannot listen on port " + std::to_string(port));
    }
    ::getsockname(listener.get(), reinterpret_cast<sockaddr *>(&address), &length);
    port = ntohs(address.sin_port);
    return listener;
}

std::string chunk(const std::string &bytes)
{
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

}
