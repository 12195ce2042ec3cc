#pragma once

// Exchanges states between gateway instances over gRPC, along the links of core/mesh_roles.h. Instances discover each other
// through the platform's store and through the calls that they receive.

#include "core/confirmation_clock.h"
#include "core/coordinator_lease.h"
#include "core/crash_evidence.h"
#include "core/shared_load.h"
#include "kernel/event_loop.h"
#include "kernel/metrics.h"
#include "mesh/update_position.h"

#include <functional>
#include <memory>
#include <string>

namespace chestnut
{

// Newest confirmations that this or any other instance got.
struct peer_confirmations
{
    confirmation config;      // by the store: no configuration is missing
    confirmation fleet;       // by the store: no change of the servers is missing
    confirmation coordinator; // by the coordinator: it holds its lease
    lease_state lease;        // the lease log, as far as known
};

// An instance as it registered itself.
struct member_entry
{
    std::string instance;
    std::string domain;
    std::string address; // IP:port of the peer service
};

// Callbacks, called on the event loop of the node.
struct mesh_handler
{
    std::function<std::vector<server_load>()> loads;                                          // work of this instance in flight and the servers that it avoids
    std::function<milliseconds()> stopping;                                                   // time until this instance ends, 0 = not stopping
    std::function<void(peer_report)> onReport;                                                // a report of a peer was received
    std::function<void(int rank)> onRank;                                                     // position among the instances that are not down has changed
    std::function<update_position()> position;                                                // position of this instance
    std::function<peer_confirmations()> confirmations;                                        // as known to this instance
    std::function<void(const peer_confirmations &, const update_position &)> onConfirmations; // as known to a peer, after the import of its updates
    std::function<std::string(const update_position &since)> exportUpdates;                   // updates that a peer at that position lacks
    std::function<void(const std::string &updates)> importUpdates;
    std::function<evidence_update(std::uint64_t revision)> exportEvidence; // evidence of this instance that is newer than a revision
    std::function<void(const evidence_update &)> importEvidence;
};

struct mesh_settings
{
    std::string instance;
    std::string domain;
    std::string address;           // IP:port that the peer service listens on
    std::string advertisedAddress; // IP:port that peers call, empty = the one that it listens on
    std::uint64_t incarnation = 0; // start time of the process in ms
};

class mesh_node
{
public:
    // Throws std::runtime_error if the address cannot be bound.
    mesh_node(event_loop &loop, metrics &counters, const mesh_settings &settings, mesh_handler handler);
    ~mesh_node();
    mesh_node(const mesh_node &) = delete;
    mesh_node &operator=(const mesh_node &) = delete;

    // IP:port of the peer service, with the actual port if port 0 was requested.
    const std::string &address() const;
    // IP:port that peers call.
    const std::string &advertisedAddress() const;
    // Starts the exchange rounds. Loop thread only.
    void start();
    // Adds an instance that exists or has existed. Loop thread only.
    void addPeer(const member_entry &member);

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

}
