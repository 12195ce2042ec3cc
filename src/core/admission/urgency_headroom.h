#pragma once

// What part of the capacity the less urgent requests of a service leave to more urgent ones. One object for each service; no I/O.
//
// Designed for a burst of the least urgent requests over a base of more urgent ones: capacity that a stream takes is free again only when
// it ends, so the more urgent kinds are served as usual only if the burst never takes all of it. A less urgent kind is not starved in
// turn: of what is admitted of it and of more urgent kinds together it keeps a guaranteed share.

#include "core/admission/urgency.h"

#include <vector>

namespace chestnut
{

constexpr double LARGEST_HEADROOM = 0.15;             // of the capacity, left by the least urgent kind to the most urgent one
constexpr double GUARANTEED_SHARE = 0.1;              // of the tokens that are admitted of a kind and of more urgent ones together
constexpr milliseconds URGENCY_DEMAND_WINDOW{10'000}; // a kind without a request in this time needs no headroom

class urgency_headroom
{
public:
    // A request has arrived.
    void noteArrival(const request_urgency &urgency, steady_time now);
    // The rank for which a request leaves capacity: the most urgent one that has recently had requests. Its own rank if there is none.
    int leavesTo(const request_urgency &urgency, steady_time now) const;
    // Part of the capacity to leave, from 0 to LARGEST_HEADROOM. 0 while the kind has less than its guaranteed share.
    double of(const request_urgency &urgency, steady_time now) const;
    // A request of this many tokens was admitted, or turned away although capacity was left.
    void noteAdmitted(const request_urgency &urgency, double tokens, steady_time now);
    void noteTurnedAway(const request_urgency &urgency, steady_time now);

private:
    // What is known about the requests of one rank.
    struct kind_state
    {
        steady_time lastArrival{};    // 0 = none
        steady_time lastTurnedAway{}; // 0 = none
        double credit = 0;            // tokens that the kind may still take regardless of the headroom; negative after it took more than its share
    };
    kind_state &stateOf(const request_urgency &urgency);

    std::vector<kind_state> m_kinds; // by rank
};

}
