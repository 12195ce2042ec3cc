// Engine adapter "stages": requests as JSON over HTTP, tokens as server-sent events. docs/PROTOCOLS.md describes the messages.

#include "backend/engine.h"
#include "backend/event_stream.h"
#include "kernel/registry.h"

#include <nlohmann/json.hpp>

namespace chestnut
{

namespace
{

using json = nlohmann::json;

constexpr milliseconds CONNECT_TIMEOUT{400};
constexpr milliseconds REPORT_TIMEOUT{1000};
constexpr milliseconds ORDER_TIMEOUT{2000};

json encodeChain(const pipeline_chain &chain)
{
    json stages = json::array();
    for (const chain_stage &stage : chain.stages) {
        stages.push_back({{"server", stage.server.text}, {"address", stage.address}, {"first", stage.range.first}, {"last", stage.range.last}});
    }
    return stages;
}

json encodeHoldings(const std::vector<holding> &holdings)
{
    json list = json::array();
    for (const holding &one : holdings) {
        list.push_back({{"model", one.model.text}, {"version", one.version}, {"first", one.range.first}, {"last", one.range.last}});
    }
    return list;
}

server_report parseReport(const json &value)
{
    server_report report;
    value.at("active").get_to(report.active);
    value.at("queued").get_to(report.queued);
    value.at("slots").get_to(report.slots);
    value.at("layer_ms").get_to(report.layerMs);
    value.at("streams").get_to(report.streams);
    value.at("leaving").get_to(report.leaving);
    report.maxLayers = value.value("max_layers", 0);
    report.loading = value.value("loading", false);
    for (const json &one : value.at("holds")) {
        report.holdings.push_back(
            {model_id{one.at("model").get<std::string>()}, one.at("version").get<std::string>(), {one.at("first").get<int>(), one.at("last").get<int>()}});
    }
    const bool valid = report.slots >= 1 && report.layerMs > 0 && report.layerMs < 1e6 && report.active >= 0 && report.queued >= 0 && report.streams >= 0;
    if (!valid) {
        throw std::invalid_argument("load report: value out of range");
    }
    return report;
}

// State of a running generation.
struct generation
{
    generate_handler handler;
    event_stream_decoder decoder;
    server_id first; // server of the first stage
    attempt_number attempt;
    bool ended = false;    // onDone or onFailure was called
    bool anyEvent = false; // an event was received

    void fail(verdict ran, const std::string &code, const server_id &failedServer, const std::string &message)
    {
        if (!ended) {
            ended = true;
            handler.onFailure({ran, code, failedServer, message});
        }
    }
};

void handleToken(generation &state, const json &event)
{
    token_event token;
    std::vector<stage_timing> timings;
    event.at("attempt").get_to(token.attempt.value);
    event.at("index").get_to(token.index);
    event.at("text").get_to(token.text);
    event.at("version").get_to(token.version);
    for (const json &stage : event.at("stages")) {
        token.ranges.push_back({stage.at("first").get<int>(), stage.at("last").get<int>()});
        timings.push_back({server_id{stage.at("server").get<std::string>()}, stage.at("stage_ms").get<double>(), stage.at("link_ms").get<double>()});
    }
    state.handler.onToken(std::move(token), std::move(timings));
}

void handleEvent(generation &state, const std::string &data)
{
    if (state.ended) {
        return;
    }
    try {
        const json event = json::parse(data);
        state.anyEvent = true;
        if (event.contains("error")) {
            const json &error = event.at("error");
            state.fail(verdict::may_have_run, error.at("code").get<std::string>(), server_id{error.value("server", "")}, error.value("message", ""));
            return;
        }
        if (event.contains("done")) {
            state.ended = true;
            state.handler.onDone(attempt_number{event.at("attempt").get<int>()}, event.at("count").get<int>(), event.at("reason").get<std::string>());
            return;
        }
        handleToken(state, event);
    } catch (const json::exception &problem) {
        state.fail(verdict::may_have_run, "protocol", state.first, problem.what());
    }
}

void handleEnd(generation &state, const http_result &result)
{
    if (!result.connected) {
        state.fail(verdict::not_run, "connect", state.first, result.error);
        return;
    }
    if (result.completed() && result.status != 200) {
        const json body = json::parse(result.body, nullptr, false);
        const bool hasErrorObject = body.is_object() && body.contains("error") && body["error"].is_object();
        const std::string code = hasErrorObject ? body["error"].value("code", "refused") : "refused";
        const std::string failedServer = hasErrorObject ? body["error"].value("server", state.first.text) : state.first.text;
        state.fail(parseVerdict(result.verdictHeader), code, server_id{failedServer}, "HTTP status " + std::to_string(result.status));
        return;
    }
    state.fail(verdict::may_have_run, result.timedOut ? "silent" : "cut", state.first,
               result.error.empty() ? "the stream ended before the last event" : result.error);
}

class stage_engine : public engine_adapter
{
public:
    explicit stage_engine(event_loop &loop)
        : m_loop(loop)
    {
    }

