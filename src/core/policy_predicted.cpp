// Routing policy "predicted": least predicted time per token.

#include "core/chestnutgw.h"
#include "kernel/registry.h"

namespace chestnut
{

namespace
{

constexpr double JITTER = 0.02; // breaks ties, so that instances with the same view do not all choose the same server

class predicted_policy : public routing_policy
{
public:
    double stageCost(const fleet &servers, const fleet_server *previous, const fleet_server &candidate, const layer_range &range, pcg32 &random) override
    {
        const double unit = static_cast<double>(random()) / static_cast<double>(pcg32::max());
        return predictStageMs(servers, previous, candidate, range) * (1 + JITTER * unit);
    }
};

const plugin_registrar<routing_policy> REGISTRAR("predicted", [] { return std::make_unique<predicted_policy>(); });

}

}
