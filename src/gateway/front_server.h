#pragma once

// Listeners for clients and for readiness checks, on the traffic thread.

#include "gateway/caller_session.h"

#include <boost/asio/ip/tcp.hpp>

namespace chestnut
{

class front_server
{
public:
    // Throws std::runtime_error if an address cannot be bound.
    explicit front_server(traffic_state &state);
    void start();
    // IP:port in use; the port is the real one if 0 was asked for.
    std::string frontAddress() const;
    std::string readyAddress() const;
    // Readiness checks fail from now on; answers close their connections.
    void beginDrain();
    // Closes idle client connections.
    void closeIdle();

private:
    asio::awaitable<void> acceptClients();
    asio::awaitable<void> acceptChecks();
    asio::awaitable<void> answerCheck(asio::ip::tcp::socket socket);

    traffic_state &m_state;
    asio::ip::tcp::acceptor m_front;
    asio::ip::tcp::acceptor m_ready;
    std::vector<std::weak_ptr<caller_session>> m_sessions; // some may have ended
    bool m_wasReady = false;
};

}
