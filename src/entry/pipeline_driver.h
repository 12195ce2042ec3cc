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
    struct request_state;
    using request_state_pointer = std::shared_ptr<request_state>;

    void admit(const request_state_pointer &state);
    milliseconds chargeRateLimit(const request_state_pointer &state);
    void requestAdmission(const request_state_pointer &state);
    void beginAttempt(const request_state_pointer &state);
    void waitForChain(const request_state_pointer &state);
    void handleToken(const request_state_pointer &state, const token_event &event, const std::vector<stage_timing> &timings);
    void handleDone(const request_state_pointer &state, attempt_number attempt, int tokens, const std::string &reason);
    void handleFailure(const request_state_pointer &state, attempt_number attempt, const engine_failure &failure);
    void endAttempt(const request_state_pointer &state, bool cancel);
    void retry(const request_state_pointer &state, decision_reason reason, const server_id &failedServer, const std::string &detail, bool countsAsFailure);
    void monitorProgress(const request_state_pointer &state);
    void recordTimings(const request_state_pointer &state, const std::vector<stage_timing> &timings);
    void sendToken(const request_state_pointer &state, const std::string &text);
    void completeRequest(const request_state_pointer &state);
    void refuse(const request_state_pointer &state, int status, decision_reason reason, const std::string &message, milliseconds retryAfter);
    void giveUp(const request_state_pointer &state, const std::string &message);
    void close(const request_state_pointer &state);

    entry_shared &m_shared;
    event_loop &m_loop;
    std::unique_ptr<engine_adapter> m_engines;
    pcg32 m_random;
};

}
