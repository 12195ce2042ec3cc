// Sections: setup, generations, stages, queue, orders and reports.

#include "kernel/hash.h"
#include "standin/oracle.h"
#include "standin/standin.h"

#include <algorithm>

namespace chestnut
{

namespace
{

using json = nlohmann::json;

constexpr milliseconds STREAM_EXPIRY{1500}; // a stream without activations for this long counts as ended

json errorObject(const std::string &code, const std::string &server, const std::string &message, verdict outcome = verdict::may_have_run)
{
    return json{{"error", {{"code", code}, {"server", server}, {"message", message}, {"verdict", toText(outcome)}}}};
}

http_response refusal(int status, const std::string &code, const std::string &server, const std::string &message)
{
    http_response response = errorResponse(status, code, message, verdict::not_run);
    response.body = errorObject(code, server, message, verdict::not_run).dump() + "\n";
    return response;
}

std::string streamKey(const json &work)
{
    return work.at("request").get<std::string>() + "/" + std::to_string(work.at("attempt").get<int>());
}

}

std::vector<holding> parseHoldings(const std::string &text)
{
    std::vector<holding> holdings;
    std::size_t start = 0;
    while (start < text.size()) {
        const std::size_t end = std::min(text.find(';', start), text.size());
        const std::string one = text.substr(start, end - start);
        const auto at = one.find('@');
        const auto colon = one.find(':', at == std::string::npos ? 0 : at);
        const auto dash = one.find('-', colon == std::string::npos ? 0 : colon);
        if (at == std::string::npos || colon == std::string::npos || dash == std::string::npos) {
            throw std::invalid_argument("'" + one + "' is not model@version:first-last");
        }
        holdings.push_back({model_id{one.substr(0, at)},
                            one.substr(at + 1, colon - at - 1),
                            {std::stoi(one.substr(colon + 1, dash - colon - 1)), std::stoi(one.substr(dash + 1))}});
        start = end + 1;
    }
    return holdings;
}

//-----------------------------------------------------------------------------
// Setup
//-----------------------------------------------------------------------------

engine_standin::engine_standin(engine_standin_options options)
    : standin(options.name, options.port)
    , m_options(std::move(options))
    , m_slotFreeMs(static_cast<std::size_t>(std::max(1, m_options.slots)), 0.0)
    , m_start(std::chrono::steady_clock::now())
{
    listen();
}

engine_standin::~engine_standin()
{
    stopServing();
}

bool engine_standin::hasStreams()
{
    bool result = false;
    loop().run([&] { result = countStreams() > 0; });
    return result;
}

void engine_standin::handle(const call_pointer &call)
{
    try {
        if (call->path() == "/v1/generate") {
            startGeneration(call);
        } else if (call->path() == "/v1/activations") {
            activate(call);
        } else if (call->path() == "/v1/report") {
            answerJson(call, report());
        } else if (call->path() == "/v1/orders") {
            handleOrder(call);
        } else {
            call->respond(errorResponse(404, "no_such_path", call->path(), verdict::not_run));
        }
    } catch (const json::exception &problem) {
        call->respond(refusal(400, "bad_request", m_options.name, problem.what()));
    }
}

//-----------------------------------------------------------------------------
// Generations
//-----------------------------------------------------------------------------

struct engine_standin::generation
{
    call_pointer call;         // gets the events
    json work;                 // activation that is passed along the chain
    std::uint64_t context = 0; // oracle context of the next token
    int index = 0;             // of the next token
    int maxTokens = 0;
    std::string key; // request/attempt
};

void engine_standin::startGeneration(const call_pointer &call)
{
    const auto self = std::make_shared<generation>();
    const json body = json::parse(call->body());
    self->call = call;
    self->key = streamKey(body);
    self->maxTokens = body.at("max_tokens").get<int>();
    const std::string model = body.at("model").get<std::string>();
    const std::string version = body.at("version").get<std::string>();
    const json &first = body.at("chain").at(0);
    if (faults().leaving) {
        call->respond(refusal(503, "leaving", m_options.name, "no new work"));
        return;
    }
    if (first.at("server").get<std::string>() != m_options.name || !holds(model, version, {first.at("first").get<int>(), first.at("last").get<int>()})) {
        call->respond(refusal(409, "not_held", m_options.name, "the engine does not hold these layers"));
        return;
    }
    const std::string prompt = body.at("prompt").get<std::string>();
    self->context = oracleContext(model, version, prompt);
    for (const json &token : body.at("tokens")) {
        self->context = oracleNextContext(self->context, token.get<std::string>());
        ++self->index;
    }
    self->work = {{"request", body.at("request")}, {"attempt", body.at("attempt")},        {"model", model}, {"version", version},
                  {"chain", body.at("chain")},     {"priority", body.value("priority", 0)}};
    self->work["prefill"] = std::count(prompt.begin(), prompt.end(), ' ') + 1 + self->index;
    m_streams[self->key] = std::chrono::steady_clock::now();
    http_response head;
    head.contentType = "text/event-stream";
    call->beginStream(std::move(head));
    nextToken(self);
}

void engine_standin::nextToken(const generation_pointer &self)
{
    if (self->call->clientDisconnected()) {
        m_streams.erase(self->key);
        return;
    }
    self->work["index"] = self->index;
    self->work["state"] = self->context;
    self->work["position"] = 0;
    self->work["final"] = self->index + 1 >= self->maxTokens;
    runStages(self->work, [this, self](const json &result) { tokenDone(self, result); });
}

void engine_standin::tokenDone(const generation_pointer &self, const json &result)
{
    if (faults().stall || isConnectionStalled(self->call)) {
        return;
    }
    if (faults().crash) {
        self->call->cut();
        return;
    }
    if (result.contains("error")) {
        self->call->write("data: " + result.dump() + "\n\n");
        self->call->finish();
        m_streams.erase(self->key);
        return;
    }
    const std::string text = result.at("text").get<std::string>();
    const json event{
        {"attempt", self->work["attempt"]}, {"index", self->index}, {"text", text}, {"version", self->work["version"]}, {"stages", result.at("stages")}};
    self->call->write("data: " + event.dump() + "\n\n");
    ++m_tokens;
    ++self->index;
    self->context = oracleNextContext(self->context, text);
    self->work.erase("prefill");
    const bool stops = result.at("stop").get<bool>();
    if (!stops && self->index < self->maxTokens) {
        nextToken(self);
        return;
    }
    const json end{{"done", true}, {"attempt", self->work["attempt"]}, {"count", self->index}, {"reason", stops ? "stop" : "length"}};
    self->call->write("data: " + end.dump() + "\n\n");
    self->call->finish();
    m_streams.erase(self->key);
}

//-----------------------------------------------------------------------------
// Stages
//-----------------------------------------------------------------------------

void engine_standin::activate(const call_pointer &call)
{
    json work = json::parse(call->body());
    const std::string key = streamKey(work);
    if (faults().leaving && !m_streams.contains(key)) {
        call->respond(refusal(503, "leaving", m_options.name, "no new work"));
        return;
    }
    const double delayMs = m_options.linkMs;
    const auto run = [this, call, work = std::move(work), delayMs, key] {
        m_streams[key] = std::chrono::steady_clock::now();
        const bool last = work.value("final", false);
        runStages(work, [this, call, delayMs, key, last](json result) {
            if (last || result.value("stop", false)) {
                m_streams.erase(key);
            }
            loop().after(microseconds(static_cast<std::int64_t>(delayMs * 1000)),
                         [this, call, result = std::move(result)] { answerJson(call, result, result.contains("error") ? 502 : 200); });
        });
    };
    loop().after(microseconds(static_cast<std::int64_t>(delayMs * 1000)), run);
}

void engine_standin::runStages(const json &work, std::function<void(json)> done)
{
    const json &stage = work.at("chain").at(work.at("position").get<std::size_t>());
    const layer_range range{stage.at("first").get<int>(), stage.at("last").get<int>()};
    if (!holds(work.at("model").get<std::string>(), work.at("version").get<std::string>(), range)) {
        done(errorObject("not_held", m_options.name, "the engine does not hold these layers"));
        return;
    }
    const double prefill = 1 + m_options.prefillShare * work.value("prefill", 0);
    const steady_time received = std::chrono::steady_clock::now();
    enqueue(work.value("priority", 0),
            {m_options.layerMs * range.count() * prefill * faults().slow, [this, work = json(work), range, received, done = std::move(done)]() mutable {
                 std::uint64_t state = work.at("state").get<std::uint64_t>();
                 for (int layer = range.first; layer < range.last; ++layer) {
                     state = oracleLayer(state, layer);
                 }
                 const double stageMs = toSeconds(std::chrono::steady_clock::now() - received) * 1000;
                 const json self{{"server", m_options.name}, {"first", range.first}, {"last", range.last}, {"stage_ms", stageMs}, {"link_ms", 0.0}};
                 const std::size_t position = work.at("position").get<std::size_t>();
                 if (position + 1 == work.at("chain").size()) {
                     done(json{{"text", oracleToken(state)}, {"stop", oracleStops(state)}, {"stages", json::array({self})}});
                     return;
                 }
                 work["state"] = state;
                 work["position"] = position + 1;
                 forward(std::move(work), [self, done = std::move(done)](json result) {
                     if (result.contains("stages")) {
                         result["stages"].insert(result["stages"].begin(), self);
                     }
                     done(std::move(result));
                 });
             }});
}

void engine_standin::forward(json work, std::function<void(json)> done)
{
    const json &next = work.at("chain").at(work.at("position").get<std::size_t>());
    const std::string server = next.at("server").get<std::string>();
    // An earlier hop must not time out before a later one has reported its error, so its timeout covers all later hops.
    const auto remainingStages = work.at("chain").size() - work.at("position").get<std::size_t>();
    http_request request;
    request.method = "POST";
    request.url = "http://" + next.at("address").get<std::string>() + "/v1/activations";
    request.connectTimeout = m_options.hopTimeout;
    request.totalTimeout = m_options.hopTimeout * static_cast<int>(remainingStages);
    request.body = work.dump();
    const steady_time sent = std::chrono::steady_clock::now();
    loop().start(std::move(request),
                 {{}, [server, sent, done = std::move(done)](const http_result &result) {
                      json answer = json::parse(result.body, nullptr, false);
                      if (!result.completed() || !answer.is_object() || (!answer.contains("stages") && !answer.contains("error"))) {
                          done(errorObject("stage_lost", server, result.error.empty() ? "HTTP status " + std::to_string(result.status) : result.error));
                          return;
                      }
                      if (answer.contains("stages")) {
                          double downstreamMs = 0;
                          for (const json &stage : answer["stages"]) {
                              downstreamMs += stage.at("stage_ms").get<double>() + 2 * stage.at("link_ms").get<double>();
                          }
                          const double roundTripMs = toSeconds(std::chrono::steady_clock::now() - sent) * 1000;
                          answer["stages"][0]["link_ms"] = std::max(0.0, (roundTripMs - downstreamMs) / 2);
                      }
                      done(std::move(answer));
                  }});
}

//-----------------------------------------------------------------------------
// Queue
//-----------------------------------------------------------------------------

void engine_standin::enqueue(int priority, job work)
{
    m_queue[priority].push_back(std::move(work));
    runQueuedJobs();
}

// The time at which a slot becomes free is computed in fractional ms and may lie up to 2 ms in the past, so that neither
// the resolution nor the lateness of timers lowers the engine's capacity.
void engine_standin::runQueuedJobs()
{
    while (m_running < m_options.slots) {
        const auto level = std::find_if(m_queue.begin(), m_queue.end(), [](const auto &entry) { return !entry.second.empty(); });
        if (level == m_queue.end()) {
            return;
        }
        job work = std::move(level->second.front());
        level->second.pop_front();
        ++m_running;
        const double nowMs = toSeconds(std::chrono::steady_clock::now() - m_start) * 1000;
        double &slotFreeMs = *std::min_element(m_slotFreeMs.begin(), m_slotFreeMs.end());
        slotFreeMs = std::max(slotFreeMs, nowMs - 2) + work.durationMs;
        const auto wait = microseconds(std::max<std::int64_t>(0, static_cast<std::int64_t>((slotFreeMs - nowMs) * 1000)));
        loop().after(wait, [this, done = std::move(work.done)] {
            --m_running;
            done();
            runQueuedJobs();
        });
    }
}

//-----------------------------------------------------------------------------
// Orders and reports
//-----------------------------------------------------------------------------

bool engine_standin::holds(const std::string &model, const std::string &version, const layer_range &range) const
{
    return std::any_of(m_options.holdings.begin(), m_options.holdings.end(),
                       [&](const holding &one) { return one.model.text == model && one.version == version && one.range == range; });
}

int engine_standin::countStreams()
{
    const steady_time oldest = std::chrono::steady_clock::now() - STREAM_EXPIRY;
    std::erase_if(m_streams, [oldest](const auto &entry) { return entry.second < oldest; });
    return static_cast<int>(m_streams.size());
}

json engine_standin::report()
{
    json held = json::array();
    for (const holding &one : m_options.holdings) {
        held.push_back({{"model", one.model.text}, {"version", one.version}, {"first", one.range.first}, {"last", one.range.last}});
    }
    std::size_t queued = 0;
    for (const auto &[priority, jobs] : m_queue) {
        queued += jobs.size();
    }
    return json{{"server", m_options.name},
                {"holds", held},
                {"active", m_running},
                {"queued", queued},
                {"slots", m_options.slots},
                {"max_layers", m_options.maxLayers},
                {"layer_ms", m_options.layerMs * faults().slow},
                {"streams", countStreams()},
                {"leaving", faults().leaving},
                {"fence", m_fence},
                {"orders", m_orders},
                {"stale_orders", m_staleOrders},
                {"loading", m_loading},
                {"tokens", m_tokens}};
}

void engine_standin::handleOrder(const call_pointer &call)
{
    const json body = json::parse(call->body());
    const std::uint64_t fence = body.at("fence").get<std::uint64_t>();
    if (m_options.checksFence && fence < m_fence) {
        call->respond(refusal(409, "fenced", m_options.name, "a higher fencing number was seen"));
        return;
    }
    if (fence < m_fence) {
        ++m_staleOrders;
    }
    m_fence = std::max(m_fence, fence);
    std::vector<holding> targetHoldings;
    int layers = 0;
    for (const json &one : body.at("holds")) {
        targetHoldings.push_back(
            {model_id{one.at("model").get<std::string>()}, one.at("version").get<std::string>(), {one.at("first").get<int>(), one.at("last").get<int>()}});
    }
    for (const holding &one : targetHoldings) {
        layers += one.range.count();
    }
    if (layers > m_options.maxLayers) {
        call->respond(refusal(400, "too_large", m_options.name, "the layers do not fit"));
        return;
    }
    if (targetHoldings != m_options.holdings && !m_loading) {
        ++m_orders;
        loadMissingLayers(fence, std::move(targetHoldings));
    }
    answerJson(call, {{"ok", true}});
}

void engine_standin::loadMissingLayers(std::uint64_t fence, std::vector<holding> targetHoldings)
{
    int layers = 0;
    for (const holding &one : targetHoldings) {
        layers += std::find(m_options.holdings.begin(), m_options.holdings.end(), one) == m_options.holdings.end() ? one.range.count() : 0;
    }
    if (layers == 0 || m_options.weightsUrl.empty()) {
        m_options.holdings = std::move(targetHoldings);
        return;
    }
    m_loading = true;
    http_request request;
    request.url = m_options.weightsUrl + "/weights?layers=" + std::to_string(layers);
    loop().start(std::move(request), {{}, [this, fence, targetHoldings = std::move(targetHoldings)](const http_result &result) {
                                          m_loading = false;
                                          if (result.ok() && fence >= m_fence) {
                                              m_options.holdings = targetHoldings;
                                          }
                                      }});
}

void engine_standin::onFaultsChanged()
{
    if (faults().crash) {
        m_streams.clear();
    }
}

}
