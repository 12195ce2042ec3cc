#include "core/routing/stage_pace.h"

namespace chestnut
{

double loadedStepMs(const engine_profile &engine, double tokens)
{
    const double tokensEach = engine.meanPromptTokens + engine.meanOutputTokens;
    const double sequences = tokensEach > 0 ? tokens / tokensEach : 0;
    return engine.stepMs + engine.perSequenceMs * sequences + engine.contextMsPerK * tokens / 1000;
}

}
