#pragma once

// What the gateway knows: configuration in force, backend servers, layer ranges. Plain data, no I/O.

#include "kernel/ids.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chestnut
{

// What may be repeated on a route.
enum class route_kind
{
    safe,   // may run any number of times
    once,   // runs at most once for each attempt of the client
    stream, // a series of numbered events; may be resumed if the route says so
};

// One service of a split route.
struct service_share
{
    service_id service;
    double weight = 1; // relative share of the requests
};

// One route: host and path prefix to services.
struct route
{
    std::string name;   // unique within a configuration
    std::string host;   // as in the Host header, without port
    std::string prefix; // begins and ends with a slash
    route_kind kind = route_kind::once;
    milliseconds timeout{0};           // longest time until the final answer, 0 = none
    milliseconds objective{0};         // latency objective, first event of a stream
    milliseconds longestPause{0};      // longest pause between events that is still on time
    int priority = 5;                  // 0 = first
    std::vector<service_share> shares; // at least one
    int maxAttempts = 1;               // servers that may run one attempt of the client
    bool anonymous = false;            // needs no key
    bool generates = false;            // carries a prompt for a model
    bool resumable = false;            // a broken stream may go on at another server
};

// One kind of accelerator.
struct accelerator_kind
{
    std::string name;
    double memoryMb = 0;   // shared by layers and requests
    double stepFactor = 1; // times the engine's step time
    double readFactor = 1; // times the engine's prompt time
};

// Published figures of an engine with layer ranges.
struct engine_profile
{
    int layers = 0;             // of the model
    double layerMb = 0;         // weights of one layer
    double kvBytesPerToken = 0; // over all layers
    double stepMs = 0;          // one token step over all layers at factor 1
    double perSequenceMs = 0;   // more for each request that is writing
    double contextMsPerK = 0;   // more for each 1,000 tokens of context
    double readPerSecond = 1;   // prompt tokens a second over all layers at factor 1
    int stride = 1;             // token steps in one pass
    double activationBytes = 0; // passed between two stages for each token
    double pipeMbps = 0;        // between two failure domains, shared by all; 0 = no bound
    double usualPrompt = 0;     // mean prompt tokens
    double usualAnswer = 0;     // mean answer tokens
    std::map<std::string, accelerator_kind> kinds;

    // Tokens of requests that fit beside `held` layers on this kind of accelerator.
    double tokenRoom(const accelerator_kind &kind, int held) const
    {
        if (held <= 0 || layers <= 0 || kvBytesPerToken <= 0) {
            return 0;
        }
        const double freeMb = kind.memoryMb - held * layerMb;
        return freeMb * 1e6 / (kvBytesPerToken / layers * held);
    }
};

struct service_profile
{
    service_id id;
    std::string healthPath;
    int maxConnections = 0; // of one server, from all callers together
    std::optional<engine_profile> engine;
};

// Bounds on what a client may send.
struct client_limits
{
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 4 << 20;
    milliseconds headerTimeout{3000};
    milliseconds idleTimeout{15000};
};

// A whole configuration. Immutable once built.
struct gateway_config
{
    std::uint64_t version = 0; // rises with each change
    std::vector<route> routes;
    std::map<service_id, service_profile> services;
    std::map<std::string, account_id> accountsByKey;
    bool hasAccounts = false; // keys are checked at all
    client_limits limits;
};

// Returns the route with the longest prefix that begins the path, or null.
const route *matchRoute(const gateway_config &config, std::string_view host, std::string_view path);

// Picks the service of a split route; draw is in [0, 1).
const service_id &pickService(const route &matched, double draw);

// One backend server as it registered itself.
struct listed_server
{
    server_id id;
    service_id service;
    std::string address; // IP:port
    domain_id domain;
    bool draining = false;
    int slots = 0;                 // requests at once
    std::string accelerator;       // kind, empty for a plain service
    layer_range held;              // empty = no layers
    std::uint64_t incarnation = 0; // start time of its process in milliseconds, 0 = unknown
    bool operator==(const listed_server &) const = default;
};

// Backend servers at one moment. Immutable once built.
struct fleet_snapshot
{
    std::uint64_t version = 0; // rises with each change of content
    std::map<server_id, listed_server> servers;
};

// One stage of a path: a server and the layers it runs.
struct path_stage
{
    server_id server;
    std::string address; // IP:port
    domain_id domain;
    layer_range range;
    bool operator==(const path_stage &) const = default;
};

}
