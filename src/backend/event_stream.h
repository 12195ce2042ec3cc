#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace chestnut
{

// Decodes server-sent events that arrive in arbitrary pieces.
class event_stream_decoder
{
public:
    // Returns the data of the events completed by this piece.
    std::vector<std::string> feed(std::string_view piece);
    // True once a line or an event has exceeded the size limit; later input is ignored.
    bool overflowed() const
    {
        return m_overflowed;
    }

private:
    void endLine(std::vector<std::string> &events);

    std::string m_line;
    std::string m_data;
    bool m_hasData = false;
    bool m_overflowed = false;
};

}
