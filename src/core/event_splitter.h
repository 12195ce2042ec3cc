#pragma once

// Splits a byte stream of server-sent events at event boundaries without changing its bytes. A server may break off in the
// middle of an event. The client must receive whole events only, so that another server can resume after the last one.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chestnut
{

// Lines end with LF or CRLF; a blank line ends an event.
class event_splitter
{
public:
    // Appends received bytes and returns the bytes of all events, and comments between them, that are now complete, in order.
    std::string feed(std::string_view piece);
    // Number of bytes of the incomplete event at the end; not limited here.
    std::size_t pendingBytes() const
    {
        return m_pending.size();
    }
    // Memory that is in use for it.
    std::size_t pendingCapacity() const
    {
        return m_pending.capacity();
    }
    // Discards the incomplete event, for example after its connection was lost.
    void dropPending()
    {
        m_pending.clear();
    }
    // Numeric id of the newest complete event that has one.
    std::optional<std::uint64_t> lastId() const
    {
        return m_lastId;
    }
    // The same of the oldest complete event that has one.
    std::optional<std::uint64_t> firstId() const
    {
        return m_firstId;
    }
    // Number of complete events, without comments.
    std::uint64_t events() const
    {
        return m_events;
    }

private:
    // Counts an event, unless it is a comment, and reads its id.
    void countEvent(std::string_view event);

    std::string m_pending; // bytes after the last complete event
    std::optional<std::uint64_t> m_firstId;
    std::optional<std::uint64_t> m_lastId;
    std::uint64_t m_events = 0;
};

}
