#pragma once

// Streams the events of a generation from a path of servers to the client. A stream that stalls is migrated to another path
// in mid-stream, or resumed after the last complete event that the client has received. An attempt whose server still may go on
// is kept until another attempt has begun to answer.

#include "gateway/request_flow.h"
#include "gateway/stream_attempt.h"

#include <set>

namespace chestnut
{

class generation_flow : public request_flow, public std::enable_shared_from_this<generation_flow>
{
public:
    using request_flow::request_flow;
    asio::awaitable<void> run() override;

protected:
    const char *waitingFor() const override;
    std::string serversInUse() const override;

private:
    using attempt_ptr = std::shared_ptr<stream_attempt>;

    static constexpr milliseconds MIN_ATTEMPT_TIME{200};                 // no attempt is started with less time left
    static constexpr int MAX_PATHS_TRIED = 6;                            // paths tried per request
    static constexpr std::size_t MAX_WHOLE_BYTES = std::size_t(1) << 20; // of the body of an answer that is no stream
    static constexpr std::size_t MAX_EVENT_BYTES = std::size_t(1) << 20; // of one event, which is kept until it is complete

    // How an attempt to run the generation on a path ended.
    enum class attempt_result
    {
        complete,        // the client has received the whole answer
        whole_forwarded, // a server's answer that is no stream, such as an error, was forwarded to the client
        not_run,         // certainly not executed: another path may be tried
        broken,          // may be resumed on another path after the last complete event
        client_gone,     // the client closed its connection
    };

    //-- Attempts --
    // Starts the next attempt after the last one has failed, or the first one. Returns null if it was started, else the reason why not.
    asio::awaitable<const char *> startNext();
    // A request whose stream has not begun gets nothing at once if no path has enough KV capacity. A stream that has begun takes any
    // complete path, and waits for one as long as its client is expected to stay connected.
    asio::awaitable<std::optional<std::vector<path_stage>>> waitForPath();
    attempt_ptr startAttempt(const std::vector<path_stage> &path);
    // Sends the request and reads the head and the first event of the answer. `self` keeps the flow alive while this coroutine runs.
    asio::awaitable<void> openAttempt(std::shared_ptr<generation_flow> self, attempt_ptr attempt, std::shared_ptr<upstream_exchange> exchange);
    // `pending` if the request was sent.
    asio::awaitable<opening_state> sendRequest(stream_attempt &attempt, upstream_exchange &exchange);
    asio::awaitable<opening_state> readOpening(stream_attempt &attempt, upstream_exchange &exchange);
    // Reads until the first event, of an attempt that continues a stream until the first event that has an id. Until then another server
    // can still take over, so comments are kept too.
    asio::awaitable<opening_state> readFirstEvent(stream_attempt &attempt, upstream_exchange &exchange);
    // Takes a piece of the answer. `pending` if the first event is not complete yet.
    opening_state judgeFirstPiece(stream_attempt &attempt, const upstream_exchange &exchange, const std::string &piece);
    // For an answer that ends before its first event.
    opening_state judgeEmptyAnswer(const stream_attempt &attempt, const upstream_exchange &exchange);
    // Counts and logs why an answer does not continue the stream that the client has received a part of. Returns `broken`.
    opening_state rejectContinuation(const stream_attempt &attempt, const upstream_exchange &exchange, const char *reason);
    // Waits until the attempt is open, and forwards its answer.
    asio::awaitable<attempt_result> followAttempt(attempt_ptr attempt);
    // Releases the attempt's servers. An opening in progress ends with `aborted`.
    static void endAttempt(const attempt_ptr &attempt);

    //-- Second attempt beside a silent one --
    // Starts a second attempt beside the current one, if the route, its limit of attempts and the repeat budget allow it and there is
    // a path. `needsCapacity` accepts only paths with enough free KV capacity. True if it was started.
    bool startSecond(attempt_end cause, bool needsCapacity);
    // The second attempt has ended its opening: it replaces the current one, or is dropped.
    void settleSecond();
    void dropSecond();

    //-- Forwarding --
    asio::awaitable<attempt_result> forwardStream(stream_attempt &attempt);
    asio::awaitable<attempt_result> forwardWholeAnswer(stream_attempt &attempt);
    // Sends whole events to the client, after the head if it was not sent yet.
    asio::awaitable<bool> forwardEvents(stream_attempt &attempt, const std::string &events);
    // Notes that the server has ended the exchange, unless the gateway has. Returns `broken`.
    opening_state noteBroken(const stream_attempt &attempt, const upstream_exchange &exchange, exchange_status status);
    // Ends the request after its last attempt: closes a stream that has begun, else sends an error answer.
    asio::awaitable<void> finishFailed(const char *reason);

