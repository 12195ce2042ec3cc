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
    stored_report &known = m_reports[report.instance];
    if (known.report.incarnation > report.incarnation) {
        return;
    }
    count(known, -1);
    known.report = std::move(report);
    if (known.report.scope == load_scope::total) {
        std::erase_if(m_reports, [&](const auto &entry) { return &entry.second != &known; });
        m_members.clear();
        m_others.clear();
    }
    count(known, 1);
}

void shared_load::count(stored_report &stored, int sign)
{
    if (stored.counted == (sign > 0)) {
        return;
    }
    stored.counted = sign > 0;
    work_sums &sums = stored.report.scope == load_scope::member ? m_members : m_others;
    for (const server_load &load : stored.report.loads) {
        const auto entry = sums.try_emplace(load.address).first;
        work_sum &sum = entry->second;
        sum.reports += sign;
        sum.running += sign * load.running;
        sum.tokens += sign * load.tokens;
        if (sum.reports == 0) {
            sums.erase(entry);
        }
    }
}

void shared_load::dropOutdated(steady_time now)
{
    for (auto &[instance, stored] : m_reports) {
        if (!isFresh(stored.report, now)) {
            count(stored, -1);
        }
    }
}

shared_load::work_sum shared_load::sumOf(const std::string &address, steady_time now)
{
    dropOutdated(now);
    work_sum sum;
    for (const work_sums *sums : {&m_members, &m_others}) {
        const auto found = sums->find(address);
        if (found != sums->end()) {
            sum.running += found->second.running;
            sum.tokens += found->second.tokens;
        }
    }
    return sum;
}

double shared_load::tokens(const std::string &address, steady_time now)
{
    return sumOf(address, now).tokens;
}

int shared_load::running(const std::string &address, steady_time now)
{
    return sumOf(address, now).running;
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

using loads_by_address = std::unordered_map<std::string, server_load>;

// Adds work at a server.
void addWork(loads_by_address &sum, const std::string &address, int running, double tokens)
{
    server_load &entry = sum.try_emplace(address, server_load{address, 0, 0, milliseconds(0), failure_kind::broken}).first->second;
    entry.running += running;
    entry.tokens += tokens;
}

// Adds the servers that a report avoids; of two times for one server the longer one counts.
void addAvoided(loads_by_address &sum, const std::vector<server_load> &loads)
{
    for (const server_load &load : loads) {
        if (load.avoid.count() == 0) {
            continue;
        }
        server_load &entry = sum.try_emplace(load.address, server_load{load.address, 0, 0, milliseconds(0), load.failure}).first->second;
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

peer_report shared_load::merged(const peer_report &own, load_scope scope, const instance_id &receiver, steady_time now)
{
    peer_report result = own;
    result.scope = scope;
    if (scope == load_scope::member) {
        return result;
    }
    dropOutdated(now);
    const auto covered
        = [scope](const stored_report &stored) { return stored.counted && (scope == load_scope::total || stored.report.scope == load_scope::member); };
    loads_by_address sum;
    sum.reserve(m_members.size() + m_others.size());
    for (const auto &[address, work] : m_members) {
        addWork(sum, address, work.running, work.tokens);
    }
    if (scope == load_scope::total) {
        for (const auto &[address, work] : m_others) {
            addWork(sum, address, work.running, work.tokens);
        }
    }
    if (const auto known = m_reports.find(receiver); known != m_reports.end() && covered(known->second)) {
        for (const server_load &load : known->second.report.loads) {
            addWork(sum, load.address, -load.running, -load.tokens);
        }
    }
    for (const server_load &load : own.loads) {
        addWork(sum, load.address, load.running, load.tokens);
    }
    addAvoided(sum, own.loads);
    for (const auto &[instance, stored] : m_reports) {
        if (instance == receiver || !covered(stored)) {
            continue;
        }
        addAvoided(sum, stored.report.loads);
        result.instances += stored.report.instances;
        result.stoppingCount += stored.report.stoppingCount;
        if (const auto left = timeToEnd(stored.report, now)) {
            result.stopping = result.stopping.count() > 0 ? std::min(result.stopping, *left) : *left;
        }
    }
    result.loads.clear();
    for (auto &[address, load] : sum) {
        if (load.running != 0 || load.tokens != 0 || load.avoid.count() > 0) {
            result.loads.push_back(std::move(load));
        }
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
