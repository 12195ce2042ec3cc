#pragma once

#include "entry/shared_state.h"
#include "kernel/event_loop.h"
#include "peer/peer_node.h"
#include "platform/stream_follower.h"

namespace chestnut
{

constexpr const char *CLAIMS_STREAM = "claims";

// Ledger of claims: connects the claim logic to the claims stream of the log, in both directions. Control loop only, unless noted.
class ledger
{
public:
    ledger(entry_shared &shared, event_loop &loop, log_service &direct, log_service &relayed, peer_node &peers, std::uint64_t incarnation);

    void start();
    // Claims an idempotency key. The decision is passed to decided on the control loop. Any thread.
    void claim(const std::string &key, const std::string &fingerprint, steady_time deadline, std::function<void(claim_decision)> decided);
    // Records the outcome of a dispatched call. Any thread.
    void finish(claim_ticket ticket, claim_record outcome);
    // A peer has read this offset: fetch up to it from peers if the log does not deliver it first.
    void hint(log_offset known)
    {
        m_follower.hint(known);
    }
    const claim_manager &claimManager() const
    {
        return m_claimManager;
    }
    bool logReachable() const
    {
        return m_follower.reachable();
    }

private:
    void appendBatch();
    void scheduleAppend();
    void deliverDecisions();
    void tick();

    entry_shared &m_shared;
    event_loop &m_loop;
    log_service &m_relayed;
    claim_manager m_claimManager;
    stream_follower m_follower;
    std::map<claim_ticket, std::function<void(claim_decision)>> m_callbacks;
    bool m_appendScheduled = false;
    steady_time m_lastAppend;
    milliseconds m_appendInterval; // current shortest time between appends; grows while the log throttles
};

}
