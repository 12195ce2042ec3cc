#pragma once

// What the other instances say of backend servers: their work in flight and whom they avoid. Old reports count for
// nothing; a peer that avoids a large part of the fleet has lost its own path and is not believed.
//
// Load pattern it answers: several instances that fill the same servers at once, each of which sees only its own part.

#include "core/server_health.h"

#include <map>
#include <optional>
#include <vector>

namespace chestnut
{

// One peer's view of one server.
struct server_load
{
    std::string address;                         // IP:port
    int running = 0;                             // the peer's requests at the server
    double tokens = 0;                           // the peer's tokens that pass through it
    milliseconds avoid{0};                       // the peer sends it nothing for so long
    failure_kind failure = failure_kind::broken; // why
};

// What a report's loads cover.
enum class load_scope
{
    cluster, // a relay and the members that report to it
    member,  // one instance, which is no relay and asks for a total
    total,   // all instances but the receiver
};

struct peer_report
{
    instance_id instance;
    domain_id domain;
    std::uint64_t incarnation = 0;
    std::vector<server_load> loads;
    steady_time received{};
    milliseconds stopping{0}; // the peer, or the first of those covered, ends within so long; 0 = it goes on
    load_scope scope = load_scope::cluster;
    int instances = 1;     // covered
    int stoppingCount = 0; // of those, that are about to end
};

// Which instances take requests, as far as the peers' reports tell.
struct peer_readiness
{
    int ready = 0;                        // go on
    int stopping = 0;                     // are about to end
    std::optional<milliseconds> firstEnd; // until the first of those has ended
};

class shared_load
{
public:
    // A total replaces all other reports: it covers them.
    void take(peer_report report);
    // What to tell a relay, or a member (the total without that member's own part), beside the own report.
    peer_report merged(const peer_report &own, load_scope scope, const instance_id &receiver, steady_time now) const;
    // Work of the peers at a server.
    double tokens(const std::string &address, steady_time now) const;
    int running(const std::string &address, steady_time now) const;
    // Servers that a believed peer has just found at fault, with how long they are to be avoided.
    std::vector<server_load> avoided(int fleetSize, steady_time now) const;
    peer_readiness readiness(steady_time now) const;
    // Peers heard of lately, this instance not counted.
    int livePeers(steady_time now) const;

private:
    struct believed_report
    {
        peer_report report;
        std::map<std::string, server_load> byAddress;
    };
    std::map<instance_id, believed_report> m_reports;
};

}
