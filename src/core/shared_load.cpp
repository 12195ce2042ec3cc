#include "core/shared_load.h"

#include <algorithm>

namespace chestnut
{

namespace
{

constexpr milliseconds REPORT_LIFE{1500}; // older reports count for nothing
constexpr double BELIEVED_SHARE = 0.34;   // a peer that avoids more of the fleet has lost its own path

bool isFresh(const peer_report &report, steady_time now)
{
    return now - report.received <= REPORT_LIFE;
}

}

void shared_load::take(peer_report report)
{
    believed_report &known = m_reports[report.instance];
    if (known.report.incarnation > report.incarnation) {
        return;
    }
    known.byAddress.clear();
    for (const server_load &load : report.loads) {
        known.byAddress[load.address] = load;
    }
    known.report = std::move(report);
}

double shared_load::tokens(const std::string &address, steady_time now) const
{
    double sum = 0;
    for (const auto &[instance, known] : m_reports) {
        const auto load = known.byAddress.find(address);
        sum += load != known.byAddress.end() && isFresh(known.report, now) ? load->second.tokens : 0;
    }
    return sum;
}

int shared_load::running(const std::string &address, steady_time now) const
{
    int sum = 0;
    for (const auto &[instance, known] : m_reports) {
        const auto load = known.byAddress.find(address);
        sum += load != known.byAddress.end() && isFresh(known.report, now) ? load->second.running : 0;
    }
    return sum;
}

std::vector<server_load> shared_load::avoided(int fleetSize, steady_time now) const
{
    std::vector<server_load> found;
    for (const auto &[instance, known] : m_reports) {
        if (!isFresh(known.report, now)) {
            continue;
        }
        const auto isAvoided = [](const server_load &load) { return load.avoid.count() > 0; };
        const auto count = std::count_if(known.report.loads.begin(), known.report.loads.end(), isAvoided);
        if (static_cast<double>(count) > BELIEVED_SHARE * fleetSize) {
            continue;
        }
        std::copy_if(known.report.loads.begin(), known.report.loads.end(), std::back_inserter(found), isAvoided);
    }
    return found;
}

peer_readiness shared_load::readiness(steady_time now) const
{
    peer_readiness result;
    for (const auto &[instance, known] : m_reports) {
        const peer_report &report = known.report;
        if (report.stopping.count() == 0) {
            result.ready += isFresh(report, now) ? 1 : 0;
            continue;
        }
        const auto left = std::chrono::ceil<milliseconds>(report.received + report.stopping - now);
        if (left.count() <= 0) {
            continue; // it has ended
        }
        ++result.stopping;
        result.firstEnd = std::min(result.firstEnd.value_or(left), left);
    }
    return result;
}

int shared_load::livePeers(steady_time now) const
{
    const auto fresh = [now](const auto &entry) { return isFresh(entry.second.report, now); };
    return static_cast<int>(std::count_if(m_reports.begin(), m_reports.end(), fresh));
}

}
