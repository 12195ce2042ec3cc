#pragma once

// Which prefixes of prompts each server process is expected to hold in its KV cache, from the requests that this instance sent to it. No I/O.
//
// Designed for many prompts that begin alike: a server that holds the beginning of a prompt need not prefill it. Holding is an
// expectation only: a server says nothing of it, gives the memory to running requests first, and loses all with its process. So
// an entry ends sooner rather than later, and a wrong one costs a slightly dearer path, never a request.

#include "core/gateway_types.h"
#include "core/prompt_parts.h"

#include <array>
#include <list>
#include <map>
#include <unordered_map>

namespace chestnut
{

// How many tokens of a prompt, from its first one on, the layers of one server hold.
struct held_tokens
{
    int firstLayer = 0;
    std::vector<double> byLayer; // from firstLayer on; empty = none
};

class prefix_residency
{
public:
    static constexpr std::size_t MAX_PREFIXES = 20'000;     // of all servers together
    static constexpr std::size_t MAX_SERVER_PREFIXES = 128; // of one server

    // Servers hold a prefix for `retention` after its last request. 0 switches tracking off.
    explicit prefix_residency(milliseconds retention)
        : m_retention(retention)
    {
    }
    bool enabled() const
    {
        return m_retention.count() > 0;
    }
    // Takes a new list of servers. A server with another process, other layers or another service than before holds nothing; only listed
    // servers that hold layers are tracked.
    void applyFleet(const fleet_snapshot &fleet, steady_time now);
    // A stage has run a prompt that was sent at `sent`. Ignored if the server's process or its layers have changed since.
    void noteUse(const server_id &server, layer_range layers, const std::vector<prompt_prefix> &prompt, steady_time sent, steady_time now);
    // What a server is expected to hold of a prompt. It has KV memory for `freeTokens` of all its layers beside running requests: evicts
    // the least recently used prefixes above that.
    held_tokens find(const server_id &server, const std::vector<prompt_prefix> &prompt, double freeTokens, steady_time now);
    // Number of prefixes, summed over all servers.
    std::size_t size() const
    {
        return m_size;
    }

private:
    // A range of layers that has run a prefix, and when it last did.
    struct layer_use
    {
        layer_range layers; // empty = unused
        steady_time last{};
    };
    // One prefix at one server. Its tokens are those of its last part: the parts before have entries of their own.
    struct resident_prefix
    {
        prefix_id id{};
        double tokens = 0;
        std::array<layer_use, 2> uses; // paths enter and leave a server at few layers; of more ranges the least recent ones are forgotten
    };
    using prefix_list = std::list<resident_prefix>;
    struct server_prefixes
    {
        service_id service;
        std::uint64_t incarnation = 0; // of its process
        layer_range held;
        steady_time since{};   // its process and its layers have not changed since
        double usedTokens = 0; // memory of all entries, in tokens of all its layers
        prefix_list byLastUse; // most recently used first; a prefix comes before those that it begins
        std::unordered_map<prefix_id, prefix_list::iterator> byId;
    };

    void noteUse(server_prefixes &server, layer_range layers, prefix_id id, double tokens, steady_time now);
    // Null if the server does not hold it.
    static const resident_prefix *findPart(const server_prefixes &server, prefix_id id);
    // True if all layers of the server hold it.
    bool isWhole(const server_prefixes &server, const resident_prefix &prefix, steady_time now) const;
    void dropOldest(server_prefixes &server);
    void clear(server_prefixes &server);
    std::size_t maxServerPrefixes() const;
    static double usedTokens(const server_prefixes &server, const resident_prefix &prefix);
    bool expired(const layer_use &use, steady_time now) const;

    milliseconds m_retention;
    std::unordered_map<server_id, server_prefixes> m_servers;
    std::size_t m_size = 0;
};

}
