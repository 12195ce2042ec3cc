#pragma once

// Requests of operators at the metrics address of a gateway.
//   GET  /metrics                        metrics in the Prometheus text format
//   GET  /quarantine                     parts of prompts that are suspected or quarantined, with the evidence
//   POST /quarantine/release?part=PART   takes back what speaks against a part, at all instances

#include "gateway/traffic_state.h"
#include "kernel/http_server.h"

namespace chestnut
{

// May be called on any thread.
void answerOperator(const std::shared_ptr<http_call> &call, traffic_state &state);

}
