#pragma once

// Carries one request of a client to backend servers and its answer back. One flow for each kind of route.

#include "gateway/traffic_state.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace chestnut
{

// Where an answer goes: the client's connection.
class answer_sink
{
public:
    virtual ~answer_sink() = default;
    // Sends a whole answer. False once the client is gone.
    virtual asio::awaitable<bool> respond(int status, const header_list &headers, const std::string &body) = 0;
    // Begins an answer of unknown length.
    virtual asio::awaitable<bool> beginStream(int status, const header_list &headers) = 0;
    virtual asio::awaitable<bool> writeStream(const std::string &bytes) = 0;
    virtual asio::awaitable<bool> finishStream() = 0;
    // Closes the connection, so that the answer does not look complete.
    virtual void cut() = 0;
};

using client_message = http::request<http::string_body>;

// Facts about one request, fixed before it is forwarded.
struct request_facts
{
    const client_message *message = nullptr;
    std::shared_ptr<const gateway_config> config; // in force when the request was read
    const route *matched = nullptr;               // owned by config
    service_id service;
    account_id account;
    std::string id;        // the client's id of this attempt
    steady_time accepted;  // when its head was read
    steady_time deadline;  // final answer until then
    double tokens = 0;     // prompt and expected answer tokens
    double mostAnswer = 0; // most answer tokens
};

// What became of a request, for its log line.
struct request_outcome
{
    int status = 0;             // sent to the client, 0 = none
    std::string reason;         // why it ended so
    std::string servers;        // tried, in order
    int runs = 0;               // servers that may have run it
    int refused = 0;            // servers that said not run
    int repaths = 0;            // changes of path in mid-stream
    std::uint64_t events = 0;   // forwarded
    milliseconds firstByte{-1}; // from acceptance
    milliseconds longestGap{0}; // between two events
    bool cut = false;           // ended without a complete answer
};

// Base of both flows: what they share. A flow lives while its coroutine runs.
class request_flow
{
public:
    request_flow(traffic_state &state, request_facts facts, answer_sink &sink);
    virtual ~request_flow();
    virtual asio::awaitable<void> run() = 0;
    // The client has left: whatever is under way is dropped at once.
    void abandon();
    const request_outcome &outcome() const
    {
        return m_outcome;
    }

protected:
    // The request as it goes to a server; extra headers come last.
    std::string encodeRequest(const listed_server &server, const header_list &extra, steady_time now) const;
    // Sends our own answer: a JSON body that says why.
    asio::awaitable<void> refuse(int status, const char *reason, milliseconds retryAfter = milliseconds(0));
    // Passes a server's whole answer on.
    asio::awaitable<void> passOn(const answer_head &head, const std::string &body);
    // True if the server says that it did not run the request.
    bool saysNotRun(const answer_head &head) const;
    // True if the bytes are not what the server meant to say: encoded on the way, or a success without its signature.
    bool isSpoilt(const answer_head &head) const;
    void noteLoad(const answer_head &head, const std::string &address);
    void noteFailure(const std::string &address, failure_kind kind);
    bool overdue() const;

    traffic_state &m_state;
    request_facts m_facts;
    answer_sink &m_sink;
    request_outcome m_outcome;
    std::shared_ptr<upstream_exchange> m_exchange; // under way, else null
    bool m_abandoned = false;
};

std::shared_ptr<request_flow> makeFlow(traffic_state &state, request_facts facts, answer_sink &sink);

// Our own answer with a JSON body; `id` is echoed if it is not empty.
std::string errorBody(const char *reason);
header_list errorHeaders(const header_names &headerNames, const std::string &id, milliseconds retryAfter);

}
