#include "core/prompt_parts.h"

#include "kernel/hash.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>

namespace chestnut
{

namespace
{

constexpr std::size_t MAX_ID_LENGTH = 64; // longer ids are replaced by their hash

bool isHexDigit(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
}

char toLower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

// The id of one entry in lower case; empty if it is invalid.
std::string parseId(std::string_view entry)
{
    const std::string_view digits = trimmed(entry.substr(0, entry.find(':')));
    if (!std::all_of(digits.begin(), digits.end(), isHexDigit)) {
        return {};
    }
    std::string id(digits);
    std::transform(id.begin(), id.end(), id.begin(), toLower);
    return id.size() <= MAX_ID_LENGTH ? id : "hash-" + std::to_string(hashBytes(id));
}

// The token count of one entry; nothing if it is missing or no number.
std::optional<double> parseTokens(std::string_view entry)
{
    const std::size_t colon = entry.find(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view digits = trimmed(entry.substr(colon + 1));
    double value = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
    const bool valid = error == std::errc() && end == digits.data() + digits.size() && std::isfinite(value) && value >= 0;
    return valid ? std::optional(value) : std::nullopt;
}

}

std::vector<part_id> sharedPromptParts(const service_id &service, std::string_view list)
{
    std::vector<part_id> parts;
    for (std::size_t comma = list.find(','); comma != std::string_view::npos && parts.size() < MAX_PROMPT_PARTS; comma = list.find(',')) {
        const std::string id = parseId(list.substr(0, comma));
        list.remove_prefix(comma + 1);
        const part_id part{service.text + "/" + id};
        if (!id.empty() && std::find(parts.begin(), parts.end(), part) == parts.end()) {
            parts.push_back(part);
        }
    }
    return parts;
}

std::vector<prompt_prefix> promptPrefixes(const service_id &service, std::string_view list, double maxTokens)
{
    std::vector<prompt_prefix> prefixes;
    std::uint64_t hash = hashBytes(service.text);
    double tokens = 0;
    while (!list.empty() && prefixes.size() < MAX_PROMPT_PARTS) {
        const std::size_t comma = list.find(',');
        const std::string_view entry = list.substr(0, comma);
        const std::string id = parseId(entry);
        const std::optional<double> length = parseTokens(entry);
        if (id.empty() || !length) {
            break;
        }
        hash = mixHash(hash, hashBytes(id));
        tokens = std::min(tokens + *length, maxTokens);
        prefixes.push_back({prefix_id{hash}, tokens});
        list.remove_prefix(comma == std::string_view::npos ? list.size() : comma + 1);
    }
    return prefixes;
}

std::string joinParts(const std::vector<part_id> &parts)
{
    std::string text;
    for (const part_id &part : parts) {
        text += (text.empty() ? "" : ",") + part.text;
    }
    return text;
}

}
