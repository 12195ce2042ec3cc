#pragma once

#include "backend/engine.h"
#include "entry/shared_state.h"
#include "platform/platform.h"

namespace chestnut
{

// Keeps the fleet's reports and list state fresh. Control loop only.
class load_monitor
{
public:
    load_monitor(entry_shared &shared, event_loop &loop, engine_adapter &engines, instance_list *list);

    void start();

private:
    void pollReports();
    void pollList();
    void takeReport(const server_id &id, std::optional<server_report> report);

    entry_shared &m_shared;
    event_loop &m_loop;
    engine_adapter &m_engines;
    instance_list *m_list;               // none = every server counts as listed
    std::map<server_id, bool> m_leaving; // last logged state
    std::set<server_id> m_outstanding;   // reports being fetched
};

}
