#pragma once

#include "core/log_position.h"

#include <cstdint>

namespace chestnut
{

// Version and positions up to which an instance has the updates of the platform.
struct update_position
{
    std::uint64_t configVersion = 0;
    log_position config;
    log_position fleet;
    log_position members;
    bool wantsConfig = false; // cannot read the configuration from the platform itself

    bool operator==(const update_position &) const = default;
};

}
