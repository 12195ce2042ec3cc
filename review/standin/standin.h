#pragma once

// Small stand-ins for the scripts of this review: the platform's store, backend servers, clients and the start of gateway processes.
// They speak what the users' page PROTOCOL.md says, over loopback, with one thread for each connection.

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <dirent.h>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review
{

using json = nlohmann::json;
using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const steady::time_point START = steady::now();

inline long nowMs()
{
    return std::chrono::duration_cast<milliseconds>(steady::now() - START).count();
}

inline long wallMs()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

inline void sleepMs(long ms)
{
    if (ms > 0) {
        std::this_thread::sleep_for(milliseconds(ms));
    }
}

inline void sleepUntil(long ms)
{
    sleepMs(ms - nowMs());
}

// The file record.txt of a case: one line for each event, with the time in ms since the start.
class recorder
{
public:
    void open(const std::string &path)
    {
        m_file = std::fopen(path.c_str(), "w");
    }
    void line(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        const std::lock_guard lock(m_mutex);
        if (m_file == nullptr) {
            return;
        }
        std::fprintf(m_file, "%7ld  ", nowMs());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(m_file, format, arguments);
        va_end(arguments);
        std::fputc('\n', m_file);
        std::fflush(m_file);
    }

private:
    std::mutex m_mutex;
    std::FILE *m_file = nullptr;
};

inline recorder RECORD;

//-----------------------------------------------------------------------------
// Sockets and HTTP messages
//-----------------------------------------------------------------------------

struct message
{
    std::string start; // first line
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const std::string &name) const
    {
        for (const auto &[key, value] : headers) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }
    std::string method() const
    {
        return start.substr(0, start.find(' '));
    }
    std::string target() const
    {
        const std::size_t first = start.find(' ') + 1;
        return start.substr(first, start.find(' ', first) - first);
    }
    std::string path() const
    {
        const std::string whole = target();
        return whole.substr(0, whole.find('?'));
    }
    std::string query(const std::string &name) const
    {
        const std::string whole = target();
        std::stringstream parts(whole.find('?') == std::string::npos ? "" : whole.substr(whole.find('?') + 1));
        for (std::string part; std::getline(parts, part, '&');) {
            if (part.rfind(name + "=", 0) == 0) {
                return part.substr(name.size() + 1);
            }
        }
        return {};
    }
    int status() const
    {
        return std::atoi(start.substr(start.find(' ') + 1).c_str());
    }
};

