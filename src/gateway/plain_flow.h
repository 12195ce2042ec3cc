#pragma once

// Requests to plain services: whole answers, repeated only where the route allows it.

#include "gateway/request_flow.h"

namespace chestnut
{

class plain_flow : public request_flow
{
public:
    using request_flow::request_flow;
    asio::awaitable<void> run() override;

private:
    // How one send ended.
    enum class try_result
    {
        answered,  // m_head and m_body hold a whole answer
        not_run,   // certain: it did not run; m_head may hold the server's refusal
        uncertain, // it may have run
    };
    asio::awaitable<try_result> tryServer(const listed_server &server);
    bool mayRepeat() const;
    steady_time tryUntil(steady_time start) const;

    answer_head m_head;
    std::string m_body;
    bool m_hasRefusal = false; // m_head holds a server's refusal
    bool m_hasAnswer = false;  // m_head and m_body hold a server's whole answer
};

}
