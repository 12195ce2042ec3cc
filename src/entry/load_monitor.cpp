#include "entry/load_monitor.h"

#include "kernel/log.h"

namespace chestnut
{

namespace
{

constexpr milliseconds LIST_POLL_INTERVAL{1000};

}

load_monitor::load_monitor(entry_shared &shared, event_loop &loop, engine_adapter &engines, instance_list *list)
    : m_shared(shared)
    , m_loop(loop)
    , m_engines(engines)
    , m_list(list)
{
}

void load_monitor::start()
{
    pollReports();
    if (m_list != nullptr) {
        pollList();
    }
}

void load_monitor::pollReports()
{
    std::vector<std::pair<server_id, std::string>> targets;
    m_shared.servers.with([&](const fleet &servers) {
        for (const auto &[id, server] : servers.servers) {
            targets.emplace_back(id, server.address);
        }
    });
    for (const auto &[id, address] : targets) {
        if (m_pendingReports.insert(id).second) {
            m_engines.report(address, [this, id = id](std::optional<server_report> report) { handleReport(id, std::move(report)); });
        }
    }
    m_loop.after(m_shared.settings.reportInterval, [this] { pollReports(); });
}

void load_monitor::handleReport(const server_id &id, std::optional<server_report> report)
{
    m_pendingReports.erase(id);
    const steady_time now = std::chrono::steady_clock::now();
    if (!report) {
        m_shared.counters.count("chestnutgw_report_failures_total");
        m_shared.servers.with([&](fleet &servers) { servers.recordMissedReport(id, now); });
        return;
    }
    bool &leaving = m_leaving[id];
    if (leaving != report->leaving) {
        leaving = report->leaving;
        logLine(log_level::info, leaving ? "server_leaving" : "server_back", {{"server", id.text}, {"signal", "report"}});
    }
    m_shared.servers.with([&](fleet &servers) { servers.recordReport(id, std::move(*report), now); });
}

void load_monitor::pollList()
{
    m_list->fetch([this](const std::optional<std::vector<listed_instance>> &list) {
        if (list) {
            // The list is updated late, so a server missing from it may just be new; only an entry marked as leaving counts.
            std::set<std::string> leaving;
            for (const listed_instance &one : *list) {
                if (one.leaving) {
                    leaving.insert(one.name);
                }
            }
            m_shared.servers.with([&](fleet &servers) {
                for (auto &[id, server] : servers.servers) {
                    const bool listed = !leaving.contains(id.text);
                    if (server.listed != listed) {
                        logLine(log_level::info, listed ? "server_back" : "server_leaving", {{"server", id.text}, {"signal", "list"}});
                    }
                    server.listed = listed;
                }
            });
        }
        m_loop.after(LIST_POLL_INTERVAL, [this] { pollList(); });
    });
}

}
