#include "core/mesh_roles.h"

#include "kernel/hash.h"

#include <algorithm>
#include <map>

namespace chestnut
{

namespace
{

std::uint64_t scoreOf(const std::string &instance)
{
    return hashBytes(instance);
}

bool ranksBefore(const mesh_member &left, const mesh_member &right)
{
    const std::uint64_t leftScore = scoreOf(left.instance);
    const std::uint64_t rightScore = scoreOf(right.instance);
    return leftScore != rightScore ? leftScore > rightScore : left.instance < right.instance;
}

}

mesh_links chooseLinks(const mesh_member &self, const std::vector<mesh_member> &others)
{
    mesh_links links;
    std::map<std::string, std::vector<mesh_member>> domains;
    domains[self.domain].push_back(self);
    for (const mesh_member &member : others) {
        if (!member.down) {
            domains[member.domain].push_back(member);
            links.rank += ranksBefore(member, self) ? 1 : 0;
        }
    }
    for (auto &[domain, members] : domains) {
        std::sort(members.begin(), members.end(), ranksBefore);
        members.resize(std::min<std::size_t>(members.size(), RELAYS_PER_DOMAIN));
    }
    const auto isSelf = [&](const mesh_member &member) { return member.instance == self.instance; };
    const std::vector<mesh_member> &own = domains[self.domain];
    links.relay = std::any_of(own.begin(), own.end(), isSelf);
    if (!links.relay) {
        // Distributes the members over the relays of their domain.
        links.partners.push_back(own[scoreOf(self.instance) % own.size()].instance);
        return links;
    }
    for (const auto &[domain, relays] : domains) {
        for (const mesh_member &member : relays) {
            if (!isSelf(member)) {
                links.partners.push_back(member.instance);
            }
        }
    }
    return links;
}

}
