#include "entry/shared_state.h"

#include "kernel/hash.h"
#include "kernel/registry.h"

namespace chestnut
{

namespace
{

constexpr std::size_t REMEMBERED_REQUESTS = 2000; // kept per shard of the decision log
constexpr std::size_t REMEMBERED_DECISIONS = 64;  // kept per request
constexpr double RETRY_RESERVE = 50;              // most retries the budget saves up, so the largest burst after a time without failures

}

void decision_log::record(const request_id &request, decision_reason reason, const std::string &detail)
{
    m_counters.count("chestnutgw_decisions_total", {{"reason", std::string(toText(reason))}});
    m_shards.with(request.text, [&](shard_state &state) {
        auto &entries = state.byRequest[request.text];
        if (entries.empty()) {
            state.order.push_back(request.text);
        }
        if (entries.size() < REMEMBERED_DECISIONS) {
            entries.push_back({wallClockMs(), reason, detail});
        }
        if (state.order.size() > REMEMBERED_REQUESTS) {
            state.byRequest.erase(state.order.front());
            state.order.pop_front();
        }
    });
}

std::vector<decision_entry> decision_log::find(const request_id &request)
{
    return m_shards.with(request.text, [&](const shard_state &state) {
        const auto found = state.byRequest.find(request.text);
        return found == state.byRequest.end() ? std::vector<decision_entry>() : found->second;
    });
}

entry_shared::entry_shared(const entry_settings &given)
    : settings(given)
    , decisions(counters)
    , servers(plugin_registry<routing_policy>::instance().make(given.routingPolicy), hashBytes(given.name, static_cast<std::uint64_t>(given.seed)))
    , current(std::make_shared<const deployment>())
    , budget(given.retryShare, RETRY_RESERVE)
    , m_idPrefix(given.name + "-" + std::to_string(wallClockMs()) + "-")
{
}

request_id entry_shared::newRequestId()
{
    return request_id{m_idPrefix + std::to_string(nextRequest++)};
}

}
