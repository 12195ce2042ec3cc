// Attempts from which no token arrives for too long.

#include "entry/pipeline_request.h"

#include <algorithm>
#include <utility>

namespace chestnut
{

namespace
{

constexpr milliseconds STALL_CHECK_INTERVAL{100}; // between looks at a stalled stream
constexpr double STALL_INTERVAL_FACTOR = 10;      // a stream has stalled after this many of its smoothed token intervals without a token
constexpr milliseconds MIN_STALL_TIMEOUT{300};    // lower bound of that timeout

}

// Starts a second attempt when no token has arrived for too long. The timeout follows the token rate of the stream. A token does not
// move the timer: the timer is set again, for the time that is left, when it fires.
void pipeline_driver::monitorProgress(const request_state_pointer &state)
{
    const steady_time now = std::chrono::steady_clock::now();
    milliseconds limit = m_shared.settings.firstTokenTimeout;
    if (state->current.anyToken) {
        const milliseconds scaledInterval(static_cast<int>(state->intervalMs * STALL_INTERVAL_FACTOR));
        limit = std::min(std::max(scaledInterval, MIN_STALL_TIMEOUT), m_shared.settings.tokenTimeout);
    }
    const steady_time end = state->end();
    steady_time due = state->lastProgressAt + limit;
    if (now >= end) {
        endAllRuns(state);
        giveUp(state, "the deadline passed");
        return;
    }
    if (now >= due) {
        if (state->call->clientDisconnected()) {
            abandon(state);
            return;
        }
        if (state->session->complete(state->session->attempt(), state->request.maxTokens, "length")) {
            endAllRuns(state); // all tokens are there, only the end is missing
            completeRequest(state);
            return;
        }
        beginSecondAttempt(state, limit);
        due = now + STALL_CHECK_INTERVAL;
    }
    state->stallTimer = m_loop.after(std::chrono::ceil<milliseconds>(std::min(due, end) - now), [this, state] {
        state->stallTimer = 0;
        if (!state->closed && state->current.transfer != 0) {
            monitorProgress(state);
        }
    });
}

// The current attempt has stalled. Its engines may go on, so it is not ended for that: another chain is tried beside it, and whichever
// goes on first has the answer. The last attempt is kept for a failure.
void pipeline_driver::beginSecondAttempt(const request_state_pointer &state, milliseconds silence)
{
    const steady_time now = std::chrono::steady_clock::now();
    if (state->second.transfer != 0) {
        if (now < state->second.startedAt + m_shared.settings.firstTokenTimeout) {
            return;
        }
        const server_id silent = state->second.chain.stages.front().server;
        attemptFailed(state, state->second, decision_reason::stage_silent, silent,
                      "silent for " + std::to_string(m_shared.settings.firstTokenTimeout.count()) + " ms", true);
    }
    if (now < state->nextSecondAttempt || state->retries + 2 >= m_shared.settings.maxAttempts) {
        return;
    }
    // Engines report which stage failed. If nothing arrives at all, any stage may be the silent one, most likely the first, since it
    // sends the answer.
    std::set<server_id> withoutChain = state->avoid;
    for (const chain_stage &stage : state->current.chain.stages) {
        withoutChain.insert(stage.server);
    }
    const server_id &first = state->current.chain.stages.front().server;
    std::set<server_id> withoutFirst = state->avoid;
    withoutFirst.insert(first);
    std::vector<std::set<server_id>> avoidSets{withoutChain, withoutFirst, {first}};
    if (now >= state->lastProgressAt + m_shared.settings.firstTokenTimeout * 2) {
        avoidSets.emplace_back(); // perhaps only the connection is dead
    }
    const std::optional<pipeline_chain> chain = chooseChain(state, avoidSets);
    if (!chain || !reserveContinuation(state)) {
        return;
    }
    bool allowed = false;
    {
        const std::lock_guard lock(m_shared.budgetMutex);
        allowed = m_shared.budget.take();
    }
    if (!allowed) {
        if (!std::exchange(state->budgetNoted, true)) {
            m_shared.decisions.record(state->id, decision_reason::retry_budget_empty, "");
        }
        return;
    }
    ++state->retries;
    m_shared.decisions.record(state->id, decision_reason::stage_silent, "server=" + first.text + " silent for " + std::to_string(silence.count()) + " ms");
    startRun(state, state->second, *chain, state->session->beginSecond(*chain));
}

}
