#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace chestnut
{

// 64-bit hash of bytes (XXH64). Not cryptographic.
std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed = 0);

// Combines a hash state with a further number. The order of the calls matters.
std::uint64_t mixHash(std::uint64_t state, std::uint64_t value);

// SHA-256 in 64 lower-case hexadecimal digits, the form in which keys of client accounts are stored.
// Throws std::runtime_error if OpenSSL cannot compute the digest.
std::string sha256Hex(std::string_view bytes);

// Encodes as Base64 with padding, without line breaks.
std::string encodeBase64(std::string_view bytes);

// Decodes padded Base64. Throws std::invalid_argument if the length is not a multiple of 4 or a character is not in the alphabet.
std::string decodeBase64(std::string_view text);

}
