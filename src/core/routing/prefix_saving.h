#pragma once

// Weighs the prefixes that servers are expected to hold against the other costs of a path. No I/O.
//
// Designed for a prefix that most requests share, and for servers that in fact hold nothing: the saving is bounded, so that requests
// spread before the servers that hold the prefix are full, and a wrong expectation costs little.

#include "core/layer_path.h"
#include "core/routing/prefix_residency.h"

namespace chestnut
{

// Upper bound of the saving of a whole path, in ms per token of the answer. It is also the most that a path chosen for a prefix which its
// servers do not hold costs above the cheapest one. Less than a third of the penalty of a hop to another failure domain (5 ms), and a
// quarter of that of a stage without free KV capacity or slots (6 ms): holding a prefix outweighs neither.
constexpr double MAX_PREFIX_SAVING_MS = 1.5;

// A prompt whose beginning servers may hold.
struct prefixed_prompt
{
    std::vector<prompt_prefix> prefixes; // shortest first; empty if the request names no parts
    double answerTokens = 0;             // expected, over which the saving is spread; 0 = the engine's mean
};

// Adds to each candidate what it is expected to hold of the prompt and what that saves. First evicts what no longer fits beside the
// requests that run at the candidate.
void addPrefixes(std::vector<stage_candidate> &candidates, const engine_profile &engine, const prefixed_prompt &prompt, prefix_residency &residency,
                 steady_time now);

// As findPath(). Whether there is a path does not depend on prefixes: if the preferred one has too many stages, they are ignored.
std::optional<std::vector<path_stage>> findPathByPrefix(std::vector<stage_candidate> &candidates, const path_query &query);

// Tokens of the prompt that the path is expected to hold, as the mean over all layers.
double expectedTokens(const std::vector<path_stage> &path, const prefixed_prompt &prompt, prefix_residency &residency, steady_time now);

}
