#include "core/confirmation_clock.h"

#include <algorithm>

namespace chestnut
{

void confirmation_clock::confirmHere(steady_time at)
{
    origin_entry &own = m_newest[m_self];
    ++own.number;
    own.at = std::max(own.at, at);
}

void confirmation_clock::learn(const confirmation &passedOn, steady_time now)
{
    if (passedOn.origin == 0 || passedOn.origin == m_self) {
        return;
    }
    const steady_time at = now - passedOn.age;
    origin_entry &known = m_newest[passedOn.origin];
    if (passedOn.number > known.number) {
        known = {passedOn.number, at};
    } else if (passedOn.number == known.number) {
        known.at = std::min(known.at, at);
    }
    // Also forgets the processes that have ended.
    std::erase_if(m_newest, [now](const auto &entry) { return now - entry.second.at > MAX_AGE; });
}

milliseconds confirmation_clock::age(steady_time now) const
{
    return newest(now).age;
}

confirmation confirmation_clock::newest(steady_time now) const
{
    confirmation result{0, 0, MAX_AGE};
    for (const auto &[origin, entry] : m_newest) {
        const auto age = std::clamp(std::chrono::ceil<milliseconds>(now - entry.at), milliseconds(0), MAX_AGE);
        if (age < result.age) {
            result = {origin, entry.number, age};
        }
    }
    return result;
}

}
