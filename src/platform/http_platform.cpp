// Adapters "http" for the log service and the instance list of the platform.

#include "kernel/registry.h"
#include "platform/platform.h"

#include <nlohmann/json.hpp>

namespace chestnut
{

namespace
{

using json = nlohmann::json;

constexpr milliseconds CONNECT_TIMEOUT{500};
constexpr milliseconds APPEND_TIMEOUT{1500};   // an append without a response by then has the status unknown
constexpr milliseconds LONG_POLL_MARGIN{1500}; // a read without a response after its wait plus this time has failed; also the timeout for the instance list

append_result parseAppendAnswer(const http_result &result)
{
    if (!result.connected) {
        return {append_status::refused, {}};
    }
    if (result.completed() && result.status == 429) {
        return {append_status::throttled, {}};
    }
    if (result.completed() && result.status == 503) {
        return {append_status::refused, {}};
    }
    if (!result.ok()) {
        return {append_status::unknown, {}};
    }
    const json answer = json::parse(result.body, nullptr, false);
    if (!answer.is_object() || !answer.contains("first") || !answer["first"].is_number_unsigned()) {
        return {append_status::unknown, {}};
    }
    return {append_status::appended, log_offset{answer["first"].get<std::uint64_t>()}};
}

read_result parseReadAnswer(const http_result &result)
{
    if (!result.ok()) {
        return {};
    }
    try {
        const json answer = json::parse(result.body);
        read_result read;
        answer.at("oldest").get_to(read.oldest.value);
        answer.at("next").get_to(read.next.value);
        for (const json &one : answer.at("records")) {
            read.entries.push_back(
                {log_offset{one.at("offset").get<std::uint64_t>()}, one.at("time_ms").get<std::int64_t>(), one.at("data").get<std::string>()});
        }
        read.ok = true;
        return read;
    } catch (const json::exception &) {
        return {};
    }
}

class http_log_service : public log_service
{
public:
    http_log_service(event_loop &loop, std::string url)
        : m_loop(loop)
        , m_url(std::move(url))
    {
    }

    void append(const std::string &stream, std::vector<std::string> records, std::function<void(append_result)> done) override
    {
        http_request request;
        request.method = "POST";
        request.url = m_url + "/streams/" + stream + "/records";
        request.body = json{{"records", std::move(records)}}.dump(-1, ' ', false, json::error_handler_t::replace);
        request.connectTimeout = CONNECT_TIMEOUT;
        request.totalTimeout = APPEND_TIMEOUT;
        request.singleUse = true; // libcurl must not repeat an append on its own
        m_loop.start(std::move(request), {{}, [done](const http_result &result) { done(parseAppendAnswer(result)); }});
    }

    void read(const std::string &stream, log_offset from, int limit, milliseconds wait, std::function<void(read_result)> done) override
    {
        http_request request;
        request.url = m_url + "/streams/" + stream + "/records?from=" + std::to_string(from.value) + "&limit=" + std::to_string(limit)
            + "&wait_ms=" + std::to_string(wait.count());
        request.connectTimeout = CONNECT_TIMEOUT;
        request.totalTimeout = wait + LONG_POLL_MARGIN;
        m_loop.start(std::move(request), {{}, [done](const http_result &result) { done(parseReadAnswer(result)); }});
    }

private:
    event_loop &m_loop;
    std::string m_url;
};

std::optional<std::vector<listed_instance>> parseInstances(const http_result &result)
{
    if (!result.ok()) {
        return std::nullopt;
    }
    try {
        std::vector<listed_instance> list;
        const json answer = json::parse(result.body);
        for (const json &one : answer.at("instances")) {
            list.push_back({one.at("name").get<std::string>(), one.at("role").get<std::string>(), one.at("address").get<std::string>(),
                            domain_id{one.at("failure_domain").get<std::string>()}, one.at("state").get<std::string>() == "leaving"});
        }
        return list;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

class http_instance_list : public instance_list
{
public:
    http_instance_list(event_loop &loop, std::string url)
        : m_loop(loop)
        , m_url(std::move(url))
    {
    }

    void fetch(std::function<void(std::optional<std::vector<listed_instance>>)> done) override
    {
        http_request request;
        request.url = m_url + "/instances";
        request.connectTimeout = CONNECT_TIMEOUT;
        request.totalTimeout = LONG_POLL_MARGIN;
        m_loop.start(std::move(request), {{}, [done](const http_result &result) { done(parseInstances(result)); }});
    }

private:
    event_loop &m_loop;
    std::string m_url;
};

const plugin_registrar<log_service, event_loop &, const std::string &> LOG("http", [](event_loop &loop, const std::string &url) {
    return std::make_unique<http_log_service>(loop, url);
});
const plugin_registrar<instance_list, event_loop &, const std::string &> INSTANCES("http", [](event_loop &loop, const std::string &url) {
    return std::make_unique<http_instance_list>(loop, url);
});

}

}
