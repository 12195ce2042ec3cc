#pragma once

// Backend server whose behaviour on the socket is given by a script of the test, so that it can send truncated, late, extra or
// malformed responses.

#include "kernel/scope.h"

#include <atomic>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace chestnut::test
{

// Request as received from the socket.
struct raw_request
{
    std::string head; // request line and headers
    std::string body;
    int connection = 0; // index of the connection, from 0
    int index = 0;      // index of the request on its connection, from 0

    // Value of a header, empty if it is missing.
    std::string header(const std::string &name) const;
    std::string target() const;
};

// Accepted connection, served on its own thread.
class raw_connection
{
public:
    explicit raw_connection(int socket);
    // Returns false if the peer has closed the connection.
    bool read(raw_request &request);
    void write(const std::string &bytes) const;
    // Writes the bytes again and again until the peer closes the connection. Returns false if it has not after `limitMs`.
    bool writeUntilClosed(const std::string &bytes, int limitMs) const;
    // Closes the connection with a TCP reset.
    void reset();
    // Waits until the peer closes the connection. Returns false if it does not within the limit.
    bool waitForClose(int limitMs) const;
    void shutdown() const;

private:
    unique_fd m_socket;
    std::string m_buffer;
};

using server_script = std::function<bool(raw_connection &, const raw_request &)>; // returns false to close the connection

class scripted_server
{
public:
    explicit scripted_server(server_script script);
    ~scripted_server();
    scripted_server(const scripted_server &) = delete;
    scripted_server &operator=(const scripted_server &) = delete;

    std::string address() const;
    // Refuses new connections from now on; open ones stay. May be called by its script.
    void refuseConnections();
    bool refuses() const
    {
        return m_refusing;
    }
    // Ends the server as if its process had: its connections are closed and new ones refused. May be called by its script.
    void end();
    bool ended() const
    {
        return m_stopping;
    }
    std::vector<raw_request> requests() const;
    // Number of requests, without those to /report and /order.
    int count() const;

private:
    void accept();
    void serve(raw_connection &connection, int number);

    server_script m_script;
    unique_fd m_listener;
    int m_port = 0;
    std::atomic<bool> m_refusing = false; // new connections
    std::atomic<bool> m_stopping = false;
    mutable std::mutex m_mutex; // guards m_requests, m_connections and m_workers
    std::vector<raw_request> m_requests;
    std::list<raw_connection> m_connections;
    std::vector<std::thread> m_workers;
    std::thread m_acceptor;
};

// Client connection that sends and receives raw bytes.
class raw_client
{
public:
    explicit raw_client(const std::string &address);
    void write(const std::string &bytes) const;
    // Writes the bytes again and again until the peer closes the connection. Returns false if it has not after `limitMs`.
    bool writeUntilClosed(const std::string &bytes, int limitMs) const;
    // Reads until the text is received, the peer closes the connection or the limit passes. Returns all bytes received so far.
    std::string readUntil(const std::string &text, int limitMs = 5000);
    // Returns true if the peer closes the connection within the limit.
    bool closedWithin(int limitMs);
    void close();

private:
    unique_fd m_socket;
    std::string m_received;
};

}
