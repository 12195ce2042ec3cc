#include "core/gateway_types.h"

#include <algorithm>
#include <cctype>

namespace chestnut
{

namespace
{

bool sameHost(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char a, char b) { return std::tolower(static_cast<unsigned char>(a)) == std::tolower(static_cast<unsigned char>(b)); });
}

std::string_view withoutPort(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

}

const route *matchRoute(const gateway_config &config, std::string_view host, std::string_view path)
{
    const std::string_view name = withoutPort(host);
    const std::string_view pathOnly = path.substr(0, path.find('?'));
    const route *best = nullptr;
    for (const route &candidate : config.routes) {
        const bool longer = best == nullptr || candidate.prefix.size() > best->prefix.size();
        if (longer && pathOnly.starts_with(candidate.prefix) && sameHost(candidate.host, name)) {
            best = &candidate;
        }
    }
    return best;
}

const service_id &pickService(const route &matched, double draw)
{
    double total = 0;
    for (const service_share &share : matched.shares) {
        total += share.weight;
    }
    double left = draw * total;
    for (const service_share &share : matched.shares) {
        left -= share.weight;
        if (left < 0 && share.weight > 0) {
            return share.service;
        }
    }
    return matched.shares.back().service;
}

}
