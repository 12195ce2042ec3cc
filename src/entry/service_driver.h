#pragma once

#include "entry/ledger.h"
#include "entry/shared_state.h"
#include "kernel/http_server.h"

#include <memory>

namespace chestnut
{

// Routes calls to services under /services/. Repeatable calls are retried; others are claimed first and run at most once.
// Runs on one event loop.
class service_driver
{
public:
    service_driver(entry_shared &shared, event_loop &loop, ledger &claims, std::uint64_t seed);

    // Starts an authorised call to /services/NAME/PATH and answers it. Any thread.
    void start(std::shared_ptr<http_call> call, account_settings account, service_settings service, const std::string &path);

private:
    struct call_state;
    using call_state_pointer = std::shared_ptr<call_state>;

    void claimThenSend(const call_state_pointer &state);
    void handleDecision(const call_state_pointer &state, const claim_decision &decision);
    void send(const call_state_pointer &state);
    transfer_handler answerHandler(const call_state_pointer &state, const service_replica &replica);
    void handleAnswer(const call_state_pointer &state, const service_replica &replica, const http_result &result);
    void finishCall(const call_state_pointer &state, verdict ran, int status, const std::string &contentType, const std::string &body);
    const service_replica *chooseReplica(const call_state_pointer &state);
    void answerRecorded(const call_state_pointer &state, const claim_record &outcome);
    void refuse(const call_state_pointer &state, int status, decision_reason reason, const std::string &message, verdict ran, milliseconds retryAfter);
    void close(const call_state_pointer &state);

    struct replica_health
    {
        int failures = 0; // consecutive
        steady_time avoidUntil;
        int inFlight = 0;
    };

    entry_shared &m_shared;
    event_loop &m_loop;
    ledger &m_claims;
    pcg32 m_random;
    std::map<std::string, replica_health> m_health; // by address
};

}
