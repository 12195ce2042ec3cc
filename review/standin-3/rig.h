// Stand-ins of the users' platform for the scripts of this review: the metadata store, plain servers and clients, on loopback addresses;
// and the start and the end of gateways by the command of the deploy file. One header, so that each script is one program without
// dependencies.

#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace rig
{

using steady = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

inline const steady::time_point START = steady::now();

inline double seconds()
{
    return std::chrono::duration<double>(steady::now() - START).count();
}

inline void sleepMs(long time)
{
    std::this_thread::sleep_for(ms(time));
}

// Waits until that time, counted as seconds() does.
inline void waitUntil(double at)
{
    const double left = at - seconds();
    if (left > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double>(left));
    }
}

//-- Record --

inline std::mutex recordMutex;
inline FILE *recordFile = nullptr;

inline void record(const char *format, ...)
{
    const std::lock_guard<std::mutex> lock(recordMutex);
    if (recordFile == nullptr) {
        return;
    }
    std::fprintf(recordFile, "%8.3f ", seconds());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(recordFile, format, arguments);
    va_end(arguments);
    std::fputc('\n', recordFile);
    std::fflush(recordFile);
}

// False if the script runs without the disruption.
inline bool troubled()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

//-- Sockets --

inline int listenAt(int &port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    if (::bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 || ::listen(fd, 512) != 0) {
        ::close(fd);
        throw std::runtime_error("cannot listen");
    }
    socklen_t length = sizeof address;
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &length);
    port = ntohs(address.sin_port);
    return fd;
}

// A port that nothing listens at, below those that the system hands out by itself: it stays free until its process binds it.
inline int freePort()
{
    static int next = 20'000 + static_cast<int>(::getpid()) * 37 % 10'000;
    while (true) {
        int port = next = next < 30'000 ? next + 1 : 20'000;
        try {
            ::close(listenAt(port));
            return port;
        } catch (const std::runtime_error &) { // in use
        }
    }
}

inline int connectTo(int port, int limitMs = 1000)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    timeval limit{limitMs / 1000, limitMs % 1000 * 1000};
    ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    if (::connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

inline bool sendAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

//-- Messages --

struct message
{
    std::string first; // request line or status line
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
    std::string header(std::string name) const
    {
        for (char &c : name) {
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        }
        const auto found = headers.find(name);
        return found == headers.end() ? "" : found->second;
    }
    std::string method() const
    {
        return first.substr(0, first.find(' '));
    }
    std::string target() const
    {
        const auto begin = first.find(' ') + 1;
        return first.substr(begin, first.find(' ', begin) - begin);
    }
    int status() const
    {
        return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0;
    }
    std::string query(const std::string &name) const
    {
        const std::string text = target();
        auto at = text.find('?');
        while (at != std::string::npos) {
            const auto end = text.find('&', at + 1);
            const std::string one = text.substr(at + 1, end == std::string::npos ? end : end - at - 1);
            if (one.rfind(name + "=", 0) == 0) {
                return one.substr(name.size() + 1);
            }
            at = end;
        }
        return {};
    }
};

// Reads one message; `buffer` keeps what follows it. False if the connection ended or the time is up. Knows bodies with a length, in
// chunks, and, for answers, those that end with the connection.
inline bool readMessage(int fd, std::string &buffer, message &result, int limitMs, bool isAnswer)
{
    const auto until = steady::now() + ms(limitMs);
    bool ended = false;
    const auto more = [&] {
        const long left = std::chrono::duration_cast<ms>(until - steady::now()).count();
        pollfd entry{fd, POLLIN, 0};
        if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left)) <= 0) {
            return false;
        }
        char bytes[16384];
        const ssize_t got = ::recv(fd, bytes, sizeof bytes, 0);
        if (got <= 0) {
            ended = got == 0;
            return false;
        }
        buffer.append(bytes, static_cast<std::size_t>(got));
        return true;
    };
    std::size_t head = 0;
    while ((head = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!more()) {
            return false;
        }
    }
    result = {};
    std::istringstream lines(buffer.substr(0, head + 2));
    buffer.erase(0, head + 4);
    std::string line;
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        const auto colon = line.find(':');
        if (result.first.empty()) {
            result.first = line;
        } else if (colon != std::string::npos) {
            std::string name = line.substr(0, colon);
            for (char &c : name) {
                c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
            }
            const auto value = line.find_first_not_of(' ', colon + 1);
            result.headers[name] = value == std::string::npos ? "" : line.substr(value);
        }
    }
    if (result.header("transfer-encoding") == "chunked") {
        while (true) {
            std::size_t end = 0;
            while ((end = buffer.find("\r\n")) == std::string::npos) {
                if (!more()) {
                    return false;
                }
            }
            const std::size_t size = std::strtoul(buffer.c_str(), nullptr, 16);
            while (buffer.size() < end + 2 + size + 2) {
                if (!more()) {
                    return false;
                }
            }
            result.body += buffer.substr(end + 2, size);
            buffer.erase(0, end + 2 + size + 2);
            if (size == 0) {
                return true;
            }
        }
    }
    if (const std::string length = result.header("content-length"); !length.empty()) {
        const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
        while (buffer.size() < size) {
            if (!more()) {
                return false;
            }
        }
        result.body = buffer.substr(0, size);
        buffer.erase(0, size);
        return true;
    }
    if (isAnswer && result.status() != 204) {
        while (more()) {
        }
        result.body = std::exchange(buffer, {});
        return ended;
    }
    return true;
}

