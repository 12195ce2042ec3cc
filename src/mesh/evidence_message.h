#pragma once

// Converts the evidence about parts of prompts to and from messages between instances. Messages carry ages instead of times, since
// each instance has its own monotonic clock.

#include "core/crash_evidence.h"
#include "gateway_peer.pb.h"

namespace chestnut
{

void toMessage(const evidence_update &update, chestnutgw::wire::crash_evidence *message, steady_time now);

// Leaves out entries that no instance sends: without a name, or with one that is too long.
evidence_update toEvidence(const chestnutgw::wire::crash_evidence &message, steady_time now);

}
