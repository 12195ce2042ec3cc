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

struct service_driver::run
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
    const auto self = std::make_shared<run>();
    self->call = std::move(call);
    self->account = std::move(account);
    self->service = std::move(service);
    self->path = path;
    self->id = m_shared.newRequestId();
    self->key = self->call->header("idempotency-key");
    self->started = std::chrono::steady_clock::now();
    self->deadline = self->started + (self->service.deadline.count() > 0 ? self->service.deadline : DEFAULT_DEADLINE);
    const bool once = self->service.repeat == repeat_policy::once && !isRead(self->call->method());
    self->mayRepeat = !once;
    ++m_shared.inFlight;
    m_shared.counters.count("chestnutgw_service_calls_total", {{"account", self->account.id.text}, {"service", self->service.id.text}});
    m_loop.post([this, self, once] {
        if (!once) {
            send(self);
            return;
        }
        claimThenSend(self);
    });
}

//-----------------------------------------------------------------------------
// Claims
//-----------------------------------------------------------------------------

void service_driver::claimThenSend(const run_pointer &self)
{
    if (self->key.empty() || self->key.size() > MAX_KEY_BYTES) {
        refuse(self, 400, decision_reason::refused_account_unknown,
               "calls to this service require a header Idempotency-Key of 1 to " + std::to_string(MAX_KEY_BYTES) + " bytes", verdict::not_run, {});
        return;
    }
    const std::string key = self->account.id.text + "/" + self->service.id.text + "/" + self->key;
    const std::string fingerprint = std::to_string(hashBytes(self->call->method() + " " + self->path + "\n" + self->call->body()));
    m_claims.claim(key, fingerprint, self->deadline,
                   [this, self](const claim_decision &decision) { m_loop.post([this, self, decision] { decided(self, decision); }); });
}

void service_driver::decided(const run_pointer &self, const claim_decision &decision)
{
    switch (decision.type) {
    case claim_decision::kind::dispatch:
        m_shared.decisions.record(self->id, decision_reason::claim_won, "key=" + self->key + " attempt=" + decision.attempt);
        self->ticket = decision.ticket;
        self->sendBefore = decision.sendBefore;
        if (m_shared.testHoldDispatchMs > 0) {
            m_loop.after(milliseconds(m_shared.testHoldDispatchMs), [this, self] { send(self); });
            return;
        }
        send(self);
        return;
    case claim_decision::kind::recorded:
        m_shared.decisions.record(self->id, decision_reason::claim_recorded, "key=" + self->key);
        answerRecorded(self, decision.outcome);
        return;
    case claim_decision::kind::lost_winner:
        refuse(self, 504, decision_reason::claim_lost, "another attempt holds this key and its outcome is not known yet", verdict::may_have_run,
               BUSY_RETRY_AFTER);
        return;
    case claim_decision::kind::mismatch:
        refuse(self, 422, decision_reason::claim_mismatch, "this Idempotency-Key was used for another request", verdict::not_run, {});
        return;
    case claim_decision::kind::refused:
        refuse(self, 503, decision_reason::refused_log_down, "the log cannot be reached, so this call cannot be protected from running twice", verdict::not_run,
               LOG_RETRY_AFTER);
        return;
    case claim_decision::kind::expired:
        refuse(self, 503, decision_reason::claim_expired, "the claim was not decided in time", verdict::not_run, LOG_RETRY_AFTER);
        return;
    }
}

//-----------------------------------------------------------------------------
// Sending
//-----------------------------------------------------------------------------

const service_replica *service_driver::chooseReplica(const run_pointer &self)
{
    const steady_time now = std::chrono::steady_clock::now();
    // The configuration may have changed since the call was accepted, and a replica that is draining now must get no new call.
    const std::shared_ptr<const deployment> current = m_shared.current.load();
    const auto found = current->services.find(self->service.id);
    if (found != current->services.end()) {
        self->service.replicas = found->second.replicas;
    }
    const service_replica *best = nullptr;
    double bestCost = 0;
    for (const service_replica &one : self->service.replicas) {
        if (one.draining || self->tried.contains(one.address)) {
            continue;
        }
        const replica_health &health = m_health[one.address];
        const double unit = static_cast<double>(m_random()) / static_cast<double>(pcg32::max());
        const double cost = health.inFlight + unit + (now < health.avoidUntil ? 1e6 : 0);
        if (best == nullptr || cost < bestCost) {
            best = &one;
            bestCost = cost;
        }
    }
    return best;
}

void service_driver::send(const run_pointer &self)
{
    const steady_time now = std::chrono::steady_clock::now();
    const service_replica *chosen = chooseReplica(self);
    if (chosen == nullptr || self->sends >= MAX_SENDS || now >= self->deadline) {
        settle(self, verdict::not_run, 503, {}, "no replica of the service accepted the call");
        return;
    }
    if (self->ticket != 0 && now > self->sendBefore) {
        settle(self, verdict::not_run, 503, {}, "the call was not sent within the dispatch limit of its claim");
        return;
    }
    const service_replica replica = *chosen;
    ++self->sends;
    self->tried.insert(replica.address);
    ++m_health[replica.address].inFlight;
    m_shared.decisions.record(self->id, decision_reason::dispatched, "replica=" + replica.name);
    http_request request;
    request.method = self->call->method();
    request.url = "http://" + replica.address + self->path;
    request.body = self->call->body();
    request.connectTimeout = CONNECT_TIMEOUT;
    request.totalTimeout = std::chrono::ceil<milliseconds>(self->deadline - now);
    request.singleUse = !self->mayRepeat;
    if (!self->key.empty()) {
        request.headers.push_back("Idempotency-Key: " + self->key);
    }
    const std::string type = self->call->header("content-type");
    request.headers.push_back("Content-Type: " + (type.empty() ? std::string("application/octet-stream") : type));
    request.headers.push_back("Chestnutgw-Account: " + self->account.id.text);
    if (m_shared.testHoldSendMs > 0) {
        m_loop.after(milliseconds(m_shared.testHoldSendMs), [this, self, replica, request] {
            m_loop.start(request, {{}, [this, self, replica](const http_result &result) { handleAnswer(self, replica, result); }});
        });
        return;
    }
    m_loop.start(std::move(request), {{}, [this, self, replica](const http_result &result) { handleAnswer(self, replica, result); }});
}

