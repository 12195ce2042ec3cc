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

// A whole answer to a caller.
struct http_response
{
    int status = 200;                                         // HTTP status
    std::string body;                                         // sent as it is
    std::string contentType = "application/json";             // header Content-Type
    std::vector<std::pair<std::string, std::string>> headers; // further headers
};

// One received request. Held by a shared pointer while it is being answered; all functions may be called on any thread.
class http_call
{
public:
    virtual ~http_call() = default;

    virtual const std::string &method() const = 0;
    virtual const std::string &path() const = 0;
    virtual const std::string &body() const = 0;
    // Empty if there is no such header or parameter.
    virtual std::string header(const std::string &name) const = 0;
    virtual std::string query(const std::string &name) const = 0;

    // Number of the caller's connection; rises with each new one.
    virtual std::uint64_t connection() const = 0;

    // Answers whole. The first answer counts, later ones are ignored.
    virtual void respond(http_response response) = 0;
    // Answers piece by piece: begin, any number of writes, finish.
    virtual void beginStream(http_response head) = 0;
    virtual void write(std::string_view data) = 0;
    virtual void finish() = 0;
    // Closes the connection without a (complete) answer.
    virtual void cut() = 0;
    // True once the caller's connection is known to be closed.
    virtual bool callerGone() const = 0;
};

using http_handler = std::function<void(std::shared_ptr<http_call>)>;

struct http_server_options
{
    std::string address = "127.0.0.1";  // IP number to listen on
    std::uint16_t port = 0;             // 0 = chosen by the system
    unsigned threads = 1;               // threads that move bytes; no thread waits for an answer
    std::size_t maxBodyBytes = 1 << 20; // a larger request body is refused with 413
    unsigned maxConnections = 4096;     // further connections are refused
};

// HTTP/1.1 server over libmicrohttpd with suspended connections.
class http_server
{
public:
    // Throws std::runtime_error if the address cannot be bound.
    http_server(const http_server_options &options, http_handler handler);
    // Closes all connections; open calls are cut.
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    std::uint16_t port() const;
    // Number of received requests that have not been answered in full.
    std::size_t openCalls() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

// Builds the JSON error body that callers get, with the headers Chestnutgw-Verdict and Retry-After (0 = left out).
http_response errorResponse(int status, std::string_view code, std::string_view message, verdict ran, milliseconds retryAfter = milliseconds(0));

}
