#pragma once

// Positions in the log of the platform's store. The store may come back from an older copy: then it has forgotten its newest records
// and assigns their offsets again. It counts these restores as epochs, so offsets can be compared within one epoch only.

#include <compare>
#include <cstdint>

namespace chestnut
{

// Number of restores of the store, 0 = not known or not told. Never decreases.
struct store_epoch
{
    std::uint64_t number = 0;

    auto operator<=>(const store_epoch &) const = default;
};

// A record of a later epoch is newer than every record of an earlier one, whatever their offsets.
struct log_position
{
    store_epoch epoch;
    std::uint64_t offset = 0;

    auto operator<=>(const log_position &) const = default;
};

}
