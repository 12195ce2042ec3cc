// Selects the flow class for each kind of route.

#include "gateway/generation_flow.h"
#include "gateway/plain_flow.h"

namespace chestnut
{

std::shared_ptr<request_flow> makeFlow(traffic_state &state, request_facts facts, answer_sink &sink)
{
    if (facts.matched->kind == route_kind::stream) {
        return std::make_shared<generation_flow>(state, std::move(facts), sink);
    }
    return std::make_shared<plain_flow>(state, std::move(facts), sink);
}

}
