#include "core/recovery/stage_probe.h"

namespace chestnut
{

const char *toText(probe_result result)
{
    static constexpr const char *NAMES[] = {"accepted", "refused", "unanswered"};
    return NAMES[static_cast<int>(result)];
}

std::vector<std::string> stage_probes::begin(const std::vector<std::string> &addresses, steady_time now)
{
    dropOutdated(now);
    if (now - m_second >= seconds(1)) {
        m_second = now;
        m_used = 0;
    }
    std::vector<std::string> chosen;
    for (const std::string &address : addresses) {
        if (m_used >= m_limits.perSecond) {
            break;
        }
        if (m_servers.try_emplace(address, probed_server{now}).second) {
            ++m_used;
            chosen.push_back(address);
        }
    }
    return chosen;
}

void stage_probes::noteResult(const std::string &address, probe_result result, steady_time now)
{
    m_servers[address] = {now, false, result};
}

std::vector<std::string> stage_probes::lost(const std::vector<std::string> &addresses, std::size_t alive, steady_time now) const
{
    std::vector<std::string> refused;
    std::vector<std::string> unanswered;
    for (const std::string &address : addresses) {
        const auto known = m_servers.find(address);
        if (known == m_servers.end() || known->second.inProgress || !isValid(known->second, now)) {
            continue;
        }
        alive += known->second.result == probe_result::accepted ? 1 : 0;
        if (known->second.result == probe_result::refused) {
            refused.push_back(address);
        } else if (known->second.result == probe_result::unanswered) {
            unanswered.push_back(address);
        }
    }
    if (unanswered.size() < alive) {
        refused.insert(refused.end(), unanswered.begin(), unanswered.end());
    }
    return refused;
}

probe_result stage_probes::resultOf(const std::string &address) const
{
    const auto known = m_servers.find(address);
    return known == m_servers.end() ? probe_result::accepted : known->second.result;
}

void stage_probes::dropOutdated(steady_time now)
{
    std::erase_if(m_servers, [&](const auto &entry) { return !isValid(entry.second, now); });
}

bool stage_probes::isValid(const probed_server &server, steady_time now) const
{
    const bool accepted = !server.inProgress && server.result == probe_result::accepted;
    return now - server.begun <= (accepted ? m_limits.acceptedValidity : m_limits.validity);
}

}
