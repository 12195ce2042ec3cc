#pragma once

// Collects what peers report about backend servers: their work in flight and the servers that they avoid. Outdated reports
// are ignored, and so is the avoid list of a peer that avoids a large part of the fleet: the fault is then its own network.
//
// Designed for several instances that load the same servers at once, while each sees its own requests only. A relay of a large
// deployment gets a report of every server from dozens of peers several times per second, so sums over the peers are kept up to
// date with each report instead of being computed for each question.

#include "core/server_health.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace chestnut
{

// What one peer reports about one backend server.
struct server_load
{
    std::string address;                         // IP:port
    int running = 0;                             // the peer's requests at the server
    double tokens = 0;                           // tokens of the peer's generations that run through it
    milliseconds avoid{0};                       // the peer sends it no requests for this long, 0 = it does
    failure_kind failure = failure_kind::broken; // why it is avoided
};

// Which instances the loads of a report cover.
enum class load_scope
{
    cluster, // a relay and the members that report to it
    member,  // one instance that is no relay; it expects a total in reply
    total,   // all instances except the receiver
};

struct peer_report
{
    instance_id instance;
    domain_id domain;
    std::uint64_t incarnation = 0;
    std::vector<server_load> loads;
    steady_time received{};
    milliseconds stopping{0}; // until the first of the covered instances ends, 0 = none is stopping
    load_scope scope = load_scope::cluster;
    int instances = 1;     // number of instances covered
    int stoppingCount = 0; // how many of them are stopping
};

// How many peers accept requests, according to their reports.
struct peer_readiness
{
    int ready = 0;                        // peers that are not stopping
    int stopping = 0;                     // peers that are stopping
    std::optional<milliseconds> firstEnd; // time until the first of the stopping peers has ended
};

class shared_load
{
public:
    // Stores a report. A total replaces the reports of all other peers since it covers them.
    void take(peer_report report);
    // The report to send: the own one plus those of the members (to a relay) or of all instances but the receiver (to a
    // member).
    peer_report merged(const peer_report &own, load_scope scope, const instance_id &receiver, steady_time now);
    // Work of all peers at a server.
    double tokens(const std::string &address, steady_time now);
    int running(const std::string &address, steady_time now);
    // Servers that a trusted peer avoids after a failure, with the time for which to avoid them.
    std::vector<server_load> avoided(int fleetSize, steady_time now) const;
    peer_readiness readiness(steady_time now) const;
    // Number of instances covered by recent reports, without this one.
    int livePeers(steady_time now) const;

private:
    struct stored_report
    {
        peer_report report;
        bool counted = false; // part of the sums
    };
    // Work of several peers at one server.
    struct work_sum
    {
        int reports = 0; // number of reports that name the server
        int running = 0;
        double tokens = 0;
    };
    using work_sums = std::unordered_map<std::string, work_sum>; // by address

    // Adds a report to the sums (sign 1) or takes it out of them (sign -1).
    void count(stored_report &stored, int sign);
    // Takes outdated reports out of the sums.
    void dropOutdated(steady_time now);
    work_sum sumOf(const std::string &address, steady_time now);

    std::map<instance_id, stored_report> m_reports;
    work_sums m_members; // over the reports of members
    work_sums m_others;  // over those of relays and the totals
};

}
