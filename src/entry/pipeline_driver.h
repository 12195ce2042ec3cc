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
    struct run;
    using run_pointer = std::shared_ptr<run>;

    void admit(const run_pointer &self);
    milliseconds takeFromLimit(const run_pointer &self);
    void askAdmission(const run_pointer &self);
    void beginAttempt(const run_pointer &self);
    void waitForChain(const run_pointer &self);
    void handleToken(const run_pointer &self, const token_event &event, const std::vector<stage_timing> &timings);
    void handleDone(const run_pointer &self, attempt_number attempt, int tokens, const std::string &reason);
    void handleFailure(const run_pointer &self, attempt_number attempt, const engine_failure &failure);
    void endAttempt(const run_pointer &self, bool cancel);
    void retry(const run_pointer &self, decision_reason reason, const server_id &culprit, const std::string &detail, bool counted);
    void watchProgress(const run_pointer &self);
    void learn(const run_pointer &self, const std::vector<stage_timing> &timings);
    void deliver(const run_pointer &self, const std::string &text);
    void finishWhole(const run_pointer &self);
    void refuse(const run_pointer &self, int status, decision_reason reason, const std::string &message, milliseconds retryAfter);
    void giveUp(const run_pointer &self, const std::string &message);
    void close(const run_pointer &self);

    entry_shared &m_shared;
    event_loop &m_loop;
    std::unique_ptr<engine_adapter> m_engines;
    pcg32 m_random;
};

}
