// Sections: routes, clients, health, operators.

#include "entry/http_api.h"

#include "kernel/hash.h"
#include "kernel/log.h"

#include <nlohmann/json.hpp>

namespace chestnut
{

namespace
{

using json = nlohmann::json;

constexpr milliseconds SHUTDOWN_RETRY_AFTER{1000};
constexpr milliseconds MEMORY_RETRY_AFTER{1000};
constexpr std::size_t CHAT_BODY_COPIES = 2;             // the prompt, and the request to an engine
constexpr std::size_t SERVICE_BODY_COPIES = 1;          // the request to a replica
constexpr milliseconds DEFAULT_PUBLISH_TIMEOUT{10'000}; // for a change to be appended to the log and applied
constexpr milliseconds MAX_PUBLISH_TIMEOUT{600'000};

json resultToJson(const std::string &id, const change_result &result)
{
    return json{{"id", id}, {"offset", result.offset.value}, {"outcome", toText(result.outcome)}, {"detail", result.detail}};
}

json problemsToJson(const std::vector<sheet_problem> &problems)
{
    json list = json::array();
    for (const sheet_problem &one : problems) {
        list.push_back({{"row", one.row}, {"column", one.column}, {"message", one.message}});
    }
    return list;
}

json memberToJson(const member &row, member_state state)
{
    static constexpr const char *NAMES[] = {"alive", "suspect", "dead"};
    return json{{"instance", row.id.text},
                {"failure_domain", row.domain.text},
                {"peer_address", row.address},
                {"state", NAMES[static_cast<int>(state)]},
                {"leaving", row.leaving},
                {"config_offset", row.configOffset.value},
                {"claims_offset", row.claimsOffset.value},
                {"streams", row.streams}};
}

json serverToJson(const fleet_server &one, steady_time now)
{
    json holds = json::array();
    if (one.report) {
        for (const holding &part : one.report->holdings) {
            holds.push_back(part.model.text + "@" + part.version + ":" + std::to_string(part.range.first) + "-" + std::to_string(part.range.last));
        }
    }
    const std::string_view why = one.unusableReason(now);
    return json{{"server", one.id.text},
                {"failure_domain", one.domain.text},
                {"address", one.address},
                {"usable", why.empty()},
                {"reason", why},
                {"holds", holds},
                {"own_streams", one.inFlight},
                {"streams", one.report ? one.report->streams : 0},
                {"failures", one.failures}};
}

}

//-----------------------------------------------------------------------------
// Routes
//-----------------------------------------------------------------------------

const http_api::route http_api::ROUTES[] = {
    {"POST", "/v1/chat/completions", &http_api::chat, false},
    {"GET", "/v1/models", &http_api::models, false},
    {"", "/services/", &http_api::service, false},
    {"GET", "/healthz", &http_api::health, false},
    {"GET", "/readyz", &http_api::readiness, false},
    {"GET", "/metrics", &http_api::exposeMetrics, false},
    {"GET", "/operator/status", &http_api::status, true},
    {"GET", "/operator/sheet", &http_api::sheet, true},
    {"POST", "/operator/sheets", &http_api::publishSheet, true},
    {"POST", "/operator/server-state", &http_api::setServerState, true},
    {"GET", "/operator/explain", &http_api::explain, true},
    {"PUT", "/operator/log-level", &http_api::setLevel, true},
    {"PUT", "/test/faults", &http_api::setFaults, true},
};

http_api::http_api(entry_shared &shared, http_api_parts parts)
    : m_shared(shared)
    , m_parts(parts)
{
}

void http_api::handle(const call_pointer &call)
{
    bool pathKnown = false;
    for (const route &one : ROUTES) {
        const std::string_view path = one.path;
        const bool matches = path.ends_with('/') ? call->path().starts_with(path) : call->path() == path;
        if (!matches) {
            continue;
        }
        pathKnown = true;
        if (*one.method != '\0' && call->method() != one.method) {
            continue;
        }
        if (one.operatorOnly && !hasOperatorKey(call)) {
            call->respond(errorResponse(401, "operator_key", "this path needs the operator key", verdict::not_run));
            return;
        }
        (this->*one.handler)(call);
        return;
    }
    if (pathKnown) {
        call->respond(errorResponse(405, "method", call->method() + " is not allowed here", verdict::not_run));
        return;
    }
    call->respond(errorResponse(404, "no_such_path", call->path(), verdict::not_run));
}

void http_api::answerJson(const call_pointer &call, const std::string &body, int status)
{
    call->respond({status, body + "\n", "application/json", {}});
}

//-----------------------------------------------------------------------------
// Clients
//-----------------------------------------------------------------------------

std::optional<account_settings> http_api::authorise(const call_pointer &call)
{
    const std::shared_ptr<const config_view> current = m_shared.current.load();
    if (m_shared.leaving || current->offset.value == 0) {
        const char *message = m_shared.leaving ? "this instance shuts down" : "no configuration is in force yet";
        m_shared.counters.count("chestnutgw_decisions_total", {{"reason", std::string(toText(decision_reason::refused_shutdown))}});
        call->respond(errorResponse(503, toText(decision_reason::refused_shutdown), message, verdict::not_run, SHUTDOWN_RETRY_AFTER));
        return std::nullopt;
    }
    const std::string key = bearerKey(*call);
    const auto found = key.empty() ? current->accountsByKey.end() : current->accountsByKey.find(sha256Hex(key));
    if (found == current->accountsByKey.end()) {
        m_shared.counters.count("chestnutgw_decisions_total", {{"reason", std::string(toText(decision_reason::refused_account_unknown))}});
        call->respond(errorResponse(401, toText(decision_reason::refused_account_unknown), "the bearer key belongs to no client account", verdict::not_run));
        return std::nullopt;
    }
    if (found->second.suspended) {
        m_shared.counters.count("chestnutgw_decisions_total", {{"reason", std::string(toText(decision_reason::refused_account_suspended))}});
        call->respond(errorResponse(403, toText(decision_reason::refused_account_suspended), "the client account is suspended", verdict::not_run));
        return std::nullopt;
    }
    return found->second;
}

// Charges the copies of the body that are held while the request runs. Rejects the request if there is no memory for them.
bool http_api::reserveCopies(const call_pointer &call, std::size_t copies)
{
    if (call->reserve(copies * call->body().size())) {
        return true;
    }
    m_shared.counters.count("chestnutgw_decisions_total", {{"reason", std::string(toText(decision_reason::refused_overload))}});
    call->respond(errorResponse(503, "no_memory", "the open requests of all clients hold all the memory they may", verdict::not_run, MEMORY_RETRY_AFTER));
    return false;
}

void http_api::chat(const call_pointer &call)
{
    std::optional<account_settings> account = authorise(call);
    if (!account) {
        return;
    }
    if (!reserveCopies(call, CHAT_BODY_COPIES)) {
        return;
    }
    auto parsed = parseChatRequest(call->body());
    if (const auto *error = std::get_if<field_error>(&parsed)) {
        call->respond(errorResponse(400, "bad_field", error->field + " " + error->message, verdict::not_run));
        return;
    }
    const std::size_t shard = m_nextShard++ % m_parts.pipelines.size();
    m_parts.pipelines[shard]->start(call, std::move(*account), std::get<chat_request>(std::move(parsed)));
}

void http_api::models(const call_pointer &call)
{
    const std::optional<account_settings> account = authorise(call);
    if (account) {
        call->respond({200, formatModels(*account), "application/json", {}});
    }
}

void http_api::service(const call_pointer &call)
{
    std::optional<account_settings> account = authorise(call);
    if (!account) {
        return;
    }
    const std::string rest = call->path().substr(std::string_view("/services/").size());
    const std::string name = rest.substr(0, rest.find('/'));
    const std::shared_ptr<const config_view> current = m_shared.current.load();
    const auto found = current->services.find(service_id{name});
    if (found == current->services.end()) {
        call->respond(errorResponse(404, "no_such_service", "there is no service '" + name + "'", verdict::not_run));
        return;
    }
    if (!reserveCopies(call, SERVICE_BODY_COPIES)) {
        return;
    }
    const std::string path = rest.size() > name.size() ? rest.substr(name.size()) : "/";
    m_parts.services.start(call, std::move(*account), found->second, path);
}

//-----------------------------------------------------------------------------
// Health
//-----------------------------------------------------------------------------

void http_api::health(const call_pointer &call)
{
    answerJson(call, R"({"status":"up"})");
}

void http_api::readiness(const call_pointer &call)
{
    const bool ready = !m_shared.leaving && m_shared.current.load()->offset.value > 0;
    answerJson(call, ready ? R"({"status":"ready"})" : R"({"status":"not ready"})", ready ? 200 : 503);
}

void http_api::exposeMetrics(const call_pointer &call)
{
    m_shared.counters.set("chestnutgw_in_flight", m_shared.inFlight.load());
    call->respond({200, m_shared.counters.expose(), "text/plain; version=0.0.4", {}});
}

//-----------------------------------------------------------------------------
// Operators
//-----------------------------------------------------------------------------

bool http_api::hasOperatorKey(const call_pointer &call) const
{
    const std::string &wanted = m_shared.settings.operatorKeySha256;
    return wanted.empty() || sha256Hex(bearerKey(*call)) == wanted;
}

void http_api::status(const call_pointer &call)
{
    m_parts.control.post([this, call] {
        const steady_time now = std::chrono::steady_clock::now();
        json instances = json::array();
        for (const auto &[row, state] : m_parts.members.all(now)) {
            instances.push_back(memberToJson(row, state));
        }
        json servers = json::array();
        m_shared.servers.with([&](const fleet &all) {
            for (const auto &[id, one] : all.servers) {
                servers.push_back(serverToJson(one, now));
            }
        });
        const json body{{"instance", m_shared.settings.name},
                        {"version", CHESTNUTGW_VERSION},
                        {"config_offset", m_parts.config.fold().applied().value},
                        {"config_age_ms", m_parts.config.age().count()},
                        {"log_reachable", m_parts.config.logReachable() && m_parts.claims.logReachable()},
                        {"claims_offset", m_parts.claims.claimManager().table().applied().value},
                        {"claims_ready", m_parts.claims.claimManager().ready()},
                        {"keys", m_parts.claims.claimManager().table().size()},
                        {"in_flight", m_shared.inFlight.load()},
                        {"leaving", m_shared.leaving.load()},
                        {"instances", std::move(instances)},
                        {"servers", std::move(servers)}};
        answerJson(call, body.dump());
    });
}

void http_api::sheet(const call_pointer &call)
{
    m_parts.control.post([this, call] {
        const config_fold &fold = m_parts.config.fold();
        std::vector<config_row> rows;
        for (const auto &[key, row] : fold.rows()) {
            rows.push_back(row);
        }
        answerJson(call, json{{"offset", fold.applied().value}, {"sheet", formatSheet(rows)}}.dump());
    });
}

void http_api::publish(const call_pointer &call, config_change change)
{
    const std::string id = change.id;
    const std::string waitText = call->query("wait_ms");
    const milliseconds timeout
        = waitText.empty() ? DEFAULT_PUBLISH_TIMEOUT : std::min(milliseconds(std::strtoll(waitText.c_str(), nullptr, 10)), MAX_PUBLISH_TIMEOUT);
    const std::size_t count = change.rows.size();
    m_parts.config.publish(std::move(change), timeout, [this, call, id, count](const std::optional<change_result> &result) {
        if (!result) {
            call->respond(errorResponse(504, "not_settled", "the log did not settle the change '" + id + "' in time; ask again with the same id",
                                        verdict::may_have_run, SHUTDOWN_RETRY_AFTER));
            return;
        }
        json body = resultToJson(id, *result);
        body["changed_rows"] = count;
        answerJson(call, body.dump(), result->outcome == change_outcome::accepted ? 200 : 409);
    });
}

void http_api::publishSheet(const call_pointer &call)
{
    const parsed_sheet sheet = parseSheet(call->body());
    if (!sheet.problems.empty()) {
        answerJson(call,
                   json{{"error", {{"code", "bad_sheet"}, {"message", "the sheet has faults; nothing was applied"}, {"verdict", "not_run"}}},
                        {"problems", problemsToJson(sheet.problems)}}
                       .dump(),
                   400);
        return;
    }
    m_parts.control.post([this, call, sheet] {
        const config_fold &fold = m_parts.config.fold();
        config_change change;
        change.id = call->query("id").empty() ? m_shared.newRequestId().text : call->query("id");
        change.author = call->query("author");
        if (const auto known = fold.resultOf(change.id)) {
            json body = resultToJson(change.id, *known);
            body["changed_rows"] = 0;
            answerJson(call, body.dump(), known->outcome == change_outcome::accepted ? 200 : 409);
            return;
        }
        const std::string base = call->query("base");
        change.base = base.empty() ? fold.applied() : log_offset{std::strtoull(base.c_str(), nullptr, 10)};
        const std::optional<config_rows> before = fold.rowsAt(change.base);
        if (!before) {
            call->respond(errorResponse(409, "stale", "base offset " + base + " is not known here", verdict::not_run));
            return;
        }
        config_rows wanted;
        for (const config_row &row : sheet.rows) {
            wanted.emplace(row.key(), row);
        }
        change.rows = diffRows(*before, wanted);
        if (change.rows.empty()) {
            answerJson(call,
                       json{{"id", change.id}, {"offset", fold.applied().value}, {"outcome", "accepted"}, {"detail", "nothing to change"}, {"changed_rows", 0}}
                           .dump());
            return;
        }
        publish(call, std::move(change));
    });
}

// POST /operator/server-state?server=NAME&state=draining|active: a change of one row of the sheet.
void http_api::setServerState(const call_pointer &call)
{
    const std::string name = call->query("server");
    const std::string state = call->query("state");
    if (state != "draining" && state != "active") {
        call->respond(errorResponse(400, "bad_field", "state must be draining or active", verdict::not_run));
        return;
    }
    m_parts.control.post([this, call, name, state] {
        const config_fold &fold = m_parts.config.fold();
        const auto found = fold.rows().find("server//" + name);
        if (found == fold.rows().end()) {
            call->respond(errorResponse(404, "no_such_server", "there is no backend server '" + name + "'", verdict::not_run));
            return;
        }
        config_change change;
        change.id = call->query("id").empty() ? m_shared.newRequestId().text : call->query("id");
        change.author = call->query("author");
        change.base = fold.applied();
        config_row row = found->second;
        row.state = state;
        change.rows.push_back({row.key(), row});
        publish(call, std::move(change));
    });
}

void http_api::explain(const call_pointer &call)
{
    const request_id id{call->query("request")};
    json entries = json::array();
    for (const decision_entry &entry : m_shared.decisions.find(id)) {
        entries.push_back({{"time_ms", entry.timeMs}, {"reason", toText(entry.reason)}, {"detail", entry.detail}});
    }
    if (entries.empty()) {
        call->respond(errorResponse(404, "no_such_request", "this instance remembers no request '" + id.text + "'", verdict::not_run));
        return;
    }
    answerJson(call, json{{"request", id.text}, {"decisions", std::move(entries)}}.dump(-1, ' ', false, json::error_handler_t::replace));
}

void http_api::setLevel(const call_pointer &call)
{
    try {
        setLogLevel(parseLogLevel(call->query("level")));
        answerJson(call, "{}");
    } catch (const std::invalid_argument &problem) {
        call->respond(errorResponse(400, "bad_field", problem.what(), verdict::not_run));
    }
}

void http_api::setFaults(const call_pointer &call)
{
    const json body = json::parse(call->body(), nullptr, false);
    if (!m_shared.settings.testFaults || !body.is_object()) {
        call->respond(errorResponse(403, "test_faults", "faults are off, or the body is no JSON object", verdict::not_run));
        return;
    }
    m_parts.control.post([this, call, body] {
        m_parts.peers.setBlockedPeers(body.value("cut", std::set<std::string>()));
        m_shared.testHoldDispatchMs = body.value("hold_dispatch_ms", 0);
        m_shared.testHoldSendMs = body.value("hold_send_ms", 0);
        answerJson(call, "{}");
    });
}

}
