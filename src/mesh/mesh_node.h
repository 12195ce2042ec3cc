#pragma once

// Exchange of states between gateway processes over gRPC, along the links of core/mesh_roles.h. Instances find each other
// in the platform's store and through calls that they receive.

#include "core/shared_load.h"
#include "kernel/event_loop.h"
#include "kernel/metrics.h"

#include <functional>
#include <memory>
#include <string>

namespace chestnut
{

// Marks how far an instance knows the platform's news.
struct news_mark
{
    std::uint64_t configVersion = 0;
    std::uint64_t fleetOffset = 0;
    std::uint64_t memberOffset = 0;
    bool wantsConfig = false; // cannot read the configuration from the platform itself
};

// How old the newest confirmations are, whoever got them.
struct news_ages
{
    milliseconds config{0};     // configuration, from the store
    milliseconds fleet{0};      // servers, from the store
    milliseconds giver{0};      // the giver of orders held its lease
    std::uint64_t leaseEnd = 0; // the lease log is known to end there
    std::string leaseHolder;    // with this holder's entry
};

// An instance as it announced itself.
struct member_entry
{
    std::string instance;
    std::string domain;
    std::string address; // IP:port of the peer service
};

// Called on the node's loop.
struct mesh_handler
{
    std::function<std::vector<server_load>()> loads;                  // this instance's own report
    std::function<milliseconds()> stopping;                           // until this instance ends, 0 = it goes on
    std::function<void(peer_report)> onReport;                        // a peer's report
    std::function<void(int rank)> onRank;                             // position among the instances that are not down
    std::function<news_mark()> mark;                                  // of this instance
    std::function<news_ages()> ages;                                  // as this instance knows
    std::function<void(const news_ages &, const news_mark &)> onAges; // as a peer knows; its news has been imported
    std::function<std::string(const news_mark &since)> exportUpdates; // what a peer with that mark lacks
    std::function<void(const std::string &news)> importUpdates;
};

struct mesh_settings
{
    std::string instance;
    std::string domain;
    std::string address;           // IP:port of the peer service
    std::uint64_t incarnation = 0; // start time in milliseconds
};

class mesh_node
{
public:
    // Throws std::runtime_error if the address cannot be bound.
    mesh_node(event_loop &loop, metrics &counters, const mesh_settings &settings, mesh_handler handler);
    ~mesh_node();
    mesh_node(const mesh_node &) = delete;
    mesh_node &operator=(const mesh_node &) = delete;

    // IP:port of the peer service; the port is the real one if 0 was asked for.
    const std::string &address() const;
    // Starts the rounds. Loop thread only.
    void start();
    // An instance that is known to exist or to have existed. Loop thread only.
    void addPeer(const member_entry &member);

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

}
