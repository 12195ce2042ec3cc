#include "core/admission/urgency.h"

#include <algorithm>
#include <set>

namespace chestnut
{

namespace
{

int priorityOf(const gateway_config &config, const route &matched, const account_id &account)
{
    const auto stated = config.accountPriorities.find(account);
    return stated == config.accountPriorities.end() ? matched.priority : stated->second;
}

// Priorities of the accounts that have a key.
struct account_priorities
{
    std::set<int> stated;
    bool someStateNone = false; // requests of these accounts have the route's
};

account_priorities prioritiesOfAccounts(const gateway_config &config)
{
    account_priorities result;
    for (const auto &[key, account] : config.accountsByKey) {
        const auto stated = config.accountPriorities.find(account);
        if (stated == config.accountPriorities.end()) {
            result.someStateNone = true;
        } else {
            result.stated.insert(stated->second);
        }
    }
    return result;
}

// Priorities that requests of a route can have.
std::set<int> prioritiesOf(const gateway_config &config, const route &one, const account_priorities &accounts)
{
    if (one.anonymous || !config.hasAccounts) {
        return {one.priority};
    }
    std::set<int> priorities = accounts.stated;
    if (accounts.someStateNone) {
        priorities.insert(one.priority);
    }
    return priorities;
}

}

urgency_ranks::urgency_ranks(const gateway_config &config)
{
    const account_priorities accounts = prioritiesOfAccounts(config);
    std::map<service_id, std::set<int>> inUse;
    for (const route &one : config.routes) {
        const std::set<int> priorities = prioritiesOf(config, one, accounts);
        for (const service_share &share : one.shares) {
            if (share.weight > 0 || one.shares.size() == 1) {
                inUse[share.service].insert(priorities.begin(), priorities.end());
            }
        }
    }
    for (const auto &[service, priorities] : inUse) {
        m_priorities[service].assign(priorities.begin(), priorities.end());
    }
}

request_urgency urgency_ranks::of(const gateway_config &config, const route &matched, const service_id &service, const account_id &account) const
{
    request_urgency urgency{priorityOf(config, matched, account), 0, 1};
    const auto found = m_priorities.find(service);
    if (found == m_priorities.end() || found->second.size() < 2) {
        return urgency;
    }
    const std::vector<int> &priorities = found->second;
    const auto moreUrgent = std::lower_bound(priorities.begin(), priorities.end(), urgency.priority) - priorities.begin();
    urgency.ranks = static_cast<int>(priorities.size());
    urgency.rank = std::min(static_cast<int>(moreUrgent), urgency.ranks - 1);
    return urgency;
}

}
