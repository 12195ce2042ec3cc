#pragma once

#include "entry/shared_state.h"
#include "kernel/event_loop.h"
#include "peer/peer_node.h"
#include "platform/stream_follower.h"

namespace chestnut
{

constexpr const char *CONFIG_STREAM = "config";

// Follows the configuration stream, activates each new configuration in this process and appends the sheets that operators publish.
// Control loop only.
class config_service
{
public:
    config_service(entry_shared &shared, event_loop &loop, log_service &direct, log_service &relayed, peer_node &peers);

    void start();
    // A peer has read this offset: fetch up to it from peers if the log does not deliver it first.
    void hint(log_offset known)
    {
        m_follower.hint(known);
    }
    // Records from an offset on, for a peer; a snapshot if the record at the offset is no longer kept in memory.
    read_result recordsFor(log_offset from) const;
    // Appends a change and passes on its result once the fold has read it back. Retries during log outages; no value after the timeout.
    void publish(config_change change, milliseconds timeout, std::function<void(std::optional<change_result>)> done);

    const config_fold &fold() const
    {
        return m_fold;
    }
    bool logReachable() const
    {
        return m_follower.reachable();
    }
    // Time since the log last confirmed that this configuration is the newest; 0 while the log is reachable.
    milliseconds age() const;

private:
    struct waiting_caller
    {
        steady_time deadline;
        std::function<void(std::optional<change_result>)> done;
    };
    struct pending_change
    {
        config_change change;
        std::vector<waiting_caller> callers; // all that published this id, none is left out
    };

    void applyEntries(const std::vector<log_entry> &entries);
    void startRebuild(log_offset oldest);
    void activateConfig();
    void completePending();
    void tryAppend(const std::string &id);

    entry_shared &m_shared;
    event_loop &m_loop;
    log_service &m_relayed;
    stream_follower m_follower;
    config_fold m_fold;
    std::unique_ptr<config_fold> m_rebuiltFold;      // replaces m_fold once it has caught up, set after records were lost
    std::deque<log_entry> m_recentRecords;           // last applied records, served to peers
    std::map<std::string, pending_change> m_pending; // by change id
    steady_time m_confirmedAt;                       // last entries received while the log was reachable
};

}
