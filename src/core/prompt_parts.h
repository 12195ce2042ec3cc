#pragma once

// Parts of a prompt, as a request names them. Requests share parts; the last part of a prompt belongs to its request alone.

#include "kernel/ids.h"

#include <string_view>
#include <vector>

namespace chestnut
{

constexpr std::size_t MAX_PROMPT_PARTS = 32; // of one request; further ones are ignored

// Parses a list "ID:TOKENS,ID:TOKENS,..." with ids in hexadecimal. Returns the parts that other requests may share: each once, in
// order, without the last one. An entry without a valid id is left out. Parts of different services differ.
std::vector<part_id> sharedPromptParts(const service_id &service, std::string_view list);

// Text for logs: the parts separated by commas.
std::string joinParts(const std::vector<part_id> &parts);

}
