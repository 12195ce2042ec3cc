#pragma once

// Comparison of HTTP header names, and detection of hop-by-hop headers.

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

}
