// Sections: state of a request, admission, attempts, events of an attempt, ends.

#include "entry/pipeline_driver.h"

#include <algorithm>

namespace chestnut
{

namespace
{

constexpr milliseconds CHAIN_WAIT{100};     // between looks for a chain while none covers the model
constexpr double PROGRESS_FACTOR = 10;      // silence beyond so many usual token intervals is a failure
constexpr milliseconds PROGRESS_FLOOR{300}; // but never before this
constexpr double INTERVAL_SMOOTHING = 0.2;  // weight of a new token interval
constexpr milliseconds NO_CHAIN_RETRY_AFTER{1000};

double sinceMs(steady_time start, steady_time now)
{
    return toSeconds(now - start) * 1000;
}

std::string describe(const pipeline_chain &chain)
{
    std::string text;
    for (const chain_stage &stage : chain.stages) {
        text += (text.empty() ? "" : ">") + stage.server.text;
    }
    return text;
}

}

//-----------------------------------------------------------------------------
// State of a request
//-----------------------------------------------------------------------------

struct pipeline_driver::run
{
    std::shared_ptr<http_call> call; // the caller
    account_settings account;        // as of admission
    chat_request request;
    request_id id;
    std::unique_ptr<pipeline_session> session; // delivered tokens
    pipeline_chain chain;                      // of the current attempt
    transfer_id transfer = 0;                  // of the current attempt, 0 = none
    std::set<server_id> avoid;                 // servers that failed this request
    int retries = 0;                           // attempts after the first
    bool dispatched = false;                   // any attempt reached an engine
    bool headSent = false;                     // streaming has begun
    bool closed = false;                       // the caller has its last byte
    std::string queue;                         // admission queue, model@version
    admission_ticket ticket = 0;               // place in it
    steady_time started;
    steady_time deadline;   // of the whole answer
    steady_time lastMoment; // a stream that has begun may run on until then: late is better than cut
    steady_time attemptAt;  // start of the current attempt
    steady_time progressAt; // last token of the current attempt, or its start
    bool anyToken = false;  // in the current attempt
    double intervalMs = 0;  // smoothed time between tokens
    timer_id progressTimer = 0;
    timer_id waitTimer = 0;

