#include "core/domain_link.h"

#include <algorithm>
#include <limits>

namespace chestnut
{

namespace
{

constexpr double BITS_PER_MS = 1000;         // 1 Mbit/s
constexpr double HOP_PENALTY_MS = 5.0;       // per token, for the delay and for what it takes from others
constexpr double TRANSFER_TIME_WEIGHT = 0.3; // fraction of the prompt's time on the network, in which others wait, that is added

}

int countDomainHops(const std::vector<path_stage> &path)
{
    int hops = 0;
    for (std::size_t i = 1; i < path.size(); ++i) {
        hops += path[i].domain == path[i - 1].domain ? 0 : 1;
    }
    return hops;
}

int countNewDomainHops(const std::vector<path_stage> &before, const std::vector<path_stage> &path)
{
    const auto isNew = [&](const path_stage &stage) { return std::find(before.begin(), before.end(), stage) == before.end(); };
    int hops = 0;
    for (std::size_t i = 1; i < path.size(); ++i) {
        const bool crosses = path[i].domain != path[i - 1].domain;
        hops += crosses && (isNew(path[i]) || isNew(path[i - 1])) ? 1 : 0;
    }
    return hops;
}

double domainTransferMs(const engine_profile &engine, double tokens)
{
    return engine.interDomainMbps > 0 ? tokens * engine.activationBytes * 8 / (engine.interDomainMbps * BITS_PER_MS) : 0;
}

double domainHopCostMs(const engine_profile &engine, const domain_link_state &link, double tokens)
{
    const double waitMs = domainTransferMs(engine, link.waitingTokens);
    if (waitMs > 0 && waitMs > static_cast<double>(link.patience.count())) {
        return std::numeric_limits<double>::infinity();
    }
    return HOP_PENALTY_MS + TRANSFER_TIME_WEIGHT * (domainTransferMs(engine, tokens) + waitMs);
}

}
