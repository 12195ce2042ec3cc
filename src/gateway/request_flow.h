#pragma once

// Forwards one client request to backend servers and the answer back to the client. There is one flow class per kind of route.

#include "gateway/traffic_state.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace chestnut
{

// Interface of the client connection that an answer is written to.
class answer_sink
{
public:
    virtual ~answer_sink() = default;
    // Sends a whole answer. This and the functions below return false once the client has closed its connection.
    virtual asio::awaitable<bool> respond(int status, const header_list &headers, const std::string &body) = 0;
    // Begins a streamed answer of unknown length.
    virtual asio::awaitable<bool> beginStream(int status, const header_list &headers) = 0;
    virtual asio::awaitable<bool> writeStream(const std::string &bytes) = 0;
    virtual asio::awaitable<bool> finishStream() = 0;
    // Closes the connection in mid-answer, so that the client does not take the answer for complete.
    virtual void cut() = 0;
    // Looks at the client's connection, whose close may have arrived before an event reports it. Returns false if the client has closed
    // it, also in its sending direction only; the request is then abandoned.
    virtual bool clientConnected() = 0;
};

using client_message = http::request<http::string_body>;

// Properties of a request that are determined before it is forwarded.
struct request_facts
{
    std::shared_ptr<const client_message> message; // also of attempts that are still being aborted
    std::shared_ptr<const gateway_config> config;  // the configuration that applied when the request was read
    const route *matched = nullptr;                // owned by config
    service_id service;
    account_id account;
    request_urgency urgency;
    std::string id;             // request id sent by the client; differs for each of its attempts
    steady_time accepted;       // when the request had been read
    steady_time deadline;       // for the whole answer
    std::vector<part_id> parts; // of its prompt that other requests may share
    prefixed_prompt prompt;
    double tokens = 0;          // prompt tokens plus expected answer tokens
    double maxAnswerTokens = 0; // upper limit of the answer tokens
};

// How the last attempt at a server ended, for logs and metrics.
enum class attempt_end
{
    none,          // no attempt was made
    answered,      // the server's answer was read completely
    refused,       // the server did not execute the request
    not_connected, // no connection to the server
    server_broke,  // the server closed the connection or sent an invalid answer
    deadline,      // the time of the request was up
    silent,        // given up by the gateway: the server sent no data and no report
    stage_lost,    // given up by the gateway: a stage of the path was lost and could not be replaced
    queued,        // given up by the gateway: the request waited too long in the server's queue
    no_progress,   // given up by the gateway: reports, but no data
    client_left,   // the client closed its connection
};

const char *toText(attempt_end end);

// Result of a request, for logs and metrics.
struct request_outcome
{
    int status = 0;             // HTTP status sent to the client, 0 = none
    std::string reason;         // how the request ended
    std::string servers;        // ids of the servers tried, in order, separated by commas
    int runs = 0;               // attempts that may have been executed
    int refused = 0;            // attempts that a server refused without executing the request
    int repaths = 0;            // path changes in mid-stream
    std::uint64_t events = 0;   // events forwarded to the client
    milliseconds firstByte{-1}; // from acceptance of the request; -1 = no server's answer was forwarded
    milliseconds longestGap{0}; // between two events forwarded to the client
    bool cut = false;           // the answer ended in mid-stream
    attempt_end lastEnd = attempt_end::none;
    milliseconds retryAfter{0};         // that the client was told, 0 = none
    std::optional<double> prefixTokens; // of the prompt that the last path was expected to hold; nothing if that is not tracked
    milliseconds silence{0};            // from the last data of the server until the end of the last attempt
};

// Common base of the flows. The owner keeps a flow alive until run() has finished.
class request_flow
{
public:
    request_flow(traffic_state &state, request_facts facts, answer_sink &sink);
    virtual ~request_flow();
    virtual asio::awaitable<void> run() = 0;
    // Aborts all exchanges in progress, since the client has closed its connection or the process ends.
    void abandon();
    const request_outcome &outcome() const
    {
        return m_outcome;
    }

protected:
    // Called before each step that gives a server work for the request. False if nobody waits for the answer any more.
    bool clientWaits();
    // What the request waits for while its client leaves, as a label of metrics and logs.
    virtual const char *waitingFor() const
    {
        return "answer";
    }
    // Addresses of the servers that work on the request, separated by commas.
    virtual std::string serversInUse() const
    {
        return {};
    }
    // Creates an exchange with a server, which abandon() aborts as long as it exists.
    std::shared_ptr<upstream_exchange> makeExchange(const std::string &address);
    // Encodes the head of the request as sent to a server, which the client's body follows, with its priority if urgency is active on the
    // service; extra headers come last and replace those of the client.
    std::string encodeHead(const listed_server &server, const header_list &extra, steady_time now) const;
    // Sends an error answer of the gateway's own, with the reason in a JSON body.
    asio::awaitable<void> respondWithError(int status, const char *reason, milliseconds retryAfter = milliseconds(0));
    // Forwards the whole answer of the server at this address to the client.
    asio::awaitable<void> forwardAnswer(const answer_head &head, const std::string &body, const std::string &address);
    // True if the server states that it has not executed the request.
    bool saysNotRun(const answer_head &head) const;
    // True if the answer cannot be trusted to be what the server produced: content-encoded on the way, or a success, redirect or client
    // error without signature.
    bool isUnusable(const answer_head &head) const;
    // Stores the load that a server reports in its answer's headers.
    void noteLoad(const answer_head &head, const std::string &address);
    // Updates the server's health state. Closes its idle connections if it is unreachable or stalls.
    void noteFailure(const std::string &address, failure_kind kind);
    // Records that a server says in its answer that it is about to leave.
    void noteLeaving(const answer_head &head, const std::string &address);
    // Records that a server which rejects a request with 503 and Retry-After wants none from this instance for that time.
    void noteQuietPeriod(const answer_head &head, const std::string &address);
    // Retry-After of a rejection: `usual`, or until the first server accepts requests again if all asked for a quiet period.
    milliseconds retryAfter(milliseconds usual);
    bool overdue() const;
    // Waits while an answer that is being read keeps too much, so that no more of it is read. False if memory has not become free in time.
    asio::awaitable<bool> awaitMemory(const buffered_bytes &kept);

    traffic_state &m_state;
    request_facts m_facts;
    answer_sink &m_sink;
    request_outcome m_outcome;
    bool m_abandoned = false;

private:
    void logAbandoned(std::size_t unacknowledgedBytes);

    std::vector<std::weak_ptr<upstream_exchange>> m_exchanges;
};

std::shared_ptr<request_flow> makeFlow(traffic_state &state, request_facts facts, answer_sink &sink);

// True for a redirect or an error that says that the request is at fault, so that the client does not repeat it.
bool isClientError(int status);
// JSON body of the gateway's own error answers.
std::string errorBody(const char *reason);
// Headers of the gateway's own error answers; `id` is echoed unless it is empty.
header_list errorHeaders(const header_names &headerNames, const std::string &id, milliseconds retryAfter);

}