// HTTP server with a thread for each connection.
class http_server
{
public:
    // Answers a request on the connection; false closes it.
    using handler = std::function<bool(int fd, const message &request)>;

    explicit http_server(handler answer, int port = 0)
        : m_answer(std::move(answer))
        , m_port(port)
        , m_listener(listenAt(m_port))
        , m_acceptor([this] { accept(); })
    {
    }
    ~http_server()
    {
        stop();
    }
    int port() const
    {
        return m_port;
    }
    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_port);
    }
    // As the end of the process: the port is closed, connections are reset.
    void stop()
    {
        if (m_stopping.exchange(true)) {
            return;
        }
        ::shutdown(m_listener, SHUT_RDWR);
        m_acceptor.join();
        ::close(m_listener);
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            for (const int fd : m_open) {
                const linger reset{1, 0};
                ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
                ::shutdown(fd, SHUT_RDWR);
            }
        }
        for (std::thread &one : m_threads) {
            one.join();
        }
    }

private:
    void accept()
    {
        while (!m_stopping) {
            const int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                continue;
            }
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_open.insert(fd);
            m_threads.emplace_back([this, fd] {
                std::string buffer;
                message request;
                while (!m_stopping && readMessage(fd, buffer, request, 60'000, false) && m_answer(fd, request)) {
                }
                const std::lock_guard<std::mutex> inner(m_mutex);
                m_open.erase(fd);
                ::close(fd);
            });
        }
    }

    handler m_answer;
    int m_port;
    int m_listener;
    std::atomic<bool> m_stopping{false};
    std::mutex m_mutex; // guards m_open and m_threads
    std::set<int> m_open;
    std::deque<std::thread> m_threads;
    std::thread m_acceptor;
};

//-- Store --

inline std::string base64(const std::string &text)
{
    static const char *const DIGITS = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t at = 0; at < text.size(); at += 3) {
        unsigned value = 0;
        for (std::size_t i = 0; i < 3; ++i) {
            value = value << 8 | (at + i < text.size() ? static_cast<unsigned char>(text[at + i]) : 0U);
        }
        for (std::size_t i = 0; i < 4; ++i) {
            result += at + i <= text.size() ? DIGITS[value >> (18 - 6 * i) & 63] : '=';
        }
    }
    return result;
}

inline std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string result;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
        result += static_cast<char>(value >> shift & 255);
    }
    return result;
}

// The platform's store: logs of one partition, keyed topics, and an endpoint for each machine, so that it can turn away some machines.
class store
{
public:
    enum class fault
    {
        none,
        busy, // 503
        down, // resets connections
    };

