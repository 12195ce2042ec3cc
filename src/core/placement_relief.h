#pragma once

// Moves single servers from layers with much room for requests to the scarcest ones. Pure.
//
// Load pattern it answers: servers crash, leave and come back empty one after the other, until a few layers are held by one
// server in the whole fleet. Every generation passes through those layers, so their room bounds what is served at all, while
// memory elsewhere lies idle. Each move is the one that lowers the need for room most, summed over all failure domains.

#include "core/layer_placement.h"

namespace chestnut
{

struct relief_limits
{
    double leastGain = 3.0;          // fall of the need that a move must bring; a layer with 15,000 tokens has 1.9
    double leastGainShare = 0.05;    // the same as a share of the need of the server's failure domain
    double leastRoomTokens = 15'000; // room that a moved server must keep
    int mostMoves = 2;               // in one plan
};

// Moves of servers that are neither lost nor changing; empty if no move is worth its load.
std::vector<layer_assignment> planRelief(const engine_profile &engine, const std::vector<placed_server> &servers, const relief_limits &limits);

}
