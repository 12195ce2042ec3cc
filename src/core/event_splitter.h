#pragma once

// Splits a stream of server-sent events into whole events, keeping their bytes. A server may break off in the middle of
// an event; only whole events reach a client, so that another server can go on behind the last one.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chestnut
{

class event_splitter
{
public:
    // Adds received bytes and returns those of all events that are now whole, in order.
    std::string feed(std::string_view piece);
    // Bytes of an event that has not ended.
    std::size_t pendingBytes() const
    {
        return m_pending.size();
    }
    // Drops an event that was cut off.
    void dropPending()
    {
        m_pending.clear();
    }
    std::optional<std::uint64_t> lastId() const
    {
        return m_lastId;
    }
    std::uint64_t events() const
    {
        return m_events;
    }

private:
    void noteEvent(std::string_view event);

    std::string m_pending;                 // bytes since the last whole event
    std::optional<std::uint64_t> m_lastId; // id of the newest whole event
    std::uint64_t m_events = 0;            // whole events so far
};

}
