// Sections: admission, attempts, completion. Events of attempts are handled in pipeline_events.cpp, stalled ones in pipeline_stalls.cpp.

#include "entry/pipeline_request.h"

#include <algorithm>
#include <utility>

namespace chestnut
{

namespace
{

constexpr milliseconds CHAIN_POLL_INTERVAL{100};  // between searches while no chain covers the model
constexpr milliseconds SECOND_ATTEMPT_DELAY{600}; // after the first failed second attempt of a stall; doubles with each further one
constexpr int MAX_DELAY_DOUBLINGS = 4;
constexpr milliseconds NO_CHAIN_RETRY_AFTER{1000};

std::string describe(const pipeline_chain &chain)
{
    std::string text;
    for (const chain_stage &stage : chain.stages) {
        text += (text.empty() ? "" : ">") + stage.server.text;
    }
    return text;
}

}

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
    if (!reserveContinuation(state)) {
        giveUp(state, "the open requests of all clients hold all the memory they may");
        return;
    }
    startRun(state, state->current, *chain, state->session->begin(*chain));
    state->lastProgressAt = state->current.startedAt;
    monitorProgress(state);
}

// Charges the tokens that a further attempt sends to its engine.
bool pipeline_driver::reserveContinuation(const request_state_pointer &state)
{
    std::size_t bytes = 0;
    for (const std::string &token : state->session->tokens()) {
        bytes += token.size();
    }
    return state->call->reserve(bytes);
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
    endRun(state->second, true);
    m_loop.cancel(state->stallTimer);
    state->stallTimer = 0;
}

// The current attempt has ended, and the second one takes its place.
void pipeline_driver::promoteSecond(const request_state_pointer &state)
{
    state->session->promoteSecond();
    state->current = std::exchange(state->second, {});
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
    if (&run == &state->second) {
        state->session->withdrawSecond();
        const int doublings = std::min(state->failedSecondAttempts++, MAX_DELAY_DOUBLINGS);
        state->nextSecondAttempt = std::chrono::steady_clock::now() + SECOND_ATTEMPT_DELAY * (1 << doublings);
        return;
    }
    if (state->second.transfer != 0) {
        promoteSecond(state);
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
