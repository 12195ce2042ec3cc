#include "core/lost_servers.h"

namespace chestnut
{

void lost_servers::setFaulty(const std::map<std::string, steady_time> &faultySince)
{
    for (auto &[address, server] : m_servers) {
        server.faulty = false;
    }
    for (const auto &[address, since] : faultySince) {
        faulty_server &server = m_servers[address];
        if (server.since != since) {
            server = {since, {}, false, true};
        }
        server.faulty = true;
    }
}

std::vector<std::string> lost_servers::takeDueChecks(steady_time now)
{
    std::erase_if(m_servers, [now](const auto &entry) { return !entry.second.faulty && now - entry.second.since > MEMORY; });
    std::vector<std::string> due;
    for (auto &[address, server] : m_servers) {
        if (server.faulty && now >= server.nextAsk && now - server.since < SILENCE_LIMIT) {
            server.nextAsk = now + CHECK_INTERVAL;
            due.push_back(address);
        }
    }
    return due;
}

void lost_servers::noteState(const std::string &address, process_state state)
{
    const auto found = m_servers.find(address);
    if (found != m_servers.end()) {
        found->second.gone = state == process_state::ended || state == process_state::unreachable;
    }
}

bool lost_servers::isLost(const std::string &address, steady_time now) const
{
    const auto found = m_servers.find(address);
    if (found == m_servers.end() || !found->second.faulty) {
        return false;
    }
    return now - found->second.since >= (found->second.gone ? GONE_TIMEOUT : SILENCE_LIMIT);
}

}
