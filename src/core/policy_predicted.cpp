// Routing policy "predicted": minimises the predicted time per token.

#include "core/chestnutgw.h"
#include "kernel/registry.h"

namespace chestnut
{

namespace
{

// Random share added to each cost to break ties, so that instances with the same view of the fleet do not all choose the same server.
constexpr double JITTER = 0.02;

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
