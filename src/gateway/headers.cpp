#include "gateway/headers.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>

namespace chestnut
{

namespace
{

constexpr double MAX_RETRY_AFTER_S = 86'400; // a day

constexpr std::string_view HOP_BY_HOP_HEADERS[]
    = {"connection",     "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade",
       "content-length", "expect"};

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
        text.remove_suffix(1);
    }
    return text;
}

}

bool sameHeader(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char a, char b) { return std::tolower(static_cast<unsigned char>(a)) == std::tolower(static_cast<unsigned char>(b)); });
}

bool listContains(std::string_view list, std::string_view word)
{
    while (!list.empty()) {
        const std::size_t comma = std::min(list.find(','), list.size());
        if (sameHeader(trimmed(list.substr(0, comma)), word)) {
            return true;
        }
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return false;
}

bool isHopByHopHeader(std::string_view name, std::string_view connection)
{
    const auto matches = [name](std::string_view known) { return sameHeader(name, known); };
    return std::any_of(std::begin(HOP_BY_HOP_HEADERS), std::end(HOP_BY_HOP_HEADERS), matches) || listContains(connection, name);
}

std::optional<milliseconds> parseRetryAfter(std::string_view value)
{
    double number = 0;
    const char *end = value.data() + value.size();
    const auto [rest, error] = std::from_chars(value.data(), end, number, std::chars_format::fixed);
    if (error != std::errc() || rest != end || !std::isfinite(number) || number < 0) {
        return std::nullopt;
    }
    const std::chrono::duration<double> period(std::min(number, MAX_RETRY_AFTER_S));
    return std::chrono::duration_cast<milliseconds>(period);
}

}