class connection
{
public:
    explicit connection(int fd)
        : m_fd(fd)
    {
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~connection()
    {
        close();
    }
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

    static std::unique_ptr<connection> to(int port)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
            ::close(fd);
            return nullptr;
        }
        return std::make_unique<connection>(fd);
    }
    bool send(const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t got = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (got <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(got);
        }
        return true;
    }
    // Reads more bytes. False at the end of the connection or after the time.
    bool more(long timeoutMs = 60'000)
    {
        pollfd entry{m_fd, POLLIN, 0};
        if (::poll(&entry, 1, static_cast<int>(timeoutMs)) <= 0) {
            m_timedOut = true;
            return false;
        }
        char bytes[16384];
        const ssize_t got = ::recv(m_fd, bytes, sizeof bytes, 0);
        if (got <= 0) {
            m_reset = got < 0;
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(got));
        return true;
    }
    bool readHead(message &in, long timeoutMs = 60'000)
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!more(timeoutMs)) {
                return false;
            }
        }
        std::stringstream lines(m_buffer.substr(0, end));
        m_buffer.erase(0, end + 4);
        in = {};
        std::string line;
        std::getline(lines, line);
        in.start = line.substr(0, line.find('\r'));
        while (std::getline(lines, line)) {
            line = line.substr(0, line.find('\r'));
            const std::size_t colon = line.find(':');
            if (colon != std::string::npos) {
                const std::size_t value = line.find_first_not_of(' ', colon + 1);
                in.headers.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
            }
        }
        return true;
    }
    bool take(std::size_t bytes, std::string &out, long timeoutMs = 60'000)
    {
        while (m_buffer.size() < bytes) {
            if (!more(timeoutMs)) {
                return false;
            }
        }
        out = m_buffer.substr(0, bytes);
        m_buffer.erase(0, bytes);
        return true;
    }
    // Reads one chunk of a chunked body; an empty one is the last.
    bool takeChunk(std::string &out, long timeoutMs = 60'000)
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n")) == std::string::npos) {
            if (!more(timeoutMs)) {
                return false;
            }
        }
        const std::size_t size = std::strtoul(m_buffer.c_str(), nullptr, 16);
        m_buffer.erase(0, end + 2);
        if (!take(size + 2, out, timeoutMs)) {
            return false;
        }
        out.resize(size);
        return true;
    }
    // Reads a whole message with a length or in chunks.
    bool read(message &in, long timeoutMs = 60'000)
    {
        if (!readHead(in, timeoutMs)) {
            return false;
        }
        if (in.header("Transfer-Encoding") == "chunked") {
            std::string chunk;
            do {
                if (!takeChunk(chunk, timeoutMs)) {
                    return false;
                }
                in.body += chunk;
            } while (!chunk.empty());
            return true;
        }
        const std::size_t length = std::strtoul(in.header("Content-Length").c_str(), nullptr, 10);
        return take(length, in.body, timeoutMs);
    }
    // True if the peer has closed the connection.
    bool peerGone() const
    {
        pollfd entry{m_fd, POLLRDHUP, 0};
        return ::poll(&entry, 1, 0) > 0;
    }
    void resetOnClose()
    {
        const linger option{1, 0};
        ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    }
    // Wakes a thread that reads or writes.
    void interrupt()
    {
        ::shutdown(m_fd, SHUT_RDWR);
    }
    void close()
    {
        if (m_fd >= 0) {
            ::close(std::exchange(m_fd, -1));
        }
    }
    bool timedOut() const
    {
        return m_timedOut;
    }
    bool wasReset() const
    {
        return m_reset;
    }

private:
    int m_fd;
    std::string m_buffer;
    bool m_timedOut = false;
    bool m_reset = false;
};

inline int listenOn(int &port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    if (::bind(fd, reinterpret_cast<sockaddr *>(&address), size) != 0 || ::listen(fd, 512) != 0) {
        std::perror("listen");
        std::exit(2);
    }
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    port = ntohs(address.sin_port);
    return fd;
}

// Different free ports, for programs that are started later.
inline std::vector<int> freePorts(std::size_t count)
{
    std::vector<int> ports;
    std::vector<int> sockets;
    for (std::size_t i = 0; i < count; ++i) {
        int port = 0;
        sockets.push_back(listenOn(port));
        ports.push_back(port);
    }
    for (const int fd : sockets) {
        ::close(fd);
    }
    return ports;
}

// Accepts connections and runs a handler in a thread for each.
class listener
{
public:
    using handler = std::function<void(connection &)>;

    explicit listener(handler serve, int port = 0)
        : m_port(port)
        , m_serve(std::move(serve))
    {
        m_fd = listenOn(m_port);
        m_thread = std::thread([this] { accept(); });
    }
    ~listener()
    {
        stop();
    }
    int port() const
    {
        return m_port;
    }
    // While set, each connection is reset: those that are open and new ones.
    void setReset(bool on)
    {
        m_resetting = on;
        if (on) {
            const std::lock_guard lock(m_mutex);
            for (session &one : m_sessions) {
                if (!one.done) {
                    one.peer.resetOnClose();
                    one.peer.interrupt();
                }
            }
        }
    }
    // Ends like a process: no listener, and each connection closed.
    void stop()
    {
        if (m_fd < 0) {
            return;
        }
        m_stopping = true;
        ::shutdown(m_fd, SHUT_RDWR);
        m_thread.join();
        ::close(std::exchange(m_fd, -1));
        {
            const std::lock_guard lock(m_mutex);
            for (session &one : m_sessions) {
                if (!one.done) {
                    one.peer.resetOnClose();
                    one.peer.interrupt();
                }
            }
        }
        for (session &one : m_sessions) {
            one.worker.join();
        }
        m_sessions.clear();
    }
    bool stopping() const
    {
        return m_stopping;
    }

private:
    struct session
    {
        explicit session(int fd)
            : peer(fd)
        {
        }
        connection peer;
        std::thread worker;
        std::atomic<bool> done = false;
    };

