// Sections: state of a call, claims, sending, completion.

#include "entry/service_driver.h"

#include "kernel/hash.h"

#include <algorithm>

namespace chestnut
{

namespace
{

constexpr milliseconds CONNECT_TIMEOUT{500};
constexpr milliseconds DEFAULT_DEADLINE{10'000}; // for services that set none
constexpr milliseconds AVOID_TIME{1000};         // after a failure of a replica, the others are preferred for this long
constexpr int MAX_SENDS = 6;                     // of one call, the first included
constexpr std::size_t MAX_KEY_BYTES = 200;       // limit for an idempotency key
constexpr milliseconds LOG_RETRY_AFTER{2000};
constexpr milliseconds BUSY_RETRY_AFTER{1000};

bool isRead(const std::string &method)
{
    return method == "GET" || method == "HEAD";
}

}

//-----------------------------------------------------------------------------
// State of a call
//-----------------------------------------------------------------------------

struct service_driver::call_state
{
    std::shared_ptr<http_call> call;
    account_settings account;
    service_settings service;
    std::string path; // path at the replica, with a leading slash
    request_id id;
    std::string key;         // idempotency key, empty = none
    bool mayRepeat = false;  // the call may be sent again when it is unknown whether it ran
    claim_ticket ticket = 0; // of the won claim, 0 = the call needs none
    steady_time started;
    steady_time deadline;
    steady_time sendBefore;      // a claimed call may not be sent after this time
    std::set<std::string> tried; // addresses of replicas the call was sent to
    int sends = 0;
    bool noMemory = false;   // the answer of a replica did not fit into the memory limit
    bool mayHaveRun = false; // at the replica of an earlier send
    bool closed = false;
};

service_driver::service_driver(entry_shared &shared, event_loop &loop, ledger &claims, std::uint64_t seed)
    : m_shared(shared)
    , m_loop(loop)
    , m_claims(claims)
    , m_random(seed)
{
}

void service_driver::start(std::shared_ptr<http_call> call, account_settings account, service_settings service, const std::string &path)
{
    const auto state = std::make_shared<call_state>();
    state->call = std::move(call);
    state->account = std::move(account);
    state->service = std::move(service);
    state->path = path;
    state->id = m_shared.newRequestId();
    state->key = state->call->header("idempotency-key");
    state->started = std::chrono::steady_clock::now();
    state->deadline = state->started + (state->service.deadline.count() > 0 ? state->service.deadline : DEFAULT_DEADLINE);
    const bool once = state->service.repeat == repeat_policy::once && !isRead(state->call->method());
    state->mayRepeat = !once;
    ++m_shared.inFlight;
    m_shared.counters.count("chestnutgw_service_calls_total", {{"account", state->account.id.text}, {"service", state->service.id.text}});
    m_loop.post([this, state, once] {
        if (!once) {
            send(state);
            return;
        }
        claimThenSend(state);
    });
}

//-----------------------------------------------------------------------------
// Claims
//-----------------------------------------------------------------------------

void service_driver::claimThenSend(const call_state_pointer &state)
{
    if (state->key.empty() || state->key.size() > MAX_KEY_BYTES) {
        refuse(state, 400, decision_reason::refused_account_unknown,
               "calls to this service need a header Idempotency-Key of 1 to " + std::to_string(MAX_KEY_BYTES) + " bytes", verdict::not_run, {});
        return;
    }
    const std::string key = state->account.id.text + "/" + state->service.id.text + "/" + state->key;
    const std::string fingerprint = std::to_string(hashBytes(state->call->method() + " " + state->path + "\n" + state->call->body()));
    m_claims.claim(key, fingerprint, state->deadline,
                   [this, state](const claim_decision &decision) { m_loop.post([this, state, decision] { handleDecision(state, decision); }); });
}

void service_driver::handleDecision(const call_state_pointer &state, const claim_decision &decision)
{
    switch (decision.type) {
    case claim_decision::kind::dispatch:
        m_shared.decisions.record(state->id, decision_reason::claim_won, "key=" + state->key + " attempt=" + decision.attempt);
        state->ticket = decision.ticket;
        state->sendBefore = decision.sendBefore;
        if (m_shared.testHoldDispatchMs > 0) {
            m_loop.after(milliseconds(m_shared.testHoldDispatchMs), [this, state] { send(state); });
            return;
        }
        send(state);
        return;
    case claim_decision::kind::recorded:
        m_shared.decisions.record(state->id, decision_reason::claim_recorded, "key=" + state->key);
        answerRecorded(state, decision.outcome);
        return;
    case claim_decision::kind::outcome_timeout:
        refuse(state, 504, decision_reason::claim_lost, "another attempt holds this key and has not told how it ended", verdict::may_have_run,
               BUSY_RETRY_AFTER);
        return;
    case claim_decision::kind::mismatch:
        refuse(state, 422, decision_reason::claim_mismatch, "this Idempotency-Key was used for another request", verdict::not_run, {});
        return;
    case claim_decision::kind::refused:
        refuse(state, 503, decision_reason::refused_log_down, "the log cannot be reached, so this call cannot be protected from running twice",
               verdict::not_run, LOG_RETRY_AFTER);
        return;
    case claim_decision::kind::expired:
        refuse(state, 503, decision_reason::claim_expired, "the claim was not settled in time", verdict::not_run, LOG_RETRY_AFTER);
        return;
    }
}

//-----------------------------------------------------------------------------
// Sending
//-----------------------------------------------------------------------------

const service_replica *service_driver::chooseReplica(const call_state_pointer &state)
{
    const steady_time now = std::chrono::steady_clock::now();
    // The configuration may have changed since the call was accepted, and a replica that is draining now must get no new call.
    const std::shared_ptr<const config_view> current = m_shared.current.load();
    const auto found = current->services.find(state->service.id);
    if (found != current->services.end()) {
        state->service.replicas = found->second.replicas;
    }
    const service_replica *best = nullptr;
    double bestCost = 0;
    for (const service_replica &one : state->service.replicas) {
        if (one.draining || state->tried.contains(one.address)) {
            continue;
        }
        const replica_health &health = m_health[one.address];
        const double tieBreak = static_cast<double>(m_random()) / static_cast<double>(pcg32::max());
        const double cost = health.inFlight + tieBreak + (now < health.avoidUntil ? 1e6 : 0);
        if (best == nullptr || cost < bestCost) {
            best = &one;
            bestCost = cost;
        }
    }
    return best;
}

void service_driver::send(const call_state_pointer &state)
{
    const steady_time now = std::chrono::steady_clock::now();
    const service_replica *chosen = chooseReplica(state);
    if (chosen == nullptr || state->sends >= MAX_SENDS || now >= state->deadline) {
        const bool mayHaveRun = state->mayHaveRun;
        finishCall(state, mayHaveRun ? verdict::may_have_run : verdict::not_run, 503, {},
                   mayHaveRun ? "no replica of the service answered" : "no replica of the service could be reached");
        return;
    }
    if (state->ticket != 0 && now > state->sendBefore) {
        finishCall(state, verdict::not_run, 503, {}, "the call was held up for too long before it was sent");
        return;
    }
    const service_replica replica = *chosen;
    ++state->sends;
    state->tried.insert(replica.address);
    ++m_health[replica.address].inFlight;
    m_shared.decisions.record(state->id, decision_reason::dispatched, "replica=" + replica.name);
    http_request request;
    request.method = state->call->method();
    request.url = "http://" + replica.address + state->path;
    request.body = state->call->body();
    request.connectTimeout = CONNECT_TIMEOUT;
    request.totalTimeout = std::chrono::ceil<milliseconds>(state->deadline - now);
    request.singleUse = true; // answers bear no id: on a used connection a late copy of an earlier one could be taken for this one
    if (!state->key.empty()) {
        request.headers.push_back("Idempotency-Key: " + state->key);
    }
    const std::string type = state->call->header("content-type");
    request.headers.push_back("Content-Type: " + (type.empty() ? std::string("application/octet-stream") : type));
    request.headers.push_back("Chestnutgw-Account: " + state->account.id.text);
    if (m_shared.testHoldSendMs > 0) {
        m_loop.after(milliseconds(m_shared.testHoldSendMs), [this, state, replica, request] { m_loop.start(request, answerHandler(state, replica)); });
        return;
    }
    m_loop.start(std::move(request), answerHandler(state, replica));
}

transfer_handler service_driver::answerHandler(const call_state_pointer &state, const service_replica &replica)
{
    transfer_handler handler;
    handler.onDone = [this, state, replica](const http_result &result) { handleAnswer(state, replica, result); };
    handler.mayGrow = [state](std::size_t bytes) {
        state->noMemory = !state->call->reserve(bytes);
        return !state->noMemory;
    };
    return handler;
}

void service_driver::handleAnswer(const call_state_pointer &state, const service_replica &replica, const http_result &result)
{
    replica_health &health = m_health[replica.address];
    --health.inFlight;
    const bool reportedNotRun = result.completed() && result.status >= 500 && parseVerdict(result.verdictHeader) == verdict::not_run;
    const bool notRun = !result.connected || reportedNotRun;
    if (result.completed() && !notRun && (result.status < 500 || !state->mayRepeat)) {
        health.failures = 0;
        finishCall(state, verdict::ran, result.status, result.contentType, result.body);
        return;
    }
    if (state->noMemory) {
        finishCall(state, verdict::may_have_run, 502, {}, "the answer does not fit into the memory that all clients may use");
        return;
    }
    ++health.failures;
    health.avoidUntil = std::chrono::steady_clock::now() + AVOID_TIME;
    m_shared.decisions.record(state->id, decision_reason::dispatch_failed,
                              "replica=" + replica.name + " " + (result.error.empty() ? "HTTP status " + std::to_string(result.status) : result.error));
    if (!notRun && !state->mayRepeat) {
        finishCall(state, verdict::may_have_run, 504, {}, "the service did not answer; the call may have run");
        return;
    }
    state->mayHaveRun = state->mayHaveRun || !notRun;
    bool allowed = true;
    if (!notRun) {
        const std::lock_guard lock(m_shared.budgetMutex);
        allowed = m_shared.budget.take();
    }
    if (!allowed) {
        m_shared.decisions.record(state->id, decision_reason::retry_budget_empty, "");
        finishCall(state, verdict::may_have_run, 503, {}, "the service did not answer");
        return;
    }
    send(state);
}

//-----------------------------------------------------------------------------
// Completion
//-----------------------------------------------------------------------------

void service_driver::finishCall(const call_state_pointer &state, verdict ran, int status, const std::string &contentType, const std::string &body)
{
    if (state->ticket != 0) {
        claim_record outcome;
        outcome.ran = ran;
        outcome.status = status;
        outcome.contentType = contentType;
        outcome.bodyOmitted = body.size() > static_cast<std::size_t>(m_shared.settings.maxOutcomeBytes);
        outcome.body = outcome.bodyOmitted || ran != verdict::ran ? std::string() : body;
        m_claims.finish(state->ticket, std::move(outcome));
        m_shared.decisions.record(state->id, decision_reason::outcome_recorded, std::string(toText(ran)));
    }
    if (ran != verdict::ran) {
        const milliseconds retryAfter = ran == verdict::not_run || state->mayRepeat ? BUSY_RETRY_AFTER : milliseconds(0);
        refuse(state, status, decision_reason::gave_up, body, ran, retryAfter);
        return;
    }
    http_response response{status, body, contentType.empty() ? "application/octet-stream" : contentType, {}};
    response.headers = {{"Chestnutgw-Verdict", std::string(toText(ran))}, {"Chestnutgw-Request-Id", state->id.text}};
    state->call->respond(std::move(response));
    m_shared.decisions.record(state->id, decision_reason::completed, "status=" + std::to_string(status));
    m_shared.counters.observe("chestnutgw_service_seconds", toSeconds(std::chrono::steady_clock::now() - state->started),
                              {{"account", state->account.id.text}, {"service", state->service.id.text}});
    close(state);
}

void service_driver::answerRecorded(const call_state_pointer &state, const claim_record &outcome)
{
    if (outcome.ran != verdict::ran) {
        refuse(state, 504, decision_reason::claim_recorded, "an earlier attempt with this key ended without an answer", outcome.ran, {});
        return;
    }
    if (outcome.bodyOmitted) {
        refuse(state, 409, decision_reason::claim_recorded, "the call ran before; its answer was too large to be kept", verdict::ran, {});
        return;
    }
    http_response response{outcome.status, outcome.body, outcome.contentType.empty() ? "application/octet-stream" : outcome.contentType, {}};
    response.headers = {{"Chestnutgw-Verdict", std::string(toText(verdict::ran))}, {"Chestnutgw-Repeated", "yes"}, {"Chestnutgw-Request-Id", state->id.text}};
    state->call->respond(std::move(response));
    close(state);
}

void service_driver::refuse(const call_state_pointer &state, int status, decision_reason reason, const std::string &message, verdict ran,
                            milliseconds retryAfter)
{
    m_shared.decisions.record(state->id, reason, message);
    http_response response = errorResponse(status, toText(reason), message, ran, retryAfter);
    response.headers.emplace_back("Chestnutgw-Request-Id", state->id.text);
    state->call->respond(std::move(response));
    close(state);
}

void service_driver::close(const call_state_pointer &state)
{
    if (!state->closed) {
        state->closed = true;
        --m_shared.inFlight;
    }
}

}
