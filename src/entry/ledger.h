#pragma once

#include "entry/shared_state.h"
#include "kernel/event_loop.h"
#include "peer/peer_node.h"
#include "platform/stream_follower.h"

namespace chestnut
{

constexpr const char *CLAIMS_STREAM = "claims";

// Runs the claim desk against the log. Control loop only, unless said otherwise.
class ledger
{
public:
    ledger(entry_shared &shared, event_loop &loop, log_service &direct, log_service &relayed, peer_node &peers, std::uint64_t incarnation);

    void start();
    // Asks for a key. The decision comes on the control loop. Any thread.
    void claim(const std::string &key, const std::string &fingerprint, steady_time deadline, std::function<void(claim_decision)> decided);
    // Tells how a dispatched call ended. Any thread.
    void finish(claim_ticket ticket, claim_record outcome);
    // Peers tell that this offset exists.
    void hint(log_offset known)
    {
        m_follower.hint(known);
    }
    const claim_manager &desk() const
    {
        return m_desk;
    }
    bool logReachable() const
    {
        return m_follower.reachable();
    }

private:
    void pump();
    void schedulePump();
    void deliver();
    void tick();

    entry_shared &m_shared;
    event_loop &m_loop;
    log_service &m_relayed;
    claim_manager m_desk;
    stream_follower m_follower;
    std::map<claim_ticket, std::function<void(claim_decision)>> m_callbacks;
    bool m_pumpScheduled = false;
    steady_time m_lastAppend;
    milliseconds m_interval; // current shortest time between appends
};

}
