#pragma once

#include "platform/platform.h"

namespace chestnut
{

// What a follower tells its owner. All on the follower's loop.
struct follower_handler
{
    std::function<void(const std::vector<log_entry> &)> onEntries; // in order, without gap
    std::function<void(log_offset oldest)> onLost;                 // records between the last one and oldest are gone for good
    std::function<void()> onCaughtUp;                              // the head seen at this moment has been read
    std::function<void(bool reachable)> onReachable;               // the log can be read, or no longer
};

// Follows one stream by long polls; falls back to another source while the log is away. Loop thread only.
class stream_follower
{
public:
    stream_follower(event_loop &loop, log_service &log, std::string stream, follower_handler handler);

    void setFallback(stream_source fallback)
    {
        m_fallback = std::move(fallback);
    }
    // Begins after this offset; 0 starts at the oldest record.
    void start(log_offset after);
    // Someone has records above this offset: fetch them from the fallback now unless the log delivers first.
    void hint(log_offset known);
    log_offset position() const
    {
        return m_position;
    }
    bool reachable() const
    {
        return m_reachable;
    }
    bool caughtUp() const
    {
        return m_caughtUp;
    }

private:
    void poll();
    void handleRead(const read_result &read);
    void pullFallback();
    void take(const read_result &read);
    void setReachable(bool reachable);

    event_loop &m_loop;
    log_service &m_log;
    std::string m_stream;
    follower_handler m_handler;
    stream_source m_fallback;
    log_offset m_position; // last record handed on
    bool m_reachable = true;
    bool m_caughtUp = false;
    bool m_pulling = false; // a fallback read is in flight
    bool m_started = false; // a first answer arrived
    milliseconds m_backoff{0};
};

}
