// Sections: state of a request, admission, attempts, events of an attempt, completion.

#include "entry/pipeline_driver.h"

#include <algorithm>
#include <utility>

namespace chestnut
{

namespace
{

constexpr milliseconds CHAIN_POLL_INTERVAL{100}; // between searches while no chain covers the model, and between looks at a stalled stream
constexpr double STALL_INTERVAL_FACTOR = 10;     // a stream has stalled after this many of its smoothed token intervals without a token
constexpr milliseconds MIN_STALL_TIMEOUT{300};   // lower bound of that timeout
constexpr milliseconds CHALLENGE_DELAY{600};     // after the first failed challenger of a stall; doubles with each further one
constexpr int MAX_CHALLENGE_DOUBLINGS = 4;
constexpr double INTERVAL_SMOOTHING_WEIGHT = 0.2; // weight of the newest token interval
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

// One attempt at the engines.
struct pipeline_driver::attempt_run
{
    attempt_number attempt;
    pipeline_chain chain;
    transfer_id transfer = 0; // 0 = none, the attempt has ended
    steady_time startedAt;
    bool anyToken = false; // received in this attempt

    bool isLive(attempt_number number) const
    {
        return transfer != 0 && attempt == number;
    }
};

struct pipeline_driver::request_state
{
    std::shared_ptr<http_call> call; // HTTP exchange with the client
    account_settings account;        // settings at the time of the request
    chat_request request;
    request_id id;
    std::unique_ptr<pipeline_session> session; // accepted tokens, kept across attempts
    attempt_run current;
    attempt_run challenger;      // runs beside a current attempt that has stalled, until one of the two goes on
    int failedChallengers = 0;   // of the present stall
    steady_time nextChallenge;   // of the present stall
    bool budgetNoted = false;    // the empty retry budget was recorded for the present stall
    std::set<server_id> avoid;   // servers that failed this request
    int retries = 0;             // attempts after the first
    bool dispatched = false;     // an attempt has been sent to an engine
    bool headSent = false;       // the response head has been sent, the answer is streaming
    bool closed = false;         // answered or abandoned, no further events are handled
    std::string queue;           // name of the admission queue, model@version
    admission_ticket ticket = 0; // of the request in the admission queue
    steady_time started;
    steady_time deadline;       // of the request; streamDeadline replaces it once a token has arrived
    steady_time streamDeadline; // of a stream that has begun: a late answer is better than a truncated one
    steady_time lastProgressAt; // last token of the current attempt, or its start
    double intervalMs = 0;      // smoothed time between tokens
    timer_id stallTimer = 0;
    timer_id waitTimer = 0;

