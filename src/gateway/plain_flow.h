#pragma once

// Forwards requests to plain services. Answers are forwarded as a whole; a request is repeated only if its route allows it.

#include "gateway/request_flow.h"

namespace chestnut
{

class plain_flow : public request_flow
{
public:
    using request_flow::request_flow;
    asio::awaitable<void> run() override;

private:
    // How an attempt to send the request to one server ended.
    enum class try_result
    {
        answered,  // m_head and m_body hold a whole answer
        not_run,   // certainly not executed; m_head may hold the server's refusal
        uncertain, // may have been executed
    };
    asio::awaitable<try_result> tryServer(const listed_server &server);
    // True if the route's requests may safely be repeated and the limit of attempts is not reached.
    bool mayRepeat() const;
    // Deadline of one attempt: before the request's own one while another server may still be tried, else equal to it.
    steady_time tryDeadline(steady_time start) const;

    answer_head m_head;
    std::string m_body;
    bool m_hasRefusal = false; // m_head holds a server's refusal
    bool m_hasAnswer = false;  // m_head and m_body hold a server's whole answer
};

}
