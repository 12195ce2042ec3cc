#pragma once

// Who may give orders to backend servers: a lease in a log of the platform's store. An instance takes the lease by a
// conditional append and renews it the same way; the newest entry names the holder. Pure: reads and append results go in,
// what to do next comes out.
//
// A holder's term counts from before its append was sent; another instance waits a longer term after it has seen an entry.
// So two instances never both hold the lease as long as their steady clocks run alike; orders carry the server's expected
// order count besides, for the time in which a paused holder wakes up. An instance that finds the lease with its own former
// incarnation takes it at once: that process is gone, since two cannot serve the same addresses.

#include "kernel/ids.h"

#include <cstdint>
#include <optional>
#include <string>

namespace chestnut
{

struct giver_lease_terms
{
    milliseconds hold{2000};     // a holder may act for so long after it began its last append
    milliseconds takeover{2800}; // others wait for so long after they first saw the newest entry
    milliseconds renewal{900};   // age of the own entry at which it is renewed
};

// Names one run of an instance in the lease log.
std::string makeHolder(const std::string &instance, std::uint64_t incarnation);

class giver_lease
{
public:
    // `self` is from makeHolder().
    giver_lease(std::string self, const giver_lease_terms &terms)
        : m_self(std::move(self))
        , m_terms(terms)
    {
    }
    // The log was read up to `end`; `newest` is its last entry if one was read this time.
    void noteRead(std::uint64_t end, const std::optional<std::string> &newest, steady_time now);
    // Another instance knows the log to end at `end` with that holder's entry. Counts like a read of it.
    void noteHeard(std::uint64_t end, const std::string &holder, steady_time now);
    // True if an append at end() should be sent now; noteSent() must follow.
    bool shouldAppend(steady_time now) const;
    void noteSent(steady_time now);
    // The append's own answer: it was appended, or certainly not.
    void noteAppended(bool appended);
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
    giver_lease_terms m_terms;
    std::uint64_t m_end = 0;
    bool m_known = false;              // the log has been read
    std::string m_holder;              // of the newest entry seen
    steady_time m_seen{};              // when that entry was first seen
    std::optional<steady_time> m_sent; // an append is under way since
    std::uint64_t m_sentEnd = 0;       // end that this append asked for
    std::optional<steady_time> m_held; // begin of the append that gave or renewed the lease
};

}