    transfer_id generate(const generate_request &wanted, generate_handler handler) override
    {
        const chain_stage &first = wanted.chain.stages.front();
        json body{{"request", wanted.request.text}, {"attempt", wanted.attempt.value},    {"model", wanted.model.text},
                  {"version", wanted.version},      {"chain", encodeChain(wanted.chain)}, {"prompt", wanted.prompt},
                  {"tokens", wanted.tokens},        {"max_tokens", wanted.maxTokens},     {"priority", wanted.priority}};
        http_request request;
        request.method = "POST";
        request.url = "http://" + first.address + "/v1/generate";
        request.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
        request.headers = {"Content-Type: application/json"};
        request.connectTimeout = CONNECT_TIMEOUT;
        const auto state = std::make_shared<generation>();
        state->handler = std::move(handler);
        state->first = first.server;
        state->attempt = wanted.attempt;
        return m_loop.start(std::move(request),
                            {[state](int, std::string_view piece) {
                                 for (const std::string &event : state->decoder.feed(piece)) {
                                     handleEvent(*state, event);
                                 }
                                 if (state->decoder.overflowed()) {
                                     state->fail(verdict::may_have_run, "protocol", state->first, "an event of the stream exceeds the size limit");
                                 }
                             },
                             [state](const http_result &result) { handleEnd(*state, result); }});
    }

    void cancel(transfer_id generation) override
    {
        m_loop.abort(generation);
    }

    void report(const std::string &address, std::function<void(std::optional<server_report>)> done) override
    {
        http_request request;
        request.url = "http://" + address + "/v1/report";
        request.connectTimeout = CONNECT_TIMEOUT;
        request.totalTimeout = REPORT_TIMEOUT;
        m_loop.start(std::move(request), {{}, [done](const http_result &result) {
                                              if (!result.ok()) {
                                                  done(std::nullopt);
                                                  return;
                                              }
                                              std::optional<server_report> report;
                                              try {
                                                  report = parseReport(json::parse(result.body));
                                              } catch (const std::exception &) {
                                                  report = std::nullopt;
                                              }
                                              done(std::move(report));
                                          }});
    }

    void order(const std::string &address, const engine_order &order, std::function<void(order_status)> done) override
    {
        http_request request;
        request.method = "POST";
        request.url = "http://" + address + "/v1/orders";
        request.body = json{{"fence", order.fence}, {"holds", encodeHoldings(order.holdings)}}.dump();
        request.connectTimeout = CONNECT_TIMEOUT;
        request.totalTimeout = ORDER_TIMEOUT;
        request.singleUse = true;
        m_loop.start(std::move(request), {{}, [done](const http_result &result) {
                                              if (result.completed() && result.status == 409) {
                                                  done(order_status::fenced);
                                                  return;
                                              }
                                              done(result.ok() ? order_status::done : order_status::failed);
                                          }});
    }

private:
    event_loop &m_loop;
};

const plugin_registrar<engine_adapter, event_loop &> REGISTRAR("stages", [](event_loop &loop) { return std::make_unique<stage_engine>(loop); });

}

}
