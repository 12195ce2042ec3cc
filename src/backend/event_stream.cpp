#include "backend/event_stream.h"

namespace chestnut
{

namespace
{

constexpr std::size_t MAX_EVENT_BYTES = 1 << 20; // limit for a line and for the data of one event

}

std::vector<std::string> event_stream_decoder::feed(std::string_view piece)
{
    std::vector<std::string> events;
    for (const char letter : piece) {
        if (m_overflowed) {
            return {};
        }
        if (letter == '\n') {
            endLine(events);
        } else if (letter != '\r') {
            m_line += letter;
            m_overflowed = m_line.size() > MAX_EVENT_BYTES;
        }
    }
    return events;
}

void event_stream_decoder::endLine(std::vector<std::string> &events)
{
    if (m_line.empty()) {
        if (m_hasData) {
            events.push_back(std::move(m_data));
        }
        m_data.clear();
        m_hasData = false;
        return;
    }
    if (m_line.starts_with("data:")) {
        const std::size_t start = m_line.size() > 5 && m_line[5] == ' ' ? 6 : 5;
        m_data += (m_hasData ? "\n" : "") + m_line.substr(start);
        m_hasData = true;
        m_overflowed = m_data.size() > MAX_EVENT_BYTES;
    }
    m_line.clear();
}

}
