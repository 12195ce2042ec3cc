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
//
// A store that was restored from an older copy may have forgotten the newest entries, and with them a holder whose term still
// runs. So in a new epoch of the store, nobody appends before such a term has ended. Each entry names the epoch in which it was
// sent: an entry of the present epoch shows that somebody has waited already, and one of an earlier epoch that was appended late
// makes nobody the holder.

#include "core/log_position.h"
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

// Entry of the lease log.
struct lease_entry
{
    std::string holder; // instance name and incarnation, see makeHolderName(); empty = there is no entry
    store_epoch epoch;  // of the store, as known to the holder when it sent the entry
};

// The lease log as known to one instance.
struct lease_state
{
    log_position end;
    lease_entry newest; // the entry before the end
};

// Answer to a read of the lease log.
struct lease_read
{
    bool ok = false;
    store_epoch epoch;                 // of the answer, 0 = not told
    std::uint64_t end = 0;             // end of the log
    std::uint64_t next = 0;            // offset after the last entry read
    std::optional<lease_entry> newest; // last entry read
};

// An append in progress.
struct lease_append
{
    log_position at;    // end of the log on which it is conditional
    steady_time sent{}; // 0 = none
};

class coordinator_lease
{
public:
    // `self` names this instance and incarnation; see makeHolderName().
    coordinator_lease(std::string self, const coordinator_lease_timing &timing)
        : m_self(std::move(self))
        , m_timing(timing)
    {
    }
    // Where the next read of the log begins.
    log_position nextRead() const
    {
        return m_nextRead;
    }
    // Records a read that began at `from`. One of an earlier epoch is ignored; one of a later epoch only shows that the store was
    // restored, unless it began at the start of the log.
    void recordRead(log_position from, const lease_read &read, steady_time now);
    // Records what a peer knows. Counts like a read of it.
    void recordLearnedFromPeer(const lease_state &known, steady_time now);
    // True if an append at the end of the log should be sent now; the caller then sends it and calls recordAppendSent().
    bool shouldAppend(steady_time now) const;
    lease_append recordAppendSent(steady_time now);
    // Records the answer to an append: it took effect, or it definitely did not. Without an answer, a later read decides. `epoch` is that
    // of the answer, 0 = not told.
    void recordAppendResult(const lease_append &append, bool appended, store_epoch epoch, steady_time now);
    // The store was restored: nothing is known of its log, and the lease is lost. Does nothing if the epoch is not a later one.
    void enterEpoch(store_epoch epoch, steady_time now);
    bool holds(steady_time now) const;
    const lease_state &state() const
    {
        return m_state;
    }
    // The entry that an append of this instance writes.
    lease_entry ownEntry() const
    {
        return {m_self, m_state.end.epoch};
    }
    const std::string &self() const
    {
        return m_self;
    }

private:
    // The log ends at `end`; `newest` is the entry before it, if a read returned any.
    void recordEnd(log_position end, const std::optional<lease_entry> &newest, steady_time now);
    bool heldByFormerSelf() const;

    std::string m_self;
    coordinator_lease_timing m_timing;
    lease_state m_state;
    log_position m_nextRead;                 // see nextRead()
    bool m_known = false;                    // the log has been read at least once in this epoch
    steady_time m_firstSeen{};               // when the newest entry was first seen
    steady_time m_forgottenUntil{};          // a holder that the restored store has forgotten may hold the lease until then
    std::optional<steady_time> m_appendSent; // start of the append in progress
    lease_append m_firstSend;                // first append that was conditional on the end of the last one; it may be executed late
    std::optional<steady_time> m_heldSince;  // start of the append that took or renewed the lease
};

}
