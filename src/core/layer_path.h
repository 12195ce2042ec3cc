#pragma once

// Chooses the chain of backend servers that one generation runs through: every layer once and in order.
//
// Load pattern it answers: many short generations at once, where a stage's memory for requests, or the places of the first
// one, fill before its processor does, and where a hop between failure domains is dear. Dynamic programming over layer positions; the cost is
// the predicted time of one token plus a surcharge that rises as a stage's memory fills.

#include "core/gateway_types.h"

namespace chestnut
{

// A server as the choice of a path sees it.
struct stage_candidate
{
    const listed_server *server = nullptr;
    double msPerLayer = 0; // time of one token step for one layer
    double roomTokens = 0; // tokens of requests that fit
    double usedTokens = 0; // estimate of the tokens in use
    double surcharge = 0;  // ms a token, from suspicion or a slow pace
    double slots = 1e9;    // requests at once that the server may receive as the first one of a path
    double running = 0;    // estimate of those that it has received
};

struct path_question
{
    domain_id from;               // failure domain of the asking instance
    int layers = 0;               // of the model
    double tokens = 0;            // prompt and expected answer
    double stageOverheadMs = 1.0; // waiting for a pass under way, for each stage
    double domainHopMs = 4.0;     // a hop into another failure domain
    bool ignoreRoom = false;      // accept stages whose memory is full
};

constexpr int MOST_STAGES = 32; // longer paths are refused by servers

// Returns the cheapest complete path, or nothing if some layer has no usable server.
std::optional<std::vector<path_stage>> findPath(const std::vector<stage_candidate> &candidates, const path_question &question);

// What keeps a generation from a path. Later ones are easier to mend.
enum class path_obstacle
{
    none,    // every layer has a server; only their order does not fit
    unheld,  // no server holds the layers
    avoided, // those that do have just failed
    full,    // those that do have no room for the request
};

const char *toText(path_obstacle obstacle);

// The first layers without a usable server and why.
struct path_gap
{
    path_obstacle obstacle = path_obstacle::none;
    layer_range layers;
};

// Explains why findPath() found nothing. `holders` are all servers that may serve the service, `candidates` those of them
// that are not avoided. Reports the gap that is hardest to mend.
path_gap explainNoPath(const std::vector<layer_range> &holders, const std::vector<stage_candidate> &candidates, const path_question &question);

// True if the stages run layers 0 to `layers` once each, in order, on distinct servers.
bool isCompletePath(const std::vector<path_stage> &path, int layers);

}