    // The time at which the request is given up; later once the first token has arrived.
    steady_time end() const
    {
        return session->tokens().empty() ? deadline : streamDeadline;
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
    const auto state = std::make_shared<request_state>();
    state->call = std::move(call);
    state->account = std::move(account);
    state->request = std::move(request);
    state->id = m_shared.newRequestId();
    state->started = std::chrono::steady_clock::now();
    const milliseconds wanted = state->account.deadline.count() > 0 ? state->account.deadline : m_shared.settings.defaultDeadline;
    const std::string header = state->call->header("chestnutgw-deadline-ms");
    const long asked = std::strtol(header.c_str(), nullptr, 10);
    state->deadline = state->started + (asked > 0 ? std::min(wanted, milliseconds(asked)) : wanted);
    state->streamDeadline = state->deadline + (state->deadline - state->started);
    ++m_shared.inFlight;
    m_loop.post([this, state] { admit(state); });
}

void pipeline_driver::admit(const request_state_pointer &state)
{
    m_shared.counters.count("chestnutgw_requests_total", {{"account", state->account.id.text}});
    const std::shared_ptr<const config_view> current = m_shared.current.load();
    const auto grant = state->account.grants.find(state->request.modelName);
    if (grant == state->account.grants.end() || (!state->request.version.empty() && !grant->second.contains(state->request.version))) {
        refuse(state, 404, decision_reason::refused_not_granted, "model '" + state->request.model + "' is not granted to this account", {});
        return;
    }
    const std::string version = state->request.version.empty() ? *grant->second.rbegin() : state->request.version;
    const auto layers = current->layers.find(state->request.modelName);
    if (layers == current->layers.end()) {
        refuse(state, 404, decision_reason::refused_not_granted, "model '" + state->request.model + "' does not exist", {});
        return;
    }
    state->session = std::make_unique<pipeline_session>(state->id, layers->second, version, state->request.maxTokens);
    const milliseconds rateLimitWait = chargeRateLimit(state);
    if (rateLimitWait.count() > 0) {
        refuse(state, 429, decision_reason::refused_rate, "the client account is over its tokens per second", rateLimitWait);
        return;
    }
    requestAdmission(state);
}

milliseconds pipeline_driver::chargeRateLimit(const request_state_pointer &state)
{
    const std::lock_guard lock(m_shared.limiterMutex);
    return m_shared.limiter.take(state->account.id, state->account.tokensPerSecond, state->request.maxTokens, m_shared.liveInstances,
                                 std::chrono::steady_clock::now());
}

void pipeline_driver::requestAdmission(const request_state_pointer &state)
{
    state->queue = state->request.modelName.text + "@" + state->session->version();
    admission_request wanted;
    wanted.account = state->account.id;
    wanted.weight = state->account.weight;
    wanted.worth = state->account.worth;
    wanted.tokens = state->request.maxTokens;
    wanted.deadline = state->deadline;
    const auto decided = [this, state](bool admitted, milliseconds retryAfter) {
        m_loop.post([this, state, admitted, retryAfter] {
            if (!admitted) {
                refuse(state, 503, decision_reason::refused_overload, "the deadline cannot be met behind the requests that go first", retryAfter);
                return;
            }
            {
                const std::lock_guard lock(m_shared.budgetMutex);
                m_shared.budget.recordFirstAttempt();
            }
            m_shared.decisions.record(state->id, decision_reason::admitted, "account=" + state->account.id.text + " model=" + state->queue);
            beginAttempt(state);
        });
    };
    state->ticket = m_shared.admission.submit(state->queue, wanted, decided);
}

//-----------------------------------------------------------------------------
// Attempts
//-----------------------------------------------------------------------------

// The first chain found with one of the sets of servers to avoid, tried in order.
std::optional<pipeline_chain> pipeline_driver::chooseChain(const request_state_pointer &state, const std::vector<std::set<server_id>> &avoidSets)
{
    const std::shared_ptr<const config_view> current = m_shared.current.load();
    const auto layers = current->layers.find(state->request.modelName);
    route_query query{
        state->request.modelName, state->session->version(), layers == current->layers.end() ? 0 : layers->second, {}, std::chrono::steady_clock::now()};
    for (const std::set<server_id> &avoid : avoidSets) {
        query.avoid = avoid;
        if (const std::optional<pipeline_chain> chain = m_shared.servers.choose(query)) {
            return chain;
        }
    }
    return std::nullopt;
}

void pipeline_driver::beginAttempt(const request_state_pointer &state)
{
    if (state->closed) {
        return;
    }
    // A server that has failed for this request is better than none.
    const std::optional<pipeline_chain> chain = chooseChain(state, {state->avoid, {}});
    if (!chain) {
        waitForChain(state);
        return;
    }
    startRun(state, state->current, *chain, state->session->begin(*chain));
    state->lastProgressAt = state->current.startedAt;
    monitorProgress(state);
}

void pipeline_driver::startRun(const request_state_pointer &state, attempt_run &run, const pipeline_chain &chain, attempt_number attempt)
{
    run.attempt = attempt;
    run.chain = chain;
    run.startedAt = std::chrono::steady_clock::now();
    run.anyToken = false;
    m_shared.servers.with([&](fleet &servers) {
        for (const chain_stage &stage : chain.stages) {
            servers.recordStart(stage.server);
        }
    });
    m_shared.counters.count("chestnutgw_attempts_total");
    if (attempt.value > 1) {
        m_shared.decisions.record(state->id, decision_reason::resumed,
                                  "attempt=" + std::to_string(attempt.value) + " tokens=" + std::to_string(state->session->tokens().size())
                                      + " chain=" + describe(chain));
    }
    generate_request wanted;
    wanted.request = state->id;
    wanted.attempt = attempt;
    wanted.model = state->request.modelName;
    wanted.version = state->session->version();
    wanted.chain = chain;
    wanted.prompt = state->request.prompt;
    wanted.tokens = state->session->tokens();
    wanted.maxTokens = state->request.maxTokens;
    state->dispatched = true;
    run.transfer = m_engines->generate(
        wanted,
        {[this, state, attempt](const token_event &event, const std::vector<stage_timing> &timings) { handleToken(state, attempt, event, timings); },
         [this, state, attempt](attempt_number ended, int tokens, const std::string &reason) { handleDone(state, attempt, ended, tokens, reason); },
         [this, state, attempt](const engine_failure &failure) { handleFailure(state, attempt, failure); }});
}

// No chain covers the model at the moment. A stream that has begun waits for one, to avoid truncating the answer; any other
// request is refused at once.
void pipeline_driver::waitForChain(const request_state_pointer &state)
{
    const steady_time now = std::chrono::steady_clock::now();
    if (state->session->tokens().empty()) {
        refuse(state, 503, decision_reason::refused_no_chain, "no chain of servers covers the model", NO_CHAIN_RETRY_AFTER);
        return;
    }
    if (now >= state->streamDeadline) {
        giveUp(state, "no chain of servers covers the model");
        return;
    }
    state->waitTimer = m_loop.after(CHAIN_POLL_INTERVAL, [this, state] {
        state->waitTimer = 0;
        beginAttempt(state);
    });
}

void pipeline_driver::endRun(attempt_run &run, bool cancel)
{
    if (run.transfer == 0) {
        return;
    }
    if (cancel) {
        m_engines->cancel(run.transfer);
    }
    run.transfer = 0;
    m_shared.servers.with([&](fleet &servers) {
        for (const chain_stage &stage : run.chain.stages) {
            servers.recordEnd(stage.server);
        }
    });
}

void pipeline_driver::endAllRuns(const request_state_pointer &state)
{
    endRun(state->current, true);
    endRun(state->challenger, true);
    m_loop.cancel(state->stallTimer);
    state->stallTimer = 0;
}

// The current attempt has ended, and the challenger takes its place.
void pipeline_driver::promoteChallenger(const request_state_pointer &state)
{
    state->session->promoteChallenger();
    state->current = std::exchange(state->challenger, {});
    state->lastProgressAt = state->current.startedAt;
}

void pipeline_driver::recordServerFailure(const request_state_pointer &state, const server_id &failedServer, bool countsAsFailure)
{
    if (failedServer.empty()) {
        return;
    }
    state->avoid.insert(failedServer);
    if (countsAsFailure) {
        m_shared.servers.with([&](fleet &servers) { servers.recordFailure(failedServer, std::chrono::steady_clock::now()); });
    }
}

// Ends a failed attempt. As long as another one runs beside it, the request goes on with that.
void pipeline_driver::attemptFailed(const request_state_pointer &state, attempt_run &run, decision_reason reason, const server_id &failedServer,
                                    const std::string &detail, bool countsAsFailure)
{
    endRun(run, true);
    m_shared.decisions.record(state->id, reason, "server=" + failedServer.text + " " + detail);
    recordServerFailure(state, failedServer, countsAsFailure);
    if (&run == &state->challenger) {
        state->session->withdrawChallenger();
        const int doublings = std::min(state->failedChallengers++, MAX_CHALLENGE_DOUBLINGS);
        state->nextChallenge = std::chrono::steady_clock::now() + CHALLENGE_DELAY * (1 << doublings);
        return;
    }
    if (state->challenger.transfer != 0) {
        promoteChallenger(state);
        return;
    }
    retry(state, detail, countsAsFailure);
}

void pipeline_driver::retry(const request_state_pointer &state, const std::string &detail, bool countsAsFailure)
{
    m_loop.cancel(state->stallTimer);
    state->stallTimer = 0;
    if (state->session->complete(state->session->attempt(), state->request.maxTokens, "length")) {
        completeRequest(state); // all tokens are there, only the end was lost
        return;
    }
    ++state->retries;
    bool allowed = true;
    if (countsAsFailure) {
        const std::lock_guard lock(m_shared.budgetMutex);
        allowed = m_shared.budget.take();
    }
    if (!allowed) {
        m_shared.decisions.record(state->id, decision_reason::retry_budget_empty, "");
    }
    const milliseconds delay = retryDelay(state->retries, m_random);
    const bool pastDeadline = std::chrono::steady_clock::now() + delay >= state->end();
    if (!allowed || pastDeadline || state->retries >= m_shared.settings.maxAttempts) {
        giveUp(state, detail);
        return;
    }
    if (delay.count() == 0) {
        beginAttempt(state);
        return;
    }
    state->waitTimer = m_loop.after(delay, [this, state] {
        state->waitTimer = 0;
        beginAttempt(state);
    });
}

// Starts a challenger when no token has arrived for too long. The timeout follows the token rate of the stream. A token does not
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
        challenge(state, limit);
        due = now + CHAIN_POLL_INTERVAL;
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
void pipeline_driver::challenge(const request_state_pointer &state, milliseconds silence)
{
    const steady_time now = std::chrono::steady_clock::now();
    if (state->challenger.transfer != 0) {
        if (now < state->challenger.startedAt + m_shared.settings.firstTokenTimeout) {
            return;
        }
        const server_id silent = state->challenger.chain.stages.front().server;
        attemptFailed(state, state->challenger, decision_reason::stage_silent, silent,
                      "silent for " + std::to_string(m_shared.settings.firstTokenTimeout.count()) + " ms", true);
    }
    if (now < state->nextChallenge || state->retries + 2 >= m_shared.settings.maxAttempts) {
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
    if (!chain) {
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
    startRun(state, state->challenger, *chain, state->session->challenge(*chain));
}

//-----------------------------------------------------------------------------
// Events of an attempt
//-----------------------------------------------------------------------------

void pipeline_driver::handleToken(const request_state_pointer &state, attempt_number attempt, const token_event &event,
                                  const std::vector<stage_timing> &timings)
{
    const bool fromChallenger = state->challenger.isLive(attempt);
    if (state->closed || (!fromChallenger && !state->current.isLive(attempt))) {
        return; // an engine may have sent it in one piece with what ended its attempt
    }
    attempt_run &run = fromChallenger ? state->challenger : state->current;
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
    if (fromChallenger) {
        recordTakeover(state);
    }
    endRun(state->challenger, true);
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
    state->failedChallengers = 0;
    state->nextChallenge = {};
    state->budgetNoted = false;
    m_shared.counters.count("chestnutgw_tokens_total", labels);
    sendToken(state, event.text);
}

// The challenger went on first and is the session's current attempt. The one that stalled ends.
void pipeline_driver::recordTakeover(const request_state_pointer &state)
{
    endRun(state->current, true);
    recordServerFailure(state, state->current.chain.stages.front().server, true);
    state->current = std::exchange(state->challenger, {});
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
    const bool fromChallenger = state->challenger.isLive(attempt);
    if (state->closed || (!fromChallenger && !state->current.isLive(attempt))) {
        return;
    }
    attempt_run &run = fromChallenger ? state->challenger : state->current;
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
    const bool fromChallenger = state->challenger.isLive(attempt);
    if (state->closed || (!fromChallenger && !state->current.isLive(attempt))) {
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
    attemptFailed(state, fromChallenger ? state->challenger : state->current, leaving ? decision_reason::stage_left : decision_reason::stage_failed,
                  failure.failedServer, failure.code + ": " + failure.message, !leaving);
}

//-----------------------------------------------------------------------------
// Completion
//-----------------------------------------------------------------------------

void pipeline_driver::completeRequest(const request_state_pointer &state)
{
    const std::string &reason = state->session->finishReason();
    if (state->request.stream) {
        state->call->write(formatChunk(state->id, state->request.model, {}, reason));
        state->call->write(STREAM_END);
        state->call->finish();
    } else {
        http_response response;
        response.headers = {{"Chestnutgw-Request-Id", state->id.text}, {"Chestnutgw-Verdict", std::string(toText(verdict::ran))}};
        const auto words = static_cast<std::size_t>(std::count(state->request.prompt.begin(), state->request.prompt.end(), ' '));
        response.body = formatCompletion(state->id, state->request.model, state->session->tokens(), reason, words);
        state->call->respond(std::move(response));
    }
    m_shared.decisions.record(state->id, decision_reason::completed,
                              "tokens=" + std::to_string(state->session->tokens().size()) + " attempts=" + std::to_string(state->session->attempt().value));
    m_shared.counters.count("chestnutgw_completed_total", {{"account", state->account.id.text}});
    m_shared.counters.observe("chestnutgw_request_seconds", toSeconds(std::chrono::steady_clock::now() - state->started),
                              {{"account", state->account.id.text}});
    close(state);
}

void pipeline_driver::refuse(const request_state_pointer &state, int status, decision_reason reason, const std::string &message, milliseconds retryAfter)
{
    m_shared.decisions.record(state->id, reason, message);
    http_response response = errorResponse(status, toText(reason), message, state->dispatched ? verdict::may_have_run : verdict::not_run, retryAfter);
    response.headers.emplace_back("Chestnutgw-Request-Id", state->id.text);
    state->call->respond(std::move(response));
    close(state);
}

void pipeline_driver::giveUp(const request_state_pointer &state, const std::string &message)
{
    m_shared.decisions.record(state->id, decision_reason::gave_up, message);
    m_shared.counters.count("chestnutgw_gave_up_total", {{"account", state->account.id.text}});
    if (state->headSent) {
        state->call->write(formatStreamError("gave_up", message, verdict::may_have_run));
        state->call->finish();
    } else {
        http_response response = errorResponse(503, "gave_up", message, verdict::may_have_run, NO_CHAIN_RETRY_AFTER);
        response.headers.emplace_back("Chestnutgw-Request-Id", state->id.text);
        state->call->respond(std::move(response));
    }
    close(state);
}

// The client has left.
void pipeline_driver::abandon(const request_state_pointer &state)
{
    m_shared.decisions.record(state->id, decision_reason::caller_gone, "");
    endAllRuns(state);
    close(state);
}

void pipeline_driver::close(const request_state_pointer &state)
{
    if (state->closed) {
        return;
    }
    state->closed = true;
    m_loop.cancel(state->stallTimer);
    m_loop.cancel(state->waitTimer);
    if (state->ticket != 0) {
        m_shared.admission.ended(state->queue, state->ticket);
    }
    --m_shared.inFlight;
}

}
