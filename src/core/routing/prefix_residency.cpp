#include "core/routing/prefix_residency.h"

#include <algorithm>

namespace chestnut
{

namespace
{

bool contains(const layer_range &outer, const layer_range &inner)
{
    return outer.first <= inner.first && inner.last <= outer.last;
}

// Adds the next part of the prompt, where the layers hold those before it: without them it is of no use.
void addPart(held_tokens &held, const layer_range &layers, double before, double tokens)
{
    for (int layer = layers.first; layer < layers.last; ++layer) {
        double &known = held.byLayer[static_cast<std::size_t>(layer - held.firstLayer)];
        known = known == before ? tokens : known;
    }
}

}

void prefix_residency::applyFleet(const fleet_snapshot &fleet, steady_time now)
{
    if (!enabled()) {
        return;
    }
    for (auto known = m_servers.begin(); known != m_servers.end();) {
        const auto listed = fleet.servers.find(known->first);
        if (listed != fleet.servers.end() && listed->second.held.count() > 0) {
            ++known;
            continue;
        }
        clear(known->second);
        known = m_servers.erase(known);
    }
    for (const auto &[id, listed] : fleet.servers) {
        if (listed.held.count() <= 0) {
            continue;
        }
        const auto [found, added] = m_servers.try_emplace(id);
        server_prefixes &server = found->second;
        const bool same = !added && server.incarnation == listed.incarnation && server.held == listed.held && server.service == listed.service;
        if (same) {
            continue;
        }
        clear(server);
        server.service = listed.service;
        server.incarnation = listed.incarnation;
        server.held = listed.held;
        server.since = now;
    }
    for (auto &[id, server] : m_servers) { // a larger fleet leaves less to each server
        while (server.byLastUse.size() > maxServerPrefixes()) {
            dropOldest(server);
        }
    }
}

void prefix_residency::noteUse(const server_id &server, layer_range layers, const std::vector<prompt_prefix> &prompt, steady_time sent, steady_time now)
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end() || sent < found->second.since || layers.count() <= 0 || !contains(found->second.held, layers)) {
        return;
    }
    server_prefixes &prefixes = found->second;
    // The longest prefix first, so that it is evicted before those that it begins with: without them it is of no use.
    for (std::size_t i = prompt.size(); i > 0; --i) {
        const double before = i > 1 ? prompt[i - 2].tokens : 0;
        noteUse(prefixes, layers, prompt[i - 1].id, prompt[i - 1].tokens - before, now);
    }
    const auto isOld = [&](const resident_prefix &prefix) {
        return std::all_of(prefix.uses.begin(), prefix.uses.end(), [&](const layer_use &use) { return expired(use, now); });
    };
    while (!prefixes.byLastUse.empty() && (prefixes.byLastUse.size() > maxServerPrefixes() || isOld(prefixes.byLastUse.back()))) {
        dropOldest(prefixes);
    }
}

void prefix_residency::noteUse(server_prefixes &server, layer_range layers, prefix_id id, double tokens, steady_time now)
{
    const auto [known, added] = server.byId.try_emplace(id, server.byLastUse.end());
    if (added) {
        server.byLastUse.emplace_front();
        known->second = server.byLastUse.begin();
        ++m_size;
    } else {
        server.byLastUse.splice(server.byLastUse.begin(), server.byLastUse, known->second);
    }
    resident_prefix &prefix = server.byLastUse.front();
    server.usedTokens -= usedTokens(server, prefix);
    prefix.id = id;
    prefix.tokens = tokens;
    layer_use *replaced = nullptr;
    for (layer_use &use : prefix.uses) {
        if (contains(layers, use.layers)) {
            use = {};
        }
        if (replaced == nullptr || use.last < replaced->last) {
            replaced = &use;
        }
    }
    *replaced = {layers, now};
    server.usedTokens += usedTokens(server, prefix);
}

held_tokens prefix_residency::find(const server_id &server, const std::vector<prompt_prefix> &prompt, double freeTokens, steady_time now)
{
    held_tokens held;
    const auto found = m_servers.find(server);
    if (found == m_servers.end()) {
        return held;
    }
    server_prefixes &prefixes = found->second;
    while (!prefixes.byLastUse.empty() && prefixes.usedTokens > freeTokens) {
        dropOldest(prefixes);
    }
    // A prefix is evicted after all that it begins: those known are the first ones.
    const auto end = std::partition_point(prompt.begin(), prompt.end(), [&](const prompt_prefix &prefix) { return findPart(prefixes, prefix.id) != nullptr; });
    if (end == prompt.begin()) {
        return held;
    }
    held.firstLayer = prefixes.held.first;
    const auto layers = static_cast<std::size_t>(prefixes.held.count());
    held.byLayer.reserve(layers + 1);
    if (isWhole(prefixes, *findPart(prefixes, std::prev(end)->id), now)) { // the usual case
        held.byLayer.assign(layers, std::prev(end)->tokens);
        return held;
    }
    held.byLayer.assign(layers, 0);
    double before = 0;
    for (auto prefix = prompt.begin(); prefix != end; ++prefix) {
        for (const layer_use &use : findPart(prefixes, prefix->id)->uses) {
            if (!expired(use, now)) {
                addPart(held, use.layers, before, prefix->tokens);
            }
        }
        before = prefix->tokens;
    }
    return held;
}

const prefix_residency::resident_prefix *prefix_residency::findPart(const server_prefixes &server, prefix_id id)
{
    const auto known = server.byId.find(id);
    return known == server.byId.end() ? nullptr : &*known->second;
}

bool prefix_residency::isWhole(const server_prefixes &server, const resident_prefix &prefix, steady_time now) const
{
    return std::any_of(prefix.uses.begin(), prefix.uses.end(), [&](const layer_use &use) { return use.layers == server.held && !expired(use, now); });
}

void prefix_residency::dropOldest(server_prefixes &server)
{
    const resident_prefix &oldest = server.byLastUse.back();
    server.usedTokens -= usedTokens(server, oldest);
    server.byId.erase(oldest.id);
    server.byLastUse.pop_back();
    --m_size;
    if (server.byLastUse.empty()) {
        server.usedTokens = 0; // ends the rounding errors of the sum
    }
}

void prefix_residency::clear(server_prefixes &server)
{
    m_size -= server.byLastUse.size();
    server.byLastUse.clear();
    server.byId.clear();
    server.usedTokens = 0;
}

std::size_t prefix_residency::maxServerPrefixes() const
{
    return std::min(MAX_SERVER_PREFIXES, MAX_PREFIXES / std::max<std::size_t>(1, m_servers.size()));
}

// Memory of a prefix in tokens of all layers. Layers that are in two ranges count twice, which evicts sooner.
double prefix_residency::usedTokens(const server_prefixes &server, const resident_prefix &prefix)
{
    int layers = 0;
    for (const layer_use &use : prefix.uses) {
        layers += use.layers.count();
    }
    return prefix.tokens * layers / server.held.count();
}

bool prefix_residency::expired(const layer_use &use, steady_time now) const
{
    return use.layers.count() <= 0 || now - use.last >= m_retention;
}

}
