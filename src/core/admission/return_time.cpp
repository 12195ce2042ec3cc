#include "core/admission/return_time.h"

#include <algorithm>

namespace chestnut
{

namespace
{

constexpr milliseconds OVERDUE_END{100};   // a stream that should have ended is expected to end after this time
constexpr std::size_t MAX_PROMISES = 1000; // clients that are counted; with more the estimate reaches its bound anyway
constexpr double REPAIR_WEIGHT = 0.3;      // weight of a new sample in the smoothed time of a repair
constexpr double MAX_REPAIR_MS = 10'000;   // a longer gap was without requests or not repaired: it says nothing about the next one
constexpr int HONOURED_PARTS = 3;          // a client waits for at most one in this many parts of its time

}

std::optional<milliseconds> timeUntilFree(capacity_shortage shortage)
{
    double own = 0;
    for (const capacity_release &release : shortage.releases) {
        own += release.amount;
    }
    if (own <= 0) {
        return std::nullopt;
    }
    const double share = own / std::max(own, shortage.held);
    const double needed = std::max(0.0, shortage.missing) * share + shortage.promised;
    std::sort(shortage.releases.begin(), shortage.releases.end(), [](const auto &left, const auto &right) { return left.after < right.after; });
    double freed = 0;
    double reachedMs = 0;
    for (const capacity_release &release : shortage.releases) {
        const double afterMs = static_cast<double>(std::max(release.after, OVERDUE_END).count());
        if (freed + release.amount >= needed) {
            return milliseconds(static_cast<std::int64_t>(reachedMs + (afterMs - reachedMs) * (needed - freed) / release.amount));
        }
        freed += release.amount;
        reachedMs = afterMs;
    }
    return milliseconds(static_cast<std::int64_t>(reachedMs * needed / freed)); // streams that begin later end at the same rate
}

void promised_returns::add(steady_time due, double tokens, steady_time now)
{
    dropDue(now);
    if (m_tokens.size() < MAX_PROMISES) {
        m_tokens.emplace(due, tokens);
        m_sum += tokens;
    }
}

double promised_returns::tokens(steady_time now)
{
    dropDue(now);
    return m_sum;
}

int promised_returns::clients(steady_time now)
{
    dropDue(now);
    return static_cast<int>(m_tokens.size());
}

void promised_returns::dropDue(steady_time now)
{
    while (!m_tokens.empty() && m_tokens.begin()->first <= now) {
        m_sum -= m_tokens.begin()->second;
        m_tokens.erase(m_tokens.begin());
    }
    m_sum = m_tokens.empty() ? 0 : m_sum;
}

void repair_clock::noteGap(steady_time now)
{
    m_gapSince = m_gapSince.value_or(now);
}

void repair_clock::noteComplete(steady_time now)
{
    if (!m_gapSince) {
        return;
    }
    const auto tookMs = static_cast<double>(std::chrono::duration_cast<milliseconds>(now - *m_gapSince).count());
    m_gapSince.reset();
    if (tookMs <= MAX_REPAIR_MS) {
        const double before = m_usualMs.value_or(tookMs);
        m_usualMs = before + REPAIR_WEIGHT * (tookMs - before);
    }
}

std::optional<milliseconds> repair_clock::left(steady_time now) const
{
    if (!m_gapSince || !m_usualMs) {
        return std::nullopt;
    }
    const auto elapsed = std::chrono::duration_cast<milliseconds>(now - *m_gapSince);
    const auto usual = milliseconds(static_cast<std::int64_t>(*m_usualMs));
    return usual > elapsed ? usual - elapsed : elapsed / 2; // the longer a repair is overdue, the longer it is expected to take
}

milliseconds returnAfter(std::optional<milliseconds> expected, milliseconds usual, milliseconds clientTimeLeft, double draw)
{
    const double factor = 1 + RETURN_SPREAD * (2 * draw - 1);
    if (!expected) {
        return milliseconds(static_cast<std::int64_t>(static_cast<double>(usual.count()) * factor));
    }
    const double honouredMs = static_cast<double>((clientTimeLeft / HONOURED_PARTS).count()) / (1 + RETURN_SPREAD);
    const double mostMs = std::max(static_cast<double>(MIN_RETURN.count()), std::min(static_cast<double>(MAX_RETURN.count()), honouredMs));
    const double ms = std::clamp(static_cast<double>(expected->count()), static_cast<double>(MIN_RETURN.count()), mostMs);
    return milliseconds(static_cast<std::int64_t>(ms * factor));
}

}
