#pragma once

// Converts what an instance tells its peers to and from messages. Messages carry ages and durations instead of times, since each instance
// has its own monotonic clock.

#include "core/confirmation_clock.h"
#include "core/shared_load.h"
#include "gateway_peer.pb.h"
#include "mesh/update_position.h"

namespace chestnut
{

void toMessage(const peer_report &report, chestnutgw::wire::gateway_state *message);
// Leaves out loads that no instance has, which would spoil the sums over all peers.
peer_report toReport(const chestnutgw::wire::gateway_state &message, steady_time now);
load_scope scopeOf(const chestnutgw::wire::gateway_state &message);

void toMessage(const confirmation &one, chestnutgw::wire::confirmation *message);
confirmation toConfirmation(const chestnutgw::wire::confirmation &message);

void toMessage(const update_position &position, chestnutgw::wire::gateway_state *message);
update_position toUpdatePosition(const chestnutgw::wire::gateway_state &message);
void toMessage(const update_position &position, chestnutgw::wire::update_position *message);
update_position toUpdatePosition(const chestnutgw::wire::update_position &message);

}
