#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace chestnut
{

// 64-bit hash of bytes (xxHash). Not for secrets.
std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed = 0);

// Mixes a number into a hash state; order matters.
std::uint64_t mixHash(std::uint64_t state, std::uint64_t value);

// Lower-case hexadecimal SHA-256, as stored for client account keys. Throws std::runtime_error if the digest fails.
std::string sha256Hex(std::string_view bytes);

// Base64 without line breaks.
std::string encodeBase64(std::string_view bytes);

// Throws std::invalid_argument on text that is not Base64.
std::string decodeBase64(std::string_view text);

}
