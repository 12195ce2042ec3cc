#include "process.h"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <future>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>

extern char **environ;

namespace chestnut::test
{

namespace
{

constexpr seconds HANG_LIMIT{30};         // longer than any wait that does not hang
constexpr int FIRST_OTHER_DESCRIPTOR = 3; // after standard input, output and error

std::string programPath(const std::string &program)
{
    return program.find('/') != std::string::npos ? program : std::string(CHESTNUTGW_BIN) + "/" + program;
}

pid_t spawn(const std::string &program, const std::vector<std::string> &arguments, int output, bool withErrors = false)
{
    const std::string path = programPath(program);
    std::vector<char *> argv{const_cast<char *>(path.c_str())};
    for (const std::string &argument : arguments) {
        argv.push_back(const_cast<char *>(argument.c_str()));
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    const scope_guard cleanActions([&] { posix_spawn_file_actions_destroy(&actions); });
    posix_spawn_file_actions_adddup2(&actions, output, 1);
    if (withErrors) {
        posix_spawn_file_actions_adddup2(&actions, output, 2);
    }
    pid_t pid = -1;
    // A socket that a child also holds is not closed for its peer when this process closes it. Boost.Asio opens sockets without the flag
    // that would prevent that.
    posix_spawn_file_actions_addclosefrom_np(&actions, FIRST_OTHER_DESCRIPTOR);
    if (posix_spawn(&pid, path.c_str(), &actions, nullptr, argv.data(), environ) != 0) {
        throw std::runtime_error("cannot start " + path);
    }
    return pid;
}

std::string readLine(int fd)
{
    std::string line;
    char character = 0;
    while (::read(fd, &character, 1) == 1 && character != '\n') {
        line += character;
    }
    return line;
}

int exitStatus(int status)
{
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

}

child_process::child_process(const std::string &program, const std::vector<std::string> &settings, const std::string &logFile, int descriptors)
{
    std::vector<std::string> arguments;
    std::string started = program;
    if (descriptors > 0) {
        // The shell sets the limit before the program runs and keeps the process id.
        started = "/bin/sh";
        arguments = {"-c", "ulimit -n " + std::to_string(descriptors) + " && exec \"$0\" \"$@\"", programPath(program)};
    }
    for (const std::string &setting : settings) {
        arguments.push_back("--set");
        arguments.push_back(setting);
    }
    if (!logFile.empty()) {
        const unique_fd log(::open(logFile.c_str(), O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, 0644));
        m_pid = spawn(started, arguments, log.get());
        std::ifstream reader;
        const bool listens = eventually([&] {
            reader.close();
            reader.open(logFile);
            std::string line;
            while (std::getline(reader, line) && !reader.eof()) {
                if (parseListening(line)) {
                    return true;
                }
            }
            return hasEnded();
        });
        if (!listens || !running()) {
            throw std::runtime_error(program + " did not report its listening address in " + logFile);
        }
        return;
    }
    int pipeEnds[2] = {};
    if (::pipe2(pipeEnds, O_CLOEXEC) != 0) {
        throw std::runtime_error("cannot create a pipe");
    }
    m_output = unique_fd(pipeEnds[0]);
    {
        const unique_fd writer(pipeEnds[1]); // the reader sees end-of-file only after this process closes its copy of the write end
        m_pid = spawn(started, arguments, writer.get());
    }
    std::string line = readLine(m_output.get());
    while (line.starts_with('{')) {
        if (parseListening(line)) {
            return;
        }
        line = readLine(m_output.get());
    }
    const std::string start = "listening on ";
    if (!line.starts_with(start)) {
        throw std::runtime_error(program + " did not report its listening address: '" + line + "'");
    }
    const std::string rest = line.substr(start.size());
    m_address = rest.substr(0, rest.find(' '));
    const auto peers = rest.find("peers ");
    m_peerAddress = peers == std::string::npos ? std::string() : rest.substr(peers + 6);
}

// Returns true if the line is the structured "listening" log line.
bool child_process::parseListening(const std::string &line)
{
    m_listening = nlohmann::json::parse(line);
    return m_listening.value("event", "") == "listening";
}

child_process::child_process(child_process &&other) noexcept
    : m_pid(std::exchange(other.m_pid, -1))
    , m_output(std::move(other.m_output))
    , m_address(std::move(other.m_address))
    , m_peerAddress(std::move(other.m_peerAddress))
    , m_listening(std::move(other.m_listening))
{
}

child_process::~child_process()
{
    kill();
}

void child_process::signal(int number) const
{
    if (m_pid > 0) {
        ::kill(m_pid, number);
    }
}

void child_process::kill()
{
    signal(SIGKILL);
    wait();
}

bool child_process::hasEnded()
{
    int status = 0;
    if (m_pid > 0 && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_pid = -1;
        m_endStatus = exitStatus(status);
    }
    return m_pid <= 0;
}

long child_process::peakMemoryKb() const
{
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
    const std::string name = "VmHWM:";
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(name)) {
            return std::stol(line.substr(name.size()));
        }
    }
    return 0;
}

int child_process::openDescriptors() const
{
    std::error_code problem;
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(m_pid) + "/fd", problem);
    return problem ? 0 : static_cast<int>(std::distance(begin(entries), end(entries)));
}

int child_process::wait()
{
    if (m_pid <= 0) {
        return 0;
    }
    int status = 0;
    ::waitpid(m_pid, &status, 0);
    m_pid = -1;
    return exitStatus(status);
}

program_result runProgramOnce(const std::string &program, const std::vector<std::string> &arguments, bool withErrors)
{
    int pipeEnds[2] = {};
    if (::pipe2(pipeEnds, O_CLOEXEC) != 0) {
        throw std::runtime_error("cannot create a pipe");
    }
    const unique_fd reader(pipeEnds[0]);
    program_result result;
    pid_t pid = -1;
    {
        const unique_fd writer(pipeEnds[1]);
        pid = spawn(program, arguments, writer.get(), withErrors);
    }
    char buffer[4096];
    ssize_t count = 0;
    while ((count = ::read(reader.get(), buffer, sizeof buffer)) > 0) {
        result.output.append(buffer, static_cast<std::size_t>(count));
    }
    int status = 0;
    ::waitpid(pid, &status, 0);
    result.status = exitStatus(status);
    return result;
}

http_result request(const std::string &method, const std::string &url, const std::string &body, const std::vector<std::string> &headers, milliseconds timeout)
{
    http_request one;
    one.method = method;
    one.url = url;
    one.body = body;
    one.headers = headers;
    one.totalTimeout = timeout;
    return requestAll({one}).front();
}

std::vector<http_result> requestAll(const std::vector<http_request> &requests)
{
    event_loop loop("test-client");
    std::vector<http_result> results(requests.size());
    std::atomic<std::size_t> pending = requests.size();
    std::promise<void> done;
    loop.post([&] {
        for (std::size_t i = 0; i < requests.size(); ++i) {
            loop.start(requests[i], {{}, [&, i](http_result result) {
                                         results[i] = std::move(result);
                                         if (--pending == 0) {
                                             done.set_value();
                                         }
                                     }});
        }
    });
    done.get_future().wait();
    return results;
}

bool eventually(const std::function<bool()> &condition)
{
    return eventually(condition, HANG_LIMIT);
}

void waitUntil(steady_time time)
{
    eventually([&] { return std::chrono::steady_clock::now() >= time; });
}

bool eventually(const std::function<bool()> &condition, milliseconds limit)
{
    const steady_time end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end) {
        if (condition()) {
            return true;
        }
        std::this_thread::yield();
        ::usleep(20'000);
    }
    return false;
}

}
