#include "client.h"

#include <algorithm>
#include <thread>

namespace chestnut::soak
{

namespace
{

constexpr milliseconds DEADLINE{6000};
constexpr milliseconds STREAM_GAP{2000};    // a client leaves a stream that is silent for longer
constexpr milliseconds PLAIN_LIMIT{1500};   // of the routes
constexpr milliseconds SLOW_STEP{30};       // between two reads of a slow client
constexpr milliseconds MIN_RETRY_TIME{500}; // no retry with less time left
constexpr int MAX_ATTEMPTS = 3;

bool isStream(request_kind kind)
{
    return kind == request_kind::stream || kind == request_kind::single;
}

// True if the status promises that the request did not run.
bool promises(int status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

bool mayRetry(const attempt &last)
{
    const bool settled = last.status == 400 || last.status == 401 || last.status == 404 || last.status == 413 || last.status == 431;
    const bool success = last.status == 200 && last.complete;
    if (settled || success || last.left) {
        return false;
    }
    return last.kind == request_kind::safe || last.kind == request_kind::stream || promises(last.status);
}

}

client::client(client_environment &environment, int seed, int number)
    : m_environment(environment)
    , m_random(static_cast<std::uint64_t>(seed), static_cast<std::uint64_t>(number))
    , m_name("c" + std::to_string(number))
{
}

int client::draw(int count)
{
    return static_cast<int>(m_random(static_cast<std::uint32_t>(count)));
}

void client::run()
{
    while (!m_environment.stopping()) {
        if (!m_wire || !m_wire->connected() || draw(20) == 0) {
            reconnect();
        }
        const auto kind = static_cast<request_kind>(draw(4));
        const manner how = draw(12) == 0 ? manner::leaves : draw(15) == 0 ? manner::slow : manner::usual;
        std::vector<request> batch{newRequest(kind)};
        while (!isStream(kind) && how == manner::usual && batch.size() < 4 && draw(3) == 0) {
            batch.push_back(newRequest(kind));
        }
        const std::vector<attempt> attempts = exchange(batch, how);
        for (std::size_t i = 0; i < batch.size(); ++i) {
            retry(batch[i], attempts[i]);
        }
        const bool idles = draw(40) == 0;
        std::this_thread::sleep_for(idles ? m_environment.idleLimit() * 4 / 5 : milliseconds(draw(120)));
    }
}

void client::runLeaving()
{
    constexpr std::size_t MAX_PIPELINED = 4;
    while (!m_environment.stopping()) {
        reconnect();
        std::vector<request> batch{newRequest(static_cast<request_kind>(draw(4)))};
        while (batch.size() < MAX_PIPELINED && draw(3) == 0) {
            batch.push_back(newRequest(static_cast<request_kind>(draw(4))));
        }
        exchange(batch, draw(3) == 0 ? manner::leaves_at_once : manner::leaves);
        m_wire->close();
        std::this_thread::sleep_for(milliseconds(draw(150)));
    }
}

void client::reconnect()
{
    m_front = m_environment.pickFront(m_random());
    m_wire = std::make_unique<wire_socket>(wire_socket::connect(m_front.address));
}

client::request client::newRequest(request_kind kind)
{
    const bool crashing = isStream(kind) && m_environment.sendsCrashingPart(m_random());
    return {m_name + "-" + std::to_string(++m_requests), kind, 0, 0, std::chrono::steady_clock::now() + DEADLINE, crashing};
}

std::string client::encode(const request &one, const attempt &entry) const
{
    const std::string body = requestBody(one.subject);
    const auto left = std::chrono::duration_cast<milliseconds>(one.deadline - std::chrono::steady_clock::now());
    return std::string("POST /") + toText(one.kind) + "/" + one.subject + " HTTP/1.1\r\nHost: h.example\r\nX-Chestnutgw-Request-Id: " + entry.id
        + "\r\nX-Chestnutgw-Deadline-Ms: " + std::to_string(left.count()) + "\r\nAuthorization: Bearer " + entry.key + "\r\nX-Chestnutgw-Token-Count: 10,10\r\n"
        + (isStream(one.kind) ? partsHeader(one.subject, one.crashing) : "")
        + (one.nextEvent > 0 ? "Last-Event-Id: " + std::to_string(one.nextEvent - 1) + "\r\n" : "") + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

std::vector<attempt> client::exchange(std::vector<request> &batch, manner how)
{
    std::vector<attempt> attempts;
    std::string bytes;
    for (request &one : batch) {
        attempt entry;
        entry.id = one.subject + "-" + std::to_string(one.attempts++);
        entry.subject = one.subject;
        entry.kind = one.kind;
        entry.gateway = m_front.instance;
        entry.boot = m_front.boot;
        entry.key = m_environment.pickKey(m_random());
        const auto left = std::chrono::duration_cast<milliseconds>(one.deadline - std::chrono::steady_clock::now());
        entry.allowed = isStream(one.kind) ? left : std::min(left, PLAIN_LIMIT);
        bytes += encode(one, entry);
        attempts.push_back(std::move(entry));
    }
    const bool sent = m_wire->connected() && m_wire->send(bytes);
    const milliseconds written = m_environment.book.now();
    milliseconds begun = written;
    bool closing = false; // the last answer announced the close of the connection
    bool left = false;    // the client closed it before that answer was complete
    for (std::size_t i = 0; i < batch.size(); ++i) {
        attempt &entry = attempts[i];
        entry.written = written;
        entry.sent = begun;
        entry.crossed = closing || !sent;
        if (m_wire->connected() && !entry.crossed) {
            readAnswer(entry, batch[i], how);
            closing = !m_wire->connected() && entry.complete;
            left = entry.left;
        } else {
            entry.crossed = true;
            entry.left = left;
            entry.how = "not read";
        }
        entry.ended = begun = m_environment.book.now();
        m_environment.book.add(entry);
    }
    if (!sent) {
        m_wire->close();
    }
    return attempts;
}

void client::readAnswer(attempt &entry, request &one, manner how)
{
    read_limits limits;
    limits.gap = isStream(one.kind) ? STREAM_GAP : DEADLINE;
    limits.until = one.deadline;
    const std::size_t leaveAfter = isStream(one.kind) ? static_cast<std::size_t>(draw(400)) : static_cast<std::size_t>(draw(40'000));
    if (how == manner::leaves_at_once) {
        limits.until = std::chrono::steady_clock::now();
    } else if (how == manner::leaves && draw(2) == 0) {
        limits.until = std::chrono::steady_clock::now() + milliseconds(draw(300));
    } else if (how == manner::leaves) {
        limits.onData = [leaveAfter](const http_message &seen) { return seen.body.size() < leaveAfter; };
    } else if (how == manner::slow) {
        limits.onData = [](const http_message &) {
            std::this_thread::sleep_for(SLOW_STEP);
            return true;
        };
    }
    http_message answer;
    const read_end end = m_wire->read(answer, true, limits);
    entry.how = toText(end);
    entry.status = answer.status();
    entry.isSigned = !answer.header("x-chestnutgw-response-signature").empty();
    entry.complete = end == read_end::complete;
    entry.left = end == read_end::left || end == read_end::timed_out;
    check(entry, one, answer);
    if (entry.status == 200) {
        one.nextEvent += entry.events;
    }
    m_retryAfter = milliseconds(static_cast<std::int64_t>(std::atof(answer.header("retry-after").c_str()) * 1000));
    if (end != read_end::complete || answer.header("connection") == "close") {
        m_wire->close();
    }
}

void client::check(attempt &entry, const request &one, const http_message &answer) const
{
    const std::string echoed = answer.header("x-chestnutgw-request-id");
    if (entry.how == toText(read_end::malformed) || (!echoed.empty() && echoed != entry.id)) {
        entry.mixed = "answer '" + answer.start + "' to request '" + echoed + "'";
    }
    if (entry.status != 200) {
        return;
    }
    if (!entry.isSigned || echoed.empty()) {
        entry.mixed = "success without signature or id";
    }
    if (!isStream(one.kind)) {
        if (entry.complete && answer.body != plainBody(one.subject)) {
            entry.mixed = "body of " + std::to_string(answer.body.size()) + " bytes is not the server's";
        }
        return;
    }
    std::size_t at = 0;
    for (std::size_t end = 0; (end = answer.body.find("\n\n", at)) != std::string::npos; at = end + 2) {
        const std::string got = answer.body.substr(at, end + 2 - at);
        const int number = one.nextEvent + entry.events;
        if (got != eventText(one.subject, number)) {
            (got.find(one.subject + "/") == std::string::npos ? entry.mixed : entry.disorder)
                = "event " + std::to_string(number) + " is '" + got.substr(0, 60) + "'";
            return;
        }
        ++entry.events;
    }
    const int last = one.nextEvent + entry.events;
    if (entry.complete && (last != eventCount(one.subject) || at != answer.body.size())) {
        entry.disorder = "complete after " + std::to_string(last) + " of " + std::to_string(eventCount(one.subject)) + " events";
    }
}

void client::retry(request one, attempt last)
{
    while (one.attempts < MAX_ATTEMPTS && mayRetry(last)) {
        const auto left = std::chrono::duration_cast<milliseconds>(one.deadline - std::chrono::steady_clock::now());
        std::this_thread::sleep_for(std::clamp(m_retryAfter, milliseconds(0), std::max(milliseconds(0), left / 3)));
        if (left < MIN_RETRY_TIME || m_environment.stopping()) {
            return;
        }
        reconnect();
        std::vector<request> batch{one};
        last = exchange(batch, manner::usual).front();
        one = batch.front();
    }
}

}
