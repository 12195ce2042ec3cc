#pragma once

// Generations: a stream of events from a path of servers. A stream that stalls is moved to another path in mid-stream, or
// resumed behind the last whole event that the client has.

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
    // How one run on a path ended.
    enum class run_result
    {
        complete,  // the client has the whole answer
        passed_on, // a server's failure was passed on
        not_run,   // certain: another path may be tried
        broken,    // may go on elsewhere behind the last whole event
        gone,      // the client left
    };
    // Watches one run for silence.
    struct run_watch
    {
        explicit run_watch(asio::io_context &context)
            : timer(context)
        {
        }
        asio::steady_timer timer;
        bool ended = false; // the run is over
    };
    asio::awaitable<std::optional<std::vector<path_stage>>> findPathFor();
    asio::awaitable<run_result> runOnce(const std::vector<path_stage> &path);
    asio::awaitable<run_result> takeAnswer(upstream_exchange &exchange, const std::vector<path_stage> &path);
    // `self` keeps the flow alive while the watch runs.
    asio::awaitable<void> watchRun(std::shared_ptr<generation_flow> self, std::shared_ptr<run_watch> watch, std::shared_ptr<upstream_exchange> exchange);
    run_result lostRun(const std::string &address, exchange_status status);
    asio::awaitable<run_result> relay(upstream_exchange &exchange);
    asio::awaitable<run_result> forwardWhole(upstream_exchange &exchange);
    asio::awaitable<bool> forwardEvents(const std::string &events);
    // Silence in mid-stream: finds the lost stage and replaces it. False if the run is to be given up.
    asio::awaitable<bool> mend(upstream_exchange &exchange);
    struct order_answer
    {
        order_outcome outcome;
        std::string faulty; // address that the answer names
    };
    asio::awaitable<bool> repath(std::string lostAddress);
    void noteNoPath();
    bool usesStage(const std::string &address) const;
    bool anotherRunPossible(bool ignoreCapacity) const;
    bool mayWaitOn();
    bool leaveQueue();
    std::optional<std::vector<path_stage>> pathAround(const std::string &lostAddress) const;
    asio::awaitable<void> finishFailed(const char *reason);
    bool mayRunAgain() const;
    milliseconds patience() const;
    void noteRefusal(const answer_head &head, const std::string &address);
    void avoid(const std::string &address, failure_kind kind);
    const service_profile *service() const;

    std::vector<path_stage> m_path;     // in use
    std::vector<std::string> m_avoided; // addresses that failed this request
    std::unique_ptr<path_load> m_load;
    event_splitter m_splitter;             // of the run under way
    header_list m_headers;                 // of the first run's answer
    std::optional<std::uint64_t> m_lastId; // newest event that the client has
    bool m_began = false;                  // the head was sent to the client
    bool m_headRead = false;               // the run under way has been counted
    int m_silences = 0;                    // in a row, without an event between
    steady_time m_lastEvent{};             // when the client got one
    steady_time m_lastAlive{};             // when the path's servers were last noted as living
    steady_time m_lastProgress{};          // when the run last showed a sign of life
};

}
