#include "gateway/pause_recovery.h"

#include "gateway/completion.h"
#include "kernel/log.h"

#include <boost/asio/steady_timer.hpp>

namespace chestnut
{

namespace
{

constexpr milliseconds MAX_HOLD{500};      // a request waits at most this long for a confirmation
constexpr milliseconds CHECK_INTERVAL{5};  // between two checks of a request that waits
constexpr milliseconds REFRESH_RETRY{100}; // after a refresh that failed

}

void pause_recovery::noteRunning(steady_time now)
{
    const milliseconds pause = m_guard.noteRunning(now);
    if (pause.count() == 0) {
        return;
    }
    m_counters.count("process_pauses");
    logLine(log_level::warning, "process_paused", {{"ms", std::to_string(pause.count())}});
    refresh();
}

void pause_recovery::refresh()
{
    const steady_time began = std::chrono::steady_clock::now();
    m_refresh([this, began](bool ok) {
        if (ok) {
            m_guard.confirm(began);
        }
        if (m_guard.confirmed(std::chrono::steady_clock::now())) {
            return;
        }
        const auto timer = std::make_shared<asio::steady_timer>(m_context, REFRESH_RETRY);
        timer->async_wait([this, timer](boost::system::error_code error) {
            if (!error) {
                refresh();
            }
        });
    });
}

asio::awaitable<bool> pause_recovery::awaitConfirmedState()
{
    steady_time now = std::chrono::steady_clock::now();
    noteRunning(now);
    const steady_time until = now + MAX_HOLD;
    asio::steady_timer timer(m_context);
    while (!m_guard.confirmed(now) && now < until) {
        timer.expires_after(CHECK_INTERVAL);
        boost::system::error_code ignored; // the timer is never cancelled
        co_await timer.async_wait(into(ignored));
        now = std::chrono::steady_clock::now();
    }
    co_return m_guard.confirmed(now);
}

}
