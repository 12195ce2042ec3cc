#include "load/bound.h"

#include <algorithm>

namespace chestnut
{

goodput_bound bestGoodput(std::vector<offered_request> requests, const std::map<std::string, double> &capacityTokens)
{
    std::stable_sort(requests.begin(), requests.end(),
                     [](const offered_request &left, const offered_request &right) { return left.worth * right.tokens > right.worth * left.tokens; });
    std::map<std::string, double> left = capacityTokens;
    goodput_bound bound;
    for (const offered_request &one : requests) {
        double &remainingTokens = left[one.model];
        const double share = one.tokens <= 0 ? 1 : std::clamp(remainingTokens / one.tokens, 0.0, 1.0);
        remainingTokens -= share * one.tokens;
        bound.worth += share * one.worth;
        bound.worthByAccount[one.account] += share * one.worth;
    }
    return bound;
}

}
