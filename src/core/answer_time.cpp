#include "core/answer_time.h"

#include <cmath>

namespace chestnut
{

namespace
{

constexpr double WEIGHT = 0.05;             // weight of a new stream in the smoothed values
constexpr double SPREADS = 2.5;             // nearly all streams stay within this many mean deviations of the mean
constexpr std::uint64_t FEWEST_EVENTS = 10; // shorter streams are too short to estimate the time per event

void smooth(double &mean, double &spread, double value)
{
    spread += WEIGHT * (std::abs(value - mean) - spread);
    mean += WEIGHT * (value - mean);
}

}

void answer_time::note(milliseconds first, milliseconds rest, std::uint64_t events)
{
    smooth(m_firstMs, m_firstSpread, static_cast<double>(first.count()));
    if (events >= FEWEST_EVENTS) {
        smooth(m_perEventMs, m_perEventSpread, static_cast<double>(rest.count()) / static_cast<double>(events - 1));
    }
}

milliseconds answer_time::longest(double events) const
{
    const double ms = m_firstMs + SPREADS * m_firstSpread + events * (m_perEventMs + SPREADS * m_perEventSpread);
    return milliseconds(static_cast<std::int64_t>(ms));
}

}
