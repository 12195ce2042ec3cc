// Routing policies used as baselines in benchmarks: "random", "round_robin" and "least_outstanding".

#include "core/chestnutgw.h"
#include "kernel/registry.h"

namespace chestnut
{

namespace
{

class random_policy : public routing_policy
{
public:
    double stageCost(const fleet &, const fleet_server *, const fleet_server &, const layer_range &, pcg32 &random) override
    {
        return static_cast<double>(random()) / static_cast<double>(pcg32::max());
    }
};

class round_robin_policy : public routing_policy
{
public:
    double stageCost(const fleet &, const fleet_server *, const fleet_server &candidate, const layer_range &, pcg32 &) override
    {
        return static_cast<double>(m_timesChosen[candidate.id]);
    }
    void onChainChosen(const pipeline_chain &chain) override
    {
        for (const chain_stage &stage : chain.stages) {
            ++m_timesChosen[stage.server];
        }
    }

private:
    std::map<server_id, std::uint64_t> m_timesChosen; // number of chains that used the server
};

class least_outstanding_policy : public routing_policy
{
public:
    double stageCost(const fleet &, const fleet_server *, const fleet_server &candidate, const layer_range &, pcg32 &random) override
    {
        return candidate.inFlight + 0.5 * static_cast<double>(random()) / static_cast<double>(pcg32::max());
    }
};

const plugin_registrar<routing_policy> RANDOM("random", [] { return std::make_unique<random_policy>(); });
const plugin_registrar<routing_policy> ROUND_ROBIN("round_robin", [] { return std::make_unique<round_robin_policy>(); });
const plugin_registrar<routing_policy> LEAST_OUTSTANDING("least_outstanding", [] { return std::make_unique<least_outstanding_policy>(); });

}

}
