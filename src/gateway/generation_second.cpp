// The part of generation_flow that runs a second attempt beside a silent one.

#include "gateway/generation_flow.h"

namespace chestnut
{

bool generation_flow::startSecond(attempt_end cause, bool needsCapacity)
{
    const steady_time now = std::chrono::steady_clock::now();
    if (!m_current || m_second || !mayResume() || m_pathsTried >= MAX_PATHS_TRIED || m_facts.deadline - now < MIN_ATTEMPT_TIME) {
        return false;
    }
    if (!clientWaits()) {
        return false;
    }
    if (!m_state.quarantine.mayRepeat(m_facts.parts)) {
        return false;
    }
    // A server can't tell two attempts with the same request id apart.
    std::vector<std::string> excluded = m_avoided;
    excluded.push_back(m_current->first().address);
    auto path = m_state.choosePath(demand(), excluded, false, now);
    if (!path && !needsCapacity && m_streamBegan) {
        path = m_state.choosePath(demand(), excluded, true, now);
    }
    if (!path || !m_state.budgetOf(m_facts.service).takeRepeat(now)) {
        return false;
    }
    m_state.counters.count("second_attempts", {{"cause", toText(cause)}});
    logLine(log_level::info, "second_attempt",
            {{"request", m_facts.id},
             {"cause", toText(cause)},
             {"silent_ms", std::to_string(m_current->silence(now).count())},
             {"first", m_current->first().server.text},
             {"second", path->front().server.text}});
    m_secondCause = cause;
    m_second = startAttempt(*path);
    return true;
}

void generation_flow::settleSecond()
{
    if (m_second->opening == opening_state::open) {
        const milliseconds silence = m_current->silence(std::chrono::steady_clock::now());
        logLine(log_level::info, "attempt_replaced",
                {{"request", m_facts.id}, {"cause", toText(m_secondCause)}, {"silent_ms", std::to_string(silence.count())}});
        m_current->replaced = true;
        m_current->exchange->abort();
        return;
    }
    const bool refused = m_second->opening == opening_state::not_run;
    dropSecond();
    if (refused) {
        startSecond(m_secondCause, false);
    }
}

void generation_flow::dropSecond()
{
    if (!m_second) {
        return;
    }
    endAttempt(m_second);
    m_second.reset();
}

}
