#include "gateway_deployment.h"

#include <stdexcept>

using nlohmann::json;

namespace chestnut::test
{

const std::string SIGNATURE = "X-Chestnutgw-Response-Signature: s.1\r\n";

std::string answer(const raw_request &request, const std::string &body, const std::string &more)
{
    return "HTTP/1.1 200 OK\r\n" + SIGNATURE + "X-Chestnutgw-Request-Id: " + request.header("X-Chestnutgw-Request-Id") + "\r\n" + more
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string notRun(const raw_request &request)
{
    return "HTTP/1.1 503 Service Unavailable\r\nX-Chestnutgw-Not-Executed: 1\r\n" + SIGNATURE
        + "X-Chestnutgw-Request-Id: " + request.header("X-Chestnutgw-Request-Id") + "\r\nContent-Length: 0\r\n\r\n";
}

std::string streamHead(const raw_request &request)
{
    return "HTTP/1.1 200 OK\r\n" + SIGNATURE + "X-Chestnutgw-Request-Id: " + request.header("X-Chestnutgw-Request-Id")
        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: piece" + std::to_string(id) + "\n\n";
}

std::string chunk(const std::string &bytes)
{
    char size[20];
    std::snprintf(size, sizeof size, "%zx", bytes.size());
    return size + ("\r\n" + bytes) + "\r\n";
}

std::string events(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id) {
        text += chunk(event(id));
    }
    return text;
}

std::string report(const raw_request &, const std::string &stalledId, const std::string &stalledAddress)
{
    json body{{"Phase", "both"}, {"Busy", false}, {"Sequence", 0}, {"Models", json::array()}};
    if (!stalledId.empty()) {
        body["Stalled"] = {{{"Id", stalledId}, {"Address", stalledAddress}}};
    }
    const std::string text = body.dump();
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
}

int firstEventOf(const raw_request &request)
{
    const std::string last = request.header("Last-Event-Id");
    return last.empty() ? 0 : std::stoi(last) + 1;
}

server_script answering(const std::string &body)
{
    return [body](raw_connection &out, const raw_request &in) {
        out.write(answer(in, body));
        return true;
    };
}

server_script streaming(int last)
{
    return [last](raw_connection &out, const raw_request &in) {
        out.write(in.target() == "/report" ? report(in) : streamHead(in) + events(firstEventOf(in), last) + "0\r\n\r\n");
        return true;
    };
}

deployment::deployment(int endpoints)
    : store(endpoints)
{
}

void deployment::publish(int version, const json &changes)
{
    json config{{"Version", version},
                {"Routes",
                 {{{"Name", "once"},
                   {"Hostname", "h.example"},
                   {"PathPrefix", "/once/"},
                   {"RouteType", "non_idempotent"},
                   {"TimeoutMs", 1500},
                   {"LatencyGoalMs", 100},
                   {"Service", "app"},
                   {"MaxAttempts", 1}},
                  {{"Name", "safe"},
                   {"Hostname", "h.example"},
                   {"PathPrefix", "/safe/"},
                   {"RouteType", "safe"},
                   {"TimeoutMs", 1500},
                   {"LatencyGoalMs", 100},
                   {"Service", "app"},
                   {"MaxAttempts", 2}},
                  {{"Name", "stream"},
                   {"Hostname", "h.example"},
                   {"PathPrefix", "/stream/"},
                   {"RouteType", "streaming"},
                   {"TimeoutMs", 8000},
                   {"LatencyGoalMs", 500},
                   {"GapAimMs", 200},
                   {"Service", "lm"},
                   {"MaxAttempts", 2},
                   {"Affinity", true},
                   {"StreamResume", true}},
                  {{"Name", "single"},
                   {"Hostname", "h.example"},
                   {"PathPrefix", "/single/"},
                   {"RouteType", "streaming"},
                   {"TimeoutMs", 8000},
                   {"LatencyGoalMs", 500},
                   {"GapAimMs", 200},
                   {"Service", "lm"},
                   {"MaxAttempts", 2},
                   {"Affinity", true},
                   {"StreamResume", false}}}},
                {"Services",
                 {{{"Name", "app"}, {"MaxConns", 100}},
                  {{"Name", "lm"},
                   {"MaxConns", 100},
                   {"Engine",
                    {{"KvBytes", 1000}, {"Layers", 4}, {"LayerMb", 1.0}, {"step_ms", 1.0}, {"Kinds", {{{"Name", "k"}, {"SizeMb", 100.0}, {"pace", 1.0}}}}}}}}},
                {"Limits", {{"HeaderBytes", 2000}, {"MaxBodyBytes", 5000}, {"HeaderTimeoutMs", 700}, {"IdleTimeoutMs", 5000}}},
                {"Tenants", {{{"Name", "t1"}, {"ApiKeys", {"key1", "key2"}}}}}};
    config.merge_patch(changes);
    store.put("keyed.op", "config", config.dump());
}

void deployment::addServer(const std::string &id, const std::string &service, const std::string &address, int from, int to, const std::string &state, int slots)
{
    json entry{{"Service", service}, {"Address", address}, {"Zone", "a"}, {"BatchSlots", slots}, {"State", state}};
    if (to > 0) {
        entry["RouteType"] = "k";
        entry["Models"] = {{{"Name", "m"}, {"Layers", {{"From", from}, {"Target", to}}}}};
    }
    store.put("keyed.servers", id, entry.dump());
}

child_process &deployment::startGateway(const std::string &name, int endpoint, const std::vector<std::string> &moreSettings)
{
    std::vector<std::string> settings{
        "instance.name=" + name,     "instance.failure_domain=a",    "instance.front=127.0.0.1:0",          "instance.ready=127.0.0.1:0",
        "instance.peer=127.0.0.1:0", "instance.metrics=127.0.0.1:0", "platform.url=" + store.url(endpoint), "repeats.extra=1000"};
    settings.insert(settings.end(), moreSettings.begin(), moreSettings.end());
    gateways.push_back(std::make_unique<child_process>("chestnutgw-gateway", settings));
    return *gateways.back();
}

std::string deployment::front(std::size_t gateway) const
{
    return gateways[gateway]->listening().at("front");
}

int deployment::readyStatus(std::size_t gateway) const
{
    return request("GET", "http://" + gateways[gateway]->listening().at("ready").get<std::string>() + "/ready").status;
}

std::string deployment::metricsText(std::size_t gateway) const
{
    return request("GET", "http://127.0.0.1:" + gateways[gateway]->listening().at("metrics_port").get<std::string>() + "/metrics").body;
}

void deployment::start(const std::vector<std::string> &moreSettings)
{
    publish(1);
    startGateway("g1", 0, moreSettings);
    if (!eventually([&] { return readyStatus() == 200; })) {
        throw std::runtime_error("the gateway did not become ready");
    }
}

std::string makeRequest(const std::string &path, const std::string &id, const std::string &more, const std::string &body, const std::string &key)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Chestnutgw-Request-Id: " + id + "\r\nX-Chestnutgw-Deadline-Ms: 6000\r\nAuthorization: Bearer "
        + key + "\r\nX-Chestnutgw-Token-Count: 10,10\r\n" + more + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

int statusOf(const std::string &bytes)
{
    return bytes.starts_with("HTTP/1.1 ") ? std::stoi(bytes.substr(9, 3)) : 0;
}

std::string exchange(const std::string &front, const std::string &bytes, int limitMs)
{
    raw_client client(front);
    std::string closing = bytes;
    closing.insert(closing.find("\r\n") + 2, "Connection: close\r\n");
    client.write(closing);
    return client.readUntil("\x01never", limitMs);
}

int countOf(const std::string &text, const std::string &part)
{
    int count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

bool isWholeStream(const std::string &got, int last)
{
    bool whole = statusOf(got) == 200 && got.ends_with("0\r\n\r\n");
    for (int id = 0; id <= last; ++id) {
        whole = whole && countOf(got, "data: piece" + std::to_string(id) + "\n") == 1;
    }
    return whole;
}

}
