#pragma once

// Selects the path of backend servers for one generation: every layer exactly once and in order.
//
// Designed for many concurrent short generations, where the KV capacity of a stage, or the request slots of the first one,
// run out before its compute does, and where a hop between failure domains is expensive. Dynamic programming over layer
// positions; the cost is the predicted time per token plus a penalty that grows as the KV cache of a stage fills.

#include "core/gateway_types.h"

namespace chestnut
{

// What a server saves because it is expected to hold the beginning of a prompt.
struct prefix_saving
{
    int firstLayer = 0;
    std::vector<double> sumMs; // of the layers from firstLayer up to each one, in ms per token of the answer; empty = nothing is held

    // Of these layers, which the server holds.
    double ms(layer_range layers) const
    {
        return sumMs.empty() ? 0 : sumMs[static_cast<std::size_t>(layers.last - firstLayer)] - sumMs[static_cast<std::size_t>(layers.first - firstLayer)];
    }
};

// Load and speed of one backend server, as input of the path selection.
struct stage_candidate
{
    const listed_server *server = nullptr;
    double msPerLayer = 0; // decode step time of one layer
    double kvCapacity = 0; // in tokens
    double usedTokens = 0; // estimated tokens in use
    double penaltyMs = 0;  // ms per token, added for a server that is suspected or slow
    double slots = 1e9;    // concurrent requests that it accepts as the first stage of a path
    double running = 0;    // estimated number of slots in use
    prefix_saving prefix;
};

struct path_query
{
    domain_id from;               // failure domain of what comes before the first stage
    std::optional<domain_id> to;  // failure domain of the stage that follows the last one, if there is one
    int layers = 0;               // of the model
    double tokens = 0;            // prompt plus expected output
    double stageOverheadMs = 1.0; // per stage: wait for the pass in progress
    double domainHopMs = 4.0;     // per hop from a stage to one in another failure domain; infinite = not possible now
    double entryHopMs = 4.0;      // if the first stage is in another failure domain than this instance
    double headroom = 0;          // part of the KV capacity and of the first stage's slots that is left to more urgent requests
    bool ignoreCapacity = false;  // also accept stages without free KV capacity or slots
};

constexpr int MAX_STAGES = 32; // backend servers refuse longer paths

// Predicted cost of a path, in ms per token of the answer, at the present load and if nothing of the prompt is held.
double pathCost(const std::vector<path_stage> &path, const std::vector<stage_candidate> &candidates, const path_query &query);

// Returns the cheapest complete path, or nothing if there is none.
std::optional<std::vector<path_stage>> findPath(const std::vector<stage_candidate> &candidates, const path_query &query);

// Why there is no path. Ordered by how hard the failure is to resolve, after `none` the hardest first.
enum class path_failure_reason
{
    none,     // every layer has a usable server, but their ranges do not join up
    unheld,   // no server holds the layers
    avoided,  // all servers that hold them are avoided after a recent failure
    full,     // the servers that hold them lack the KV capacity or slots for the request
    reserved, // what the servers that hold them have free is left to more urgent requests
};

const char *toText(path_failure_reason failureReason);

// A range of layers without a usable server, and the reason.
struct path_gap
{
    path_failure_reason failureReason = path_failure_reason::none;
    layer_range layers;
};

// Explains why findPath() found no path. `holders` are the layer ranges of all servers of the service, `candidates` the
// servers among them that are not avoided. Returns the first range with the failure that is hardest to resolve.
path_gap explainNoPath(const std::vector<layer_range> &holders, const std::vector<stage_candidate> &candidates, const path_query &query);

// True if the stages run all `layers` layers exactly once, in order and on distinct servers.
bool isCompletePath(const std::vector<path_stage> &path, int layers);

}
