#pragma once

// Comparison of HTTP header names, detection of hop-by-hop headers, and values of general headers.

#include "kernel/ids.h"

#include <optional>
#include <string_view>

namespace chestnut
{

// Compares header names without regard to case.
bool sameHeader(std::string_view left, std::string_view right);

// True for hop-by-hop headers, which a proxy does not forward. `connection` is the value of the message's Connection header, which
// may list further ones.
bool isHopByHopHeader(std::string_view name, std::string_view connection);

// True if a comma-separated list contains the word, ignoring case.
bool listContains(std::string_view list, std::string_view word);

// Parses the value of a Retry-After header: seconds, which may have a fraction, at most a day. Nothing if it is no such number.
std::optional<milliseconds> parseRetryAfter(std::string_view value);

}
