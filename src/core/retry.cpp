#include "core/chestnutgw.h"

#include <algorithm>

namespace chestnut
{

namespace
{

constexpr double FIRST_DELAY_MS = 25; // before the second retry; doubles with each further one
constexpr double MAX_DELAY_MS = 400;

}

void retry_budget::recordFirstAttempt()
{
    // Capped at four times the reserve (a few seconds' worth): a long period without failures must not save up budget for a retry storm.
    m_tokens = std::min(m_tokens + m_share, std::max(m_reserve, m_reserve * 4));
}

bool retry_budget::take()
{
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

milliseconds retryDelay(int retry, pcg32 &random)
{
    if (retry <= 1) {
        return milliseconds(0);
    }
    const double unit = static_cast<double>(random()) / static_cast<double>(pcg32::max());
    const double fullMs = std::min(MAX_DELAY_MS, FIRST_DELAY_MS * static_cast<double>(1 << std::min(retry - 2, 10)));
    return milliseconds(static_cast<int>(fullMs * (0.5 + 0.5 * unit)));
}

std::string_view toText(decision_reason reason)
{
    static constexpr std::string_view NAMES[] = {"admitted",
                                                 "completed",
                                                 "refused_account_unknown",
                                                 "refused_account_suspended",
                                                 "refused_not_granted",
                                                 "refused_rate",
                                                 "refused_overload",
                                                 "refused_deadline",
                                                 "refused_no_chain",
                                                 "refused_log_down",
                                                 "refused_shutdown",
                                                 "stage_failed",
                                                 "stage_silent",
                                                 "stage_left",
                                                 "token_rejected",
                                                 "resumed",
                                                 "retry_budget_empty",
                                                 "gave_up",
                                                 "caller_gone",
                                                 "claim_won",
                                                 "claim_recorded",
                                                 "claim_lost",
                                                 "claim_mismatch",
                                                 "claim_expired",
                                                 "dispatched",
                                                 "dispatch_failed",
                                                 "outcome_recorded"};
    return NAMES[static_cast<int>(reason)];
}

}
