#pragma once

#include "gateway_deployment.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>

namespace chestnut::test
{

// Backend server with a small receive buffer that serves one request and reads nothing for the first `delayMs`.
class late_reader
{
public:
    explicit late_reader(int delayMs)
        : m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const int bytes = 32 * 1024;
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        REQUIRE(::setsockopt(m_listener.get(), SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes) == 0);
        REQUIRE(::bind(m_listener.get(), reinterpret_cast<const sockaddr *>(&address), size) == 0);
        REQUIRE(::listen(m_listener.get(), 4) == 0);
        REQUIRE(::getsockname(m_listener.get(), reinterpret_cast<sockaddr *>(&address), &size) == 0);
        m_port = ntohs(address.sin_port);
        m_worker = std::thread([this, delayMs] { serve(delayMs); });
    }
    ~late_reader()
    {
        ::shutdown(m_listener.get(), SHUT_RDWR);
        m_worker.join();
    }
    late_reader(const late_reader &) = delete;
    late_reader &operator=(const late_reader &) = delete;
    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_port);
    }
    std::size_t received() const
    {
        return m_received;
    }

private:
    void serve(int delayMs)
    {
        const unique_fd socket(::accept4(m_listener.get(), nullptr, nullptr, SOCK_CLOEXEC));
        if (socket.get() < 0) {
            return;
        }
        ::poll(nullptr, 0, delayMs);
        char buffer[16384];
        std::string head;
        std::size_t whole = 0;
        while (whole == 0 || m_received < whole) {
            const ssize_t got = ::recv(socket.get(), buffer, sizeof buffer, 0);
            if (got <= 0) {
                return;
            }
            m_received += static_cast<std::size_t>(got);
            if (whole == 0) {
                head.append(buffer, static_cast<std::size_t>(got));
                const std::size_t end = head.find("\r\n\r\n");
                const std::size_t length = head.find("Content-Length: ");
                whole = end == std::string::npos ? 0 : end + 4 + std::stoul(head.substr(length + 16));
            }
        }
        const std::string wholeAnswer = "HTTP/1.1 200 OK\r\n" + SIGNATURE + "Connection: close\r\nContent-Length: 2\r\n\r\nok";
        (void)::send(socket.get(), wholeAnswer.data(), wholeAnswer.size(), MSG_NOSIGNAL);
    }

    unique_fd m_listener;
    int m_port = 0;
    std::atomic<std::size_t> m_received = 0;
    std::thread m_worker;
};

}