    void accept()
    {
        while (!m_stopping) {
            const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (m_stopping) {
                    return;
                }
                continue;
            }
            const std::lock_guard lock(m_mutex);
            for (auto one = m_sessions.begin(); one != m_sessions.end();) {
                if (one->done) {
                    one->worker.join();
                    one = m_sessions.erase(one);
                } else {
                    ++one;
                }
            }
            if (m_resetting) {
                connection refused(fd);
                refused.resetOnClose();
                continue;
            }
            session &added = m_sessions.emplace_back(fd);
            added.worker = std::thread([this, &added] {
                m_serve(added.peer);
                const std::lock_guard closing(m_mutex);
                added.peer.close();
                added.done = true;
            });
        }
    }

    int m_fd = -1;
    int m_port;
    handler m_serve;
    std::atomic<bool> m_stopping = false;
    std::atomic<bool> m_resetting = false;
    std::mutex m_mutex; // guards m_sessions
    std::list<session> m_sessions;
    std::thread m_thread;
};

inline std::string answer(const std::string &status, const std::string &body, const std::string &headers = "Content-Type: application/json\r\n")
{
    return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

//-----------------------------------------------------------------------------
// The platform's store
//-----------------------------------------------------------------------------

inline std::string base64(const std::string &bytes)
{
    static const char *DIGITS = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            text += i + j <= bytes.size() ? DIGITS[group >> (18 - 6 * j) & 63] : '=';
        }
    }
    return text;
}

inline std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
        text += static_cast<char>(value >> shift & 0xff);
    }
    return text;
}

class store
{
public:
    // An address of the store; each gateway gets one of its own, so that single machines can be partitioned from the store.
    listener &endpoint()
    {
        m_endpoints.push_back(std::make_unique<listener>([this](connection &peer) { serve(peer); }));
        return *m_endpoints.back();
    }
    // Appends a record of the operator or a server. Without a value, the key is dropped. Returns when it was acknowledged.
    long put(const std::string &topic, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        append(topic, std::string(1, static_cast<char>(key.size())) + key + value);
        return nowMs();
    }
    ~store()
    {
        m_stopping = true;
        m_changed.notify_all();
        m_endpoints.clear();
    }

private:
    struct log
    {
        std::vector<std::string> records;
        std::map<std::string, std::pair<std::uint64_t, std::string>> newest; // key -> offset, value
    };

