#pragma once

// Forwards requests to plain services. Answers are forwarded as a whole; a request is repeated only if its route allows it. A
// server that stays silent keeps the request while another one is asked too; the first whole answer is forwarded.

#include "gateway/request_flow.h"

#include <boost/asio/steady_timer.hpp>

namespace chestnut
{

class plain_flow : public request_flow, public std::enable_shared_from_this<plain_flow>
{
public:
    using request_flow::request_flow;
    asio::awaitable<void> run() override;

protected:
    const char *waitingFor() const override;
    std::string serversInUse() const override;

private:
    struct whole_answer
    {
        std::string address; // of the server
        answer_head head;
        std::string body;
    };
    // One server that was asked to answer the request.
    struct attempt
    {
        explicit attempt(traffic_state &state)
            : buffered(state.buffers)
        {
        }
        listed_server server;
        std::shared_ptr<upstream_exchange> exchange;
        bool fresh = false;                               // uses a new connection
        steady_time lastData{};                           // start of the attempt, then when data of the answer last arrived
        bool silenceNoted = false;                        // the server's health state knows of the silence
        exchange_status status = exchange_status::broken; // of the last step
        whole_answer answer;                              // as far as received
        buffered_bytes buffered;                          // size of its body
    };

    // Starts an attempt at another server. False if there is none, or if the limits on attempts, repeats or time forbid it.
    bool startAttempt(steady_time now);
    // The least loaded server that was not tried; if there is none, one that only closed an idle connection.
    std::optional<listed_server> pickServer(steady_time now);
    // True if the limit of attempts allows another one, should all those in progress be executed.
    bool attemptsLeft() const;
    // True if no attempt in progress has received data within the try timeout.
    bool allSilent(steady_time now) const;
    // Tells the health state about the servers in use, all of which are silent.
    void noteSilence();
    // When to consider another attempt unless an attempt in progress ends earlier.
    steady_time nextCheck(steady_time now) const;
    // Runs an attempt to its end. `self` keeps the flow alive meanwhile.
    asio::awaitable<void> runAttempt(std::shared_ptr<plain_flow> self, std::shared_ptr<attempt> one);
    asio::awaitable<exchange_status> askServer(attempt &one);
    asio::awaitable<exchange_status> readAnswer(attempt &one);
    // Notes the result of an attempt that has ended by itself.
    void settle(attempt &one);
    void settleUnsent(const attempt &one);
    void settleRefused(attempt &one);
    void settleLost(const attempt &one);
    void settleAnswered(attempt &one);
    // Aborts the attempts in progress, whose results are no longer needed.
    void stopAttempts();
    asio::awaitable<void> forwardAnswer(const whole_answer &whole);
    // True if a server's refusal is right for the client too: it is told to come back, or its request is at fault. Any other one concerns
    // that server alone.
    bool mayForwardRefusal(const answer_head &head) const;
    // Sends the answer of a request that no server has answered with success.
    asio::awaitable<void> finishFailed();
    // Time without data after which another server is asked too.
    milliseconds tryTimeout() const;

    asio::steady_timer m_changed{m_state.context}; // cancelled when an attempt has ended
    std::vector<std::shared_ptr<attempt>> m_running;
    std::vector<std::string> m_tried; // addresses of the servers that were asked
    std::vector<std::string> m_stale; // those of them that closed a reused connection without an answer, and were not asked again
    int m_unsent = 0;                 // attempts at servers that were unreachable or did not execute the request
    bool m_stopped = false;           // stopAttempts() was called
    const char *m_reason = "no_server";
    std::optional<whole_answer> m_answer;      // the one to forward
    std::optional<whole_answer> m_errorAnswer; // a server's own error answer, forwarded if there is no better one
    std::optional<whole_answer> m_refusal;     // of a server that did not execute the request
};

}
