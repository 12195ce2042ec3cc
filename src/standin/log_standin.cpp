#include "kernel/clock.h"
#include "standin/standin.h"

#include <algorithm>

namespace chestnut
{

namespace
{

std::uint64_t parseUnsigned(const std::string &text)
{
    return std::strtoull(text.c_str(), nullptr, 10);
}

}

log_standin::log_standin(const log_standin_options &options)
    : standin("log", options.port)
    , m_options(options)
    , m_allowance(options.appendsPerSecond)
    , m_allowanceUpdatedAt(std::chrono::steady_clock::now())
{
    listen();
}

log_standin::~log_standin()
{
    stopServing();
}

void log_standin::handle(const call_pointer &call)
{
    const std::string prefix = "/streams/";
    const std::string suffix = "/records";
    const std::string &path = call->path();
    if (path == "/stats") {
        nlohmann::json streams = nlohmann::json::object();
        for (const auto &[name, one] : m_streams) {
            streams[name] = {{"next", one.next}, {"kept", one.records.size()}};
        }
        answerJson(call, {{"appends", m_appends}, {"streams", streams}});
        return;
    }
    if (!path.starts_with(prefix) || !path.ends_with(suffix) || path.size() <= prefix.size() + suffix.size()) {
        call->respond(errorResponse(404, "no_such_path", path, verdict::not_run));
        return;
    }
    const std::string name = path.substr(prefix.size(), path.size() - prefix.size() - suffix.size());
    if (call->method() == "POST") {
        append(call, m_streams[name]);
        return;
    }
    const milliseconds wait(std::min<std::uint64_t>(parseUnsigned(call->query("wait_ms")), 30'000));
    read(call, name, std::chrono::steady_clock::now() + wait);
}

void log_standin::append(const call_pointer &call, stream &target)
{
    const steady_time now = std::chrono::steady_clock::now();
    m_allowance = std::min(m_options.appendsPerSecond, m_allowance + toSeconds(now - m_allowanceUpdatedAt) * m_options.appendsPerSecond);
    m_allowanceUpdatedAt = now;
    if (m_allowance < 1) {
        call->respond(errorResponse(429, "rate", "too many appends", verdict::not_run, milliseconds(1000)));
        return;
    }
    const auto body = nlohmann::json::parse(call->body(), nullptr, false);
    const bool valid = body.is_object() && body.contains("records") && body["records"].is_array() && !body["records"].empty();
    if (!valid || !std::all_of(body["records"].begin(), body["records"].end(), [](const auto &one) { return one.is_string(); })) {
        call->respond(errorResponse(400, "bad_records", "records must be a list of texts", verdict::not_run));
        return;
    }
    m_allowance -= 1;
    ++m_appends;
    const std::uint64_t first = target.next;
    for (const auto &one : body["records"]) {
        target.records.push_back({target.next++, wallClockMs(), one.get<std::string>()});
    }
    trim(target);
    const auto waiters = std::exchange(target.waiters, {});
    for (const auto &waiter : waiters) {
        waiter();
    }
    answerJson(call, {{"first", first}});
}

void log_standin::trim(stream &target)
{
    const std::int64_t oldest = wallClockMs() - m_options.retention.count();
    while (!target.records.empty() && target.records.front().timeMs < oldest) {
        target.records.pop_front();
    }
}

void log_standin::read(const call_pointer &call, const std::string &name, steady_time deadline)
{
    stream &source = m_streams[name];
    trim(source);
    const std::uint64_t from = parseUnsigned(call->query("from"));
    const std::uint64_t limit = std::clamp<std::uint64_t>(parseUnsigned(call->query("limit")), 1, 10'000);
    const steady_time now = std::chrono::steady_clock::now();
    if (from >= source.next && now < deadline) {
        // Both a new record and the end of the wait call retry; only the first call may read.
        const auto alreadyRetried = std::make_shared<bool>(false);
        const auto retry = [this, call, name, deadline, alreadyRetried] {
            if (!std::exchange(*alreadyRetried, true)) {
                read(call, name, deadline);
            }
        };
        source.waiters.push_back(retry);
        loop().after(std::chrono::ceil<milliseconds>(deadline - now), retry);
        return;
    }
    nlohmann::json records = nlohmann::json::array();
    const auto start
        = std::lower_bound(source.records.begin(), source.records.end(), from, [](const record &one, std::uint64_t offset) { return one.offset < offset; });
    for (auto at = start; at != source.records.end() && records.size() < limit; ++at) {
        records.push_back({{"offset", at->offset}, {"time_ms", at->timeMs}, {"data", at->data}});
    }
    const std::uint64_t oldest = source.records.empty() ? source.next : source.records.front().offset;
    answerJson(call, {{"oldest", oldest}, {"next", source.next}, {"records", std::move(records)}});
}

}