    void append(const std::string &topic, const std::string &content)
    {
        log &one = m_topics[topic];
        if (topic.rfind("keyed.", 0) == 0) {
            const auto length = static_cast<unsigned char>(content.at(0));
            const std::string key = content.substr(1, length);
            const std::string value = content.substr(1 + length);
            if (value.empty()) {
                one.newest.erase(key);
            } else {
                one.newest[key] = {one.records.size(), value};
            }
        }
        one.records.push_back(content);
        m_changed.notify_all();
    }
    void serve(connection &peer)
    {
        message in;
        while (peer.read(in, 120'000)) {
            sleepMs(4); // the store's usual time for an answer
            if (!peer.send(handle(in))) {
                return;
            }
        }
    }
    std::string handle(const message &in)
    {
        static const std::string ERA = "Store-Era: 1\r\n";
        static const std::string BINARY = ERA + "Content-Type: application/octet-stream\r\n";
        static const std::string TEXT = ERA + "Content-Type: application/json\r\n";
        std::unique_lock lock(m_mutex);
        log &one = m_topics[in.query("Topic")];
        if (in.path() == "/log-append") {
            const std::string at = in.query("At");
            if (!at.empty() && std::strtoull(at.c_str(), nullptr, 10) != one.records.size()) {
                return answer("412 Precondition Failed", json{{"End", one.records.size()}}.dump(), TEXT);
            }
            const std::uint64_t offset = one.records.size();
            for (std::size_t i = 0; i + 4 <= in.body.size();) {
                std::uint32_t length = 0;
                for (int j = 0; j < 4; ++j) {
                    length = length << 8 | static_cast<unsigned char>(in.body[i++]);
                }
                append(in.query("Topic"), in.body.substr(i, length));
                i += length;
            }
            return answer("200 OK", json{{"Offset", offset}, {"End", one.records.size()}}.dump(), TEXT);
        }
        if (in.path() == "/log-read") {
            const std::uint64_t from = std::strtoull(in.query("From").c_str(), nullptr, 10);
            const long wait = std::atol(in.query("WaitMs").c_str());
            m_changed.wait_for(lock, milliseconds(wait), [&] { return m_stopping || one.records.size() > from; });
            std::string body = bigEndian(one.records.size(), 8) + bigEndian(0, 8);
            for (std::uint64_t i = from; i < one.records.size(); ++i) {
                body += bigEndian(one.records[i].size(), 4) + one.records[i];
            }
            return answer("200 OK", body, BINARY);
        }
        if (in.path() == "/log-newest") {
            json items = json::array();
            for (const auto &[key, entry] : one.newest) {
                items.push_back({{"Key", key}, {"Value", base64(entry.second)}, {"Offset", entry.first}});
            }
            return answer("200 OK", json{{"Items", items}, {"HasMore", false}, {"End", one.records.size()}}.dump(), TEXT);
        }
        return answer("404 Not Found", "{}", TEXT);
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, log> m_topics;
    std::atomic<bool> m_stopping = false;
    std::vector<std::unique_ptr<listener>> m_endpoints;
};

//-----------------------------------------------------------------------------
// Gateway processes
//-----------------------------------------------------------------------------

struct gateway_options
{
    std::string name;
    std::string zone;
    int storePort = 0;
    int graceSeconds = 8;
    int drainMs = 2000;
    double retryExtra = 198;
    int maxFds = 4200; // Limits.MaxFds of the deployment's machines
};

// A gateway, started as deploy/system.toml says, with the settings of deploy/gateway.ini.
class gateway
{
public:
    gateway(const std::string &root, const std::string &folder, const gateway_options &options)
        : m_folder(folder)
        , m_options(options)
    {
        const std::vector<int> ports = freePorts(4);
        front = ports[0];
        ready = ports[1];
        const auto local = [](int port) { return "127.0.0.1:" + std::to_string(port); };
        m_program = root + "/target/bin/chestnutgw-gateway";
        m_config = folder + "/" + options.name + ".ini";
        std::ofstream file(m_config);
        file << "[instance]\nname = " << options.name << "\nfailure_domain = " << options.zone << "\nfront = " << local(front) << "\nready = " << local(ready)
             << "\npeer = " << local(ports[2]) << "\nmetrics = " << local(ports[3]) << "\ngrace = " << options.graceSeconds
             << "\n\n[platform]\nurl = http://" << local(options.storePort) << "\nnotice_limit = " << options.drainMs
             << "\n\n[repeats]\nratio = 0.2\nextra = " << options.retryExtra << "\nwindow = 10\n";
    }
    ~gateway()
    {
        kill(SIGKILL);
        wait();
    }
    void start()
    {
        const std::string log = m_folder + "/" + m_options.name + ".log";
        m_log = log;
        m_pid = ::fork();
        if (m_pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the script, however that ends
            const rlimit limit{static_cast<rlim_t>(m_options.maxFds), static_cast<rlim_t>(m_options.maxFds)};
            ::setrlimit(RLIMIT_NOFILE, &limit);
            const int out = ::open(log.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::close_range(3, ~0U, 0); // the gateway inherits no sockets
            ::execl(m_program.c_str(), m_program.c_str(), "--config", m_config.c_str(), nullptr);
            ::_exit(127);
        }
    }
    // GET /ready, as the platform asks.
    bool isReady() const
    {
        const auto peer = connection::to(ready);
        message in;
        return peer && peer->send("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n") && peer->read(in, 1000) && in.status() == 200;
    }
    bool awaitReady(long limitMs) const
    {
        const long until = nowMs() + limitMs;
        while (nowMs() < until) {
            if (isReady()) {
                return true;
            }
            sleepMs(50);
        }
        return false;
    }
    void kill(int signal) const
    {
        if (m_pid > 0) {
            ::kill(m_pid, signal);
        }
    }
    bool hasEnded()
    {
        if (m_pid > 0 && ::waitpid(m_pid, &m_status, WNOHANG) == m_pid) {
            m_pid = -1;
        }
        return m_pid < 0;
    }
    void wait()
    {
        if (m_pid > 0) {
            ::waitpid(m_pid, &m_status, 0);
            m_pid = -1;
        }
    }
    int status() const
    {
        return m_status;
    }
    pid_t process() const
    {
        return m_pid;
    }
    // Number of its open descriptors.
    int openFds() const
    {
        int count = 0;
        if (DIR *folder = ::opendir(("/proc/" + std::to_string(m_pid) + "/fd").c_str())) {
            while (::readdir(folder) != nullptr) {
                ++count;
            }
            ::closedir(folder);
        }
        return std::max(0, count - 2); // "." and ".."
    }
    // Lines of the gateway's log that contain a text.
    std::vector<std::string> logLines(const std::string &text) const
    {
        std::ifstream file(m_log);
        std::vector<std::string> found;
        for (std::string line; std::getline(file, line);) {
            if (line.find(text) != std::string::npos) {
                found.push_back(line);
            }
        }
        return found;
    }
    const std::string &name() const
    {
        return m_options.name;
    }

    int front = 0;
    int ready = 0;

private:
    std::string m_folder;
    gateway_options m_options;
    std::string m_program;
    std::string m_config;
    std::string m_log;
    pid_t m_pid = -1;
    int m_status = 0;
};

//-----------------------------------------------------------------------------
// Environment of a case
//-----------------------------------------------------------------------------

struct environment
{
    std::string root;   // of the repository
    std::string temporary;
    bool trouble = true;

    environment(int argc, char **argv)
    {
        if (argc != 4) {
            std::fprintf(stderr, "usage: %s ROOT RECORD-FILE TEMPORARY-FOLDER\n", argv[0]);
            std::exit(2);
        }
        root = argv[1];
        temporary = argv[3];
        const char *value = std::getenv("TROUBLE");
        trouble = value == nullptr || std::string(value) != "0";
        RECORD.open(argv[2]);
        RECORD.line("trouble: %s", trouble ? "yes" : "no");
        ::signal(SIGPIPE, SIG_IGN);
        ::alarm(118); // a script may take 120 s; the signal ends it
    }
};

// Ids of clients' attempts: 16 hexadecimal digits, each used once.
inline std::string newId()
{
    static std::atomic<std::uint64_t> next{static_cast<std::uint64_t>(wallMs()) << 20};
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(next++));
    return text;
}

inline int finish(const char *rule, int broken)
{
    RECORD.line("result: %s %s (%d)", rule, broken > 0 ? "broken" : "held", broken);
    std::printf("%s %s (%d)\n", rule, broken > 0 ? "broken" : "held", broken);
    return broken > 0 ? 1 : 0;
}

}
