#pragma once

// Listeners for client connections and for readiness checks; they run on the traffic thread.

#include "gateway/client_session.h"

#include <boost/asio/ip/tcp.hpp>

namespace chestnut
{

class front_server
{
public:
    // Throws std::runtime_error if an address cannot be bound.
    explicit front_server(traffic_state &state);
    void start();
    // Bound address as IP:port, with the actual port if port 0 was configured.
    std::string frontAddress() const;
    std::string readyAddress() const;
    // From now on, readiness checks fail and each client connection closes after its next answer.
    void beginDrain();
    // Closes idle client connections.
    void closeIdle();
    // Accepts the connections that are waiting, closes the listener and closes idle client connections.
    void stopAccepting();
    // Ends all requests in progress; those without an answer get an error answer.
    void abortSessions();
    // Number of client connections that are open, and of those on which a request is being received or answered.
    int openSessions() const;
    int busySessions() const;

private:
    asio::awaitable<void> acceptClients();
    void startSession(asio::ip::tcp::socket socket);
    asio::awaitable<void> acceptReadinessChecks();
    asio::awaitable<void> answerReadinessChecks(asio::ip::tcp::socket socket);

    traffic_state &m_state;
    asio::ip::tcp::acceptor m_clientAcceptor;
    asio::ip::tcp::acceptor m_readinessAcceptor;
    std::vector<std::weak_ptr<client_session>> m_sessions; // may contain ended sessions, see SESSION_SWEEP_THRESHOLD
    bool m_wasReady = false;
};

}
