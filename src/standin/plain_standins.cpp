// Stand-ins for the instance list, the weight store, a plain service and a link.

#include "standin/standin.h"

namespace chestnut
{

//-----------------------------------------------------------------------------
// Instance list
//-----------------------------------------------------------------------------

instances_standin::instances_standin(std::uint16_t port, milliseconds lag)
    : standin("instances", port)
    , m_lag(lag)
{
    listen();
}

instances_standin::~instances_standin()
{
    stopServing();
}

void instances_standin::handle(const call_pointer &call)
{
    if (call->method() == "PUT") {
        const auto body = nlohmann::json::parse(call->body(), nullptr, false);
        if (!body.is_object() || !body.contains("instances") || !body["instances"].is_array()) {
            call->respond(errorResponse(400, "bad_list", "instances must be a list", verdict::not_run));
            return;
        }
        loop().after(m_lag, [this, list = body["instances"]] { m_visibleList = list; });
    }
    answerJson(call, {{"instances", m_visibleList}});
}

//-----------------------------------------------------------------------------
// Weight store
//-----------------------------------------------------------------------------

weights_standin::weights_standin(std::uint16_t port, double layersPerSecond)
    : standin("weights", port)
    , m_layersPerSecond(layersPerSecond)
{
    listen();
}

weights_standin::~weights_standin()
{
    stopServing();
}

void weights_standin::handle(const call_pointer &call)
{
    constexpr milliseconds MAX_QUEUE_TIME{5000}; // backlog above which loads are refused
    const steady_time now = std::chrono::steady_clock::now();
    if (call->path() == "/stats") {
        answerJson(call, {{"loads", m_loads}, {"refused", m_refused}});
        return;
    }
    const double layers = std::strtod(call->query("layers").c_str(), nullptr);
    if (!(layers > 0)) {
        call->respond(errorResponse(400, "bad_layers", "layers must be a number above 0", verdict::not_run));
        return;
    }
    m_busyUntil = std::max(m_busyUntil, now);
    if (m_busyUntil - now > MAX_QUEUE_TIME) {
        ++m_refused;
        call->respond(errorResponse(429, "rate", "the store is busy", verdict::not_run, std::chrono::ceil<milliseconds>(m_busyUntil - now)));
        return;
    }
    ++m_loads;
    m_busyUntil += fromSeconds(layers / m_layersPerSecond);
    loop().after(std::chrono::ceil<milliseconds>(m_busyUntil - now), [this, call] { answerJson(call, {{"ok", true}}); });
}

//-----------------------------------------------------------------------------
// Plain service
//-----------------------------------------------------------------------------

service_standin::service_standin(std::uint16_t port, bool deduplicates, milliseconds serviceTime)
    : standin("service", port)
    , m_deduplicates(deduplicates)
    , m_serviceTime(serviceTime)
{
    listen();
}

service_standin::~service_standin()
{
    stopServing();
}

void service_standin::handle(const call_pointer &call)
{
    if (call->path() == "/stats") {
        answerJson(call, {{"total", m_total}, {"runs", m_runs}});
        return;
    }
    const std::string key = call->header("idempotency-key");
    int &runs = m_runs[key];
    if (!m_deduplicates || runs == 0) {
        ++runs;
        ++m_total;
    }
    const nlohmann::json body{{"recorded", true}, {"key", key}, {"path", call->path()}, {"bytes", call->body().size()}};
    if (m_serviceTime.count() > 0) {
        loop().after(m_serviceTime, [this, call, body] { answerJson(call, body); });
        return;
    }
    answerJson(call, body);
}

//-----------------------------------------------------------------------------
// Link
//-----------------------------------------------------------------------------

link_standin::link_standin(std::string targetUrl, std::uint16_t port)
    : standin("link", port)
    , m_targetUrl(std::move(targetUrl))
{
    listen();
}

link_standin::~link_standin()
{
    stopServing();
}

void link_standin::handle(const call_pointer &call)
{
    http_request request;
    request.method = call->method();
    request.url = m_targetUrl + call->path();
    std::string query;
    for (const char *name : {"from", "limit", "wait_ms"}) {
        const std::string value = call->query(name);
        query += value.empty() ? "" : (query.empty() ? "?" : "&") + std::string(name) + "=" + value;
    }
    request.url += query;
    request.body = call->body();
    loop().start(std::move(request), {{}, [this, call](http_result result) {
                                          if (!result.completed()) {
                                              call->cut();
                                              return;
                                          }
                                          http_response response{result.status, std::move(result.body), "application/json", {}};
                                          if (!result.verdictHeader.empty()) {
                                              response.headers.emplace_back("Chestnutgw-Verdict", result.verdictHeader);
                                          }
                                          answer(call, std::move(response));
                                      }});
}

}
