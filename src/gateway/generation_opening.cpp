// The part of generation_flow that opens an attempt: sends the request and reads the answer until it is known what to do with it.

#include "gateway/completion.h"
#include "gateway/generation_flow.h"
#include "gateway/headers.h"
#include "gateway/spawn.h"
#include "kernel/scope.h"

namespace chestnut
{

namespace
{

constexpr milliseconds CONNECT_TIMEOUT{150}; // a server in the same region answers in a few ms
constexpr std::size_t MAX_LOGGED_VALUE = 64; // bytes
constexpr std::string_view CONTENT_TYPE = "Content-Type";
constexpr std::string_view EVENT_STREAM = "text/event-stream";
constexpr int NO_CONTENT = 204; // and 205: no body follows

// Media type of an answer without its parameters; empty if it states none.
std::string_view mediaType(const header_list &headers)
{
    const std::string_view text = headerValue(headers, CONTENT_TYPE);
    const std::string_view type = text.substr(0, text.find(';'));
    return type.substr(0, type.find_last_not_of(' ') + 1);
}

// False for a success that is certainly no stream of events.
bool mayBeStream(const answer_head &head)
{
    const std::string_view type = mediaType(head.headers);
    return head.status < NO_CONTENT && (type.empty() || sameHeader(type, EVENT_STREAM));
}

// True if the answer can continue a stream that began with this status and these headers.
bool continuesStream(const answer_head &head, int status, const header_list &headers)
{
    return head.status == status && sameHeader(mediaType(head.headers), mediaType(headers));
}

}

asio::awaitable<void> generation_flow::openAttempt(std::shared_ptr<generation_flow>, attempt_ptr attempt, std::shared_ptr<upstream_exchange> exchange)
{
    if (attempt->ended) { // before this coroutine began
        co_return;
    }
    const scope_guard settle([attempt] { // after an exception
        if (attempt->opening == opening_state::pending) {
            attempt->setOpening(opening_state::broken);
        }
    });
    opening_state state = co_await sendRequest(*attempt, *exchange);
    if (state == opening_state::pending) {
        state = co_await readOpening(*attempt, *exchange);
    }
    attempt->setOpening(state);
    if (attempt->ended || m_abandoned) {
        co_return;
    }
    if (attempt == m_second) {
        settleSecond();
    } else if (state == opening_state::open && !attempt->replaced) {
        dropSecond();
    }
}

asio::awaitable<opening_state> generation_flow::sendRequest(stream_attempt &attempt, upstream_exchange &exchange)
{
    const path_stage first = attempt.first();
    const steady_time start = std::chrono::steady_clock::now();
    // An idle connection may be about to be closed by the server, which must not cost the only or the last attempt.
    const bool fresh = !m_facts.matched->resumable || m_outcome.runs > 0;
    exchange_status status = co_await exchange.connect(fresh, std::min<steady_time>(m_facts.deadline, start + CONNECT_TIMEOUT));
    if (status == exchange_status::aborted || !clientWaits()) {
        co_return opening_state::not_run;
    }
    if (status != exchange_status::ok) {
        m_outcome.lastEnd = attempt_end::not_connected;
        avoid(first.address, failure_kind::unreachable);
        co_return opening_state::not_run;
    }
    header_list extra{{m_state.headerNames.path, m_state.port.encodePath(attempt.path)}};
    attempt.continues = m_streamBegan;
    if (m_lastId) {
        extra.emplace_back(m_state.headerNames.lastEventId, std::to_string(*m_lastId));
    }
    listed_server target;
    target.id = first.server;
    std::string head = encodeHead(target, extra, start);
    ++m_outcome.runs; // taken back if the server refuses
    attempt.lastData = std::chrono::steady_clock::now();
    attempt.sent = attempt.lastData;
    attempt.process = m_state.processOf(first.server);
    attempt.exposure = std::make_unique<part_exposure>(m_state.quarantine, m_facts.parts);
    spawnLogged(m_state.context, "stall_monitor", monitorStalls(shared_from_this(), attempt.shared_from_this()));
    status = co_await exchange.send(std::move(head), m_facts.message->body(), m_facts.deadline);
    co_return status == exchange_status::ok ? opening_state::pending : noteBroken(attempt, exchange, status);
}

asio::awaitable<opening_state> generation_flow::readOpening(stream_attempt &attempt, upstream_exchange &exchange)
{
    exchange_status status = co_await exchange.readHead(m_state.headerNames.requestId, m_facts.deadline);
    if (status != exchange_status::ok) {
        co_return noteBroken(attempt, exchange, status);
    }
    const answer_head &head = exchange.head();
    attempt.headRead = true;
    attempt.lastData = std::chrono::steady_clock::now();
    attempt.firstData = attempt.lastData;
    attempt.exposure->noteData(attempt.lastData);
    noteLoad(head, exchange.address());
    noteQuietPeriod(head, exchange.address());
    noteLeaving(head, exchange.address());
    if (saysNotRun(head)) {
        --m_outcome.runs;
        exchange.noteRefused();
        noteRefusal(head, exchange.address());
        co_await exchange.skipBody(MAX_WHOLE_BYTES, std::chrono::steady_clock::now() + CONNECT_TIMEOUT); // so that the connection can be reused
        co_return opening_state::not_run;
    }
    if (isUnusable(head)) {
        logLine(log_level::info, "answer_unusable",
                {{"request", m_facts.id}, {"server", attempt.first().server.text}, {"address", exchange.address()}, {"status", std::to_string(head.status)}});
        co_return noteBroken(attempt, exchange, exchange_status::broken);
    }
    const bool succeeded = head.status >= 200 && head.status < 300;
    if (!succeeded) {
        noteFailure(exchange.address(), failure_kind::error);
        co_return opening_state::whole_answer;
    }
    if (attempt.continues && !continuesStream(head, m_outcome.status, m_headers)) {
        co_return rejectContinuation(attempt, exchange, "other_head");
    }
    if (!attempt.continues && !mayBeStream(head)) {
        co_return opening_state::whole_answer;
    }
    co_return co_await readFirstEvent(attempt, exchange);
}

asio::awaitable<opening_state> generation_flow::readFirstEvent(stream_attempt &attempt, upstream_exchange &exchange)
{
    opening_state state = opening_state::pending;
    while (state == opening_state::pending) {
        std::string piece;
        const exchange_status status = co_await exchange.readPiece(piece, m_facts.deadline);
        if (status != exchange_status::ok) {
            co_return noteBroken(attempt, exchange, status);
        }
        state = piece.empty() ? judgeEmptyAnswer(attempt, exchange) : judgeFirstPiece(attempt, exchange, piece);
    }
    co_return state;
}

opening_state generation_flow::judgeFirstPiece(stream_attempt &attempt, const upstream_exchange &exchange, const std::string &piece)
{
    attempt.load->noteTransferred();
    attempt.lastData = std::chrono::steady_clock::now();
    attempt.firstEvents += attempt.splitter.feed(piece);
    const std::optional<std::uint64_t> firstId = attempt.splitter.firstId();
    if (attempt.continues && firstId) {
        return *firstId > m_lastId.value() ? opening_state::open : rejectContinuation(attempt, exchange, "known_event");
    }
    if (!attempt.continues && attempt.splitter.events() > 0) {
        return opening_state::open;
    }
    const std::size_t kept = attempt.firstEvents.size() + attempt.splitter.pendingBytes();
    attempt.buffered.set(attempt.firstEvents.capacity() + attempt.splitter.pendingCapacity());
    if (kept <= MAX_EVENT_BYTES && !attempt.buffered.exceeded()) {
        return opening_state::pending;
    }
    return attempt.continues ? rejectContinuation(attempt, exchange, "too_long") : noteBroken(attempt, exchange, exchange_status::broken);
}

opening_state generation_flow::judgeEmptyAnswer(const stream_attempt &attempt, const upstream_exchange &exchange)
{
    if (attempt.continues) {
        return rejectContinuation(attempt, exchange, "no_event");
    }
    if (exchange.head().endsWithConnection) { // nothing but the end of the connection: the server broke off
        return noteBroken(attempt, exchange, exchange_status::broken);
    }
    return opening_state::open;
}

opening_state generation_flow::rejectContinuation(const stream_attempt &attempt, const upstream_exchange &exchange, const char *reason)
{
    m_state.counters.count("continuations_rejected", {{"reason", reason}});
    const answer_head &head = exchange.head();
    const auto first = attempt.splitter.firstId();
    logLine(log_level::warning, "continuation_rejected",
            {{"request", m_facts.id},
             {"server", attempt.first().server.text},
             {"address", exchange.address()},
             {"reason", reason},
             {"status", std::to_string(head.status)},
             {"media_type", std::string(headerValue(head.headers, CONTENT_TYPE).substr(0, MAX_LOGGED_VALUE))},
             {"last_id", std::to_string(m_lastId.value())},
             {"first_id", first ? std::to_string(*first) : ""}});
    return noteBroken(attempt, exchange, exchange_status::broken);
}

}
