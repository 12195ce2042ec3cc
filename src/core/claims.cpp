// Claims of idempotency keys. Comments name the steps of the protocol's model in spec/claims.pml.
// Sections: records, fold, claim manager.

#include "core/chestnutgw.h"
#include "kernel/hash.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace chestnut
{

//-----------------------------------------------------------------------------
// Records
//-----------------------------------------------------------------------------

std::string encodeClaim(const claim_record &record)
{
    nlohmann::json value{{"k", record.key}, {"a", record.attempt}};
    if (record.type == claim_record::kind::claim) {
        value["t"] = "claim";
        value["h"] = record.fingerprint;
        return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }
    value["t"] = "outcome";
    value["v"] = toText(record.ran);
    value["s"] = record.status;
    value["c"] = record.contentType;
    value["b"] = encodeBase64(record.body);
    value["x"] = record.bodyOmitted;
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

claim_record decodeClaim(std::string_view text)
{
    try {
        const nlohmann::json value = nlohmann::json::parse(text);
        claim_record record;
        value.at("k").get_to(record.key);
        value.at("a").get_to(record.attempt);
        const std::string type = value.at("t").get<std::string>();
        if (type == "claim") {
            value.at("h").get_to(record.fingerprint);
            return record;
        }
        if (type != "outcome") {
            throw std::invalid_argument("unknown type of claim record: '" + type + "'");
        }
        record.type = claim_record::kind::outcome;
        record.ran = parseVerdict(value.at("v").get<std::string>());
        value.at("s").get_to(record.status);
        value.at("c").get_to(record.contentType);
        record.body = decodeBase64(value.at("b").get<std::string>());
        value.at("x").get_to(record.bodyOmitted);
        return record;
    } catch (const nlohmann::json::exception &problem) {
        throw std::invalid_argument(std::string("not a claim record: ") + problem.what());
    }
}

//-----------------------------------------------------------------------------
// Fold
//-----------------------------------------------------------------------------

// Step FOLD of spec/claims.pml.
std::string claim_table::apply(log_offset offset, std::int64_t timeMs, const claim_record &record)
{
    if (offset <= m_applied) {
        return {};
    }
    m_applied = offset;
    m_latestMs = std::max(m_latestMs, timeMs);
    expire(m_latestMs);
    const auto found = m_keys.find(record.key);
    if (record.type == claim_record::kind::claim) {
        if (!m_seenAttempts.emplace(record.attempt, m_latestMs).second) {
            return {}; // duplicate append of the same attempt
        }
        m_attemptOrder.emplace_back(m_latestMs, record.attempt);
        if (found == m_keys.end()) {
            m_keys[record.key] = {record.attempt, record.fingerprint, m_latestMs, std::nullopt};
            m_order.emplace_back(m_latestMs, record.key);
        }
        return record.key;
    }
    // Only the first outcome of the winner counts.
    const bool counts = found != m_keys.end() && found->second.winner == record.attempt && !found->second.outcome;
    if (!counts) {
        return {};
    }
    if (record.ran == verdict::not_run) {
        m_keys.erase(found);
    } else {
        found->second.outcome = record;
    }
    return record.key;
}

void claim_table::skip(log_offset offset)
{
    m_applied = std::max(m_applied, offset);
}

const claim_state *claim_table::find(const std::string &key) const
{
    const auto found = m_keys.find(key);
    return found == m_keys.end() ? nullptr : &found->second;
}

void claim_table::reset(log_offset next)
{
    m_keys.clear();
    m_order.clear();
    m_seenAttempts.clear();
    m_attemptOrder.clear();
    m_applied = log_offset{next.value == 0 ? 0 : next.value - 1};
}

// Drops keys and attempts that are older than the window.
void claim_table::expire(std::int64_t nowMs)
{
    const std::int64_t oldest = nowMs - m_window.count();
    while (!m_order.empty() && m_order.front().first < oldest) {
        const auto found = m_keys.find(m_order.front().second);
        // A key that was freed and claimed again has a second, later entry in m_order; only that one expires it.
        if (found != m_keys.end() && found->second.claimedAtMs == m_order.front().first) {
            m_keys.erase(found);
        }
        m_order.pop_front();
    }
    while (!m_attemptOrder.empty() && m_attemptOrder.front().first < oldest) {
        m_seenAttempts.erase(m_attemptOrder.front().second);
        m_attemptOrder.pop_front();
    }
}

//-----------------------------------------------------------------------------
// Claim manager
//-----------------------------------------------------------------------------

claim_manager::claim_manager(instance_id instance, std::uint64_t incarnation, claim_limits limits)
    : m_prefix(instance.text + "." + std::to_string(incarnation) + ".")
    , m_limits(limits)
    , m_table(limits.window)
{
}

claim_ticket claim_manager::submit(const std::string &key, const std::string &fingerprint, steady_time now, steady_time deadline)
{
    const claim_ticket ticket = m_nextTicket++;
    waiting entry;
    entry.key = key;
    entry.fingerprint = fingerprint;
    entry.deadline = deadline;
    const bool full = m_waiting.size() >= m_limits.maxTickets;
    m_waiting.emplace(ticket, std::move(entry));
    m_ticketsOfKey[key].insert(ticket);
    const claim_state *known = m_table.find(key);
    if (!m_ready || full) {
        decide(ticket, claim_decision::kind::refused);
        return ticket;
    }
    if (known != nullptr) {
        m_waiting.at(ticket).at = ticket_state::waiting_outcome;
        settleFromTable(ticket, now);
        return ticket;
    }
    // While the log is down, one claim per appendRetryDelay is let through to find out whether it is back.
    if (m_logDown && now < m_probeAt) {
        decide(ticket, claim_decision::kind::refused);
        return ticket;
    }
    m_probeAt = now + m_limits.appendRetryDelay;
    queueClaim(ticket);
    return ticket;
}

void claim_manager::abandon(claim_ticket ticket)
{
    const auto found = m_waiting.find(ticket);
    if (found == m_waiting.end() || found->second.at == ticket_state::dispatched) {
        return; // a dispatched call must record its outcome even if its client is gone
    }
    closeTicket(ticket);
}

bool claim_manager::mayDispatch(claim_ticket ticket, steady_time now) const
{
    const auto found = m_waiting.find(ticket);
    return found != m_waiting.end() && found->second.at == ticket_state::dispatched && now <= sendBefore(found->second);
}

// Step OUTCOME of spec/claims.pml.
void claim_manager::finished(claim_ticket ticket, claim_record outcome)
{
    const auto found = m_waiting.find(ticket);
    if (found == m_waiting.end() || found->second.at != ticket_state::dispatched) {
        return;
    }
    outcome.type = claim_record::kind::outcome;
    outcome.key = found->second.key;
    outcome.attempt = found->second.winner;
    m_outcomes.push_back(encodeClaim(outcome));
    closeTicket(ticket);
}

// Step APPEND of spec/claims.pml: each append of a claim uses a new attempt id, because an earlier append without an answer
// may still arrive. Outcomes go first.
std::vector<std::string> claim_manager::takeBatch(steady_time now)
{
    if (!m_batch.empty()) {
        return {};
    }
    if (now < m_retryAppendAt) {
        return {};
    }
    for (auto &[ticket, entry] : m_waiting) {
        if (entry.at == ticket_state::unknown && entry.retryAt <= now) {
            queueClaim(ticket);
        }
    }
    while (!m_outcomes.empty() && m_batch.size() < m_limits.maxBatch) {
        m_batch.push_back(m_outcomes.front());
        m_batchOutcomes.push_back(std::move(m_outcomes.front()));
        m_outcomes.pop_front();
    }
    while (!m_queue.empty() && m_batch.size() < m_limits.maxBatch) {
        const claim_ticket ticket = m_queue.front();
        m_queue.pop_front();
        const auto found = m_waiting.find(ticket);
        if (found == m_waiting.end() || found->second.at != ticket_state::queued) {
            continue;
        }
        claim_record record;
        record.key = found->second.key;
        record.fingerprint = found->second.fingerprint;
        record.attempt = m_prefix + std::to_string(m_nextAttempt++);
        found->second.attempts.emplace(record.attempt, now);
        found->second.at = ticket_state::appending;
        m_batchTickets.push_back(ticket);
        m_batch.push_back(encodeClaim(record));
    }
    return m_batch;
}

// Outcome records are appended again until an append succeeds; the fold ignores duplicates.
void claim_manager::appendEnded(append_status status, steady_time now)
{
    const std::vector<claim_ticket> tickets = std::move(m_batchTickets);
    std::vector<std::string> outcomes = std::move(m_batchOutcomes);
    m_batch.clear();
    m_batchTickets.clear();
    m_batchOutcomes.clear();
    m_logDown = status == append_status::refused || status == append_status::unknown;
    if (status != append_status::appended) {
        m_outcomes.insert(m_outcomes.begin(), outcomes.begin(), outcomes.end());
        m_retryAppendAt = now + m_limits.appendRetryDelay;
    }
    for (const claim_ticket ticket : tickets) {
        const auto found = m_waiting.find(ticket);
        if (found == m_waiting.end() || found->second.at != ticket_state::appending) {
            continue;
        }
        if (status == append_status::throttled) {
            queueClaim(ticket);
            continue;
        }
        if (status == append_status::refused) {
            decide(ticket, claim_decision::kind::refused);
            continue;
        }
        // Step READBACK of spec/claims.pml: only the fold settles a claim, whatever the result of the append.
        found->second.at = status == append_status::appended ? ticket_state::appended : ticket_state::unknown;
        found->second.retryAt = now + m_limits.appendRetryDelay;
    }
}

void claim_manager::fold(log_offset offset, std::int64_t timeMs, std::string_view text, steady_time now)
{
    claim_record record;
    try {
        record = decodeClaim(text);
    } catch (const std::invalid_argument &) {
        m_table.skip(offset);
        ++m_undecodable;
        return;
    }
    const std::string key = m_table.apply(offset, timeMs, record);
    if (record.type == claim_record::kind::outcome) {
        m_dispatchedAttempts.erase(record.attempt);
    }
    if (key.empty()) {
        return;
    }
    const auto tickets = m_ticketsOfKey.find(key);
    if (tickets != m_ticketsOfKey.end()) {
        const std::set<claim_ticket> concerned = tickets->second;
        for (const claim_ticket ticket : concerned) {
            settleFromTable(ticket, now);
        }
    }
    // A late append may have won a key that no open ticket wants any more: free it.
    const claim_state *state = m_table.find(key);
    if (state != nullptr && !state->outcome && ownAttempt(state->winner) && !hasLiveTicket(key, state->winner)) {
        freeKey(key, state->winner);
    }
}

void claim_manager::foldReset(log_offset next)
{
    m_table.reset(next);
    m_ready = false;
}

// Moves a ticket on according to the state of its key: dispatches a won claim, answers from a recorded outcome, waits for
// another holder's outcome, or claims the key again after it was freed.
void claim_manager::settleFromTable(claim_ticket ticket, steady_time now)
{
    const auto found = m_waiting.find(ticket);
    if (found == m_waiting.end() || found->second.at == ticket_state::dispatched) {
        return;
    }
    waiting &entry = found->second;
    const claim_state *state = m_table.find(entry.key);
    if (state == nullptr) {
        if (entry.at == ticket_state::waiting_outcome) {
            queueClaim(ticket); // the holder freed the key: claim it again
        }
        return;
    }
    if (entry.attempts.contains(state->winner)) {
        // Step WIN of spec/claims.pml: the claim won. Dispatch it unless it is too late to send.
        if (state->outcome) {
            return;
        }
        entry.at = ticket_state::dispatched;
        entry.winner = state->winner;
        if (now > entry.deadline || !mayDispatch(ticket, now)) {
            entry.at = ticket_state::appended; // not dispatched, so that the key is freed
            decide(ticket, claim_decision::kind::expired);
            return;
        }
        m_dispatchedAttempts.insert(state->winner);
        m_decisions.push_back({ticket, claim_decision::kind::dispatch, state->winner, sendBefore(entry), {}});
        return;
    }
    if (state->fingerprint != entry.fingerprint) {
        decide(ticket, claim_decision::kind::mismatch);
        return;
    }
    if (state->outcome) {
        decide(ticket, claim_decision::kind::recorded, &*state->outcome);
        return;
    }
    entry.at = ticket_state::waiting_outcome;
}

void claim_manager::tick(steady_time now)
{
    std::vector<claim_ticket> late;
    for (const auto &[ticket, entry] : m_waiting) {
        if (entry.at != ticket_state::dispatched && now >= entry.deadline) {
            late.push_back(ticket);
        }
    }
    for (const claim_ticket ticket : late) {
        const bool otherHolds = m_waiting.at(ticket).at == ticket_state::waiting_outcome;
        decide(ticket, otherHolds ? claim_decision::kind::outcome_timeout : claim_decision::kind::expired);
    }
}

std::vector<claim_decision> claim_manager::takeDecisions()
{
    return std::exchange(m_decisions, {});
}

std::size_t claim_manager::unsettled() const
{
    std::size_t dispatched = 0;
    for (const auto &[ticket, entry] : m_waiting) {
        dispatched += entry.at == ticket_state::dispatched ? 1 : 0;
    }
    return m_outcomes.size() + m_batchOutcomes.size() + dispatched;
}

void claim_manager::queueClaim(claim_ticket ticket)
{
    m_waiting.at(ticket).at = ticket_state::queued;
    m_queue.push_back(ticket);
}

// Emits a decision and closes the ticket.
void claim_manager::decide(claim_ticket ticket, claim_decision::kind type, const claim_record *outcome)
{
    m_decisions.push_back({ticket, type, {}, {}, outcome != nullptr ? *outcome : claim_record()});
    closeTicket(ticket);
}

// Closes a ticket. If its claim has won but was not dispatched, the key is freed.
void claim_manager::closeTicket(claim_ticket ticket)
{
    const auto found = m_waiting.find(ticket);
    if (found == m_waiting.end()) {
        return;
    }
    const auto tickets = m_ticketsOfKey.find(found->second.key);
    tickets->second.erase(ticket);
    if (tickets->second.empty()) {
        m_ticketsOfKey.erase(tickets);
    }
    const std::string key = found->second.key;
    const std::map<std::string, steady_time> attempts = std::move(found->second.attempts);
    const bool wasDispatched = found->second.at == ticket_state::dispatched;
    m_waiting.erase(found);
    const claim_state *state = m_table.find(key);
    if (!wasDispatched && state != nullptr && !state->outcome && attempts.contains(state->winner)) {
        freeKey(key, state->winner);
    }
}

// Step FREE of spec/claims.pml: frees a key whose claim won but whose call will never be sent.
void claim_manager::freeKey(const std::string &key, const std::string &attempt)
{
    if (m_dispatchedAttempts.contains(attempt)) {
        return; // the call may have been sent: finished() records its outcome
    }
    claim_record outcome;
    outcome.type = claim_record::kind::outcome;
    outcome.key = key;
    outcome.attempt = attempt;
    outcome.ran = verdict::not_run;
    m_outcomes.push_back(encodeClaim(outcome));
}

// Latest time to send the call of a ticket's winning attempt. It counts from the creation of the attempt, which is never
// after the append of its claim, from which the key's window counts.
steady_time claim_manager::sendBefore(const waiting &entry) const
{
    const auto created = entry.attempts.find(entry.winner);
    return created == entry.attempts.end() ? steady_time() : created->second + m_limits.dispatchLimit;
}

// True for attempts of this instance in its current incarnation.
bool claim_manager::ownAttempt(const std::string &attempt) const
{
    return attempt.starts_with(m_prefix);
}

// True if an open ticket for the key has made this attempt.
bool claim_manager::hasLiveTicket(const std::string &key, const std::string &attempt) const
{
    const auto tickets = m_ticketsOfKey.find(key);
    if (tickets == m_ticketsOfKey.end()) {
        return false;
    }
    return std::any_of(tickets->second.begin(), tickets->second.end(), [&](claim_ticket ticket) { return m_waiting.at(ticket).attempts.contains(attempt); });
}

}
