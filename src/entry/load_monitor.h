#pragma once

#include "backend/engine.h"
#include "entry/shared_state.h"
#include "platform/platform.h"

namespace chestnut
{

// Polls the load reports of all backend servers and the instance list, and stores them in the fleet. Control loop only.
class load_monitor
{
public:
    load_monitor(entry_shared &shared, event_loop &loop, engine_adapter &engines, instance_list *list);

    void start();

private:
    void pollReports();
    void pollList();
    void handleReport(const server_id &id, std::optional<server_report> report);

    entry_shared &m_shared;
    event_loop &m_loop;
    engine_adapter &m_engines;
    instance_list *m_list;                // null = every server counts as listed
    std::map<server_id, bool> m_leaving;  // from the last report of each server, to log only changes
    std::set<server_id> m_pendingReports; // servers whose report is being fetched
};

}
