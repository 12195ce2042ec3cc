#pragma once

// Lease of the coordinator, the only instance that may send layer orders to backend servers. The lease is a log in the
// platform's store: an instance takes and renews it by a conditional append, and the newest entry names the holder. This
// class does no I/O: its inputs are log reads and append results, its output is whether to append now.
//
// The holder counts its term from before it sent the append; other instances wait for a longer term after they first saw the
// entry. So two instances never both hold the lease as long as their steady clocks run at the same rate. A holder that was
// paused may still act on an expired lease when it wakes up; for this case each order also carries the order count that the
// holder expects at the server. An instance that finds the lease held by its own former incarnation takes it at once: that
// process has ended, since two processes cannot listen on the same addresses.

#include "kernel/ids.h"

#include <cstdint>
#include <optional>
#include <string>

namespace chestnut
{

struct coordinator_lease_timing
{
    milliseconds hold{2000};     // the holder may send orders for this long after it began its last append
    milliseconds takeover{2800}; // other instances wait this long after they first saw the newest entry
    milliseconds renewal{900};   // age of its own entry at which the holder renews it
};

// Name of one incarnation of an instance in the lease log.
std::string makeHolderName(const std::string &instance, std::uint64_t incarnation);

class coordinator_lease
{
public:
    // `self` names this instance and incarnation; see makeHolderName().
    coordinator_lease(std::string self, const coordinator_lease_timing &timing)
        : m_self(std::move(self))
        , m_timing(timing)
    {
    }
    // Records a read of the log up to `end`; `newest` is the last entry if this read returned any.
    void recordRead(std::uint64_t end, const std::optional<std::string> &newest, steady_time now);
    // Records an entry learned from a peer: the log ends at `end` with the entry of that holder. Counts like a read of it.
    void recordLearnedFromPeer(std::uint64_t end, const std::string &holder, steady_time now);
    // True if an append at end() should be sent now; the caller then sends it and calls recordAppendSent().
    bool shouldAppend(steady_time now) const;
    void recordAppendSent(steady_time now);
    // Records the answer to the append: it took effect, or it definitely did not. Without an answer, a later read decides.
    void recordAppendResult(bool appended);
    bool holds(steady_time now) const;
    std::uint64_t end() const
    {
        return m_end;
    }
    const std::string &self() const
    {
        return m_self;
    }
    const std::string &holder() const
    {
        return m_holder;
    }

private:
    bool heldByFormerSelf() const;

    std::string m_self;
    coordinator_lease_timing m_timing;
    std::uint64_t m_end = 0;
    bool m_known = false;                    // the log has been read at least once
    std::string m_holder;                    // of the newest entry seen
    steady_time m_firstSeen{};               // when that entry was first seen
    std::optional<steady_time> m_appendSent; // start of the append in progress
    std::uint64_t m_appendEnd = 0;           // log end that this append was conditional on
    std::optional<steady_time> m_heldSince;  // start of the append that took or renewed the lease
};

}
