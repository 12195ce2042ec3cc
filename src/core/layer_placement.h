#pragma once

// Decides which layers an empty backend server is to hold. Pure: the same fleet always gets the same plan, so two
// instances that both believe they give orders do not contradict each other.
//
// Load pattern it answers: each failure domain serves its own clients over its own servers, because every hop into another
// domain moves a prompt's activations over a shared pipe. A domain therefore first covers all layers once, then doubles
// the layers that have the least room.

#include "core/gateway_types.h"

namespace chestnut
{

// A server that holds, loads or is to get layers.
struct placed_server
{
    server_id id;
    domain_id domain;
    std::string accelerator;
    layer_range range; // empty = to be placed
};

struct placement_limits
{
    double leastRoomTokens = 60'000; // requests' tokens that must fit beside the layers
    double mostRoomTokens = 150'000; // room beyond this serves nobody
    double wantedCopies = 1.3;       // copies of the model in one failure domain, before room is added
    double roomStepTokens = 10'000;  // step of the search between the two
};

// One assignment: these layers on this server.
struct layer_assignment
{
    server_id server;
    layer_range range;
    bool operator==(const layer_assignment &) const = default;
};

// Layers that a kind may hold so that the given tokens fit beside them; 0 if not even one layer fits.
int layersWithRoom(const engine_profile &engine, const accelerator_kind &kind, double roomTokens);

// Room for requests, in tokens, that each server of a failure domain should keep. A domain that cannot cover the model
// with the least room gives up room instead of layers.
double chooseRoom(const engine_profile &engine, const std::vector<placed_server> &domainServers, const placement_limits &limits);

// Ranges for all servers without one, in an order that fills the largest servers first.
std::vector<layer_assignment> planPlacement(const engine_profile &engine, const std::vector<placed_server> &servers, const placement_limits &limits);

}
