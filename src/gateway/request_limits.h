#pragma once

// Size, parts and time of a request as its headers and its route state them. Pure; numbers of clients may be missing or absurd.

#include "gateway/request_flow.h"

#include <optional>
#include <string_view>

namespace chestnut
{

// Parses the number at the beginning of a header value; nothing if there is none or it is not finite.
std::optional<double> parseLeadingNumber(std::string_view text);

// Reads the prompt tokens and the expected and maximum answer tokens of a generation from the headers.
void readTokenCounts(const client_message &message, const header_names &headerNames, request_facts &facts);

// Reads the parts of the prompt that other requests may share, and its prefixes. After readTokenCounts().
void readPromptParts(const client_message &message, const header_names &headerNames, request_facts &facts);

// Time for the whole answer: the client's limit or the route's, whichever is shorter. A route limit of 0 means none.
milliseconds answerTime(std::optional<double> clientLimitMs, milliseconds routeLimit);

// Number of events that the answer to a generation is expected to have.
double expectedEvents(const request_facts &facts);

// Number of events of the longest possible answer to a generation.
double maxEvents(const request_facts &facts);

}
