#include "gateway/operator_api.h"

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

namespace chestnut
{

namespace
{

using json = nlohmann::json;

void respondJson(http_call &call, int status, const json &body)
{
    http_response response;
    response.status = status;
    response.body = body.dump() + "\n";
    call.respond(std::move(response));
}

void answerMetrics(http_call &call, const metrics &counters)
{
    http_response response;
    response.contentType = "text/plain; version=0.0.4";
    response.body = counters.expose();
    call.respond(std::move(response));
}

json describe(const part_finding &finding, const crash_evidence &evidence, steady_time now)
{
    const auto age = [now](steady_time at) { return std::chrono::duration_cast<milliseconds>(now - at).count(); };
    json servers = json::array();
    for (const server_end &end : evidence.about(finding.part).ends) {
        servers.push_back({{"server", end.process.server.text}, {"age_ms", age(end.at)}});
    }
    const part_trial *trial = evidence.trial(finding.part);
    return {{"part", finding.part.text},      {"status", toText(finding.status)},
            {"servers_ended", finding.ends},  {"last_end_ms", age(finding.lastEnd)},
            {"ambiguous", finding.ambiguous}, {"trials", trial == nullptr ? 0 : trial->number - (trial->started ? 0 : 1)},
            {"ends", std::move(servers)}};
}

void listQuarantine(http_call &call, traffic_state &state)
{
    json parts = json::array();
    for (const auto &[part, finding] : state.quarantine.findings()) {
        parts.push_back(describe(finding, state.quarantine.evidence(), std::chrono::steady_clock::now()));
    }
    respondJson(call, 200, {{"parts", std::move(parts)}});
}

void releasePart(http_call &call, traffic_state &state)
{
    const part_id part{call.query("part")};
    if (!state.quarantine.findings().contains(part)) {
        respondJson(call, 404, {{"error", {{"code", "unknown_part"}, {"message", "no such part is suspected or quarantined"}}}});
        return;
    }
    logLine(log_level::warning, "prompt_part_released", {{"part", part.text}});
    state.quarantine.release(part, std::chrono::steady_clock::now());
    state.partReports.report();
    respondJson(call, 200, {{"released", part.text}});
}

}

void answerOperator(const std::shared_ptr<http_call> &call, traffic_state &state)
{
    if (call->path() == "/quarantine" && call->method() == "GET") {
        asio::post(state.context, [call, &state] { listQuarantine(*call, state); });
        return;
    }
    if (call->path() == "/quarantine/release" && call->method() == "POST") {
        asio::post(state.context, [call, &state] { releasePart(*call, state); });
        return;
    }
    answerMetrics(*call, state.counters);
}

}
