#pragma once

#include "kernel/ids.h"
#include "kernel/verdict.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace chestnut
{

// Response to a client: complete, or the head of a stream (status and headers).
struct http_response
{
    int status = 200;                                         // HTTP status
    std::string body;                                         // sent unchanged; ignored by beginStream
    std::string contentType = "application/json";             // value of the header Content-Type
    std::vector<std::pair<std::string, std::string>> headers; // additional headers
};

// A received request. Owned by shared pointers while it is being answered. All functions may be called on any thread.
class http_call
{
public:
    virtual ~http_call() = default;

    virtual const std::string &method() const = 0;
    virtual const std::string &path() const = 0;
    virtual const std::string &body() const = 0;
    // Value of a header or query parameter, empty if it is missing. Names are given in lower case.
    virtual std::string header(const std::string &name) const = 0;
    virtual std::string query(const std::string &name) const = 0;

    // Number of the client connection. Increases with every new connection.
    virtual std::uint64_t connection() const = 0;

    // Charges bytes that the handler holds for this call, such as copies of the body, to the memory limit of the server. Returns false and
    // charges nothing if they exceed it. Charged until the response is complete, or to the end of the call.
    virtual bool reserve(std::size_t bytes) = 0;

    // Sends a complete response. If the memory limit has no space for it, a short error with status 503 and the same verdict takes its place.
    // Only the first response of a call is sent; later ones are ignored.
    virtual void respond(http_response response) = 0;
    // Sends a response in pieces: beginStream, any number of writes, finish. Closes the connection if the client leaves more unread than
    // the limits allow.
    virtual void beginStream(http_response head) = 0;
    virtual void write(std::string_view data) = 0;
    virtual void finish() = 0;
    // Closes the connection without a response, or in the middle of one.
    virtual void cut() = 0;
    // True once the connection of the client is known to be closed or about to be.
    virtual bool clientDisconnected() const = 0;
};

using http_handler = std::function<void(std::shared_ptr<http_call>)>;

struct http_server_options
{
    std::string address = "127.0.0.1";  // IPv4 address to listen on
    std::uint16_t port = 0;             // 0 = any free port
    unsigned threads = 1;               // I/O threads; a call that waits for its response does not block one
    std::size_t maxBodyBytes = 1 << 20; // larger request bodies are rejected with status 413
    unsigned maxConnections = 4096;     // at this number the longest idle connection is closed for a new one
    std::size_t memoryBytes = 0;        // limit on what all exchanges hold together: bodies, responses, reserve(); 0 = none
    std::size_t maxUnreadBytes = 0;     // limit on what a client may leave unread of a streamed response, 0 = none
    seconds idleTimeout{0};             // connections without traffic are closed, unless a response is awaited; 0 = none
    milliseconds receiveLimit{0};       // connections whose request body takes longer to arrive are closed, 0 = none
    // Called with the reason, on any thread, whenever a limit ends or rejects something: body_too_large, memory, connections, receive_time
    // or unread_response.
    std::function<void(std::string_view)> onLimit;
};

// What the clients of a server hold now.
struct http_server_usage
{
    std::size_t connections = 0;
    std::size_t memoryBytes = 0; // charged to the memory limit
};

// HTTP/1.1 server based on libmicrohttpd. Connections are suspended until their response is ready.
class http_server
{
public:
    // Calls the handler for each received request on an I/O thread. Throws std::runtime_error if the address cannot be bound.
    http_server(const http_server_options &options, http_handler handler);
    // Closes all connections, also those of calls without a complete response.
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    // Port that the server listens on, also if the system chose it.
    std::uint16_t port() const;
    // Number of received requests without a complete response.
    std::size_t openCalls() const;
    http_server_usage usage() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

// Builds an error response for clients: a JSON body and the headers Chestnutgw-Verdict and Retry-After (left out if retryAfter is 0,
// else rounded up to whole seconds).
http_response errorResponse(int status, std::string_view code, std::string_view message, verdict outcome, milliseconds retryAfter = milliseconds(0));

}
