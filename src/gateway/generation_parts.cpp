// The part of generation_flow that handles prompts whose parts end servers: evidence, and what a request may do with it.

#include "core/prompt_parts.h"
#include "gateway/generation_flow.h"
#include "gateway/spawn.h"

namespace chestnut
{

namespace
{

constexpr std::size_t MAX_SERVERS_ENDED = 2; // a request under which so many servers ended is not repeated
constexpr milliseconds REPEAT_DELAY{300};    // until a request is repeated without a result of the check
constexpr milliseconds EVIDENCE_TIME{2000};  // until it stays open whether a process has ended

}

asio::awaitable<bool> generation_flow::awaitServerCheck()
{
    if (!m_serverCheck) {
        co_return true;
    }
    const auto state = co_await m_serverCheck->wait();
    m_serverCheck.reset();
    co_return state != process_state::ended || (m_serversEnded.size() < MAX_SERVERS_ENDED && m_state.quarantine.mayRepeat(m_facts.parts));
}

const char *generation_flow::refuseByParts()
{
    if (m_outcome.runs > 0) {
        return m_state.quarantine.mayRepeat(m_facts.parts) ? nullptr : "part_not_repeated";
    }
    const part_admission admission = m_state.quarantine.admit(m_facts.parts, std::chrono::steady_clock::now());
    if (admission.status == part_status::clear) {
        return nullptr;
    }
    const char *decision = admission.trial ? "trial" : admission.accepted ? "alone" : "rejected";
    m_state.counters.count("prompt_part_requests", {{"status", toText(admission.status)}, {"decision", decision}});
    if (admission.trial) {
        logLine(log_level::warning, "prompt_part_trial", {{"request", m_facts.id}, {"part", admission.part.text}});
        m_state.partReports.keep(m_state.quarantine.findings().at(admission.part));
    }
    if (admission.accepted) {
        return nullptr;
    }
    m_partRetry = admission.retryAfter;
    return admission.status == part_status::quarantined ? "part_quarantined" : "part_suspected";
}

void generation_flow::checkServer(const stream_attempt &attempt)
{
    const auto ask = [this, process = attempt.process, address = attempt.first().address](steady_time until) {
        return m_state.endChecks.start(process, address, m_state.control.fetchReport, until);
    };
    const steady_time now = std::chrono::steady_clock::now();
    // The first of the two learns the answer first: what it notes decides whether the request is repeated.
    spawnLogged(m_state.context, "server_check", noteServerEnd(shared_from_this(), attempt.process, ask, ask(now + EVIDENCE_TIME)));
    m_serverCheck = ask(now + REPEAT_DELAY);
}

asio::awaitable<void> generation_flow::noteServerEnd(std::shared_ptr<generation_flow>, server_process process, ask_process ask,
                                                     server_end_check::pending_state check)
{
    const steady_time broken = std::chrono::steady_clock::now();
    process_state state = (co_await check->wait()).value_or(process_state::silent);
    while (state != process_state::alive && state != process_state::ended && std::chrono::steady_clock::now() < broken + EVIDENCE_TIME) {
        check = ask(broken + EVIDENCE_TIME);
        state = (co_await check->wait()).value_or(process_state::silent);
    }
    m_state.counters.count("server_end_checks", {{"result", toText(state)}});
    if (state == process_state::ended) {
        noteEnded(process, broken);
    }
}

void generation_flow::noteEnded(const server_process &process, steady_time at)
{
    m_serversEnded.insert(process);
    m_state.quarantine.noteEnd({process, at, m_facts.parts});
    m_state.partReports.report();
}

void generation_flow::logBroken(const stream_attempt &attempt, const upstream_exchange &exchange, exchange_status status)
{
    m_state.counters.count("attempts_broken", {{"began", attempt.headRead ? "yes" : "no"}, {"status", toText(status)}});
    const steady_time now = std::chrono::steady_clock::now();
    if (!m_state.logLimiter.take(now)) {
        return;
    }
    const auto age
        = [now](steady_time since) { return since == steady_time() ? "" : std::to_string(std::chrono::duration_cast<milliseconds>(now - since).count()); };
    logLine(log_level::info, "attempt_broken",
            {{"request", m_facts.id},
             {"server", attempt.first().server.text},
             {"address", attempt.first().address},
             {"status", toText(status)},
             {"error", exchange.errorText()},
             {"sent_ms", age(attempt.sent)},
             {"began_ms", age(attempt.firstData)},
             {"events", std::to_string(attempt.splitter.events())},
             {"parts", joinParts(m_facts.parts)}});
}

}