void service_driver::handleAnswer(const run_pointer &self, const service_replica &replica, const http_result &result)
{
    replica_health &health = m_health[replica.address];
    --health.inFlight;
    const bool saidNotRun = result.completed() && result.status >= 500 && parseVerdict(result.verdictHeader) == verdict::not_run;
    const bool notRun = !result.connected || saidNotRun;
    if (result.completed() && !notRun && (result.status < 500 || !self->mayRepeat)) {
        health.failures = 0;
        settle(self, verdict::ran, result.status, result.contentType, result.body);
        return;
    }
    ++health.failures;
    health.avoidUntil = std::chrono::steady_clock::now() + AVOID_TIME;
    m_shared.decisions.record(self->id, decision_reason::dispatch_failed,
                              "replica=" + replica.name + " " + (result.error.empty() ? "HTTP status " + std::to_string(result.status) : result.error));
    if (!notRun && !self->mayRepeat) {
        settle(self, verdict::may_have_run, 504, {}, "the replica failed or did not answer; the call may have run");
        return;
    }
    bool allowed = true;
    if (!notRun) {
        const std::lock_guard lock(m_shared.budgetMutex);
        allowed = m_shared.budget.take();
    }
    if (!allowed) {
        m_shared.decisions.record(self->id, decision_reason::retry_budget_empty, "");
        settle(self, verdict::may_have_run, 503, {}, "the replica failed or did not answer, and the retry budget is empty");
        return;
    }
    const bool lastReplica = chooseReplica(self) == nullptr;
    if (lastReplica && !notRun) {
        settle(self, verdict::may_have_run, 503, {}, "no replica of the service answered");
        return;
    }
    send(self);
}

//-----------------------------------------------------------------------------
// Completion
//-----------------------------------------------------------------------------

void service_driver::settle(const run_pointer &self, verdict ran, int status, const std::string &contentType, const std::string &body)
{
    if (self->ticket != 0) {
        claim_record outcome;
        outcome.ran = ran;
        outcome.status = status;
        outcome.contentType = contentType;
        outcome.truncated = body.size() > static_cast<std::size_t>(m_shared.settings.maxOutcomeBytes);
        outcome.body = outcome.truncated || ran != verdict::ran ? std::string() : body;
        m_claims.finish(self->ticket, std::move(outcome));
        m_shared.decisions.record(self->id, decision_reason::outcome_recorded, std::string(toText(ran)));
    }
    if (ran != verdict::ran) {
        const milliseconds retryAfter = ran == verdict::not_run || self->mayRepeat ? BUSY_RETRY_AFTER : milliseconds(0);
        refuse(self, status, decision_reason::gave_up, body, ran, retryAfter);
        return;
    }
    http_response response{status, body, contentType.empty() ? "application/octet-stream" : contentType, {}};
    response.headers = {{"Chestnutgw-Verdict", std::string(toText(ran))}, {"Chestnutgw-Request-Id", self->id.text}};
    self->call->respond(std::move(response));
    m_shared.decisions.record(self->id, decision_reason::completed, "status=" + std::to_string(status));
    m_shared.counters.observe("chestnutgw_service_seconds", toSeconds(std::chrono::steady_clock::now() - self->started),
                              {{"account", self->account.id.text}, {"service", self->service.id.text}});
    close(self);
}

void service_driver::answerRecorded(const run_pointer &self, const claim_record &outcome)
{
    if (outcome.ran != verdict::ran) {
        refuse(self, 504, decision_reason::claim_recorded, "an earlier attempt with this key ended without an answer", outcome.ran, {});
        return;
    }
    if (outcome.truncated) {
        refuse(self, 409, decision_reason::claim_recorded, "the call ran before; its answer was too large to be stored", verdict::ran, {});
        return;
    }
    http_response response{outcome.status, outcome.body, outcome.contentType.empty() ? "application/octet-stream" : outcome.contentType, {}};
    response.headers = {{"Chestnutgw-Verdict", std::string(toText(verdict::ran))}, {"Chestnutgw-Repeated", "yes"}, {"Chestnutgw-Request-Id", self->id.text}};
    self->call->respond(std::move(response));
    close(self);
}

void service_driver::refuse(const run_pointer &self, int status, decision_reason reason, const std::string &message, verdict ran, milliseconds retryAfter)
{
    m_shared.decisions.record(self->id, reason, message);
    http_response response = errorResponse(status, toText(reason), message, ran, retryAfter);
    response.headers.emplace_back("Chestnutgw-Request-Id", self->id.text);
    self->call->respond(std::move(response));
    close(self);
}

void service_driver::close(const run_pointer &self)
{
    if (!self->closed) {
        self->closed = true;
        --m_shared.inFlight;
    }
}

}