    int addEndpoint()
    {
        const std::size_t index = m_endpoints.size();
        m_faults.push_back(std::make_unique<std::atomic<fault>>(fault::none));
        m_endpoints.push_back(std::make_unique<http_server>([this, index](int fd, const message &request) { return answer(index, fd, request); }));
        return m_endpoints.back()->port();
    }
    void setFault(std::size_t endpoint, fault value)
    {
        *m_faults.at(endpoint) = value;
    }
    void setFaultOfAll(fault value)
    {
        for (auto &one : m_faults) {
            *one = value;
        }
    }
    // Writes a record as the operator or a server does; an empty value drops the key.
    void put(const std::string &topic, const std::string &key, const std::string &value)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        append(topic, std::string(1, static_cast<char>(key.size())) + key + value);
        m_changed.notify_all();
    }
    bool holds(const std::string &topic, const std::string &key)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_topics[topic].newest.count(key) > 0;
    }
    void keepCopy()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_copy = m_topics;
    }
    // Comes back from the copy, in the next era.
    void restore()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_topics = m_copy;
        ++m_era;
        m_changed.notify_all();
    }
    // Calls of a machine so far, by path.
    int calls(std::size_t endpoint, const std::string &path)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_calls[{endpoint, path}];
    }

private:
    struct log
    {
        std::uint64_t first = 0;
        std::deque<std::string> records;
        std::map<std::string, std::pair<std::uint64_t, std::string>> newest;
        std::uint64_t end() const
        {
            return first + records.size();
        }
    };

    void append(const std::string &topic, const std::string &content)
    {
        log &one = m_topics[topic];
        if (topic.rfind("keyed.", 0) == 0 && !content.empty()) {
            const std::size_t length = static_cast<unsigned char>(content[0]);
            const std::string key = content.substr(1, length);
            const std::string value = content.substr(1 + length);
            if (value.empty()) {
                one.newest.erase(key);
            } else {
                one.newest[key] = {one.end(), value};
            }
        }
        one.records.push_back(content);
    }
    bool respond(int fd, int status, const std::string &body, const char *type = "application/json")
    {
        std::uint64_t era = 0;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            era = m_era;
        }
        return respondInEra(fd, status, body, era, type);
    }
    static bool respondInEra(int fd, int status, const std::string &body, std::uint64_t era, const char *type = "application/json")
    {
        return sendAll(fd, "HTTP/1.1 " + std::to_string(status) + " S\r\nStore-Era: " + std::to_string(era) + "\r\nContent-Type: " + type
                               + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    bool answer(std::size_t endpoint, int fd, const message &request)
    {
        const std::string path = request.target().substr(0, request.target().find('?'));
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            ++m_calls[{endpoint, path + " " + request.query("Topic")}];
        }
        if (*m_faults[endpoint] == fault::busy) {
            return respond(fd, 503, "{}");
        }
        if (*m_faults[endpoint] == fault::down) {
            return false;
        }
        const std::string topic = request.query("Topic");
        if (path == "/log-append") {
            return handleAppend(fd, request, topic);
        }
        if (path == "/log-read") {
            return handleRead(endpoint, fd, request, topic);
        }
        if (path == "/log-newest") {
            return handleNewest(fd, topic);
        }
        return respond(fd, 404, "{}");
    }
    bool handleAppend(int fd, const message &request, const std::string &topic)
    {
        std::string body;
        std::uint64_t era = 0;
        int status = 200;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            era = m_era;
            log &one = m_topics[topic];
            const std::string at = request.query("At");
            if (!at.empty() && std::stoull(at) != one.end()) {
                status = 412;
                body = "{\"End\":" + std::to_string(one.end()) + "}";
            } else {
                const std::uint64_t offset = one.end();
                std::size_t from = 0;
                while (from + 4 <= request.body.size()) {
                    std::size_t length = 0;
                    for (int i = 0; i < 4; ++i) {
                        length = length << 8 | static_cast<unsigned char>(request.body[from + static_cast<std::size_t>(i)]);
                    }
                    append(topic, request.body.substr(from + 4, length));
                    from += 4 + length;
                }
                body = "{\"Offset\":" + std::to_string(offset) + ",\"End\":" + std::to_string(one.end()) + "}";
                m_changed.notify_all();
            }
        }
        return respondInEra(fd, status, body, era);
    }
    bool handleRead(std::size_t endpoint, int fd, const message &request, const std::string &topic)
    {
        const std::uint64_t from = std::stoull(request.query("From"));
        const std::string wait = request.query("WaitMs");
        std::unique_lock<std::mutex> lock(m_mutex);
        const std::uint64_t began = m_era;
        m_changed.wait_for(lock, ms(wait.empty() ? 0 : std::stol(wait)), [&] { return m_topics[topic].end() != from || m_era != began; });
        const log one = m_topics[topic];
        const std::uint64_t era = m_era;
        lock.unlock();
        if (*m_faults[endpoint] == fault::down) {
            return false;
        }
        if (from < one.first || from > one.end()) {
            return respondInEra(fd, 410, "{\"First\":" + std::to_string(one.first) + "}", era);
        }
        std::string body = bigEndian(one.end(), 8) + bigEndian(one.first, 8);
        for (std::uint64_t at = from; at < one.end(); ++at) {
            const std::string &content = one.records[at - one.first];
            body += bigEndian(content.size(), 4) + content;
        }
        return respondInEra(fd, 200, body, era, "application/octet-stream");
    }
    bool handleNewest(int fd, const std::string &topic)
    {
        std::string items;
        std::uint64_t end = 0;
        std::uint64_t era = 0;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            const log &one = m_topics[topic];
            for (const auto &[key, entry] : one.newest) {
                items += (items.empty() ? "" : ",") + ("{\"Key\":\"" + key + "\",\"Value\":\"") + base64(entry.second)
                    + "\",\"Offset\":" + std::to_string(entry.first) + "}";
            }
            end = one.end();
            era = m_era;
        }
        return respondInEra(fd, 200, "{\"Items\":[" + items + "],\"HasMore\":false,\"End\":" + std::to_string(end) + "}", era);
    }

    std::mutex m_mutex; // guards all members up to m_calls
    std::condition_variable m_changed;
    std::map<std::string, log> m_topics;
    std::map<std::string, log> m_copy;
    std::uint64_t m_era = 1;
    std::map<std::pair<std::size_t, std::string>, int> m_calls;
    std::deque<std::unique_ptr<std::atomic<fault>>> m_faults;
    std::deque<std::unique_ptr<http_server>> m_endpoints;
};

