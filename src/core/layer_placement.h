#pragma once

// Plans which layers each backend server holds. The plan is a pure function of the fleet, so two instances that both
// believe they are the coordinator send the same orders.
//
// Designed for failure domains that each serve their own clients with their own servers: a hop into another domain sends
// the activations of a prompt over a shared link. KV capacity, not compute, runs out first. So a domain covers all layers
// little more than once and keeps the rest of its memory as KV capacity. That memory is also the reserve for replacing a
// lost stage: the adjacent servers extend their ranges into it.

#include "core/gateway_types.h"

namespace chestnut
{

// A backend server that holds, loads or is to receive layers.
struct placed_server
{
    server_id id;
    domain_id domain;
    std::string accelerator;
    layer_range range;     // empty = not yet placed
    bool lost = false;     // does not respond: its layers count as missing
    bool changing = false; // an order to it is in progress
    int slots = 0;         // concurrent requests that it accepts as the first stage of a path, 0 = unlimited
};

// KV capacity in tokens that a server with that range provides at one of its layers. At layer 0 its slots limit it too.
double kvCapacityAtLayer(const engine_profile &engine, const placed_server &server, layer_range range, int layer);

// Scarcity of KV capacity at a layer: falls steeply with the capacity in its own failure domain, and slightly with the
// total capacity.
double kvScarcity(double ownTokens, double totalTokens);

struct placement_limits
{
    double targetCopies = 1.1;             // copies of the model per failure domain; memory beyond that is KV capacity
    double minKvCapacity = 30'000;         // KV capacity that a server keeps if its domain has the memory
    double maxKvCapacity = 400'000;        // KV capacity beyond this is never used
    double kvCapacityStep = 10'000;        // step of the search between the two
    double minExtendedKvCapacity = 15'000; // KV capacity that a server must keep when its range is extended
};

// Assigns a layer range to a backend server.
struct layer_assignment
{
    server_id server;
    layer_range range;
    bool operator==(const layer_assignment &) const = default;
};

// Layers that a kind of accelerator can hold with the given KV capacity in tokens left; 0 if not even one layer fits.
int layersWithKvCapacity(const engine_profile &engine, const accelerator_kind &kind, double kvCapacity);

// KV capacity in tokens that each server of a failure domain should keep. A domain that cannot cover the model with the
// minimum capacity gives up capacity instead of layers.
double chooseKvCapacity(const engine_profile &engine, const std::vector<placed_server> &domainServers, const placement_limits &limits);

// Ranges for all servers without one, largest servers first: each goes where KV capacity is scarcest in its domain.
std::vector<layer_assignment> planPlacement(const engine_profile &engine, const std::vector<placed_server> &servers, const placement_limits &limits);

// Failure domains that hold some of the layers, but not all.
std::vector<domain_id> gappedDomains(const engine_profile &engine, const std::vector<placed_server> &servers);

// New ranges that close a gap which the adjacent servers cannot close alone: servers shift towards the gap, and each gives
// up layers at its far end for the next server to take over, until enough memory is found. Reassigns as few servers as
// possible; empty if there is too little memory.
std::vector<layer_assignment> planGapRebalance(const engine_profile &engine, const std::vector<placed_server> &servers, const domain_id &domain);

// Extended ranges that cover layers which no live server of a failure domain holds: the servers adjacent to a gap share its
// layers in proportion to their free memory. A gap that they cannot close completely is left alone.
std::vector<layer_assignment> planRepair(const engine_profile &engine, const std::vector<placed_server> &servers, const placement_limits &limits);

}
