// Events of an attempt: tokens, its end, its failure.

#include "entry/pipeline_request.h"

#include <utility>

namespace chestnut
{

namespace
{

constexpr double INTERVAL_SMOOTHING_WEIGHT = 0.2; // weight of the newest token interval

double sinceMs(steady_time start, steady_time now)
{
    return toSeconds(now - start) * 1000;
}

}

void pipeline_driver::handleToken(const request_state_pointer &state, attempt_number attempt, const token_event &event,
                                  const std::vector<stage_timing> &timings)
{
    const bool fromSecond = state->second.isLive(attempt);
    if (state->closed || (!fromSecond && !state->current.isLive(attempt))) {
        return; // an engine may have sent it in one piece with what ended its attempt
    }
    attempt_run &run = fromSecond ? state->second : state->current;
    const token_verdict tokenVerdict = event.attempt == attempt ? state->session->accept(event) : token_verdict::stale;
    if (tokenVerdict == token_verdict::stale) {
        m_shared.counters.count("chestnutgw_stale_tokens_total");
        return;
    }
    if (tokenVerdict == token_verdict::violation) {
        attemptFailed(state, run, decision_reason::token_rejected, run.chain.stages.front().server,
                      "token " + std::to_string(event.index) + " ran out of order", true);
        return;
    }
    if (fromSecond) {
        recordTakeover(state);
    }
    endRun(state->second, true);
    const steady_time now = std::chrono::steady_clock::now();
    const metric_labels labels{{"account", state->account.id.text}};
    if (state->session->tokens().size() == 1) {
        m_shared.counters.observe("chestnutgw_first_token_seconds", toSeconds(now - state->started), labels);
    } else if (state->current.anyToken) {
        const double intervalMs = sinceMs(state->lastProgressAt, now);
        state->intervalMs += (state->intervalMs == 0 ? 1 : INTERVAL_SMOOTHING_WEIGHT) * (intervalMs - state->intervalMs);
        m_shared.counters.observe("chestnutgw_token_interval_seconds", intervalMs / 1000, labels);
    }
    recordTimings(state->current, timings);
    state->current.anyToken = true;
    state->lastProgressAt = now;
    state->failedSecondAttempts = 0;
    state->nextSecondAttempt = {};
    state->budgetNoted = false;
    m_shared.counters.count("chestnutgw_tokens_total", labels);
    sendToken(state, event.text);
}

// The second attempt went on first and is the session's current attempt. The one that stalled ends.
void pipeline_driver::recordTakeover(const request_state_pointer &state)
{
    endRun(state->current, true);
    recordServerFailure(state, state->current.chain.stages.front().server, true);
    state->current = std::exchange(state->second, {});
}

void pipeline_driver::recordTimings(const attempt_run &run, const std::vector<stage_timing> &timings)
{
    m_shared.servers.with([&](fleet &servers) {
        for (std::size_t i = 1; i < timings.size(); ++i) {
            servers.recordLink(timings[i - 1].server, timings[i].server, timings[i].linkMs);
        }
        if (!run.anyToken) {
            for (const stage_timing &timing : timings) {
                servers.recordSuccess(timing.server);
            }
        }
    });
}

void pipeline_driver::sendToken(const request_state_pointer &state, const std::string &text)
{
    if (state->call->clientDisconnected()) {
        abandon(state);
        return;
    }
    if (!state->call->reserve(text.size())) { // the session keeps the tokens for further attempts
        endAllRuns(state);
        giveUp(state, "the open requests of all clients hold all the memory they may");
        return;
    }
    if (!state->request.stream) {
        return;
    }
    if (!state->headSent) {
        http_response head;
        head.contentType = "text/event-stream";
        head.headers = {{"Chestnutgw-Request-Id", state->id.text}, {"Cache-Control", "no-store"}};
        state->call->beginStream(std::move(head));
        state->headSent = true;
    }
    state->call->write(formatChunk(state->id, state->request.model, text, {}));
}

void pipeline_driver::handleDone(const request_state_pointer &state, attempt_number attempt, attempt_number ended, int tokens, const std::string &reason)
{
    const bool fromSecond = state->second.isLive(attempt);
    if (state->closed || (!fromSecond && !state->current.isLive(attempt))) {
        return;
    }
    attempt_run &run = fromSecond ? state->second : state->current;
    if (ended != attempt || !state->session->complete(attempt, tokens, reason)) {
        attemptFailed(state, run, decision_reason::token_rejected, run.chain.stages.front().server,
                      "end after " + std::to_string(tokens) + " tokens does not fit", true);
        return;
    }
    endRun(run, false);
    endAllRuns(state);
    completeRequest(state);
}

void pipeline_driver::handleFailure(const request_state_pointer &state, attempt_number attempt, const engine_failure &failure)
{
    const bool fromSecond = state->second.isLive(attempt);
    if (state->closed || (!fromSecond && !state->current.isLive(attempt))) {
        return;
    }
    const bool leaving = failure.code == "leaving" || failure.code == "not_held";
    if (leaving) {
        m_shared.servers.with([&](fleet &servers) {
            const auto found = servers.servers.find(failure.failedServer);
            if (failure.code == "leaving" && found != servers.servers.end() && found->second.report) {
                found->second.report->leaving = true; // the refusal shows that the server is leaving before its next report does
            }
        });
    }
    attemptFailed(state, fromSecond ? state->second : state->current, leaving ? decision_reason::stage_left : decision_reason::stage_failed,
                  failure.failedServer, failure.code + ": " + failure.message, !leaving);
}

}
