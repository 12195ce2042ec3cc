#pragma once

// Detects that this process was paused, and has its configuration and servers read again before further requests are accepted. Traffic
// thread only.

#include "core/pause_guard.h"
#include "kernel/metrics.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>

namespace chestnut
{

namespace asio = boost::asio;

// Reads the configuration and the servers; reports whether that succeeded, after all changes were put in force.
using state_refresh = std::function<void(std::function<void(bool ok)> done)>;

class pause_recovery
{
public:
    pause_recovery(asio::io_context &context, metrics &counters)
        : m_context(context)
        , m_counters(counters)
    {
    }
    // Must be called before the other functions.
    void setRefresh(state_refresh refresh)
    {
        m_refresh = std::move(refresh);
    }
    // To be called periodically, several times per pause_guard::MIN_PAUSE.
    void noteRunning(steady_time now);
    // After a pause, waits until the state is confirmed. Returns false if that takes longer than a client should wait.
    asio::awaitable<bool> awaitConfirmedState();

private:
    void refresh();

    asio::io_context &m_context;
    metrics &m_counters;
    state_refresh m_refresh;
    pause_guard m_guard;
};

}
