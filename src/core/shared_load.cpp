#include "core/shared_load.h"

#include <algorithm>

namespace chestnut
{

namespace
{

constexpr milliseconds MAX_REPORT_AGE{1500}; // older reports are ignored
constexpr double MAX_AVOIDED_SHARE = 0.34;   // if a peer avoids more of the fleet, its own network is at fault

bool isFresh(const peer_report &report, steady_time now)
{
    return now - report.received <= MAX_REPORT_AGE;
}

}

void shared_load::take(peer_report report)
{
    indexed_report &known = m_reports[report.instance];
    if (known.report.incarnation > report.incarnation) {
        return;
    }
    if (report.scope == load_scope::total) {
        std::erase_if(m_reports, [&](const auto &entry) { return entry.first != report.instance; });
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
        if (static_cast<double>(count) > MAX_AVOIDED_SHARE * fleetSize) {
            continue;
        }
        std::copy_if(known.report.loads.begin(), known.report.loads.end(), std::back_inserter(found), isAvoided);
    }
    return found;
}

namespace
{

// Adds the loads of a report by address; of two avoid times the longer one counts.
void addLoads(std::map<std::string, server_load> &sum, const std::vector<server_load> &loads)
{
    for (const server_load &load : loads) {
        server_load &entry = sum.try_emplace(load.address, server_load{load.address, 0, 0, milliseconds(0), load.failure}).first->second;
        entry.running += load.running;
        entry.tokens += load.tokens;
        if (load.avoid > entry.avoid) {
            entry.avoid = load.avoid;
            entry.failure = load.failure;
        }
    }
}

// Time until the first stopping instance of a report ends; nothing if none is stopping or that time has passed.
std::optional<milliseconds> timeToEnd(const peer_report &report, steady_time now)
{
    if (report.stopping.count() == 0) {
        return std::nullopt;
    }
    const auto left = std::chrono::ceil<milliseconds>(report.received + report.stopping - now);
    return left.count() > 0 ? std::optional(left) : std::nullopt;
}

}

peer_report shared_load::merged(const peer_report &own, load_scope scope, const instance_id &receiver, steady_time now) const
{
    peer_report result = own;
    result.scope = scope;
    if (scope == load_scope::member) {
        return result;
    }
    std::map<std::string, server_load> sum;
    addLoads(sum, own.loads);
    for (const auto &[instance, known] : m_reports) {
        const bool covered = scope == load_scope::total || known.report.scope == load_scope::member;
        if (instance == receiver || !covered || !isFresh(known.report, now)) {
            continue;
        }
        addLoads(sum, known.report.loads);
        result.instances += known.report.instances;
        result.stoppingCount += known.report.stoppingCount;
        if (const auto left = timeToEnd(known.report, now)) {
            result.stopping = result.stopping.count() > 0 ? std::min(result.stopping, *left) : *left;
        }
    }
    result.loads.clear();
    for (auto &[address, load] : sum) {
        result.loads.push_back(std::move(load));
    }
    return result;
}

peer_readiness shared_load::readiness(steady_time now) const
{
    peer_readiness result;
    for (const auto &[instance, known] : m_reports) {
        const peer_report &report = known.report;
        const auto left = timeToEnd(report, now);
        result.ready += isFresh(report, now) ? report.instances - report.stoppingCount : 0;
        result.stopping += left ? report.stoppingCount : 0;
        if (left) {
            result.firstEnd = std::min(result.firstEnd.value_or(*left), *left);
        }
    }
    return result;
}

int shared_load::livePeers(steady_time now) const
{
    int sum = 0;
    for (const auto &[instance, known] : m_reports) {
        sum += isFresh(known.report, now) ? known.report.instances : 0;
    }
    return sum;
}

}
