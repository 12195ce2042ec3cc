#pragma once

// Data types of the gateway: configuration, backend servers and stages of a path. Plain data without I/O.

#include "kernel/ids.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chestnut
{

constexpr int DEFAULT_PRIORITY = 5; // of a route that states none; backend servers assume it too
constexpr int MAX_PRIORITY = 9;     // the least urgent

// How often the requests of a route may run.
enum class route_kind
{
    safe,   // idempotent: may run any number of times
    once,   // runs at most once per attempt of the client
    stream, // a stream of numbered events; see route::resumable
};

// One of the services that share the requests of a route.
struct service_share
{
    service_id service;
    double weight = 1; // relative share of the requests
};

// Maps a host and a path prefix to one or more services.
struct route
{
    std::string name;   // unique within a configuration
    std::string host;   // as in the Host header, without port
    std::string prefix; // begins and ends with a slash
    route_kind kind = route_kind::once;
    milliseconds timeout{0};           // limit for the complete answer, 0 = no limit
    milliseconds objective{0};         // latency objective; for a stream, time to its first event
    milliseconds eventGapObjective{0}; // objective for the gap between two events of a stream
    int priority = DEFAULT_PRIORITY;   // 0 = highest
    std::vector<service_share> shares; // at least one
    int maxAttempts = 1;               // servers tried at most for one attempt of the client
    bool anonymous = false;            // no API key required
    bool generates = false;            // requests carry a prompt for a model
    bool resumable = false;            // a broken stream may be resumed on another server
};

// One kind of accelerator.
struct accelerator_kind
{
    std::string name;
    double memoryMb = 0;      // shared by layer weights and KV cache
    double stepFactor = 1;    // multiplies the engine's decode step time
    double prefillFactor = 1; // multiplies the engine's prefill time
};

// Published capacity and timing of an engine whose model is split into layer ranges.
struct engine_profile
{
    int layers = 0;                    // of the model
    double layerMb = 0;                // weights of one layer
    double kvBytesPerToken = 0;        // summed over all layers
    double stepMs = 0;                 // one decode step over all layers at stepFactor 1
    double perSequenceMs = 0;          // added to the step for each request that is decoding
    double contextMsPerK = 0;          // added to the step for each 1,000 tokens of context
    double prefillTokensPerSecond = 1; // over all layers at prefillFactor 1
    int stride = 1;                    // decode steps per pass
    double activationBytes = 0;        // sent from one stage to the next for each token
    double interDomainMbps = 0;        // bandwidth between two failure domains, shared by all requests; 0 = unlimited
    double meanPromptTokens = 0;
    double meanOutputTokens = 0;
    std::map<std::string, accelerator_kind> kinds;

    // KV capacity in tokens: what fits into the memory that `held` layers leave free on this kind of accelerator.
    double kvCapacityTokens(const accelerator_kind &kind, int held) const
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
    int maxConnections = 0; // per server, summed over all gateway instances
    std::optional<engine_profile> engine;
};

// Limits on what a client may send.
struct client_limits
{
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 4 << 20;
    milliseconds headerTimeout{3000};
    milliseconds idleTimeout{15000};
};

// A field of the configuration that is not used because of its value. The rest of its object is.
struct config_problem
{
    std::string object; // list and name
    std::string field;
    std::string value; // as in the configuration, shortened
    std::string bound; // what is allowed
};

// A complete configuration. Immutable once built.
struct gateway_config
{
    std::uint64_t version = 0; // increases with each change
    std::vector<route> routes;
    std::map<service_id, service_profile> services;
    std::map<std::string, account_id> accountsByKey;
    std::map<account_id, int> accountPriorities; // of those that state one, which takes precedence over the route's
    bool hasAccounts = false;                    // API keys are checked
    client_limits limits;
    std::vector<config_problem> problems;
};

// Returns the route of the host whose prefix is the longest one that matches the path, or null.
const route *matchRoute(const gateway_config &config, std::string_view host, std::string_view path);

// Picks one of the services of a route by their weights; draw is a random number in [0, 1).
const service_id &pickService(const route &matched, double draw);

// A backend server as it registered itself.
struct listed_server
{
    server_id id;
    service_id service;
    std::string address; // IP:port
    domain_id domain;
    bool draining = false;
    int slots = 0;                 // maximum number of concurrent requests
    std::string accelerator;       // name of its kind, empty for a service without layers
    layer_range held;              // layers that it has loaded, empty = none
    std::uint64_t incarnation = 0; // start time of its process in ms, 0 = unknown
    bool operator==(const listed_server &) const = default;
};

// All registered backend servers at one time. Immutable once built.
struct fleet_snapshot
{
    std::uint64_t version = 0; // increases with each change of content
    std::map<server_id, listed_server> servers;
};

// One stage of a path: a backend server and the layers that it runs.
struct path_stage
{
    server_id server;
    std::string address; // IP:port
    domain_id domain;
    layer_range range;
    bool operator==(const path_stage &) const = default;
};

}
