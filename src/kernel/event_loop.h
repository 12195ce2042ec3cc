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

// One outgoing HTTP request.
struct http_request
{
    std::string method = "GET";        // GET, POST, PUT or DELETE
    std::string url;                   // http://IP:port/path
    std::string body;                  // sent with POST and PUT
    std::vector<std::string> headers;  // "Name: value"
    milliseconds connectTimeout{1000}; // until the connection stands
    milliseconds totalTimeout{0};      // for the whole exchange, 0 = none
    milliseconds idleTimeout{0};       // longest time without a received byte, 0 = none
    bool singleUse = false;            // fresh connection, closed afterwards: libcurl silently repeats a request on a reused connection that turns out dead
};

// How an outgoing request ended.
struct http_result
{
    int status = 0;             // HTTP status, 0 = no answer
    bool connected = false;     // the connection stood, so request bytes may have left
    bool timedOut = false;      // a timeout of the request ended it
    std::string error;          // cause if the exchange did not complete, else empty
    std::string body;           // received body, empty if onData took it
    milliseconds retryAfter{0}; // from the header Retry-After
    std::string verdictHeader;  // from the header Chestnutgw-Verdict
    std::string contentType;    // from the header Content-Type

    bool completed() const
    {
        return error.empty();
    }
    bool ok() const
    {
        return completed() && status >= 200 && status < 300;
    }
};

// Callbacks of one transfer, called on the loop's thread.
struct transfer_handler
{
    std::function<void(int status, std::string_view data)> onData; // optional: takes the body piece by piece if the status is 2xx
    std::function<void(http_result)> onDone;                       // called once, unless aborted
};

using transfer_id = std::uint64_t; // 0 = none
using timer_id = std::uint64_t;    // 0 = none

// A thread that runs posted functions, timers and HTTP transfers (libcurl's multi socket interface over epoll).
class event_loop
{
public:
    // Throws std::runtime_error if epoll or libcurl cannot be set up.
    explicit event_loop(const std::string &name);
    // Stops the thread; transfers in flight are dropped without a callback.
    ~event_loop();
    // Ends the thread; nothing posted runs any more. Any other thread.
    void stop();
    event_loop(const event_loop &) = delete;
    event_loop &operator=(const event_loop &) = delete;

    // Runs a function on the loop's thread. Any thread.
    void post(std::function<void()> task);
    // Runs a function on the loop's thread and waits for it. Any other thread.
    void run(const std::function<void()> &task);
    // Runs a function after a delay. Loop thread only.
    timer_id after(microseconds delay, std::function<void()> task);
    void cancel(timer_id timer);
    // Starts a transfer. Loop thread only.
    transfer_id start(http_request request, transfer_handler handler);
    // Drops a transfer and closes its connection; its callbacks are not called any more. Loop thread only.
    void abort(transfer_id transfer);
    // Closes idle kept-alive connections, which a middlebox may have forgotten. Loop thread only.
    void closeIdleConnections();

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

}
