#pragma once

// The control thread: follows configuration and servers, holds or watches the lease, and gives orders while it holds it.

#include "core/coordinator_lease.h"
#include "core/layer_placement.h"
#include "gateway/gateway_settings.h"
#include "gateway/platform_port.h"

namespace chestnut
{

// Where the control thread's news goes; called on the control thread.
struct control_handler
{
    std::function<void(std::shared_ptr<const gateway_config>)> onConfig;
    std::function<void(std::shared_ptr<const fleet_snapshot>)> onFleet;
};

class control_plane
{
public:
    control_plane(event_loop &loop, platform_port &port, metrics &counters, const gateway_settings &settings, control_handler handler);
    // Begins to follow the platform. Any thread.
    void start();
    // Since the giver of orders was last known to hold its lease, by its own word or a peer's. Control thread only.
    milliseconds giverAge(steady_time now) const;
    // The lease log as this instance knows it. Control thread only.
    const coordinator_lease &lease() const
    {
        return m_lease;
    }
    // What a peer knows of the giver. Control thread only.
    void noteGiver(const confirmation_ages &ages, steady_time now);
    // Addresses that cannot be reached, with the time since when. Control thread only.
    void noteFaults(std::map<std::string, steady_time> faultySince);

private:
    // An order that was given and is not yet seen in the server's own entry.
    struct pending_order
    {
        layer_range range;
        steady_time given;
        std::uint64_t incarnation = 0; // of the server that it was given to
    };

    void pollLease();
    void readLease();
    void tryAppend();
    void tick();
    void giveOrders(const service_profile &service, steady_time now);
    std::vector<layer_assignment> planCalmRelief(const service_profile &service, const std::vector<placed_server> &servers, steady_time now);
    std::vector<layer_assignment> planLastingGaps(const engine_profile &engine, const std::vector<placed_server> &servers, steady_time now);
    void order(const listed_server &server, layer_range range);
    void sendOrder(const listed_server &server, layer_range range, std::uint64_t sequence);
    void forgetSettledOrders(steady_time now);
    bool mostlyEmpty() const;
    bool isLost(const std::string &address, steady_time now) const;

    event_loop &m_loop;
    platform_port &m_port;
    metrics &m_counters;
    control_handler m_handler;
    coordinator_lease m_lease;
    std::uint64_t m_leaseNext = 0; // next offset of the lease log to read
    bool m_wasGiver = false;
    steady_time m_giverSeen{}; // when the giver was last known to hold its lease
    std::shared_ptr<const gateway_config> m_config;
    std::shared_ptr<const fleet_snapshot> m_fleet;
    steady_time m_fleetChanged{}; // when the set of servers last changed
    steady_time m_lastOrder{};    // when layers were last ordered
    std::map<server_id, pending_order> m_pending;
    std::map<domain_id, steady_time> m_gapSince;      // failure domains that do not hold all layers
    std::map<std::string, steady_time> m_faultySince; // by address
};

}
