#include "kernel/hash.h"

#include <array>
#include <openssl/evp.h>
#include <stdexcept>
#include <xxhash.h>

namespace chestnut
{

std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed)
{
    return XXH64(bytes.data(), bytes.size(), seed);
}

std::uint64_t mixHash(std::uint64_t state, std::uint64_t value)
{
    return XXH64(&value, sizeof value, state);
}

std::string sha256Hex(std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    if (EVP_Digest(bytes.data(), bytes.size(), digest.data(), &length, EVP_sha256(), nullptr) != 1) {
        throw std::runtime_error("SHA-256 digest failed");
    }
    static constexpr char DIGITS[] = "0123456789abcdef";
    std::string text;
    for (unsigned int i = 0; i < length; ++i) {
        text += DIGITS[digest[i] >> 4];
        text += DIGITS[digest[i] & 15];
    }
    return text;
}

std::string encodeBase64(std::string_view bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()), reinterpret_cast<const unsigned char *>(bytes.data()),
                                       static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::string decodeBase64(std::string_view text)
{
    if (text.size() % 4 != 0) {
        throw std::invalid_argument("invalid Base64: length " + std::to_string(text.size()) + " is not a multiple of 4");
    }
    std::string bytes(text.size() / 4 * 3 + 1, '\0');
    const int length
        = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()), reinterpret_cast<const unsigned char *>(text.data()), static_cast<int>(text.size()));
    if (length < 0) {
        throw std::invalid_argument("invalid Base64: contains a character outside the alphabet");
    }
    const std::size_t padding = text.ends_with("==") ? 2 : (text.ends_with("=") ? 1 : 0);
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

}
