#pragma once

// A value that is set once by a callback, and awaited with a timeout by a coroutine on the same thread.

#include "gateway/completion.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <memory>
#include <optional>

namespace chestnut
{

template <typename value>
class one_shot
{
public:
    one_shot(boost::asio::io_context &context, std::chrono::steady_clock::time_point until)
        : m_timer(context, until)
    {
    }
    void set(value given)
    {
        if (!m_value) {
            m_value = std::move(given);
            m_timer.cancel();
        }
    }
    // Returns the value, or nothing if the timeout has passed.
    boost::asio::awaitable<std::optional<value>> wait()
    {
        boost::system::error_code ignored; // set() ends the wait by cancelling it
        if (!m_value) {
            co_await m_timer.async_wait(into(ignored));
        }
        co_return m_value;
    }

private:
    boost::asio::steady_timer m_timer;
    std::optional<value> m_value;
};

}
