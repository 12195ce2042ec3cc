#pragma once

// Streams the events of a generation from a path of servers to the client. A stream that stalls is migrated to another path
// in mid-stream, or resumed after the last complete event that the client has received.

#include "core/event_splitter.h"
#include "gateway/request_flow.h"

#include <boost/asio/steady_timer.hpp>

namespace chestnut
{

class generation_flow : public request_flow, public std::enable_shared_from_this<generation_flow>
{
public:
    using request_flow::request_flow;
    asio::awaitable<void> run() override;

private:
    // How an attempt to run the generation on a path ended.
    enum class attempt_result
    {
        complete,        // the client has received the whole answer
        error_forwarded, // a server's error answer was forwarded to the client
        not_run,         // certainly not executed: another path may be tried
        broken,          // may be resumed on another path after the last complete event
        client_gone,     // the client closed its connection
    };
    // Timer for the stall detection of one attempt, shared by runAttempt() and monitorStalls().
    struct stall_monitor
    {
        explicit stall_monitor(asio::io_context &context)
            : timer(context)
        {
        }
        asio::steady_timer timer;
        bool ended = false; // the attempt is over
    };
    // A request whose stream has not begun gets nothing at once if no path has enough KV capacity. A stream that has begun takes any
    // complete path, and waits for one as long as its client is expected to stay connected.
    asio::awaitable<std::optional<std::vector<path_stage>>> waitForPath();
    asio::awaitable<attempt_result> runAttempt(const std::vector<path_stage> &path);
    asio::awaitable<attempt_result> handleAnswer(upstream_exchange &exchange, const std::vector<path_stage> &path);
    // While the attempt receives no data, asks its first server what it waits for, then replaces the stalled stage or aborts the
    // exchange. `self` keeps the flow alive while this coroutine runs.
    asio::awaitable<void> monitorStalls(std::shared_ptr<generation_flow> self, std::shared_ptr<stall_monitor> monitor,
                                        std::shared_ptr<upstream_exchange> exchange);
    attempt_result handleBrokenExchange(const std::string &address, exchange_status status);
    asio::awaitable<attempt_result> forwardStream(upstream_exchange &exchange);
    asio::awaitable<attempt_result> forwardErrorAnswer(upstream_exchange &exchange);
    // Sends whole events to the client, after the head with this status if it was not sent yet.
    asio::awaitable<bool> forwardEvents(const std::string &events, int status);
    // Finds the stage that stalls the attempt and replaces it. False if the attempt is to be aborted.
    asio::awaitable<bool> handleStall(upstream_exchange &exchange);
    struct order_answer
    {
        order_outcome outcome;
        std::string faulty; // address of the server at fault, as named by the answer
    };
    // Orders the first server to migrate the stream to a path without the lost stage. Replacements that refuse are replaced in
    // turn. Returns true if the attempt goes on, false if it is to be aborted.
    asio::awaitable<bool> replaceStage(std::string lostAddress);
    // Counts and logs why no path was found: layers that no server holds, servers that have just failed, or too little KV capacity.
    void reportNoPath();
    bool usesStage(const std::string &address) const;
    // True if the limits on repeats allow another attempt and there is a path for it.
    bool canStartAnotherAttempt(bool ignoreCapacity) const;
    // Counts an inquiry without result. True unless another attempt is possible: without one the stalled attempt is kept, and the
    // client decides how long it waits. `cause` is noted as the end of the attempt that is given up.
    bool shouldKeepWaiting(attempt_end cause);
    // For a request that has waited too long in the queue of its first server. True if another first server has KV capacity for it;
    // the current one is then avoided by the next attempt.
    bool leaveQueue();
    // The path in use with other stages in place of the lost one. Nothing if the first stage is the lost one, or if there are no
    // replacements.
    std::optional<std::vector<path_stage>> pathAround(const std::string &lostAddress) const;
    // Ends the request after its last attempt: closes a stream that has begun, else sends an error answer.
    asio::awaitable<void> finishFailed(const char *reason);
    // True if the route's streams can be resumed and the limit of attempts is not reached.
    bool mayResume() const;
    // Time without data until the next inquiry. Grows with each inquiry that found nothing, so that a request in a server's queue does
    // not cause a rapid series of them.
    milliseconds stallTimeout() const;
    // Avoids the server that a refusal names as the one at fault, which need not be the first one of the path.
    void noteRefusal(const answer_head &head, const std::string &address);
    void avoid(const std::string &address, failure_kind kind);
    const service_profile *service() const;

    std::vector<path_stage> m_path;     // current path
    std::vector<std::string> m_avoided; // servers that this request avoids; cleared while a stream that has begun waits for a path
    std::unique_ptr<path_load> m_load;
    event_splitter m_splitter;             // of the current attempt
    header_list m_headers;                 // of the first attempt's answer
    std::optional<std::uint64_t> m_lastId; // newest event sent to the client
    bool m_streamBegan = false;            // the answer's head was sent to the client
    bool m_headRead = false;               // the current attempt's answer has begun, and the attempt is counted in m_outcome.runs
    int m_emptyInquiries = 0;              // consecutive inquiries without result since the last event
    steady_time m_lastEvent{};             // when the last event was forwarded
    steady_time m_lastLivenessUpdate{};    // when the path's servers were last noted as alive
    steady_time m_lastProgress{};          // when the current attempt last received data or a stall was handled
};

}
