#pragma once

// One client connection: reads requests one after the other, runs a flow for each and writes its answer.

#include "gateway/request_flow.h"
#include "gateway/request_log.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>

#include <string_view>

namespace chestnut
{

// Creates the flow of a request; makeFlow() except in tests.
using flow_factory = std::function<std::shared_ptr<request_flow>(traffic_state &, request_facts, answer_sink &)>;

class client_session : public answer_sink, public std::enable_shared_from_this<client_session>
{
public:
    client_session(traffic_state &state, asio::ip::tcp::socket socket, flow_factory createFlow = makeFlow);
    ~client_session() override;
    client_session(const client_session &) = delete;
    client_session &operator=(const client_session &) = delete;
    asio::awaitable<void> run();
    // Closes the connection as soon as no request is being received or answered, and the last answer has announced it or the client
    // has had time for the request that it may already have sent.
    void closeWhenIdle();
    // Ends the request in progress, if any: with an error answer if no answer has begun, else by closing the connection.
    void abort();
    // True while a request is being received or answered.
    bool isBusy() const
    {
        return m_reading || m_serving || m_buffer.size() > 0;
    }

    asio::awaitable<bool> respond(int status, const header_list &headers, const std::string &body) override;
    asio::awaitable<bool> beginStream(int status, const header_list &headers) override;
    asio::awaitable<bool> writeStream(const std::string &bytes) override;
    asio::awaitable<bool> finishStream() override;
    void cut() override;
    bool clientConnected() override;

private:
    enum class answer_progress
    {
        none,
        begun,
        complete,
    };
    using request_parser = http::request_parser<http::string_body>;

    static constexpr std::size_t READ_BYTES = 4096;
    static constexpr milliseconds BUFFER_RETRY{500}; // Retry-After if incomplete messages take too much memory: most have ended by then

    // Waits for the first data of the next request. False if the connection is to be closed.
    asio::awaitable<bool> awaitRequest();
    asio::awaitable<bool> readRequest(request_parser &parser);
    // Reads until the parser has a whole request.
    asio::awaitable<boost::system::error_code> readMessage(request_parser &parser, const client_limits &limits);
    // Reads data into the buffer, at most `most` bytes. The error is `timed_out` if there is none at `until`, or if cancelOperations() was called.
    asio::awaitable<boost::system::error_code> receive(steady_time until, std::size_t most = READ_BYTES);
    // Buffers at most `most` bytes of the data that has arrived. The error is `would_block` if there is none.
    boost::system::error_code bufferReceived(std::size_t most);
    // Removes parsed bytes from the buffer, which gives its memory back once it is empty.
    void consumeBuffer(std::size_t bytes);
    // Cancels the operations of the socket at `until`, unless stopTimeout() is called before.
    void startTimeout(steady_time until);
    void stopTimeout();
    void cancelOperations();
    // Charges what the request that is being received keeps. False if it cannot be accepted for lack of memory.
    bool chargeRequest(request_parser &parser);
    // Closes the connection, or ends the request that is being received, because memory or connections are exhausted.
    void evict(eviction_cause cause);
    client_limits currentLimits() const;
    // Ends the connection so that the last answer arrives: closing a socket that has or gets unread data sends a TCP reset, which
    // discards what is still on its way.
    asio::awaitable<void> closeGracefully();
    // Answers a request that cannot be parsed, if HTTP has a status for the error; the connection closes.
    asio::awaitable<void> rejectUnreadable(boost::system::error_code error, const std::string &id);
    asio::awaitable<void> serve(std::shared_ptr<const client_message> message);
    // Runs a request and its answer. The result is the text of an exception that ended it, empty if there was none.
    asio::awaitable<std::string> runFlow(std::shared_ptr<const client_message> message, request_facts &facts);
    // Completes what the flow left unanswered: sends an error answer if none has begun, else closes the connection in mid-answer.
    asio::awaitable<void> endUnanswered(const request_facts &facts, request_outcome &outcome, const std::string &failure);
    // Determines the properties of the request. False if it was rejected; the error answer has then been sent.
    asio::awaitable<bool> admit(std::shared_ptr<const client_message> received, request_facts &facts);
    // False if the instance is stopping and the request might not end before it does.
    bool endsBeforeStop(const request_facts &facts, steady_time now);
    // Retry-After for requests that a stopping instance rejects: short while most of the other instances are not stopping, else until
    // the first of the stopping instances has restarted.
    milliseconds drainRetryAfter(steady_time now);
    // Writes the parts one after the other. They must stay valid until then.
    asio::awaitable<bool> writeAll(std::string_view first, std::string_view second = {}, std::string_view third = {});
    // Counts, logs and sends an error answer of the gateway's own.
    asio::awaitable<void> rejectRequest(int status, const char *reason, const std::string &id, milliseconds retryAfter = milliseconds(0));
    // Calls clientConnected() when the client sends data or closes the connection, as long as the current request is being answered.
    void watchClient();
    // Buffers data that has arrived, which belongs to the next request, up to a limit. The error is `would_block` if there is no more.
    boost::system::error_code readAhead();
    // Aborts the flow in progress.
    void handleClientGone(client_end end);
    std::string encodeHead(int status, const header_list &headers) const;

    traffic_state &m_state;
    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;      // see startTimeout()
    asio::steady_timer m_watchTimer; // between two looks at a client whose data fills the buffer
    std::uint64_t m_timeouts = 0;    // number of calls of startTimeout() and stopTimeout(), so that a stale timer event is ignored
    beast::flat_buffer m_buffer;
    buffered_bytes m_buffered;       // of the request that is being received or answered
    std::size_t m_headBytes = 0;     // of its parsed head
    client_number m_number;          // in the registry of clients
    const char *m_evicted = nullptr; // cause, once evict() was called
    flow_factory m_createFlow;
    answer_progress m_answer = answer_progress::none; // of the current request
    std::shared_ptr<request_flow> m_flow;             // in progress, else null
    std::uint64_t m_requestEpoch = 0;                 // increased at the start and end of each request, so that a stale read event is ignored
    bool m_serving = false;                           // a request is being answered
    bool m_reading = false;                           // a request has been received in part
    bool m_closing = false;                           // closeWhenIdle() was called
    bool m_keepAlive = true;
    bool m_isHeadRequest = false; // the current request is a HEAD request, whose answer has no body
    bool m_clientGone = false;    // the client has closed the connection
    client_end m_clientEnd = client_end::open;
    bool m_aborted = false;                    // abort() was called
    const char *m_closeReason = "last_answer"; // why the connection ends, for metrics
    bool m_cut = false;                        // cut() has closed the connection
};

}
