#pragma once

// How old the newest confirmation is that some instance got: by the store, that no record is missing, or by the coordinator, that it
// holds its lease. Instances pass confirmations on, so that few of them have to ask the store.
//
// Designed for many instances that exchange states several times per second over slow links. A message says how old a confirmation
// was when it was sent, and the time on the way is unknown. If a confirmation counted anew each time it comes back, it would never
// grow old in a large deployment, and nobody would read the store again. So each one is named by its origin and a number, and counts
// from when it was first received.

#include "kernel/ids.h"

#include <cstdint>
#include <unordered_map>

namespace chestnut
{

struct confirmation
{
    std::uint64_t origin = 0; // process that was confirmed first, 0 = there is no confirmation
    std::uint64_t number = 0; // increases with each confirmation of this process
    milliseconds age{0};
};

class confirmation_clock
{
public:
    // Reported before the first confirmation; also the upper limit of age().
    static constexpr milliseconds MAX_AGE{60'000};

    // Sets the id of this process, unique over all processes of all times, before the first confirmation.
    void setSelf(std::uint64_t self)
    {
        m_self = self;
    }
    // This process was confirmed at that time.
    void confirmHere(steady_time at);
    // A peer passed on a confirmation.
    void learn(const confirmation &passedOn, steady_time now);
    milliseconds age(steady_time now) const;
    // The newest confirmation, to be passed on.
    confirmation newest(steady_time now) const;

private:
    struct origin_entry
    {
        std::uint64_t number = 0;
        steady_time at{}; // not before the confirmation, later by at most the time on the way to here
    };
    std::uint64_t m_self = 0;
    std::unordered_map<std::uint64_t, origin_entry> m_newest; // by origin
};

}
