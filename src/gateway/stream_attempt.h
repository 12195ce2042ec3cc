#pragma once

// State of one attempt to run a generation on a path of servers. Used on the traffic thread only.

#include "core/event_splitter.h"
#include "core/recovery/event_pace.h"
#include "gateway/part_exposure.h"
#include "gateway/traffic_state.h"

#include <boost/asio/steady_timer.hpp>

namespace chestnut
{

// How far the beginning of an answer has come.
enum class opening_state
{
    pending,      // the request is being sent, or no event has arrived yet
    open,         // a success whose first event was read, or that ended without one
    whole_answer, // an answer that is no stream, such as an error: the head was read
    not_run,      // certainly not executed
    broken,       // may have been executed; the exchange has ended
};

struct stream_attempt : std::enable_shared_from_this<stream_attempt>
{
    stream_attempt(traffic_state &state, const std::vector<path_stage> &stages, double tokens, const std::vector<prompt_prefix> &prompt,
                   std::shared_ptr<upstream_exchange> exchangeWithFirst)
        : path(stages)
        , load(std::make_unique<path_load>(state, stages, tokens, prompt))
        , exchange(std::move(exchangeWithFirst))
        , opened(state.context, steady_time::max())
        , stallTimer(state.context)
        , buffered(state.buffers)
        , lastData(std::chrono::steady_clock::now())
    {
    }
    const path_stage &first() const
    {
        return path.front();
    }
    bool usesStage(const std::string &address) const;
    // Time without data until the next inquiry. Grows with each inquiry that found nothing, so that a request in a server's queue does
    // not cause a rapid series of them.
    milliseconds stallTimeout() const;
    // Next inquiry if no data arrives until then.
    steady_time nextInquiry() const
    {
        return std::max(lastData, lastInquiry) + stallTimeout();
    }
    milliseconds silence(steady_time now) const
    {
        return std::chrono::duration_cast<milliseconds>(now - lastData);
    }
    // Waits until the opening has ended.
    asio::awaitable<void> waitUntilOpened();
    void setOpening(opening_state state);

    std::vector<path_stage> path;                // current path; changes when a stage is replaced
    std::unique_ptr<path_load> load;             // null once the attempt has ended
    std::shared_ptr<upstream_exchange> exchange; // with the first server; null once the attempt has ended
    opening_state opening = opening_state::pending;
    asio::steady_timer opened;     // cancelled when the opening ends
    asio::steady_timer stallTimer; // cancelled when the attempt ends
    std::string firstEvents;       // whole events and comments, read while opening
    event_splitter splitter;
    event_pace pace;                         // of the data from the first server
    buffered_bytes buffered;                 // bytes of the events that are kept
    bool continues = false;                  // the stream to the client had begun when the request was sent
    std::uint64_t eventsForwarded = 0;       // to the client
    server_process process;                  // of the first server
    std::unique_ptr<part_exposure> exposure; // null until the request is sent
    steady_time sent{};                      // when the request was sent, 0 = it was not
    steady_time firstData{};                 // first data of the answer, 0 = none
    steady_time lastData;                    // last data of the server, or the start
    steady_time lastInquiry{};               // end of the last inquiry
    steady_time probedAt{};                  // end of the data before the silence for which its servers were probed, 0 = they were not
    bool stageLost = false;                  // a server of the path has been found lost: the stall is handled at once
    int emptyInquiries = 0;                  // consecutive inquiries without result since the last data
    bool headRead = false;                   // the server has begun to answer
    bool blockedByClient = false;            // an event is being written: no data is read meanwhile
    bool replaced = false;                   // another attempt has answered first
    bool ended = false;
};

}
