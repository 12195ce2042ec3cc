#pragma once

// A backend server that does on its sockets exactly what a test says: cut, late, extra or spoilt answers included.

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

// A request as it came over the socket.
struct raw_request
{
    std::string head; // request line and headers
    std::string body;
    int connection = 0; // number of the connection, from 0
    int index = 0;      // number of the request on its connection, from 0

    // Value of a header, empty if there is none.
    std::string header(const std::string &name) const;
    std::string target() const;
};

// One accepted connection, used on its own thread.
class raw_connection
{
public:
    explicit raw_connection(int socket);
    // False once the peer has closed.
    bool read(raw_request &request);
    void write(const std::string &bytes) const;
    // Ends the connection at once, with a reset.
    void reset();
    // Waits until the peer closes; false after the limit.
    bool waitForClose(int limitMs) const;
    void shutdown() const;

private:
    unique_fd m_socket;
    std::string m_buffer;
};

using server_script = std::function<bool(raw_connection &, const raw_request &)>; // false = close the connection

class scripted_server
{
public:
    explicit scripted_server(server_script script);
    ~scripted_server();
    scripted_server(const scripted_server &) = delete;
    scripted_server &operator=(const scripted_server &) = delete;

    std::string address() const;
    std::vector<raw_request> requests() const;
    // Requests but those for health and state.
    int count() const;

private:
    void accept();
    void serve(raw_connection &connection, int number);

    server_script m_script;
    unique_fd m_listener;
    int m_port = 0;
    std::atomic<bool> m_stopping = false;
    mutable std::mutex m_mutex; // guards all below
    std::vector<raw_request> m_requests;
    std::list<raw_connection> m_connections;
    std::vector<std::thread> m_workers;
    std::thread m_acceptor;
};

// A client's connection: sends raw bytes and reads what comes.
class raw_client
{
public:
    explicit raw_client(const std::string &address);
    void write(const std::string &bytes) const;
    // Reads until the text has come, the peer closes or the limit passes; returns all bytes so far.
    std::string readUntil(const std::string &text, int limitMs = 5000);
    // True if the peer closes the connection within the limit.
    bool closedWithin(int limitMs);
    void close();

private:
    unique_fd m_socket;
    std::string m_received;
};

}
