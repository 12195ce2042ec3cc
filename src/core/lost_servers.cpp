#include "core/lost_servers.h"

namespace chestnut
{

void lost_servers::setFaulty(std::map<std::string, steady_time> faultySince)
{
    std::erase_if(m_faulty, [&](const auto &entry) {
        const auto still = faultySince.find(entry.first);
        return still == faultySince.end() || still->second != entry.second.since;
    });
    for (const auto &[address, since] : faultySince) {
        m_faulty.try_emplace(address, faulty_server{since, {}, false});
    }
}

std::vector<std::string> lost_servers::takeDueChecks(steady_time now)
{
    std::vector<std::string> due;
    for (auto &[address, server] : m_faulty) {
        if (now >= server.nextAsk && now - server.since < SILENCE_LIMIT) {
            server.nextAsk = now + CHECK_INTERVAL;
            due.push_back(address);
        }
    }
    return due;
}

void lost_servers::noteState(const std::string &address, process_state state)
{
    const auto found = m_faulty.find(address);
    if (found != m_faulty.end()) {
        found->second.gone = state == process_state::ended || state == process_state::unreachable;
    }
}

bool lost_servers::isLost(const std::string &address, steady_time now) const
{
    const auto found = m_faulty.find(address);
    if (found == m_faulty.end()) {
        return false;
    }
    return now - found->second.since >= (found->second.gone ? GONE_TIMEOUT : SILENCE_LIMIT);
}

}
