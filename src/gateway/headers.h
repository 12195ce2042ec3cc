#pragma once

// Which headers concern only one connection.

#include <string_view>

namespace chestnut
{

bool sameHeader(std::string_view left, std::string_view right);

// True for headers that a forwarder never passes on; `connection` is the message's Connection header, which may name more.
bool isConnectionHeader(std::string_view name, std::string_view connection);

// True if a comma-separated list holds the word, without regard to case.
bool listContains(std::string_view list, std::string_view word);

}
