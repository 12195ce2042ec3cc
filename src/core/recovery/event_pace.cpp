#include "core/recovery/event_pace.h"

#include <algorithm>
#include <cmath>

namespace chestnut
{

namespace
{

constexpr int MIN_INTERVALS = 4;              // before the mean of a stream says anything
constexpr double SMOOTHING = 0.2;             // weight of the newest interval
constexpr double MEAN_FACTOR = 1.2;           // of the mean interval, plus
constexpr double DEVIATION_FACTOR = 4;        // of the deviation: nearly all intervals are shorter
constexpr milliseconds MIN_DELAY{40};         // an event that is less overdue is within the jitter of passes, timers and networks
constexpr milliseconds MAX_SUSPICION{150};    // the first inquiry is due by then
constexpr milliseconds RECOVERY_OVERHEAD{50}; // probe, order, and prefill at the new stage, before the next event

}

void event_pace::noteData(steady_time now)
{
    const steady_time last = m_last;
    m_last = now;
    if (last == steady_time()) {
        return;
    }
    const double interval = std::chrono::duration<double, std::milli>(now - last).count();
    if (++m_intervals == 1) {
        m_meanMs = interval;
        m_deviationMs = interval / 2;
        return;
    }
    m_deviationMs += SMOOTHING * (std::abs(interval - m_meanMs) - m_deviationMs);
    m_meanMs += SMOOTHING * (interval - m_meanMs);
}

std::optional<milliseconds> event_pace::suspiciousSilence(milliseconds objective) const
{
    if (m_intervals < MIN_INTERVALS || objective.count() == 0) {
        return std::nullopt;
    }
    const auto usual = milliseconds(std::llround(m_meanMs * MEAN_FACTOR + m_deviationMs * DEVIATION_FACTOR));
    const milliseconds silence = std::max(usual, meanInterval() + MIN_DELAY);
    const bool reachable = silence + meanInterval() + RECOVERY_OVERHEAD <= objective;
    return reachable && silence <= MAX_SUSPICION ? std::optional(silence) : std::nullopt;
}

milliseconds event_pace::meanInterval() const
{
    return milliseconds(std::llround(m_meanMs));
}

}
