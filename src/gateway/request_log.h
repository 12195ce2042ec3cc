#pragma once

// Log lines and metrics about how requests ended.

#include "gateway/request_flow.h"

namespace chestnut
{

// How a client connection ended before its answer was complete.
enum class client_end
{
    open,        // it has not
    closed,      // the client closed its sending direction
    reset,       // the client or the network reset the connection
    not_reading, // the client accepted no data for too long
};

const char *toText(client_end end);

// Counts an answer that the client did not get completely, and logs it if the gateway cut it. These lines are not limited. `endedBy`
// names the side that ended the connection.
void logIncompleteAnswer(traffic_state &state, const request_facts &facts, const request_outcome &outcome, const char *endedBy);

// Counts a request and logs it, as far as the limit of log lines allows. `end` is `open` unless the client left before the end.
void logOutcome(traffic_state &state, const request_facts &facts, const request_outcome &outcome, client_end end);

}