//-- Plain servers --

// A server of a plain service: registers itself, serves requests, one at a time on a connection.
class plain_server
{
public:
    static constexpr int HEARTBEAT_MS = 1200;

    struct run
    {
        double at;
        std::string request;
    };

    plain_server(store &known, std::string id, int workMs = 10, std::string service = "app")
        : m_store(known)
        , m_id(std::move(id))
        , m_service(std::move(service))
        , m_workMs(workMs)
        , m_born(static_cast<long long>(std::chrono::duration_cast<ms>(std::chrono::system_clock::now().time_since_epoch()).count()))
        , m_http([this](int fd, const message &request) { return answer(fd, request); })
    {
        m_heartbeats = std::thread([this] { beat(); });
    }
    ~plain_server()
    {
        leaveSilently();
        m_http.stop();
        m_beating = false;
        m_heartbeats.join();
    }
    const std::string &id() const
    {
        return m_id;
    }
    std::string address() const
    {
        return m_http.address();
    }
    // Says in all its answers from now on that it leaves.
    void announceLeaving()
    {
        m_leaving = true;
        record("server %s says in its answers that it leaves", m_id.c_str());
    }
    // Leaves without a report: its entry is removed, and it goes on serving.
    void removeEntry()
    {
        m_leaving = true;
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_registered = false;
        m_store.put("keyed.servers", m_id, "");
        record("server %s: its entry is removed", m_id.c_str());
    }
    // Sends no heartbeats any more; what the store has stays there.
    void leaveSilently()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_registered = false;
    }
    void exit()
    {
        record("server %s exits", m_id.c_str());
        m_http.stop();
    }
    // Sends a heartbeat now.
    void heartbeat()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (!m_registered) {
            return;
        }
        ++m_sequence;
        m_store.put("keyed.servers", m_id,
                    "{\"Service\":\"" + m_service + "\",\"Address\":\"" + m_http.address() + "\",\"Zone\":\"a\",\"Version\":\"v1\",\"BatchSlots\":6,\"State\":\"ready\","
                        "\"ColdLeftMs\":0,\"Sequence\":" + std::to_string(m_sequence) + ",\"born\":" + std::to_string(m_born) + "}");
    }
    long sequence()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_sequence;
    }
    std::vector<run> runs()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_runs;
    }

