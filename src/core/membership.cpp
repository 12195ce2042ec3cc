#include "core/chestnutgw.h"
#include "kernel/hash.h"

#include <algorithm>

namespace chestnut
{

namespace
{

constexpr double INTERVAL_SMOOTHING = 0.2; // weight of a new interval in the moving average

// Hash of the fields whose change is sent to other failure domains at once.
std::uint64_t contentHash(const member &row)
{
    std::uint64_t state = hashBytes(row.address + "|" + row.domain.text + (row.leaving ? "|leaving" : ""));
    state = mixHash(state, row.configOffset.value);
    return mixHash(state, static_cast<std::uint64_t>(row.demand.size()));
}

// True if `row` supersedes `known`: a later process start, or a later heartbeat of the same process.
bool supersedes(const member &row, const member &known)
{
    return row.incarnation != known.incarnation ? row.incarnation > known.incarnation : row.sequence > known.sequence;
}

// Hash that ranks candidates for a role (rendezvous hashing).
std::uint64_t rendezvousHash(const std::string &a, const std::string &b, const std::string &c)
{
    return hashBytes(a + "|" + b + "|" + c);
}

}

membership::membership(member self, membership_limits limits)
    : m_self(std::move(self))
    , m_limits(limits)
{
}

bool membership::advanceHeartbeat(steady_time now)
{
    if (now < m_nextHeartbeatAt) {
        return false;
    }
    m_nextHeartbeatAt = now + m_limits.heartbeat;
    ++m_self.sequence;
    return true;
}

void membership::addSeed(const std::string &address)
{
    if (address != m_self.address) {
        m_seeds.insert(address);
    }
}

member_state membership::state(const instance_id &id, steady_time now) const
{
    if (id == m_self.id) {
        return member_state::alive;
    }
    const auto found = m_members.find(id);
    if (found == m_members.end()) {
        return member_state::dead;
    }
    const known_member &peer = found->second;
    const auto sinceUpdate = now - peer.lastUpdateAt;
    if (sinceUpdate > m_limits.deadAfter) {
        return member_state::dead;
    }
    const double allowedMs = std::max(peer.meanIntervalMs * m_limits.suspectFactor, static_cast<double>(m_limits.suspectFloor.count()));
    return toSeconds(sinceUpdate) * 1000 > allowedMs ? member_state::suspect : member_state::alive;
}

// Relays to a failure domain are the live instances of the own domain with the highest rendezvous hashes, so instances with the same
// view agree on them without an election.
bool membership::isRelay(const domain_id &other, steady_time now) const
{
    const std::uint64_t own = rendezvousHash(m_self.domain.text, other.text, m_self.id.text);
    int higherRanked = 0;
    for (const auto &[id, peer] : m_members) {
        const bool competes = peer.row.domain == m_self.domain && !peer.row.leaving && state(id, now) == member_state::alive;
        higherRanked += competes && rendezvousHash(m_self.domain.text, other.text, id.text) > own ? 1 : 0;
    }
    return higherRanked < m_limits.relays;
}

std::vector<std::string> membership::targets(steady_time now) const
{
    std::vector<std::string> addresses;
    std::map<domain_id, std::pair<std::uint64_t, std::string>> remote; // highest-ranked live instance of each other domain
    std::set<std::string> knownAddresses;
    for (const auto &[id, peer] : m_members) {
        const member_state currentState = state(id, now);
        knownAddresses.insert(peer.row.address);
        if (peer.row.domain == m_self.domain) {
            addresses.push_back(peer.row.address);
            continue;
        }
        if (currentState == member_state::alive && !peer.row.leaving) {
            const std::uint64_t rank = rendezvousHash(m_self.id.text, peer.row.domain.text, id.text);
            remote[peer.row.domain] = std::max(remote[peer.row.domain], {rank, peer.row.address});
        } else {
            remote.try_emplace(peer.row.domain, 0, peer.row.address); // keep trying a domain that has no live instance
        }
    }
    for (const auto &[domain, best] : remote) {
        if (isRelay(domain, now)) {
            addresses.push_back(best.second);
        }
    }
    for (const std::string &seed : m_seeds) {
        if (!knownAddresses.contains(seed)) {
            addresses.push_back(seed);
        }
    }
    return addresses;
}

// Unchanged rows of other failure domains are sent only once per remoteInterval; all others with each heartbeat.
bool membership::isUpdateDue(const member &row, const sent_row &sent, bool sameDomain, steady_time now) const
{
    if (row.incarnation == sent.incarnation && row.sequence <= sent.sequence) {
        return false;
    }
    const bool changed = row.incarnation != sent.incarnation || contentHash(row) != sent.content;
    return changed || sameDomain || now - sent.at >= m_limits.remoteInterval;
}

std::vector<member> membership::rowsFor(const std::string &address, steady_time now)
{
    std::map<instance_id, sent_row> &sent = m_sent[address];
    std::vector<member> rows;
    for (const auto &[id, peer] : m_members) {
        const bool alive = state(id, now) == member_state::alive;
        if (!alive || peer.row.address == address || !isUpdateDue(peer.row, sent[id], peer.row.domain == m_self.domain, now)) {
            continue;
        }
        sent[id] = {peer.row.incarnation, peer.row.sequence, contentHash(peer.row), now};
        rows.push_back(peer.row);
    }
    return rows;
}

void membership::exchangeFailed(const std::string &address)
{
    m_sent.erase(address);
}

void membership::merge(const std::vector<member> &rows, steady_time now)
{
    for (const member &row : rows) {
        if (row.id == m_self.id || row.id.empty()) {
            continue;
        }
        const auto found = m_members.find(row.id);
        if (found == m_members.end()) {
            known_member peer;
            peer.row = row;
            peer.lastUpdateAt = now;
            m_members.emplace(row.id, std::move(peer));
            continue;
        }
        known_member &peer = found->second;
        if (!supersedes(row, peer.row)) {
            continue;
        }
        const double intervalMs = toSeconds(now - peer.lastUpdateAt) * 1000;
        if (state(row.id, now) == member_state::alive) {
            peer.meanIntervalMs += (peer.meanIntervalMs == 0 ? 1 : INTERVAL_SMOOTHING) * (intervalMs - peer.meanIntervalMs);
        }
        peer.row = row;
        peer.lastUpdateAt = now;
    }
    std::erase_if(m_members, [&](const auto &entry) { return now - entry.second.lastUpdateAt > m_limits.pruneAfter; });
}

std::vector<member> membership::alive(steady_time now) const
{
    std::vector<member> rows{m_self};
    for (const auto &[id, peer] : m_members) {
        if (state(id, now) == member_state::alive) {
            rows.push_back(peer.row);
        }
    }
    return rows;
}

std::vector<std::pair<member, member_state>> membership::all(steady_time now) const
{
    std::vector<std::pair<member, member_state>> rows{{m_self, member_state::alive}};
    for (const auto &[id, peer] : m_members) {
        rows.emplace_back(peer.row, state(id, now));
    }
    return rows;
}

std::vector<std::pair<member, member_state>> membership::takeChanges(steady_time now)
{
    std::vector<std::pair<member, member_state>> changes;
    for (auto &[id, peer] : m_members) {
        const member_state currentState = state(id, now);
        if (currentState != peer.reported) {
            peer.reported = currentState;
            changes.emplace_back(peer.row, currentState);
        }
    }
    return changes;
}

}
