#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace chestnut
{

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Monotonic time. Functions that decide by time take it as an argument, so that tests can set it.
using steady_time = std::chrono::steady_clock::time_point;

// Name of an object, typed by the kind of object: names of different kinds do not convert into each other.
template <typename tag>
struct strong_id
{
    std::string text; // spelled as in the sheet or the settings

    auto operator<=>(const strong_id &) const = default;
    bool empty() const
    {
        return text.empty();
    }
};

using account_id = strong_id<struct account_tag>; // client account
using model_id = strong_id<struct model_tag>;
using server_id = strong_id<struct server_tag>;     // backend server
using service_id = strong_id<struct service_tag>;   // plain service
using instance_id = strong_id<struct instance_tag>; // instance of chestnutgw
using domain_id = strong_id<struct domain_tag>;     // failure domain
using request_id = strong_id<struct request_tag>;
using part_id = strong_id<struct part_tag>; // part of a prompt that requests share, as SERVICE/ID

// Position of a record in a stream of the log service. The first record has offset 1.
struct log_offset
{
    std::uint64_t value = 0; // 0 = before the first record

    auto operator<=>(const log_offset &) const = default;
};

// Half-open range of model layers.
struct layer_range
{
    int first = 0; // first layer of the range
    int last = 0;  // one past the last layer of the range

    auto operator<=>(const layer_range &) const = default;
    int count() const
    {
        return last - first;
    }
};

// Number of an attempt at a request. Increases with every new chain or dispatch.
struct attempt_number
{
    int value = 0;

    auto operator<=>(const attempt_number &) const = default;
};

// Converts a duration to fractional seconds.
inline double toSeconds(std::chrono::nanoseconds duration)
{
    return std::chrono::duration<double>(duration).count();
}

// Converts fractional seconds to milliseconds, rounding toward zero.
inline milliseconds fromSeconds(double value)
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>(value));
}

}

template <typename tag>
struct std::hash<chestnut::strong_id<tag>>
{
    std::size_t operator()(const chestnut::strong_id<tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.text);
    }
};
