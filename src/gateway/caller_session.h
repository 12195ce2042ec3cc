#pragma once

// One client connection: reads requests one after the other, hands each to a flow and writes its answer.

#include "gateway/request_flow.h"

#include <boost/beast/http/parser.hpp>

namespace chestnut
{

class caller_session : public answer_sink, public std::enable_shared_from_this<caller_session>
{
public:
    caller_session(traffic_state &state, asio::ip::tcp::socket socket);
    asio::awaitable<void> run();
    // Closes the connection if no request has begun; else it closes after the answer.
    void closeWhenIdle();

    asio::awaitable<bool> respond(int status, const header_list &headers, const std::string &body) override;
    asio::awaitable<bool> beginStream(int status, const header_list &headers) override;
    asio::awaitable<bool> writeStream(const std::string &bytes) override;
    asio::awaitable<bool> finishStream() override;
    void cut() override;

private:
    using request_parser = http::request_parser<http::string_body>;

    asio::awaitable<bool> readRequest(request_parser &parser);
    asio::awaitable<void> rejectUnreadable(boost::system::error_code error);
    asio::awaitable<void> serve(client_message &message);
    // Fills the facts; false if an own answer was sent.
    asio::awaitable<bool> admit(const client_message &message, request_facts &facts);
    milliseconds longestAnswer(const request_facts &facts) const;
    milliseconds stoppingRetry(steady_time now);
    asio::awaitable<bool> writeAll(const std::string &bytes);
    asio::awaitable<void> answerOwn(int status, const char *reason, const std::string &id, milliseconds retryAfter = milliseconds(0));
    void watchClient();
    void takeClientBytes();
    void noteGone();
    void logEnd(const request_facts &facts, const request_outcome &outcome) const;
    std::string headText(int status, const header_list &headers) const;

    traffic_state &m_state;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::shared_ptr<request_flow> m_flow; // under way, else null
    std::uint64_t m_watch = 0;            // number of the request whose client is watched
    bool m_serving = false;               // a request is being answered
    bool m_reading = false;               // bytes of a request have arrived
    bool m_keepAlive = true;
    bool m_head = false; // the request is a HEAD request
    bool m_gone = false;
    bool m_cut = false;
};

}