    //-- Prompts that end servers --
    // After an attempt that its server may have ended because of its prompt: waits until it is known whether the server's process ended.
    // Returns false if the request must not be sent to a further server.
    asio::awaitable<bool> awaitServerCheck();
    // Returns null if the parts of the prompt allow an attempt now, else the reason why not.
    const char *refuseByParts();
    // Begins to find out whether the server's process ended, unless it had lived on with the request before.
    void checkServer(const stream_attempt &attempt);
    // Notes the end of the server's process once a check has found it; asks again while that is unknown. `self` keeps the flow alive
    // meanwhile.
    using ask_process = std::function<server_end_check::pending_state(steady_time until)>;
    asio::awaitable<void> noteServerEnd(std::shared_ptr<generation_flow> self, server_process process, ask_process ask, server_end_check::pending_state check);
    // A server's process ended while it began to answer this request.
    void noteEnded(const server_process &process, steady_time at);
    // Logs what ran at the server, so that the requests of several servers that ended can be compared.
    void logBroken(const stream_attempt &attempt, const upstream_exchange &exchange, exchange_status status);

    //-- Stalls --
    // While the attempt receives no data, asks its first server what it waits for, then replaces the stalled stage or starts a second
    // attempt. `self` keeps the flow alive while this coroutine runs.
    asio::awaitable<void> monitorStalls(std::shared_ptr<generation_flow> self, attempt_ptr attempt);
    // When the servers of the attempt's path are to be probed if no data arrives until then.
    steady_time nextProbe(const stream_attempt &attempt) const;
    asio::awaitable<void> handleStall(attempt_ptr attempt);
    // Logs what a silent attempt waits for, with the work that its first server reports.
    void logWait(const stream_attempt &attempt, const std::optional<server_report> &report);
    struct order_answer
    {
        order_outcome outcome;
        std::string faulty; // address of the server at fault, as named by the answer
    };
    // Orders the first server to migrate the stream to a path without its lost stages: the named one, and others that are known to be
    // lost. Replacements that refuse are replaced in turn; without one, a second attempt is started.
    asio::awaitable<void> replaceStage(attempt_ptr attempt, std::string lostAddress);
    // Counts an inquiry without result and starts a second attempt if one is possible: without one the client decides how long it waits.
    void noteEmptyInquiry(const attempt_ptr &attempt, attempt_end cause);
    // For a request that has waited too long in the queue of its first server: starts a second attempt at another first server that has
    // KV capacity for it.
    bool leaveQueue(const attempt_ptr &attempt);
    // The attempt's path with other stages in place of the lost ones. Nothing if the first stage is the lost one, or if there are no
    // replacements.
    std::optional<std::vector<path_stage>> pathAround(const stream_attempt &attempt, const std::string &lostAddress, bool ignoreCapacity) const;
    // True if this request has found that the stage does not go on, or if its server does not respond to anybody.
    bool isLost(const path_stage &stage, steady_time now) const;

    //-- Helpers --
    // Adds the stream, as far as it has come, to what is known about the duration of its service's streams.
    void noteDuration();
    // Counts and logs why no path was found, and returns the reason: layers that no server holds, servers that have just failed, too little
    // KV capacity, or capacity that is left to more urgent requests.
    path_failure_reason reportNoPath();
    // Works out when the client should come back, from what the path lacks.
    void expectReturn(const path_gap &gap, const path_demand &asked, steady_time now);
    // Retry-After of a request that no server has run. Counts the client among those that come back.
    milliseconds chooseRetryAfter();
    // Part of the capacity that this request leaves to more urgent ones: none once a server may be running it.
    double headroom() const;
    // Counts what the path is expected to hold of the prompt.
    void notePrefixHit(const std::vector<path_stage> &path);
    // True if a report that was due at that time may be missing because a thread of this process is late.
    bool isOwnDelay(steady_time due) const;
    // True if the route's streams can be resumed, it is known after which event, and the limit of attempts is not reached.
    bool mayResume() const;
    // Avoids the server that a refusal names as the one at fault, which need not be the first one of the path.
    void noteRefusal(const answer_head &head, const std::string &address);
    void avoid(const std::string &address, failure_kind kind);
    const service_profile *service() const;
    // A client whose stream has begun is expected to stay connected for so long without an event.
    milliseconds clientPatience() const;
    // What the request asks of a path; only if there is a service().
    path_demand demand() const;

    attempt_ptr m_current;                         // null between two attempts
    attempt_ptr m_second;                          // asked because the current one is silent; null if there is none
    attempt_end m_secondCause = attempt_end::none; // why the second one was asked
    int m_pathsTried = 0;                          // attempts started
    std::vector<std::string> m_avoided;            // servers that this request avoids; cleared while a stream that has begun waits for a path
    header_list m_headers;                         // of the first attempt's answer
    std::optional<std::uint64_t> m_lastId;         // newest event sent to the client
    server_end_check::pending_state m_serverCheck; // of the last attempt's server; null if there is none in progress
    std::set<server_process> m_serversEnded;       // processes that ended while they began to answer this request
    std::optional<milliseconds> m_expectedReturn;  // time until the request should find a path, if known
    const char *m_returnBasis = "usual";           // what that time was worked out from
    milliseconds m_partRetry{0};                   // Retry-After if the parts of the prompt forbid an attempt
    bool m_streamBegan = false;                    // the answer's head was sent to the client
    steady_time m_lastEvent{};                     // when the last event was forwarded
    steady_time m_lastLivenessUpdate{};            // when the path's servers were last noted as alive
};

}
