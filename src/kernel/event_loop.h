#pragma once

#include "kernel/ids.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace chestnut
{

// An outgoing HTTP request.
struct http_request
{
    std::string method = "GET";        // GET, POST, PUT or DELETE
    std::string url;                   // http://IP:port/path
    std::string body;                  // sent with POST and PUT
    std::vector<std::string> headers;  // "Name: value"
    std::string reportedHeader;        // name of a header of the answer whose values the result holds, empty = none
    milliseconds connectTimeout{1000}; // for establishing the connection
    milliseconds totalTimeout{0};      // for the whole exchange including the connect, 0 = no limit
    milliseconds idleTimeout{0};       // maximum time without a received byte, 0 = no limit
    // The transfer fails if the answer has a longer body. Does not limit what is passed to onData.
    std::size_t maxBodyBytes = std::size_t(16) << 20;
    // Uses a new connection and closes it afterwards. On a reused connection that turns out to be closed, libcurl would resend the
    // request on its own.
    bool singleUse = false;
};

// Result of an outgoing request.
struct http_result
{
    int status = 0;                          // HTTP status of the final response, 0 = none: its head is incomplete, or its status invalid
    bool responded = false;                  // bytes of a response were received, usable or not
    bool connected = false;                  // the connection was established, so bytes of the request may have been sent
    bool timedOut = false;                   // one of the timeouts of the request expired
    std::string error;                       // why the exchange did not complete, else empty
    std::string body;                        // received body, empty if it was passed to onData
    milliseconds retryAfter{0};              // from the header Retry-After
    std::string verdictHeader;               // from the header Chestnutgw-Verdict
    std::string contentType;                 // from the header Content-Type
    std::vector<std::string> reportedValues; // of the request's reportedHeader, one for each time it occurs

    bool completed() const
    {
        return error.empty();
    }
    bool ok() const
    {
        return completed() && status >= 200 && status < 300;
    }
};

// Callbacks of one transfer, called on the thread of the loop.
struct transfer_handler
{
    std::function<void(int status, std::string_view data)> onData; // optional: receives the body in pieces if the status is 2xx
    std::function<void(http_result)> onDone;                       // called once, unless the transfer is aborted
    // Optional: asked before the body of the result takes so many more bytes of memory. The transfer fails if it returns false.
    std::function<bool(std::size_t bytes)> mayGrow = {};
};

using transfer_id = std::uint64_t; // 0 = none
using timer_id = std::uint64_t;    // 0 = none

// Thread that runs posted functions, timers and HTTP transfers (multi socket interface of libcurl on epoll).
class event_loop
{
public:
    // Starts the thread; its name is truncated to 15 bytes. Throws std::runtime_error if epoll, eventfd or libcurl cannot be set up.
    explicit event_loop(const std::string &name);
    // Stops the thread. Transfers in flight are dropped without a callback.
    ~event_loop();
    // Stops and joins the thread; functions posted later never run. Call from any thread except that of the loop.
    void stop();
    event_loop(const event_loop &) = delete;
    event_loop &operator=(const event_loop &) = delete;

    // Queues a function for the thread of the loop. Call from any thread.
    void post(std::function<void()> task);
    // Runs a function on the thread of the loop and waits until it returns. Call from any thread except that of the loop.
    void run(const std::function<void()> &task);
    // Runs a function once after a delay. Call on the thread of the loop only.
    timer_id after(microseconds delay, std::function<void()> task);
    // Ignores a timer that has run or is unknown. Call on the thread of the loop only.
    void cancel(timer_id timer);
    // Starts a transfer. Call on the thread of the loop only.
    transfer_id start(http_request request, transfer_handler handler);
    // Aborts a transfer and closes its connection; its callbacks are not called any more. Call on the thread of the loop only.
    void abort(transfer_id transfer);
    // Closes idle keep-alive connections, which a middlebox may have dropped from its connection table. Call on the thread of the loop only.
    void closeIdleConnections();

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

}
