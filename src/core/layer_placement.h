#pragma once

// Decides which layers backend servers are to hold. Pure: the same fleet always gets the same plan, so two instances that
// both believe they give orders do not contradict each other.
//
// Load pattern it answers: each failure domain serves its own clients over its own servers, because every hop into another
// domain moves a prompt's activations over a shared pipe; and memory for requests, not processor time, runs out first. So a
// domain covers all layers little more than once and keeps the rest of its memory as room for requests. That room is also
// the reserve out of which a lost stage is replaced: its neighbours extend their ranges.

#include "core/gateway_types.h"

namespace chestnut
{

// A server that holds, loads or is to get layers.
struct placed_server
{
    server_id id;
    domain_id domain;
    std::string accelerator;
    layer_range range;     // empty = to be placed
    bool lost = false;     // does not answer: what it holds does not count
    bool changing = false; // an order to it is under way
    int slots = 0;         // requests at once that it may receive as the first one of a path, 0 = any number
};

// Room in tokens that a server with that range offers at one of its layers. At the first layer its places bound it too.
double roomAtLayer(const engine_profile &engine, const placed_server &server, layer_range range, int layer);

// Need for room of a layer: falls steeply with its room in the failure domain, and a little with room elsewhere.
double roomNeed(double ownTokens, double totalTokens);

struct placement_limits
{
    double wantedCopies = 1.1;         // copies of the model in one failure domain, before room is added
    double leastRoomTokens = 30'000;   // room that a server keeps if the domain has the memory
    double mostRoomTokens = 400'000;   // room beyond this serves nobody
    double roomStepTokens = 10'000;    // step of the search between the two
    double leastExtendedRoom = 15'000; // room that an extended server must keep
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

// Ranges for all servers without one, largest servers first: each where its domain has the least room.
std::vector<layer_assignment> planPlacement(const engine_profile &engine, const std::vector<placed_server> &servers, const placement_limits &limits);

// Failure domains that hold some layers, but not all of them.
std::vector<domain_id> gappedDomains(const engine_profile &engine, const std::vector<placed_server> &servers);

// New ranges that close a gap which its neighbours cannot bridge alone: servers shift towards it, each giving up at its far
// end what the next one takes over, until enough memory is found. Moves as few servers as it can; empty if there is too
// little memory.
std::vector<layer_assignment> planRebalance(const engine_profile &engine, const std::vector<placed_server> &servers, const domain_id &domain);

// Extensions that cover layers which no live server of a failure domain holds: the neighbours of each gap take it over as
// far as their memory allows.
std::vector<layer_assignment> planRepair(const engine_profile &engine, const std::vector<placed_server> &servers, const placement_limits &limits);

}
