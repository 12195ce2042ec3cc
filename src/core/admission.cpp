#include "core/chestnutgw.h"

#include <algorithm>
#include <cmath>

namespace chestnut
{

namespace
{

constexpr double WORTH_TIE_TOLERANCE = 0.01; // relative difference in worth per token below which requests rank as equal
constexpr double USE_HALF_LIFE_S = 5;        // half-life of the recorded use of an account
constexpr double REMAINING_SHARE = 0.5;      // average share of a running request's tokens not generated yet

constexpr double BURST_SECONDS = 2; // size of the token bucket, in seconds of the account's rate

// Worth per expected token.
double worthPerToken(const admission_request &request)
{
    return request.worth / std::max(1.0, request.tokens);
}

}

void admission_queue::submit(const admission_request &request, steady_time now)
{
    if (m_capacity.tokensPerSecond <= 0) {
        m_running.emplace(request.ticket, request);
        m_admitted.push_back(request.ticket);
        return;
    }
    m_waiting.push_back(request);
    scheduleWaiting(now);
}

void admission_queue::abandon(admission_ticket ticket)
{
    std::erase_if(m_waiting, [ticket](const admission_request &one) { return one.ticket == ticket; });
}

void admission_queue::ended(admission_ticket ticket, steady_time now)
{
    m_running.erase(ticket);
    scheduleWaiting(now);
}

// Time to generate the answer when all streams are in use and share the token rate equally.
double admission_queue::answerSeconds(const admission_request &request) const
{
    return request.tokens * m_capacity.streams / m_capacity.tokensPerSecond;
}

// Order of the waiting requests: worth per token, then recent use of the account, then arrival.
bool admission_queue::hasPriority(const admission_request &left, const admission_request &right) const
{
    const double difference = worthPerToken(left) - worthPerToken(right);
    if (std::abs(difference) > WORTH_TIE_TOLERANCE * std::max(worthPerToken(left), worthPerToken(right))) {
        return difference > 0;
    }
    const auto used = [this](const admission_request &one) {
        const auto found = m_recentUse.find(one.account);
        return found == m_recentUse.end() ? 0.0 : found->second;
    };
    if (used(left) != used(right)) {
        return used(left) < used(right);
    }
    return left.ticket < right.ticket;
}

// Admits waiting requests while slots are free. Refuses those that would miss their deadline behind the requests ahead of them.
void admission_queue::scheduleWaiting(steady_time now)
{
    std::stable_sort(m_waiting.begin(), m_waiting.end(),
                     [this](const admission_request &left, const admission_request &right) { return hasPriority(left, right); });
    double aheadTokens = 0;
    for (const auto &[ticket, one] : m_running) {
        aheadTokens += one.tokens * REMAINING_SHARE;
    }
    // A request starts when a slot is free; the requests ahead of it that exceed the free slots have to finish first.
    double freeSlots = m_capacity.streams - static_cast<double>(m_running.size());
    std::vector<admission_request> left;
    for (const admission_request &one : m_waiting) {
        const double waitSeconds
            = freeSlots >= 1 ? 0 : aheadTokens / m_capacity.tokensPerSecond / std::max(1.0, m_capacity.streams) * std::max(1.0, 1 - freeSlots);
        const bool missesDeadline = now + fromSeconds(waitSeconds + answerSeconds(one)) > one.deadline;
        if (missesDeadline) {
            m_refused.push_back(one.ticket);
            continue;
        }
        if (freeSlots >= 1) {
            m_running.emplace(one.ticket, one);
            m_admitted.push_back(one.ticket);
            charge(one, now);
        } else {
            left.push_back(one);
        }
        freeSlots -= 1;
        aheadTokens += one.tokens;
    }
    m_waiting = std::move(left);
}

// Adds the expected tokens to the recent use of the account.
void admission_queue::charge(const admission_request &request, steady_time now)
{
    const double decay = std::exp2(-toSeconds(now - m_decayedAt) / USE_HALF_LIFE_S);
    for (auto &[account, used] : m_recentUse) {
        used *= decay;
    }
    m_decayedAt = now;
    m_recentUse[request.account] += request.tokens / std::max(1e-9, request.weight);
}

std::vector<admission_ticket> admission_queue::takeAdmitted()
{
    return std::exchange(m_admitted, {});
}

std::vector<admission_ticket> admission_queue::takeRefused()
{
    return std::exchange(m_refused, {});
}

milliseconds admission_queue::backlog() const
{
    if (m_capacity.tokensPerSecond <= 0) {
        return milliseconds(0);
    }
    double tokens = 0;
    for (const auto &[ticket, one] : m_running) {
        tokens += one.tokens * REMAINING_SHARE;
    }
    for (const admission_request &one : m_waiting) {
        tokens += one.tokens;
    }
    return fromSeconds(tokens / m_capacity.tokensPerSecond);
}

admission_capacity admissionShare(const fleet &servers, const model_id &model, const std::string &version, int layers, int instances, steady_time now)
{
    std::vector<server_capacity> parts;
    double slots = 0;
    for (const auto &[id, server] : servers.servers) {
        if (!server.unusableReason(now).empty()) {
            continue;
        }
        for (const holding &one : server.report->holdings) {
            if (one.model == model && one.version == version) {
                parts.push_back({one.range, server.report->slots * 1000 / (server.report->layerMs * one.range.count())});
                slots += server.report->slots;
            }
        }
    }
    const double rate = pipelineCapacity(parts, layers);
    return {rate / std::max(1, instances), slots / std::max(1, instances)};
}

milliseconds account_limiter::take(const account_id &account, double tokensPerSecond, double tokens, int instances, steady_time now)
{
    if (tokensPerSecond <= 0) {
        return milliseconds(0);
    }
    const double rate = tokensPerSecond / std::max(1, instances);
    const double burst = rate * BURST_SECONDS;
    const auto [at, fresh] = m_buckets.try_emplace(account, bucket{burst, now});
    bucket &one = at->second;
    if (!fresh) {
        one.tokens = std::min(burst, one.tokens + toSeconds(now - one.at) * rate);
        one.at = now;
    }
    if (one.tokens <= 0) {
        return std::max(milliseconds(1), fromSeconds(-one.tokens / rate));
    }
    one.tokens -= tokens;
    return milliseconds(0);
}

}