private:
    void beat()
    {
        int left = 0;
        while (m_beating) {
            if (left <= 0) {
                heartbeat();
                left = HEARTBEAT_MS;
            }
            sleepMs(20);
            left -= 20;
        }
    }
    bool answer(int fd, const message &request)
    {
        const std::string number = request.header("X-Chestnutgw-Request-Id");
        const std::string common = "X-Chestnutgw-Request-Id: " + number + "\r\nX-Chestnutgw-Response-Signature: " + m_id + ".1\r\n"
            + (m_leaving ? "Server-Leaving: 1\r\nConnection: close\r\n" : "");
        const std::string wanted = request.header("X-Chestnutgw-Target-Instance");
        if (!wanted.empty() && wanted != m_id) {
            return sendAll(fd, "HTTP/1.1 421 Misdirected Request\r\nX-Chestnutgw-Instance-Id: " + m_id + "\r\n" + common + "Content-Length: 0\r\n\r\n");
        }
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_runs.push_back({seconds(), number});
        }
        record("server %s runs request %s", m_id.c_str(), number.c_str());
        sleepMs(m_workMs);
        const std::string body = "done by " + m_id + " for " + number;
        return sendAll(fd, "HTTP/1.1 200 OK\r\n" + common + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body) && !m_leaving;
    }

    store &m_store;
    std::string m_id;
    std::string m_service;
    int m_workMs;
    long long m_born;
    std::mutex m_mutex; // guards the members below up to m_runs
    bool m_registered = true;
    long m_sequence = 0;
    std::vector<run> m_runs;
    std::atomic<bool> m_beating{true};
    std::atomic<bool> m_leaving{false};
    http_server m_http;
    std::thread m_heartbeats;
};

//-- Gateways --

// A configuration with two plain services: a route of each kind for "app", one for "other".
inline std::string plainConfig(int version)
{
    const auto route = [](const char *name, const char *kind, int attempts, const char *service = "app") {
        return std::string("{\"Name\":\"") + name + "\",\"Hostname\":\"h.example\",\"PathPrefix\":\"/" + name + "/\",\"RouteType\":\"" + kind
            + "\",\"TimeoutMs\":3000,\"LatencyGoalMs\":300,\"Service\":\"" + service + "\",\"MaxAttempts\":" + std::to_string(attempts)
            + ",\"Priority\":1,\"Anonymous\":false,\"Affinity\":false}";
    };
    return "{\"Version\":" + std::to_string(version) + ",\"Routes\":[" + route("once", "non_idempotent", 1) + "," + route("safe", "safe", 2) + "," + route("other", "safe", 2, "other")
        + "],\"Services\":[{\"Name\":\"app\",\"HealthPath\":\"/health\",\"MaxConns\":100,\"Protocol\":\"h1\",\"Tls\":false},"
          "{\"Name\":\"other\",\"HealthPath\":\"/health\",\"MaxConns\":100,\"Protocol\":\"h1\",\"Tls\":false}],"
          "\"Limits\":{\"HeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
          "\"Tenants\":[{\"Name\":\"t1\",\"ApiKeys\":[\"key1\"],\"Priority\":1}]}";
}

