#include "ledger.h"

namespace chestnut::soak
{

const char *toText(request_kind kind)
{
    static constexpr const char *NAMES[] = {"safe", "once", "stream", "single"};
    return NAMES[static_cast<int>(kind)];
}

const char *toText(run_end end)
{
    static constexpr const char *NAMES[] = {"running", "completed", "broke off", "released", "late"};
    return NAMES[static_cast<int>(end)];
}

ledger::ledger()
    : m_start(std::chrono::steady_clock::now())
{
}

milliseconds ledger::now() const
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - m_start);
}

void ledger::add(attempt one)
{
    const std::lock_guard lock(m_mutex);
    m_attempts.push_back(std::move(one));
}

std::size_t ledger::begin(run one)
{
    const std::lock_guard lock(m_mutex);
    m_runs.push_back(std::move(one));
    return m_runs.size() - 1;
}

void ledger::end(std::size_t index, run_end how, int events, bool disturbed)
{
    const milliseconds ended = now();
    const std::lock_guard lock(m_mutex);
    m_runs[index].end = how;
    m_runs[index].events = events;
    m_runs[index].ended = ended;
    m_runs[index].disturbed = disturbed;
}

void ledger::add(incident one)
{
    const std::lock_guard lock(m_mutex);
    m_incidents.push_back(std::move(one));
}

std::vector<attempt> ledger::attempts() const
{
    const std::lock_guard lock(m_mutex);
    return m_attempts;
}

std::map<std::string, std::vector<run>> ledger::runs() const
{
    const std::lock_guard lock(m_mutex);
    std::map<std::string, std::vector<run>> byId;
    for (const run &one : m_runs) {
        byId[one.id].push_back(one);
    }
    return byId;
}

std::vector<incident> ledger::incidents() const
{
    const std::lock_guard lock(m_mutex);
    return m_incidents;
}

}
