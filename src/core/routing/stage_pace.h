#pragma once

// Predicted time of a decode step at a stage that other generations share. No I/O.
//
// Designed for failure domains that hold several copies of each layer: by their idle pace alone one path is always the cheapest, so that
// every stream takes it until its memory is nearly used up, and the loss of one server stalls all of them.

#include "core/gateway_types.h"

namespace chestnut
{

// Time in ms of one decode step over all layers on an accelerator with step factor 1, while generations with this many tokens in all run.
double loadedStepMs(const engine_profile &engine, double tokens);

}
