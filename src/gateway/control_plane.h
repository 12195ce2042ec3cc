#pragma once

// The control thread: follows the configuration and the backend servers, contends for the order lease, and sends layer orders
// to servers while this instance is the coordinator, that is, while it holds the lease.

#include "core/coordinator_lease.h"
#include "core/layer_placement.h"
#include "core/lost_servers.h"
#include "gateway/gateway_settings.h"
#include "gateway/platform_port.h"

namespace chestnut
{

// Receives changes of the configuration and of the servers; called on the control thread.
struct control_handler
{
    std::function<void(std::shared_ptr<const gateway_config>)> onConfig;
    std::function<void(std::shared_ptr<const fleet_snapshot>)> onFleet;
};

class control_plane
{
public:
    control_plane(event_loop &loop, platform_port &port, metrics &counters, const gateway_settings &settings, control_handler handler);
    // Starts following the platform. May be called from any thread.
    void start();
    // Time since the coordinator was last confirmed to hold the lease, by itself or by a peer. Control thread only.
    milliseconds coordinatorAge(steady_time now) const;
    // State of the lease log as known to this instance. Control thread only.
    const coordinator_lease &lease() const
    {
        return m_lease;
    }
    // Adds the newest confirmation of the coordinator and the state of the lease log to what a peer is told. Control thread only.
    void addConfirmations(peer_confirmations &known, steady_time now);
    // Takes over a peer's confirmation of the coordinator and its view of the lease log. Control thread only.
    void takeConfirmations(const peer_confirmations &known, steady_time now);
    // Rank of this instance among all, 0 = first: later ones read the lease log less often. Control thread only.
    void setRank(int rank)
    {
        m_rank = rank;
    }
    // Replaces the set of unreachable or silent servers: address -> time of the first failure. Control thread only.
    void setFaultyServers(const std::map<std::string, steady_time> &faultySince)
    {
        m_lost.setFaulty(faultySince);
    }

private:
    // An order that the server's registered entry does not reflect yet.
    struct pending_order
    {
        layer_range range;
        steady_time given;
        std::uint64_t incarnation = 0; // of the server at that time
    };

    void pollLease();
    void readLease();
    void tryAppend();
    void tick();
    void planAndSendOrders(const service_profile &service, steady_time now);
    std::vector<layer_assignment> planScarcityRebalanceIfStable(const service_profile &service, const std::vector<placed_server> &servers, steady_time now);
    std::vector<layer_assignment> planPersistentGapRebalance(const engine_profile &engine, const std::vector<placed_server> &servers, steady_time now);
    void order(const listed_server &server, layer_range range);
    void sendOrder(const listed_server &server, layer_range range, std::uint64_t sequence);
    void forgetSettledOrders(steady_time now);
    bool mostlyEmpty() const;
    // Asks unreachable and silent servers whether their processes live on.
    void checkFaultyServers(steady_time now);

    event_loop &m_loop;
    platform_port &m_port;
    metrics &m_counters;
    control_handler m_handler;
    coordinator_lease m_lease;
    int m_rank = 0;          // see setRank()
    int m_leaseFailures = 0; // consecutive failed reads of the lease log
    bool m_wasCoordinator = false;
    confirmation_clock m_coordinatorConfirmed; // by the coordinator: it holds the lease
    std::shared_ptr<const gateway_config> m_config;
    std::shared_ptr<const fleet_snapshot> m_fleet;
    steady_time m_fleetChanged{}; // when the number of servers last changed
    steady_time m_lastOrder{};    // when the last layer order was planned
    std::map<server_id, pending_order> m_pending;
    std::map<domain_id, steady_time> m_gapSince; // failure domains that hold only part of the layers -> since when
    lost_servers m_lost;
};

}
