// Builds the lookup tables of the request path from the configuration rows.

#include "core/chestnutgw.h"

namespace chestnut
{

namespace
{

// An unknown text counts as `once`, the policy that is safe for every service.
repeat_policy parseRepeatPolicy(const std::string &text)
{
    if (text == "repeatable") {
        return repeat_policy::repeatable;
    }
    return text == "deduplicated" ? repeat_policy::deduplicated : repeat_policy::once;
}

account_settings parseAccount(const config_row &row)
{
    account_settings account;
    account.id = account_id{row.name};
    account.weight = row.weight;
    account.worth = row.worth;
    account.tokensPerSecond = row.tokensPerSecond;
    account.deadline = milliseconds(row.deadlineMs);
    account.suspended = row.state == "suspended";
    return account;
}

service_settings parseService(const config_row &row)
{
    service_settings service;
    service.id = service_id{row.name};
    service.repeat = parseRepeatPolicy(row.repeat);
    service.deadline = milliseconds(row.deadlineMs);
    return service;
}

// Adds a granted version to its account, unless the version is retired or one of the two does not exist.
void addGrant(std::map<std::string, account_settings> &accounts, const config_rows &rows, const config_row &grant)
{
    const auto version = rows.find("version/" + grant.of);
    const auto account = accounts.find(grant.name);
    if (version == rows.end() || account == accounts.end() || version->second.state == "retired") {
        return;
    }
    account->second.grants[model_id{version->second.of}].insert(version->second.name);
}

}

config_view buildConfigView(const config_rows &rows, log_offset offset)
{
    config_view result;
    result.offset = offset;
    result.rows = rows;
    std::map<std::string, account_settings> accounts;
    for (const auto &[key, row] : rows) {
        if (row.kind == "account") {
            accounts[row.name] = parseAccount(row);
        } else if (row.kind == "model") {
            result.layers[model_id{row.name}] = row.layers;
        } else if (row.kind == "service") {
            result.services[service_id{row.name}] = parseService(row);
        }
    }
    for (const auto &[key, row] : rows) {
        if (row.kind == "grant") {
            addGrant(accounts, rows, row);
        } else if (row.kind == "replica") {
            result.services[service_id{row.of}].replicas.push_back({row.name, row.address, domain_id{row.failureDomain}, row.state == "draining"});
        }
    }
    for (auto &[name, account] : accounts) {
        const std::string sha = rows.at("account//" + name).keySha256;
        result.accountsByKey.emplace(sha, std::move(account));
    }
    return result;
}

}
