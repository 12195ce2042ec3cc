#include "core/server_health.h"

#include <algorithm>
#include <utility>

namespace chestnut
{

namespace
{

// Exponential backoff after consecutive failures of one kind.
struct backoff_limits
{
    milliseconds first;   // after the first failure that is not tolerated; doubles with each further one
    milliseconds maximum; // upper limit
    int tolerated;        // consecutive failures without a backoff
};

// By failure_kind.
constexpr backoff_limits BACKOFFS[] = {
    {milliseconds(800), milliseconds(4000), 0},  // unreachable
    {milliseconds(1500), milliseconds(4000), 0}, // silent
    {milliseconds(300), milliseconds(2000), 1},  // broken
    {milliseconds(150), milliseconds(600), 0},   // refused
    {milliseconds(300), milliseconds(2000), 3},  // error
    {milliseconds(150), milliseconds(2400), 0},  // stage_refused: full for a moment, or down
};

constexpr int MAX_BACKOFF_DOUBLINGS = 5;
constexpr milliseconds ALIVE_GRACE{300};       // peers' reports are ignored for this long after data was received
constexpr milliseconds MAX_PEER_BACKOFF{1000}; // peers repeat their reports as long as they avoid the server

// True for failures that data from the server disproves.
bool isUnreachable(failure_kind kind)
{
    return kind == failure_kind::unreachable || kind == failure_kind::silent;
}

// Records the start of a period in which the server does not respond.
void noteFaulty(server_state &state, failure_kind kind, steady_time now)
{
    if (isUnreachable(kind) && state.faultySince == steady_time()) {
        state.faultySince = now;
    }
}

}

void server_health::noteFailure(const std::string &address, failure_kind kind, steady_time now)
{
    const backoff_limits &range = BACKOFFS[static_cast<int>(kind)];
    server_state &state = m_servers[address];
    noteFaulty(state, kind, now);
    state.lastFailure = kind;
    if (state.avoidUntil > now) { // requests that were under way fail by the same event
        state.avoidUntil = std::max(state.avoidUntil, now + range.first);
        return;
    }
    ++state.failures;
    const int beyond = state.failures - range.tolerated;
    if (beyond <= 0) {
        return;
    }
    const milliseconds backoff = std::min(range.maximum, range.first * (1 << std::min(beyond - 1, MAX_BACKOFF_DOUBLINGS)));
    state.avoidUntil = std::max(state.avoidUntil, now + backoff);
}

void server_health::noteSuccess(const std::string &address)
{
    server_state &state = m_servers[address];
    state.failures = 0;
    state.avoidUntil = {};
    state.faultySince = {};
}

void server_health::noteRestart(const std::string &address)
{
    noteSuccess(address);
    server_state &state = m_servers[address];
    state.peerAvoidUntil = {};
    state.quietUntil = {};
    state.leaving = false;
}

bool server_health::noteLeaving(const std::string &address)
{
    return !std::exchange(m_servers[address].leaving, true);
}

bool server_health::leaving(const std::string &address) const
{
    const auto found = m_servers.find(address);
    return found != m_servers.end() && found->second.leaving;
}

void server_health::noteQuietPeriod(const std::string &address, milliseconds period, steady_time now)
{
    steady_time &until = m_servers[address].quietUntil;
    until = std::max(until, now + std::min(period, MAX_QUIET_PERIOD));
}

milliseconds server_health::quietLeft(const std::string &address, steady_time now) const
{
    const auto found = m_servers.find(address);
    const bool quiet = found != m_servers.end() && found->second.quietUntil > now;
    return quiet ? std::chrono::ceil<milliseconds>(found->second.quietUntil - now) : milliseconds(0);
}

bool server_health::avoided(const std::string &address, steady_time now) const
{
    const auto found = m_servers.find(address);
    return found != m_servers.end() && (found->second.avoidUntil > now || found->second.peerAvoidUntil > now);
}

bool server_health::unresponsive(const std::string &address, steady_time now) const
{
    const auto found = m_servers.find(address);
    return found != m_servers.end() && found->second.faultySince != steady_time() && avoided(address, now);
}

void server_health::noteAlive(const std::string &address, steady_time now)
{
    server_state &state = m_servers[address];
    state.lastAlive = now;
    state.faultySince = {};
    state.peerAvoidUntil = {};
    if (isUnreachable(state.lastFailure)) {
        state.failures = 0;
        state.avoidUntil = {};
    } else if (state.lastFailure == failure_kind::stage_refused) {
        state.failures = 0;
    }
}

void server_health::notePeerAvoids(const std::string &address, failure_kind kind, milliseconds avoid, steady_time now)
{
    server_state &state = m_servers[address];
    if (now - state.lastAlive > ALIVE_GRACE) {
        state.peerAvoidUntil = now + std::min(avoid, MAX_PEER_BACKOFF);
        noteFaulty(state, kind, now);
    }
}

std::map<std::string, steady_time> server_health::faulty(steady_time now) const
{
    std::map<std::string, steady_time> found;
    for (const auto &[address, state] : m_servers) {
        if (unresponsive(address, now)) {
            found[address] = state.faultySince;
        }
    }
    return found;
}

milliseconds server_health::ownBackoff(const std::string &address, steady_time now) const
{
    const auto found = m_servers.find(address);
    const bool isAvoiding = found != m_servers.end() && found->second.avoidUntil > now;
    return isAvoiding ? std::chrono::duration_cast<milliseconds>(found->second.avoidUntil - now) : milliseconds(0);
}

const char *toText(failure_kind kind)
{
    static constexpr const char *NAMES[] = {"unreachable", "silent", "broken", "refused", "error", "stage_refused"};
    return NAMES[static_cast<int>(kind)];
}

const char *toText(process_state state)
{
    static constexpr const char *NAMES[] = {"alive", "ended", "unreachable", "silent"};
    return NAMES[static_cast<int>(state)];
}

}
