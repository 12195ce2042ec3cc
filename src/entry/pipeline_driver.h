#pragma once

#include "backend/engine.h"
#include "caller/chat_api.h"
#include "entry/shared_state.h"

#include <memory>

namespace chestnut
{

// Runs chat requests from admission to the last token, with retries over other chains. Runs on one event loop.
class pipeline_driver
{
public:
    pipeline_driver(entry_shared &shared, event_loop &loop, std::unique_ptr<engine_adapter> engines, std::uint64_t seed);
    ~pipeline_driver();

    // Starts an authorised request and answers it. Any thread.
    void start(std::shared_ptr<http_call> call, account_settings account, chat_request request);

private:
    struct attempt_run;
    struct request_state;
    using request_state_pointer = std::shared_ptr<request_state>;

    void admit(const request_state_pointer &state);
    milliseconds chargeRateLimit(const request_state_pointer &state);
    void requestAdmission(const request_state_pointer &state);
    void beginAttempt(const request_state_pointer &state);
    void waitForChain(const request_state_pointer &state);
    std::optional<pipeline_chain> chooseChain(const request_state_pointer &state, const std::vector<std::set<server_id>> &avoidSets);
    bool reserveContinuation(const request_state_pointer &state);
    void startRun(const request_state_pointer &state, attempt_run &run, const pipeline_chain &chain, attempt_number attempt);
    void endRun(attempt_run &run, bool cancel);
    void endAllRuns(const request_state_pointer &state);
    void promoteSecond(const request_state_pointer &state);
    void handleToken(const request_state_pointer &state, attempt_number attempt, const token_event &event, const std::vector<stage_timing> &timings);
    void handleDone(const request_state_pointer &state, attempt_number attempt, attempt_number ended, int tokens, const std::string &reason);
    void handleFailure(const request_state_pointer &state, attempt_number attempt, const engine_failure &failure);
    void recordTakeover(const request_state_pointer &state);
    void recordServerFailure(const request_state_pointer &state, const server_id &failedServer, bool countsAsFailure);
    void attemptFailed(const request_state_pointer &state, attempt_run &run, decision_reason reason, const server_id &failedServer, const std::string &detail,
                       bool countsAsFailure);
    void retry(const request_state_pointer &state, const std::string &detail, bool countsAsFailure);
    void monitorProgress(const request_state_pointer &state);
    void beginSecondAttempt(const request_state_pointer &state, milliseconds silence);
    void recordTimings(const attempt_run &run, const std::vector<stage_timing> &timings);
    void sendToken(const request_state_pointer &state, const std::string &text);
    void completeRequest(const request_state_pointer &state);
    void refuse(const request_state_pointer &state, int status, decision_reason reason, const std::string &message, milliseconds retryAfter);
    void giveUp(const request_state_pointer &state, const std::string &message);
    void abandon(const request_state_pointer &state);
    void close(const request_state_pointer &state);

    entry_shared &m_shared;
    event_loop &m_loop;
    std::unique_ptr<engine_adapter> m_engines;
    pcg32 m_random;
};

}
