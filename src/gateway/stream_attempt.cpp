#include "gateway/stream_attempt.h"

#include "gateway/completion.h"

#include <algorithm>

namespace chestnut
{

namespace
{

constexpr milliseconds FIRST_EVENT_TIMEOUT{350}; // without data before the first event: starts an inquiry
constexpr milliseconds NEXT_EVENT_TIMEOUT{150};  // without data between two events: starts an inquiry

}

bool stream_attempt::usesStage(const std::string &address) const
{
    return std::any_of(path.begin(), path.end(), [&](const path_stage &stage) { return stage.address == address; });
}

milliseconds stream_attempt::stallTimeout() const
{
    return (splitter.events() == 0 ? FIRST_EVENT_TIMEOUT : NEXT_EVENT_TIMEOUT) * (1 + emptyInquiries);
}

asio::awaitable<void> stream_attempt::waitUntilOpened()
{
    boost::system::error_code ignored; // setOpening() ends the wait by cancelling it
    while (opening == opening_state::pending) {
        co_await opened.async_wait(into(ignored));
    }
}

void stream_attempt::setOpening(opening_state state)
{
    opening = state;
    opened.cancel();
}

}
