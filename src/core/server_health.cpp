#include "core/server_health.h"

#include <algorithm>

namespace chestnut
{

namespace
{

struct pause_range
{
    milliseconds first; // after the first failure; doubles with each further one
    milliseconds longest;
    int tolerated; // failures in a row without a pause
};

constexpr pause_range PAUSES[] = {
    {milliseconds(800), milliseconds(4000), 0},  // unreachable
    {milliseconds(1500), milliseconds(4000), 0}, // silent
    {milliseconds(300), milliseconds(2000), 1},  // broken
    {milliseconds(150), milliseconds(600), 0},   // refused
    {milliseconds(300), milliseconds(2000), 3},  // error
};

constexpr int MOST_DOUBLINGS = 5;

}

void server_health::noteFailure(const std::string &address, failure_kind kind, steady_time now)
{
    const pause_range &range = PAUSES[static_cast<int>(kind)];
    server_state &state = m_servers[address];
    ++state.failures;
    const int beyond = state.failures - range.tolerated;
    if (beyond <= 0) {
        return;
    }
    const milliseconds pause = std::min(range.longest, range.first * (1 << std::min(beyond - 1, MOST_DOUBLINGS)));
    state.avoidUntil = std::max(state.avoidUntil, now + pause);
}

void server_health::noteSuccess(const std::string &address)
{
    server_state &state = m_servers[address];
    state.failures = 0;
    state.avoidUntil = {};
}

bool server_health::avoided(const std::string &address, steady_time now) const
{
    const auto found = m_servers.find(address);
    return found != m_servers.end() && found->second.avoidUntil > now;
}

const char *toText(failure_kind kind)
{
    static constexpr const char *NAMES[] = {"unreachable", "silent", "broken", "refused", "error"};
    return NAMES[static_cast<int>(kind)];
}

}
