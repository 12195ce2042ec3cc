#pragma once

#include "kernel/event_loop.h"
#include "kernel/scope.h"

#include <nlohmann/json.hpp>
#include <string>
#include <sys/types.h>
#include <vector>

namespace chestnut::test
{

// A program of the project that a test runs as a child process; the destructor kills it.
class child_process
{
public:
    // Starts the program and waits until it reports its listening address on standard output, which is written to the log file if
    // one is given. A program without a path is one of this build. `descriptors` is its limit of open descriptors, 0 = as this process.
    child_process(const std::string &program, const std::vector<std::string> &settings, const std::string &logFile = {}, int descriptors = 0);
    ~child_process();
    child_process(child_process &&other) noexcept;
    child_process &operator=(child_process &&) = delete;

    // IP:port from the line "listening on IP:port peers IP:port".
    const std::string &address() const
    {
        return m_address;
    }
    const std::string &peerAddress() const
    {
        return m_peerAddress;
    }
    // Fields of the structured "listening" log line, or an empty object for programs that print plain text.
    const nlohmann::json &listening() const
    {
        return m_listening;
    }
    void signal(int number) const;
    void kill();
    // Returns true if the process has ended, without waiting.
    bool hasEnded();
    // Exit status as wait() returns it, valid once hasEnded() returned true.
    int endStatus() const
    {
        return m_endStatus;
    }
    // Waits for the process to end. Returns its exit status, or 128 + the signal number if a signal ended it.
    int wait();
    bool running() const
    {
        return m_pid > 0;
    }
    pid_t id() const
    {
        return m_pid;
    }
    // Peak of the resident memory so far, 0 if the process has ended.
    long peakMemoryKb() const;
    // Number of descriptors that are open now, 0 if the process has ended.
    int openDescriptors() const;

private:
    bool parseListening(const std::string &line);

    pid_t m_pid = -1;
    int m_endStatus = 0;
    unique_fd m_output;
    std::string m_address;
    std::string m_peerAddress;
    nlohmann::json m_listening = nlohmann::json::object();
};

// Runs a program until it exits and returns its exit status and standard output, with standard error if withErrors is set.
struct program_result
{
    int status = 0;
    std::string output;
};
program_result runProgramOnce(const std::string &program, const std::vector<std::string> &arguments, bool withErrors = false);

// Sends one request and waits for the answer.
http_result request(const std::string &method, const std::string &url, const std::string &body = {}, const std::vector<std::string> &headers = {},
                    milliseconds timeout = milliseconds(60'000));
// Sends the requests concurrently and waits for all answers.
std::vector<http_result> requestAll(const std::vector<http_request> &requests);

// Polls until the condition holds. Returns false after a limit that only a hang exceeds, or after the one given.
bool eventually(const std::function<bool()> &condition);
bool eventually(const std::function<bool()> &condition, milliseconds limit);
// Waits until that time, for tests whose subject is how long something has lasted.
void waitUntil(steady_time time);

}
