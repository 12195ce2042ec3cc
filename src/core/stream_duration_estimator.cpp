#include "core/stream_duration_estimator.h"

#include <cmath>

namespace chestnut
{

namespace
{

constexpr double SMOOTHING_WEIGHT = 0.05; // weight of a new stream in the smoothed values
constexpr double DEVIATION_FACTOR = 2.5;  // nearly all streams stay within this many mean deviations of the mean
constexpr std::uint64_t MIN_EVENTS = 10;  // shorter streams are too short to estimate the time per event

void smooth(double &mean, double &deviation, double value)
{
    deviation += SMOOTHING_WEIGHT * (std::abs(value - mean) - deviation);
    mean += SMOOTHING_WEIGHT * (value - mean);
}

}

void stream_duration_estimator::addSample(milliseconds first, milliseconds rest, std::uint64_t events)
{
    smooth(m_firstMs, m_firstDeviationMs, static_cast<double>(first.count()));
    if (events >= MIN_EVENTS) {
        smooth(m_perEventMs, m_perEventDeviationMs, static_cast<double>(rest.count()) / static_cast<double>(events - 1));
    }
}

milliseconds stream_duration_estimator::estimate(double events) const
{
    return milliseconds(static_cast<std::int64_t>(m_firstMs + events * m_perEventMs));
}

milliseconds stream_duration_estimator::upperEstimate(double events) const
{
    const double ms = m_firstMs + DEVIATION_FACTOR * m_firstDeviationMs + events * (m_perEventMs + DEVIATION_FACTOR * m_perEventDeviationMs);
    return milliseconds(static_cast<std::int64_t>(ms));
}

}
