#include "core/chestnutgw.h"

#include <algorithm>
#include <cmath>

namespace chestnut
{

namespace
{

constexpr int FAILURES_TO_EJECT = 3;        // consecutive failed attempts, or consecutive missed reports
constexpr double MAX_EJECTED_SHARE = 0.34;  // maximum share of the servers that may be ejected at a time
constexpr milliseconds EJECTION_TIME{2000}; // duration of the first ejection; doubles with each further failure
constexpr int MAX_EJECTION_DOUBLINGS = 4;   // at most 32 s
constexpr double LINK_SMOOTHING = 0.2;      // weight of a new sample in the moving average
constexpr double DEFAULT_LINK_MS = 1;       // assumed for a target without samples

void addSample(link_estimate &estimate, double delayMs)
{
    const double weight = estimate.samples == 0 ? 1 : LINK_SMOOTHING;
    estimate.delayMs += weight * (delayMs - estimate.delayMs);
    ++estimate.samples;
}

}

std::string_view fleet_server::unusableReason(steady_time now) const
{
    if (draining) {
        return "draining";
    }
    if (!listed) {
        return "leaving by the instance list";
    }
    if (!report) {
        return "no report";
    }
    if (report->leaving) {
        return "leaving";
    }
    if (now < ejectedUntil) {
        return "ejected";
    }
    if (failures >= FAILURES_TO_EJECT && inFlight > 0) {
        return "probing"; // after an ejection, one stream at a time until an attempt succeeds
    }
    return {};
}

void fleet::configure(const config_rows &rows)
{
    std::map<server_id, fleet_server> next;
    for (const auto &[key, row] : rows) {
        if (row.kind != "server") {
            continue;
        }
        const server_id id{row.name};
        const auto known = servers.find(id);
        // A new address means a different server: reports, failures and estimates of the old one do not apply to it.
        const bool same = known != servers.end() && known->second.address == row.address;
        fleet_server server = same ? std::move(known->second) : fleet_server();
        server.id = id;
        server.address = row.address;
        server.domain = domain_id{row.failureDomain};
        server.draining = row.state == "draining";
        next.emplace(id, std::move(server));
    }
    servers = std::move(next);
}

void fleet::recordReport(const server_id &id, server_report report, steady_time now)
{
    const auto found = servers.find(id);
    if (found == servers.end()) {
        return;
    }
    fleet_server &server = found->second;
    server.report = std::move(report);
    server.reportedAt = now;
    server.startedSinceReport = 0;
    server.endedSinceReport = 0;
    server.missedReports = 0;
    if (server.ejectedForReports) {
        server.ejectedForReports = false;
        server.ejectedUntil = steady_time();
    }
}

void fleet::recordMissedReport(const server_id &id, steady_time now)
{
    const auto found = servers.find(id);
    if (found == servers.end()) {
        return;
    }
    fleet_server &server = found->second;
    ++server.missedReports;
    server.ejectedForReports = eject(server, server.missedReports, now) || server.ejectedForReports;
}

void fleet::recordStart(const server_id &id)
{
    const auto found = servers.find(id);
    if (found != servers.end()) {
        ++found->second.inFlight;
        ++found->second.startedSinceReport;
    }
}

void fleet::recordEnd(const server_id &id)
{
    const auto found = servers.find(id);
    if (found != servers.end()) {
        found->second.inFlight = std::max(0, found->second.inFlight - 1);
        ++found->second.endedSinceReport;
    }
}

void fleet::recordFailure(const server_id &id, steady_time now)
{
    const auto found = servers.find(id);
    if (found == servers.end()) {
        return;
    }
    fleet_server &server = found->second;
    ++server.failures;
    if (eject(server, server.failures, now)) {
        server.ejectedForReports = false;
    }
}

// Ejects a server after enough failures. Returns false if it is ejected already, or too many are.
bool fleet::eject(fleet_server &server, int failures, steady_time now)
{
    if (failures < FAILURES_TO_EJECT || now < server.ejectedUntil) {
        return false;
    }
    const int cap = std::max(1, static_cast<int>(static_cast<double>(servers.size()) * MAX_EJECTED_SHARE));
    if (ejectedCount(now) >= cap) {
        return false;
    }
    const int doublings = std::min(failures - FAILURES_TO_EJECT, MAX_EJECTION_DOUBLINGS);
    server.ejectedUntil = now + EJECTION_TIME * (1 << doublings);
    return true;
}

void fleet::recordSuccess(const server_id &id)
{
    const auto found = servers.find(id);
    if (found != servers.end()) {
        found->second.failures = 0;
        found->second.ejectedUntil = steady_time();
    }
}

void fleet::recordLink(const server_id &from, const server_id &to, double delayMs)
{
    addSample(m_links[{from, to}], delayMs);
    addSample(m_inbound[to], delayMs);
}

double fleet::linkMs(const server_id &from, const server_id &to) const
{
    if (const auto found = m_links.find({from, to}); found != m_links.end()) {
        return found->second.delayMs;
    }
    if (const auto found = m_inbound.find(to); found != m_inbound.end()) {
        return found->second.delayMs;
    }
    return DEFAULT_LINK_MS;
}

int fleet::ejectedCount(steady_time now) const
{
    return static_cast<int>(std::count_if(servers.begin(), servers.end(), [now](const auto &entry) { return now < entry.second.ejectedUntil; }));
}

}
