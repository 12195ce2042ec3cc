// The part of generation_flow that forwards an answer to the client, and ends the request.

#include "gateway/generation_flow.h"

#include <algorithm>

namespace chestnut
{

namespace
{

constexpr milliseconds LIVENESS_INTERVAL{100}; // between two updates that the path's servers are alive

}

asio::awaitable<generation_flow::attempt_result> generation_flow::forwardStream(stream_attempt &attempt)
{
    const std::shared_ptr<upstream_exchange> exchange = attempt.exchange;
    if (!m_streamBegan) {
        m_headers = exchange->head().headers;
    }
    std::string events = std::move(attempt.firstEvents);
    bool complete = false;
    while (!complete) {
        attempt.buffered.set(events.capacity() + attempt.splitter.pendingCapacity());
        if (!events.empty() && !co_await forwardEvents(attempt, events)) {
            co_return attempt_result::client_gone;
        }
        attempt.buffered.set(attempt.splitter.pendingCapacity());
        const bool endless = attempt.splitter.pendingBytes() > MAX_EVENT_BYTES || attempt.buffered.exceeded();
        std::string piece;
        exchange_status status = exchange_status::broken;
        if (!endless) {
            status = co_await exchange->readPiece(piece, m_facts.deadline);
        }
        if (m_abandoned) {
            co_return attempt_result::client_gone;
        }
        if (attempt.replaced) {
            co_return attempt_result::broken;
        }
        if (status != exchange_status::ok) {
            noteBroken(attempt, *exchange, status);
            co_return attempt_result::broken;
        }
        complete = piece.empty();
        attempt.lastData = std::chrono::steady_clock::now();
        attempt.pace.noteData(attempt.lastData);
        attempt.exposure->noteData(attempt.lastData);
        attempt.load->noteTransferred();
        dropSecond();
        events = attempt.splitter.feed(piece);
    }
    if (attempt.splitter.pendingBytes() > 0) {
        noteBroken(attempt, *exchange, exchange_status::broken);
        co_return attempt_result::broken; // the answer ended in the middle of an event
    }
    m_state.health.noteSuccess(exchange->address());
    if (attempt.splitter.events() > 0) {
        attempt.exposure->prove(std::chrono::steady_clock::now());
    }
    if (!m_streamBegan) {
        m_streamBegan = true;
        if (!co_await m_sink.beginStream(exchange->head().status, m_headers)) {
            co_return attempt_result::client_gone;
        }
    }
    m_outcome.reason = "complete";
    m_outcome.lastEnd = attempt_end::answered;
    co_await m_sink.finishStream();
    co_return attempt_result::complete;
}

// Forwards an answer that is no stream, unless the stream to the client has already begun or a second attempt is on its way.
asio::awaitable<generation_flow::attempt_result> generation_flow::forwardWholeAnswer(stream_attempt &attempt)
{
    const std::shared_ptr<upstream_exchange> exchange = attempt.exchange;
    const bool succeeded = exchange->head().status < 300;
    m_outcome.lastEnd = attempt_end::server_broke;
    if (m_streamBegan || m_second) {
        co_return attempt_result::broken;
    }
    std::string body;
    const exchange_status status = co_await exchange->readBody(body, MAX_WHOLE_BYTES, m_facts.deadline);
    if (m_abandoned) {
        co_return attempt_result::client_gone;
    }
    if (status != exchange_status::ok || attempt.replaced) {
        co_return attempt_result::broken;
    }
    m_outcome.lastEnd = attempt_end::answered;
    m_outcome.reason = succeeded ? "answered" : "server_failure";
    co_await forwardAnswer(exchange->head(), body, exchange->address());
    co_return attempt_result::whole_forwarded;
}

asio::awaitable<bool> generation_flow::forwardEvents(stream_attempt &attempt, const std::string &events)
{
    const steady_time now = std::chrono::steady_clock::now();
    attempt.blockedByClient = true;
    if (const auto id = attempt.splitter.lastId()) { // comment lines alone bear none
        m_lastId = id;
    }
    if (m_streamBegan) {
        m_outcome.longestGap = std::max(m_outcome.longestGap, std::chrono::duration_cast<milliseconds>(now - m_lastEvent));
    } else {
        m_streamBegan = true;
        m_outcome.status = attempt.exchange->head().status;
        m_outcome.firstByte = std::chrono::duration_cast<milliseconds>(now - m_facts.accepted);
        if (!co_await m_sink.beginStream(m_outcome.status, m_headers)) {
            co_return false;
        }
    }
    m_lastEvent = now;
    attempt.emptyInquiries = 0;
    if (now - m_lastLivenessUpdate >= LIVENESS_INTERVAL) {
        m_lastLivenessUpdate = now;
        for (const path_stage &stage : attempt.path) {
            m_state.health.noteAlive(stage.address, now);
        }
    }
    m_outcome.events += attempt.splitter.events() - attempt.eventsForwarded;
    attempt.eventsForwarded = attempt.splitter.events();
    const bool written = co_await m_sink.writeStream(events);
    attempt.blockedByClient = false;
    attempt.lastData = std::chrono::steady_clock::now();
    co_return written;
}

opening_state generation_flow::noteBroken(const stream_attempt &attempt, const upstream_exchange &exchange, exchange_status status)
{
    if (attempt.ended || attempt.replaced || m_abandoned) { // closed by the gateway
        return opening_state::broken;
    }
    m_outcome.silence = attempt.silence(std::chrono::steady_clock::now());
    m_outcome.lastEnd = overdue() ? attempt_end::deadline : attempt_end::server_broke;
    logBroken(attempt, exchange, status);
    if (status == exchange_status::broken && attempt.exposure && attempt.exposure->open()) {
        checkServer(attempt);
    }
    if (!overdue()) {
        avoid(exchange.address(), status == exchange_status::timed_out ? failure_kind::silent : failure_kind::broken);
    }
    return opening_state::broken;
}

asio::awaitable<void> generation_flow::finishFailed(const char *reason)
{
    if (m_streamBegan) {
        m_outcome.reason = reason;
        m_outcome.cut = true;
        m_sink.cut();
        co_return;
    }
    if (m_outcome.runs == 0) {
        co_await respondWithError(503, reason, m_partRetry.count() > 0 ? m_partRetry : retryAfter(chooseRetryAfter()));
        co_return;
    }
    co_await respondWithError(overdue() ? 504 : 502, reason);
}

}
