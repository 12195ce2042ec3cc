#include "core/store_pace.h"

#include <algorithm>

namespace chestnut
{

namespace
{

constexpr milliseconds FIRST_RETRY{100};
constexpr milliseconds FIRST_RANK_MAX_RETRY{800}; // an outage of the store ends unnoticed for no longer than this
constexpr milliseconds MAX_RETRY{5000};           // of any rank
constexpr milliseconds LEASE_POLL{250};           // of the first ranks, one of which takes an expired lease
constexpr milliseconds MAX_LEASE_POLL{2500};
constexpr milliseconds PER_RANK{50}; // within its limits, rank r waits r * PER_RANK, so ranks 1 to n call about ln(n) times in this time
constexpr int MAX_DOUBLINGS = 10;
// Parts of the time limit for changes.
constexpr double SECOND_RANK_AGE = 0.45; // the first rank has read several times by then, also if one read fails
constexpr double AGE_PER_RANK = 0.025;   // staggers the reads, so that the first one can spare the others theirs
constexpr double MAX_AGE = 0.55;         // leaves the rest for a read that times out and is repeated

milliseconds limited(milliseconds first, milliseconds most, int rank)
{
    return std::clamp(PER_RANK * std::max(0, rank), first, most);
}

}

milliseconds storeRetryDelay(int failures, int rank)
{
    const int doublings = std::clamp(failures - 1, 0, MAX_DOUBLINGS);
    return std::min(FIRST_RETRY * (1 << doublings), limited(FIRST_RANK_MAX_RETRY, MAX_RETRY, rank));
}

milliseconds maxConfirmationAge(milliseconds noticeLimit, int rank)
{
    if (rank <= 0) {
        return milliseconds(0);
    }
    const double part = std::min(MAX_AGE, SECOND_RANK_AGE + AGE_PER_RANK * (rank - 1));
    return std::chrono::duration_cast<milliseconds>(noticeLimit * part);
}

milliseconds leasePollInterval(int rank)
{
    return limited(LEASE_POLL, MAX_LEASE_POLL, rank);
}

}
