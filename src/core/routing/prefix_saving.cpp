#include "core/routing/prefix_saving.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace chestnut
{

namespace
{

constexpr double MS_PER_SECOND = 1000;
constexpr double UNKNOWN_PREFILL_TOKENS_PER_SECOND = 1; // of an engine whose configuration does not state its speed

// Prefill time of one token in one layer, in ms per token of the answer.
double prefillMs(const engine_profile &engine, const accelerator_kind &kind, const prefixed_prompt &prompt)
{
    if (engine.prefillTokensPerSecond <= UNKNOWN_PREFILL_TOKENS_PER_SECOND || engine.layers <= 0) {
        return 0;
    }
    const double answer = prompt.answerTokens > 0 ? prompt.answerTokens : engine.meanOutputTokens;
    return MS_PER_SECOND * kind.prefillFactor / engine.prefillTokensPerSecond / engine.layers / std::max(1.0, answer);
}

prefix_saving savingOf(held_tokens held, double msPerToken)
{
    prefix_saving saving;
    if (held.byLayer.empty()) {
        return saving;
    }
    double sum = 0;
    for (double &tokens : held.byLayer) {
        sum += std::exchange(tokens, sum) * msPerToken;
    }
    held.byLayer.push_back(sum);
    saving.firstLayer = held.firstLayer;
    saving.sumMs = std::move(held.byLayer);
    return saving;
}

}

void addPrefixes(std::vector<stage_candidate> &candidates, const engine_profile &engine, const prefixed_prompt &prompt, prefix_residency &residency,
                 steady_time now)
{
    if (!residency.enabled() || prompt.prefixes.empty() || prompt.prefixes.back().tokens <= 0 || engine.layers <= 0) {
        return;
    }
    // Scaled down rather than cut off, so that a server which holds more is still preferred to one which holds less.
    const double most = MAX_PREFIX_SAVING_MS / (engine.layers * prompt.prefixes.back().tokens);
    const accelerator_kind *kind = nullptr;
    double msPerToken = 0; // of this kind
    for (stage_candidate &candidate : candidates) {
        const listed_server &server = *candidate.server;
        if (kind == nullptr || kind->name != server.accelerator) {
            const auto found = engine.kinds.find(server.accelerator);
            kind = found == engine.kinds.end() ? nullptr : &found->second;
            msPerToken = kind == nullptr ? 0 : std::min(most, prefillMs(engine, *kind, prompt));
        }
        if (kind == nullptr) {
            continue;
        }
        held_tokens held = residency.find(server.id, prompt.prefixes, candidate.kvCapacity - candidate.usedTokens, now);
        const auto layers = static_cast<std::size_t>(server.held.count());
        if (held.firstLayer == server.held.first && held.byLayer.size() == layers) { // else it holds nothing, or another list of servers applies here
            candidate.prefix = savingOf(std::move(held), msPerToken);
        }
    }
}

std::optional<std::vector<path_stage>> findPathByPrefix(std::vector<stage_candidate> &candidates, const path_query &query)
{
    auto path = findPath(candidates, query);
    const bool prefixed = std::any_of(candidates.begin(), candidates.end(), [](const stage_candidate &candidate) { return !candidate.prefix.sumMs.empty(); });
    if (path || !prefixed) {
        return path;
    }
    for (stage_candidate &candidate : candidates) {
        candidate.prefix.sumMs.clear();
    }
    return findPath(candidates, query);
}

double expectedTokens(const std::vector<path_stage> &path, const prefixed_prompt &prompt, prefix_residency &residency, steady_time now)
{
    double tokens = 0; // times layers
    int layers = 0;
    for (const path_stage &stage : path) {
        layers += stage.range.count();
        const held_tokens held = residency.find(stage.server, prompt.prefixes, std::numeric_limits<double>::infinity(), now);
        for (std::size_t i = 0; i < held.byLayer.size(); ++i) {
            const int layer = held.firstLayer + static_cast<int>(i);
            tokens += stage.range.first <= layer && layer < stage.range.last ? held.byLayer[i] : 0;
        }
    }
    return layers > 0 ? tokens / layers : 0;
}

}