// One machine with its gateway process.
class gateway
{
public:
    gateway(std::string folder, std::string name, int storePort, std::string extra = {})
        : m_folder(std::move(folder))
        , m_name(std::move(name))
        , m_front(freePort())
        , m_ready(freePort())
    {
        std::ofstream settings(m_folder + "/" + m_name + ".ini");
        settings << "[instance]\nname = " << m_name << "\nfailure_domain = a\nfront = 127.0.0.1:" << m_front << "\nready = 127.0.0.1:" << m_ready
                 << "\npeer = 127.0.0.1:" << freePort() << "\nmetrics = 127.0.0.1:" << freePort() << "\nmemory = 260\ndescriptors = 1024\ngrace = 8\n\n"
                 << "[platform]\nurl = http://127.0.0.1:" << storePort << "\nnotice_limit = 2000\n\n[repeats]\nratio = 0.2\nextra = 198\nwindow = 10\n"
                 << extra;
    }
    ~gateway()
    {
        kill();
    }
    void start()
    {
        const std::string settings = m_folder + "/" + m_name + ".ini";
        const std::string log = m_folder + "/" + m_name + ".log";
        m_pid = ::fork();
        if (m_pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with this program, however that ends
            const int out = ::open(log.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::execl("target/bin/chestnutgw-gateway", "target/bin/chestnutgw-gateway", "--config", settings.c_str(), static_cast<char *>(nullptr));
            ::_exit(127);
        }
        record("gateway %s is started", m_name.c_str());
    }
    void signal(int number) const
    {
        ::kill(m_pid, number);
    }
    void kill()
    {
        if (m_pid > 0) {
            ::kill(m_pid, SIGKILL);
            ::waitpid(m_pid, nullptr, 0);
            m_pid = -1;
            record("gateway %s is killed", m_name.c_str());
        }
    }
    // True if the process has ended by itself.
    bool ended()
    {
        int status = 0;
        if (m_pid > 0 && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_pid = -1;
            m_status = status;
        }
        return m_pid < 0;
    }
    int status() const
    {
        return m_status;
    }
    int pid() const
    {
        return m_pid;
    }
    bool ready() const
    {
        const int fd = connectTo(m_ready);
        if (fd < 0) {
            return false;
        }
        std::string buffer;
        message answer;
        const bool read = sendAll(fd, "GET /ready HTTP/1.1\r\nHost: r\r\n\r\n") && readMessage(fd, buffer, answer, 1000, true);
        ::close(fd);
        return read && answer.status() == 200;
    }
    bool awaitReady(int limitMs = 10'000) const
    {
        const auto until = steady::now() + ms(limitMs);
        while (!ready()) {
            if (steady::now() > until) {
                return false;
            }
            sleepMs(20);
        }
        return true;
    }
    int front() const
    {
        return m_front;
    }
    const std::string &name() const
    {
        return m_name;
    }

private:
    std::string m_folder;
    std::string m_name;
    int m_front;
    int m_ready;
    pid_t m_pid = -1;
    int m_status = 0;
};

//-- Clients --

// Sends one request on a new connection; status 0 = no whole answer.
inline message ask(const gateway &at, const std::string &path, const std::string &id, const std::string &body = "x", int limitMs = 4000)
{
    message answer;
    const int fd = connectTo(at.front());
    if (fd < 0) {
        record("client: request %s to %s: no connection", id.c_str(), at.name().c_str());
        return answer;
    }
    std::string buffer;
    const double sent = seconds();
    sendAll(fd, "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Chestnutgw-Request-Id: " + id
                    + "\r\nX-Chestnutgw-Deadline-Ms: 3000\r\nAuthorization: Bearer key1\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size())
                    + "\r\n\r\n" + body);
    if (!readMessage(fd, buffer, answer, limitMs, true)) {
        answer = {};
    }
    ::close(fd);
    record("client: request %s sent at %.3f to %s is answered %d %s", id.c_str(), sent, at.name().c_str(), answer.status(), answer.body.substr(0, 60).c_str());
    return answer;
}

// Folder of a run's settings and logs; removed at its end unless KEEP is set.
class temporary_folder
{
public:
    temporary_folder()
    {
        char name[] = "/tmp/chestnutgw-review-XXXXXX";
        if (::mkdtemp(name) == nullptr) {
            throw std::runtime_error("no temporary folder");
        }
        m_path = name;
    }
    ~temporary_folder()
    {
        if (std::getenv("KEEP") == nullptr) {
            const std::string command = "rm -rf '" + m_path + "'";
            (void)!std::system(command.c_str());
        }
    }
    const std::string &path() const
    {
        return m_path;
    }

private:
    std::string m_path;
};

// Runs a script; its result is the exit status: 0 = the rule held, 1 = it was broken, 2 = the case could not run.
inline int runCase(const char *recordPath, const std::function<int(const std::string &folder)> &play)
{
    ::signal(SIGPIPE, SIG_IGN);
    recordFile = std::fopen(recordPath, "w");
    int result = 2;
    try {
        const temporary_folder folder;
        record("trouble: %s", troubled() ? "yes" : "no");
        result = play(folder.path());
    } catch (const std::exception &problem) {
        record("could not run: %s", problem.what());
    }
    record("result: %d (0 = held, 1 = broken, 2 = could not run)", result);
    return result;
}

}
