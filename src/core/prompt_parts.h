#pragma once

// Parts of a prompt, as a request names them. Requests share parts; the last part of a prompt belongs to its request alone.

#include "kernel/ids.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace chestnut
{

constexpr std::size_t MAX_PROMPT_PARTS = 32; // of one request; further ones are ignored

// Parses a list "ID:TOKENS,ID:TOKENS,..." with ids in hexadecimal. Returns the parts that other requests may share: each once, in
// order, without the last one. An entry without a valid id is left out. Parts of different services differ.
std::vector<part_id> sharedPromptParts(const service_id &service, std::string_view list);

// Hash of the ids of a service and of the first parts of a prompt in order.
enum class prefix_id : std::uint64_t
{
};

// The beginning of a prompt, up to the end of one of its parts.
struct prompt_prefix
{
    prefix_id id{};
    double tokens = 0; // of all its parts together
};

// Parses the same list into the prefixes of a prompt, shortest first; the last one contains the last part. The list ends at the first
// entry without a valid id or token count, since what follows stands behind text of unknown length. No prefix has more than `maxTokens`.
std::vector<prompt_prefix> promptPrefixes(const service_id &service, std::string_view list, double maxTokens);

// Text for logs: the parts separated by commas.
std::string joinParts(const std::vector<part_id> &parts);

}
