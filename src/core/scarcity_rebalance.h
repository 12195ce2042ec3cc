#pragma once

// Rebalances towards scarce layers: reassigns single servers from layers with much KV capacity to the scarcest ones. Pure
// function of the fleet.
//
// Designed for servers that crash, leave and return empty one after the other, until a few layers are held by a single
// server in the whole fleet. Every generation passes through those layers, so their KV capacity limits the throughput while
// memory elsewhere is idle. Each step takes the reassignment that lowers the scarcity most, summed over all failure domains.

#include "core/layer_placement.h"

namespace chestnut
{

struct scarcity_rebalance_limits
{
    double minGain = 3.0;          // minimum drop of the scarcity; a layer with 15,000 tokens has a scarcity of 1.9
    double minGainShare = 0.05;    // the same relative to the scarcity of the server's failure domain
    double minKvCapacity = 15'000; // KV capacity that a reassigned server must keep
    int maxReassignments = 2;      // per plan
};

// Reassignments of servers that are neither lost nor changing; empty if none is worth loading the layers.
std::vector<layer_assignment> planScarcityRebalance(const engine_profile &engine, const std::vector<placed_server> &servers,
                                                    const scarcity_rebalance_limits &limits);

}
