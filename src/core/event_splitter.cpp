#include "core/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace chestnut
{

namespace
{

// Returns the end of the event that begins at `from`, one past its blank line, or npos if it is not complete.
std::size_t eventEnd(std::string_view text, std::size_t from)
{
    for (std::size_t at = text.find('\n', from); at != std::string_view::npos; at = text.find('\n', at + 1)) {
        if (at + 1 < text.size() && text[at + 1] == '\n') {
            return at + 2;
        }
        if (at + 2 < text.size() && text[at + 1] == '\r' && text[at + 2] == '\n') {
            return at + 3;
        }
    }
    return std::string_view::npos;
}

}

std::string event_splitter::feed(std::string_view piece)
{
    constexpr std::size_t BLANK_LINE_BYTES = 3; // the blank line that ends an event may have begun in an earlier piece
    std::size_t from = m_pending.size() - std::min(m_pending.size(), BLANK_LINE_BYTES);
    m_pending.append(piece);
    std::size_t taken = 0;
    for (std::size_t end = eventEnd(m_pending, from); end != std::string::npos; end = eventEnd(m_pending, taken)) {
        countEvent(std::string_view(m_pending).substr(taken, end - taken));
        taken = end;
    }
    std::string whole = m_pending.substr(0, taken);
    m_pending.erase(0, taken);
    return whole;
}

void event_splitter::countEvent(std::string_view event)
{
    bool hasField = false;
    std::size_t start = 0;
    while (start < event.size()) {
        const std::size_t stop = std::min(event.find('\n', start), event.size());
        std::string_view line = event.substr(start, stop - start);
        start = stop + 1;
        hasField = hasField || !(line.empty() || line == "\r" || line.starts_with(':'));
        if (!line.starts_with("id:")) {
            continue;
        }
        line.remove_prefix(3);
        while (!line.empty() && line.front() == ' ') {
            line.remove_prefix(1);
        }
        std::uint64_t id = 0;
        const auto [end, error] = std::from_chars(line.data(), line.data() + line.size(), id);
        // An id that does not begin with a number leaves the last one in place.
        if (error == std::errc() && end != line.data()) {
            m_firstId = m_firstId.value_or(id);
            m_lastId = id;
        }
    }
    m_events += hasField ? 1 : 0;
}

}
