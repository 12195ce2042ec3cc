#include "core/drain_admission.h"

namespace chestnut
{

bool acceptsWhileDraining(const drain_period &drain, const expected_end &expected, steady_time now)
{
    const bool certain = expected.deadline <= drain.end;
    if (expected.usualDuration.count() == 0) {
        return certain;
    }
    const bool usuallyEnds = now + expected.usualDuration <= drain.end;
    return usuallyEnds && (certain || now < drain.asked + OUT_OF_ROTATION);
}

}
