#pragma once

// When a client whose request is rejected should come back: once enough streams have ended, or once a lost stage is replaced. No I/O.
//
// Designed for an overload in which clients return as often as they are told to. A constant brings them back together, either before there is
// capacity, so that they are rejected again, or after others have taken it.

#include "kernel/ids.h"

#include <map>
#include <optional>
#include <vector>

namespace chestnut
{

// Capacity that one of this instance's streams holds at a server, in tokens or slots.
struct capacity_release
{
    milliseconds after{0}; // until the stream is expected to end
    double amount = 0;
};

// What a server lacks for a request.
struct capacity_shortage
{
    double missing = 0;                     // that must become free
    double held = 0;                        // by the streams of all instances
    double promised = 0;                    // to clients of this instance that were told to come back before
    std::vector<capacity_release> releases; // by the streams of this instance
};

// Time until the request should find capacity. The streams of this instance stand for those of all: what they free goes to its own clients, in
// the order in which these were told to come back. Nothing if this instance has no stream there.
std::optional<milliseconds> timeUntilFree(capacity_shortage shortage);

// Clients that were told to come back, until they do.
class promised_returns
{
public:
    void add(steady_time due, double tokens, steady_time now);
    double tokens(steady_time now);
    int clients(steady_time now);

private:
    void dropDue(steady_time now);

    std::multimap<steady_time, double> m_tokens; // by the time of the return
    double m_sum = 0;
};

// Learns how long a service lacks some of its layers after it has lost a server, and tells when the next such gap should end.
class repair_clock
{
public:
    // A request found layers that no server holds, or whose servers have all just failed.
    void noteGap(steady_time now);
    // A request found a server for every layer, with or without free capacity.
    void noteComplete(steady_time now);
    // Expected time until the present gap ends. Nothing if there is none, or if none has ended yet.
    std::optional<milliseconds> left(steady_time now) const;

private:
    std::optional<steady_time> m_gapSince;
    std::optional<double> m_usualMs; // smoothed
};

constexpr milliseconds MIN_RETURN{300};  // less would let a client repeat its request many times within its patience
constexpr milliseconds MAX_RETURN{4000}; // an estimate that far ahead is too uncertain to keep a client away for longer
constexpr double RETURN_SPREAD = 0.15;   // Retry-After is at most this part shorter or longer

// Retry-After: the expected time within its bounds, or `usual` where it is not known, spread at random. A client honours at most a third of the
// time that it has left. `draw` is a random number in [0, 1).
milliseconds returnAfter(std::optional<milliseconds> expected, milliseconds usual, milliseconds clientTimeLeft, double draw);

}
