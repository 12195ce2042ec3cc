#pragma once

// Retry budget of one service. Each instance allows a ratio of its own first sends plus an equal share of a fixed extra. So
// the sum over all instances stays within the bound without communication, even when instances fail.

#include "kernel/ids.h"

#include <deque>

namespace chestnut
{

struct repeat_budget_limits
{
    double ratio = 0.2; // repeats allowed per first send
    double extra = 10;  // further repeats allowed per window: the share of this instance
    milliseconds window{10'000};
};

class repeat_budget
{
public:
    explicit repeat_budget(const repeat_budget_limits &limits)
        : m_limits(limits)
    {
    }
    void setExtra(double extra)
    {
        m_limits.extra = extra;
    }
    void countFirstSend(steady_time now);
    // Uses one repeat of the budget; false if none is left.
    bool takeRepeat(steady_time now);
    // Number of repeats that may be sent now.
    double left(steady_time now);

private:
    void dropExpired(steady_time now);

    repeat_budget_limits m_limits;
    std::deque<steady_time> m_firstSends;
    std::deque<steady_time> m_repeats;
};

}
