#include "entry/shared_state.h"

#include "kernel/hash.h"
#include "kernel/registry.h"

namespace chestnut
{

namespace
{

constexpr std::size_t MAX_REQUESTS_PER_SHARD = 2000;  // kept per shard of the decision log
constexpr std::size_t MAX_DECISIONS_PER_REQUEST = 64; // kept per request
constexpr double MAX_RETRY_BURST = 50;                // most retries the budget saves up, so the largest burst after a time without failures

}

void decision_log::record(const request_id &request, decision_reason reason, const std::string &detail)
{
    m_counters.count("chestnutgw_decisions_total", {{"reason", std::string(toText(reason))}});
    m_shards.with(request.text, [&](shard_state &state) {
        auto &entries = state.byRequest[request.text];
        if (entries.empty()) {
            state.insertionOrder.push_back(request.text);
        }
        if (entries.size() < MAX_DECISIONS_PER_REQUEST) {
            entries.push_back({wallClockMs(), reason, detail});
        }
        if (state.insertionOrder.size() > MAX_REQUESTS_PER_SHARD) {
            state.byRequest.erase(state.insertionOrder.front());
            state.insertionOrder.pop_front();
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
    , current(std::make_shared<const config_view>())
    , budget(given.retryShare, MAX_RETRY_BURST)
    , m_idPrefix(given.name + "-" + std::to_string(wallClockMs()) + "-")
{
}

request_id entry_shared::newRequestId()
{
    return request_id{m_idPrefix + std::to_string(nextRequest++)};
}

}