    // When the request is given up: a stream that has begun gets longer.
    steady_time end() const
    {
        return session->tokens().empty() ? deadline : lastMoment;
    }
};

pipeline_driver::pipeline_driver(entry_shared &shared, event_loop &loop, std::unique_ptr<engine_adapter> engines, std::uint64_t seed)
    : m_shared(shared)
    , m_loop(loop)
    , m_engines(std::move(engines))
    , m_random(seed)
{
}

pipeline_driver::~pipeline_driver() = default;

//-----------------------------------------------------------------------------
// Admission
//-----------------------------------------------------------------------------

void pipeline_driver::start(std::shared_ptr<http_call> call, account_settings account, chat_request request)
{
    const auto self = std::make_shared<run>();
    self->call = std::move(call);
    self->account = std::move(account);
    self->request = std::move(request);
    self->id = m_shared.newRequestId();
    self->started = std::chrono::steady_clock::now();
    const milliseconds wanted = self->account.deadline.count() > 0 ? self->account.deadline : m_shared.settings.defaultDeadline;
    const std::string header = self->call->header("chestnutgw-deadline-ms");
    const long asked = std::strtol(header.c_str(), nullptr, 10);
    self->deadline = self->started + (asked > 0 ? std::min(wanted, milliseconds(asked)) : wanted);
    self->lastMoment = self->deadline + (self->deadline - self->started);
    ++m_shared.inFlight;
    m_loop.post([this, self] { admit(self); });
}

void pipeline_driver::admit(const run_pointer &self)
{
    m_shared.counters.count("chestnutgw_requests_total", {{"account", self->account.id.text}});
    const std::shared_ptr<const deployment> current = m_shared.current.load();
    const auto grant = self->account.grants.find(self->request.modelName);
    if (grant == self->account.grants.end() || (!self->request.version.empty() && !grant->second.contains(self->request.version))) {
        refuse(self, 404, decision_reason::refused_not_granted, "model '" + self->request.model + "' is not granted to this account", {});
        return;
    }
    const std::string version = self->request.version.empty() ? *grant->second.rbegin() : self->request.version;
    const auto layers = current->layers.find(self->request.modelName);
    if (layers == current->layers.end()) {
        refuse(self, 404, decision_reason::refused_not_granted, "model '" + self->request.model + "' does not exist", {});
        return;
    }
    self->session = std::make_unique<pipeline_session>(self->id, layers->second, version, self->request.maxTokens);
    const milliseconds limited = takeFromLimit(self);
    if (limited.count() > 0) {
        refuse(self, 429, decision_reason::refused_rate, "the client account is over its tokens per second", limited);
        return;
    }
    askAdmission(self);
}

milliseconds pipeline_driver::takeFromLimit(const run_pointer &self)
{
    const std::lock_guard lock(m_shared.limiterMutex);
    return m_shared.limiter.take(self->account.id, self->account.tokensPerSecond, self->request.maxTokens, m_shared.liveInstances,
                                 std::chrono::steady_clock::now());
}

void pipeline_driver::askAdmission(const run_pointer &self)
{
    self->queue = self->request.modelName.text + "@" + self->session->version();
    admission_request wanted;
    wanted.account = self->account.id;
    wanted.weight = self->account.weight;
    wanted.worth = self->account.worth;
    wanted.tokens = self->request.maxTokens;
    wanted.deadline = self->deadline;
    const auto decided = [this, self](bool admitted, milliseconds retryAfter) {
        m_loop.post([this, self, admitted, retryAfter] {
            if (!admitted) {
                refuse(self, 503, decision_reason::refused_overload, "the deadline cannot be met behind the requests that go first", retryAfter);
                return;
            }
            {
                const std::lock_guard lock(m_shared.budgetMutex);
                m_shared.budget.recordFirstAttempt();
            }
            m_shared.decisions.record(self->id, decision_reason::admitted, "account=" + self->account.id.text + " model=" + self->queue);
            beginAttempt(self);
        });
    };
    self->ticket = m_shared.admission.submit(self->queue, wanted, decided);
}

//-----------------------------------------------------------------------------
// Attempts
//-----------------------------------------------------------------------------

void pipeline_driver::beginAttempt(const run_pointer &self)
{
    const steady_time now = std::chrono::steady_clock::now();
    if (self->closed) {
        return;
    }
    const std::shared_ptr<const deployment> current = m_shared.current.load();
    const auto layers = current->layers.find(self->request.modelName);
    route_query query{self->request.modelName, self->session->version(), layers == current->layers.end() ? 0 : layers->second, self->avoid, now};
    std::optional<pipeline_chain> chain = m_shared.servers.choose(query);
    if (!chain && !self->avoid.empty()) {
        query.avoid.clear(); // a server that failed once is better than none
        chain = m_shared.servers.choose(query);
    }
    if (!chain) {
        waitForChain(self);
        return;
    }
    self->chain = *chain;
    self->attemptAt = now;
    self->progressAt = now;
    self->anyToken = false;
    const attempt_number attempt = self->session->begin(*chain);
    m_shared.servers.with([&](fleet &servers) {
        for (const chain_stage &stage : chain->stages) {
            servers.recordStart(stage.server);
        }
    });
    m_shared.counters.count("chestnutgw_attempts_total");
    if (attempt.value > 1) {
        m_shared.decisions.record(self->id, decision_reason::resumed,
                                  "attempt=" + std::to_string(attempt.value) + " tokens=" + std::to_string(self->session->tokens().size())
                                      + " chain=" + describe(*chain));
    }
    generate_request wanted;
    wanted.request = self->id;
    wanted.attempt = attempt;
    wanted.model = self->request.modelName;
    wanted.version = self->session->version();
    wanted.chain = *chain;
    wanted.prompt = self->request.prompt;
    wanted.tokens = self->session->tokens();
    wanted.maxTokens = self->request.maxTokens;
    self->dispatched = true;
    self->transfer
        = m_engines->generate(wanted,
                              {[this, self](const token_event &event, const std::vector<stage_timing> &timings) { handleToken(self, event, timings); },
                               [this, self](attempt_number ended, int tokens, const std::string &reason) { handleDone(self, ended, tokens, reason); },
                               [this, self, attempt](const engine_failure &failure) { handleFailure(self, attempt, failure); }});
    watchProgress(self);
}

// No chain covers the model now. A stream that has begun waits for one, so that it need not be cut; any other request is
// refused at once.
void pipeline_driver::waitForChain(const run_pointer &self)
{
    const steady_time now = std::chrono::steady_clock::now();
    if (self->session->tokens().empty()) {
        refuse(self, 503, decision_reason::refused_no_chain, "no chain of servers covers the model", NO_CHAIN_RETRY_AFTER);
        return;
    }
    if (now >= self->lastMoment) {
        giveUp(self, "no chain of servers covers the model");
        return;
    }
    self->waitTimer = m_loop.after(CHAIN_WAIT, [this, self] {
        self->waitTimer = 0;
        beginAttempt(self);
    });
}

void pipeline_driver::endAttempt(const run_pointer &self, bool cancel)
{
    if (self->transfer == 0) {
        return;
    }
    if (cancel) {
        m_engines->cancel(self->transfer);
    }
    self->transfer = 0;
    m_loop.cancel(self->progressTimer);
    self->progressTimer = 0;
    m_shared.servers.with([&](fleet &servers) {
        for (const chain_stage &stage : self->chain.stages) {
            servers.recordEnd(stage.server);
        }
    });
}

void pipeline_driver::retry(const run_pointer &self, decision_reason reason, const server_id &culprit, const std::string &detail, bool counted)
{
    endAttempt(self, true);
    m_shared.decisions.record(self->id, reason, "server=" + culprit.text + " " + detail);
    if (!culprit.empty()) {
        self->avoid.insert(culprit);
    }
    if (counted && !culprit.empty()) {
        m_shared.servers.with([&](fleet &servers) { servers.recordFailure(culprit, std::chrono::steady_clock::now()); });
    }
    ++self->retries;
    bool allowed = true;
    if (counted) {
        const std::lock_guard lock(m_shared.budgetMutex);
        allowed = m_shared.budget.take();
    }
    if (!allowed) {
        m_shared.decisions.record(self->id, decision_reason::retry_budget_empty, "");
    }
    const milliseconds delay = retryDelay(self->retries, m_random);
    const bool late = std::chrono::steady_clock::now() + delay >= self->end();
    if (!allowed || late || self->retries >= m_shared.settings.maxAttempts) {
        giveUp(self, detail);
        return;
    }
    if (delay.count() == 0) {
        beginAttempt(self);
        return;
    }
    self->waitTimer = m_loop.after(delay, [this, self] {
        self->waitTimer = 0;
        beginAttempt(self);
    });
}

// Silence is a failure: the limit follows the stream's own rate. The timer is set anew only when it fires.
void pipeline_driver::watchProgress(const run_pointer &self)
{
    const steady_time now = std::chrono::steady_clock::now();
    milliseconds limit = m_shared.settings.firstTokenTimeout;
    if (self->anyToken) {
        const milliseconds usual(static_cast<int>(self->intervalMs * PROGRESS_FACTOR));
        limit = std::min(std::max(usual, PROGRESS_FLOOR), m_shared.settings.tokenTimeout);
    }
    const steady_time end = self->end();
    const steady_time due = std::min(self->progressAt + limit, end);
    if (now < due) {
        self->progressTimer = m_loop.after(std::chrono::ceil<milliseconds>(due - now), [this, self] {
            self->progressTimer = 0;
            if (!self->closed && self->transfer != 0) {
                watchProgress(self);
            }
        });
        return;
    }
    if (now >= end) {
        endAttempt(self, true);
        giveUp(self, "the deadline passed");
        return;
    }
    // The engines name a stage that fails them; when nobody speaks, it is the first stage that owes us an answer.
    retry(self, decision_reason::stage_silent, self->chain.stages.front().server, "silent for " + std::to_string(limit.count()) + " ms", true);
}

//-----------------------------------------------------------------------------
// Events of an attempt
//-----------------------------------------------------------------------------

void pipeline_driver::handleToken(const run_pointer &self, const token_event &event, const std::vector<stage_timing> &timings)
{
    if (self->closed) {
        return;
    }
    const token_verdict judged = self->session->accept(event);
    if (judged == token_verdict::stale) {
        m_shared.counters.count("chestnutgw_stale_tokens_total");
        return;
    }
    if (judged == token_verdict::violation) {
        retry(self, decision_reason::token_rejected, self->chain.stages.front().server, "token " + std::to_string(event.index) + " ran out of order", true);
        return;
    }
    const steady_time now = std::chrono::steady_clock::now();
    const metric_labels labels{{"account", self->account.id.text}};
    if (self->session->tokens().size() == 1) {
        m_shared.counters.observe("chestnutgw_first_token_seconds", toSeconds(now - self->started), labels);
    } else if (self->anyToken) {
        const double intervalMs = sinceMs(self->progressAt, now);
        self->intervalMs += (self->intervalMs == 0 ? 1 : INTERVAL_SMOOTHING) * (intervalMs - self->intervalMs);
        m_shared.counters.observe("chestnutgw_token_interval_seconds", intervalMs / 1000, labels);
    }
    self->anyToken = true;
    self->progressAt = now;
    m_shared.counters.count("chestnutgw_tokens_total", labels);
    learn(self, timings);
    deliver(self, event.text);
}

void pipeline_driver::learn(const run_pointer &self, const std::vector<stage_timing> &timings)
{
    m_shared.servers.with([&](fleet &servers) {
        for (std::size_t i = 1; i < timings.size(); ++i) {
            servers.recordLink(timings[i - 1].server, timings[i].server, timings[i].linkMs);
        }
        if (self->session->tokens().size() == 1) {
            for (const stage_timing &timing : timings) {
                servers.recordSuccess(timing.server);
            }
        }
    });
}

void pipeline_driver::deliver(const run_pointer &self, const std::string &text)
{
    if (self->call->clientDisconnected()) {
        m_shared.decisions.record(self->id, decision_reason::caller_gone, "");
        endAttempt(self, true);
        close(self);
        return;
    }
    if (!self->request.stream) {
        return;
    }
    if (!self->headSent) {
        http_response head;
        head.contentType = "text/event-stream";
        head.headers = {{"Chestnutgw-Request-Id", self->id.text}, {"Cache-Control", "no-store"}};
        self->call->beginStream(std::move(head));
        self->headSent = true;
    }
    self->call->write(formatChunk(self->id, self->request.model, text, {}));
}

void pipeline_driver::handleDone(const run_pointer &self, attempt_number attempt, int tokens, const std::string &reason)
{
    if (self->closed) {
        return;
    }
    if (!self->session->complete(attempt, tokens, reason)) {
        if (attempt == self->session->attempt()) {
            retry(self, decision_reason::token_rejected, self->chain.stages.front().server, "end after " + std::to_string(tokens) + " tokens does not fit",
                  true);
        }
        return;
    }
    endAttempt(self, false);
    finishWhole(self);
}

void pipeline_driver::handleFailure(const run_pointer &self, attempt_number attempt, const engine_failure &failure)
{
    if (self->closed || attempt != self->session->attempt()) {
        return;
    }
    const bool leaving = failure.code == "leaving" || failure.code == "not_held";
    if (leaving) {
        m_shared.servers.with([&](fleet &servers) {
            const auto found = servers.servers.find(failure.culprit);
            if (failure.code == "leaving" && found != servers.servers.end() && found->second.report) {
                found->second.report->leaving = true; // a refusal is a signal too, until the next report
            }
        });
    }
    retry(self, leaving ? decision_reason::stage_left : decision_reason::stage_failed, failure.culprit, failure.code + ": " + failure.message, !leaving);
}

//-----------------------------------------------------------------------------
// Ends
//-----------------------------------------------------------------------------

void pipeline_driver::finishWhole(const run_pointer &self)
{
    const std::string &reason = self->session->finishReason();
    if (self->request.stream) {
        self->call->write(formatChunk(self->id, self->request.model, {}, reason));
        self->call->write(STREAM_END);
        self->call->finish();
    } else {
        http_response response;
        response.headers = {{"Chestnutgw-Request-Id", self->id.text}, {"Chestnutgw-Verdict", std::string(toText(verdict::ran))}};
        const auto words = static_cast<std::size_t>(std::count(self->request.prompt.begin(), self->request.prompt.end(), ' '));
        response.body = formatWhole(self->id, self->request.model, self->session->tokens(), reason, words);
        self->call->respond(std::move(response));
    }
    m_shared.decisions.record(self->id, decision_reason::completed,
                              "tokens=" + std::to_string(self->session->tokens().size()) + " attempts=" + std::to_string(self->session->attempt().value));
    m_shared.counters.count("chestnutgw_completed_total", {{"account", self->account.id.text}});
    m_shared.counters.observe("chestnutgw_request_seconds", toSeconds(std::chrono::steady_clock::now() - self->started), {{"account", self->account.id.text}});
    close(self);
}

void pipeline_driver::refuse(const run_pointer &self, int status, decision_reason reason, const std::string &message, milliseconds retryAfter)
{
    m_shared.decisions.record(self->id, reason, message);
    http_response response = errorResponse(status, toText(reason), message, self->dispatched ? verdict::may_have_run : verdict::not_run, retryAfter);
    response.headers.emplace_back("Chestnutgw-Request-Id", self->id.text);
    self->call->respond(std::move(response));
    close(self);
}

void pipeline_driver::giveUp(const run_pointer &self, const std::string &message)
{
    m_shared.decisions.record(self->id, decision_reason::gave_up, message);
    m_shared.counters.count("chestnutgw_gave_up_total", {{"account", self->account.id.text}});
    if (self->headSent) {
        self->call->write(formatStreamError("gave_up", message, verdict::may_have_run));
        self->call->finish();
    } else {
        http_response response = errorResponse(503, "gave_up", message, verdict::may_have_run, NO_CHAIN_RETRY_AFTER);
        response.headers.emplace_back("Chestnutgw-Request-Id", self->id.text);
        self->call->respond(std::move(response));
    }
    close(self);
}

void pipeline_driver::close(const run_pointer &self)
{
    if (self->closed) {
        return;
    }
    self->closed = true;
    m_loop.cancel(self->progressTimer);
    m_loop.cancel(self->waitTimer);
    if (self->ticket != 0) {
        m_shared.admission.ended(self->queue, self->ticket);
    }
    --m_shared.inFlight;
}

}
