#pragma once

// Budget of repeats towards one service. Every instance keeps its own part, so the sum over all instances stays within
// the bound without any exchange, also when instances die: ratio of the own first sends plus an equal part of the extra.

#include "kernel/ids.h"

#include <deque>

namespace chestnut
{

struct repeat_budget_limits
{
    double ratio = 0.2; // repeats allowed for each first send
    double extra = 10;  // repeats allowed on top in one window: this instance's part
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
    void countFirst(steady_time now);
    // Takes one repeat out of the budget; false if none is left.
    bool takeRepeat(steady_time now);
    // Repeats that may still be sent now.
    double left(steady_time now);

private:
    void forget(steady_time now);

    repeat_budget_limits m_limits;
    std::deque<steady_time> m_firsts;
    std::deque<steady_time> m_repeats;
};

}
