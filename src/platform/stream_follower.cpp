#include "platform/stream_follower.h"

#include <algorithm>

namespace chestnut
{

namespace
{

constexpr milliseconds POLL_WAIT{2000}; // how long a read waits for new records once the follower has caught up
constexpr milliseconds MIN_BACKOFF{50};
constexpr milliseconds MAX_BACKOFF{800};
constexpr int READ_LIMIT = 2000; // maximum number of records per read

}

stream_follower::stream_follower(event_loop &loop, log_service &log, std::string stream, follower_handler handler)
    : m_loop(loop)
    , m_log(log)
    , m_stream(std::move(stream))
    , m_handler(std::move(handler))
{
}

void stream_follower::start(log_offset after)
{
    m_position = after;
    poll();
}

void stream_follower::hint(log_offset known)
{
    if (known > m_position) {
        pullFallback();
    }
}

void stream_follower::poll()
{
    const log_offset from{m_position.value == 0 && !m_firstReadDone ? 0 : m_position.value + 1};
    const milliseconds wait = m_caughtUp ? POLL_WAIT : milliseconds(0);
    m_log.read(m_stream, from, READ_LIMIT, wait, [this](const read_result &read) { handleRead(read); });
}

void stream_follower::handleRead(const read_result &read)
{
    if (!read.ok) {
        setReachable(false);
        pullFallback();
        m_backoff = std::clamp(m_backoff * 2, MIN_BACKOFF, MAX_BACKOFF);
        m_loop.after(m_backoff, [this] { poll(); });
        return;
    }
    m_backoff = milliseconds(0);
    setReachable(true);
    deliverNewEntries(read);
    if (m_position.value + 1 >= read.next.value && !m_caughtUp) {
        m_caughtUp = true;
        m_handler.onCaughtUp();
    }
    poll();
}

void stream_follower::pullFallback()
{
    if (!m_fallback || m_pulling) {
        return;
    }
    m_pulling = true;
    m_fallback(m_stream, log_offset{m_position.value + 1}, [this](const read_result &read) {
        m_pulling = false;
        if (read.ok) {
            deliverNewEntries(read);
        }
    });
}

void stream_follower::deliverNewEntries(const read_result &read)
{
    const bool first = !m_firstReadDone;
    m_firstReadDone = true;
    if (read.oldest.value > m_position.value + 1) {
        if (!first || m_position.value != 0) {
            m_caughtUp = false;
            m_handler.onRecordsLost(read.oldest);
        }
        m_position = log_offset{read.oldest.value - 1};
    }
    std::vector<log_entry> fresh;
    for (const log_entry &entry : read.entries) {
        if (entry.offset > m_position) {
            m_position = entry.offset;
            fresh.push_back(entry);
        }
    }
    if (!fresh.empty()) {
        m_handler.onEntries(fresh);
    }
}

void stream_follower::setReachable(bool reachable)
{
    if (reachable != m_reachable) {
        m_reachable = reachable;
        m_handler.onReachable(reachable);
    }
}

}
