#pragma once

#include "kernel/event_loop.h"
#include "kernel/scope.h"

#include <nlohmann/json.hpp>
#include <string>
#include <sys/types.h>
#include <vector>

namespace chestnut::test
{

// A program of the project started by a test; killed when the test ends.
class child_process
{
public:
    // Starts the program and waits for its line "listening on ...".
    child_process(const std::string &program, const std::vector<std::string> &settings);
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
    // Fields of the structured line "listening", for programs that write one; empty object else.
    const nlohmann::json &listening() const
    {
        return m_listening;
    }
    void signal(int number) const;
    void kill();
    // Waits for the end; returns the exit status, 128 + signal for a signal.
    int wait();
    bool running() const
    {
        return m_pid > 0;
    }

private:
    pid_t m_pid = -1;
    unique_fd m_output;
    std::string m_address;
    std::string m_peerAddress;
    nlohmann::json m_listening = nlohmann::json::object();
};

// Runs a program to its end; returns exit status and its output, on request with standard error.
struct program_result
{
    int status = 0;
    std::string output;
};
program_result runProgramOnce(const std::string &program, const std::vector<std::string> &arguments, bool withErrors = false);

// Sends one request and waits for the answer.
http_result request(const std::string &method, const std::string &url, const std::string &body = {}, const std::vector<std::string> &headers = {},
                    milliseconds timeout = milliseconds(60'000));
// Sends requests at once and waits for all answers.
std::vector<http_result> requestAll(const std::vector<http_request> &requests);

// Waits until the condition holds; false after a limit that only a hang reaches.
bool eventually(const std::function<bool()> &condition);

}
