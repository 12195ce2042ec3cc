#pragma once

#include "platform/platform.h"

namespace chestnut
{

// Callbacks of a stream_follower, called on its loop.
struct follower_handler
{
    std::function<void(const std::vector<log_entry> &)> onEntries; // new records in order, without gaps
    std::function<void(log_offset oldest)> onRecordsLost;          // the log no longer holds the records between the last one delivered and oldest
    std::function<void()> onCaughtUp;                              // all records that the log held at the time of the last read have been delivered
    std::function<void(bool reachable)> onReachable;               // the log has become reachable or unreachable
};

// Follows a stream by long polling. Reads from a fallback source while the log cannot be reached. Call on the thread of the loop only.
class stream_follower
{
public:
    stream_follower(event_loop &loop, log_service &log, std::string stream, follower_handler handler);

    void setFallback(stream_source fallback)
    {
        m_fallback = std::move(fallback);
    }
    // Starts reading after this offset, 0 = from the oldest record.
    void start(log_offset after);
    // Reports that records up to this offset exist. If they have not been delivered yet, reads them from the fallback without waiting for
    // the log.
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
    void deliverNewEntries(const read_result &read);
    void setReachable(bool reachable);

    event_loop &m_loop;
    log_service &m_log;
    std::string m_stream;
    follower_handler m_handler;
    stream_source m_fallback;
    log_offset m_position; // last record delivered
    bool m_reachable = true;
    bool m_caughtUp = false;
    bool m_pulling = false;       // a fallback read is in flight
    bool m_firstReadDone = false; // a read from the log or the fallback has succeeded
    milliseconds m_backoff{0};
};

}
