#pragma once

// Runs a deployment: the gateways as processes, the stand-ins and clients in this process; plays the events of a timeline.

#include "client.h"
#include "judges.h"
#include "timeline.h"

#include "../process.h"

#include <atomic>
#include <future>

namespace chestnut::soak
{

struct rig_settings
{
    std::string gateway = "chestnutgw-gateway"; // program, or path of a program
    std::string folder;                         // of the gateways' logs
    seeded_fault fault = seeded_fault::none;
};

class rig
{
public:
    rig(rig_settings settings, timeline drawn, int seed);
    ~rig();
    rig(const rig &) = delete;
    rig &operator=(const rig &) = delete;

    // Plays the timeline for this long.
    void play(milliseconds length);
    evidence takeEvidence() const;
    // Processes that ended by themselves.
    const std::vector<std::string> &ended() const
    {
        return m_ended;
    }

private:
    struct gateway
    {
        std::string name;
        int boot = 0;
        std::unique_ptr<test::child_process> process;
        std::future<std::unique_ptr<test::child_process>> starting;
        milliseconds startBegan{0};
        milliseconds absence{300}; // from the end of the process until it is started again
        front address;             // guarded by m_mutex
        std::string clientLink;    // address at which clients reach the gateway through a link; empty = directly
        std::string storeLink;     // address at which it reaches the store through a link; empty = directly
        std::string ready;         // address of readiness checks, guarded by m_mutex
        bool rotation = false;     // takes new connections, guarded by m_mutex
        int misses = 0;            // readiness checks in a row
        milliseconds terminated = NEVER;
    };

    void beginStart(gateway &one);
    void endStart(gateway &one);
    void publish();
    void apply(const event &one);
    void applyToServer(const event &one);
    // Crashes the servers that prompts have ended.
    void crashByPrompts();
    // Restarts a server that was away.
    void comeBack(backend_server &server, bool loaded = false);
    void applyToGateway(const event &one);
    void disturbLink(const event &one);
    void reconfigure(const event &one);
    void disturbStore(const event &one);
    void dropHistory();
    void slowStore(const event &one);
    void restoreStore(const event &one);
    void writeAgain(const std::vector<platform::written_record> &forgotten);
    void schedule(milliseconds delay, std::function<void()> task);
    void runDue();
    // Restarts a gateway that has ended after SIGTERM or by itself.
    void checkGateway(gateway &one);
    void runBalancer();
    bool isReady(const std::string &address) const;
    front pickFront(std::uint64_t draw);
    std::string pickKey(std::uint64_t draw);

    rig_settings m_settings;
    timeline m_drawn;
    ledger m_book;
    platform::store_standin m_store;
    std::unique_ptr<link_network> m_links; // null = the parties reach each other directly
    fleet m_fleet;
    std::vector<std::unique_ptr<backend_server>> m_servers;
    std::vector<gateway> m_gateways;
    std::multimap<milliseconds, std::function<void()>> m_tasks;
    std::vector<std::string> m_ended;
    mutable std::mutex m_mutex;
    std::vector<std::pair<std::string, milliseconds>> m_keys; // guarded by m_mutex
    std::vector<config_record> m_configs;
    int m_version = 0;
    int m_timeoutMs = 1500;
    std::atomic<int> m_idleMs = 5000;
    std::atomic<std::int64_t> m_crashingUntilMs = 0; // until then some streams have prompts that end servers
    std::set<backend_server *> m_away;               // crashed, draining or gone
    int m_extraRoutes = 0;
    int m_weight = 0; // of the second plain service, of 2
    std::atomic<bool> m_stopping = false;
    std::atomic<int> m_playing = 0; // clients
    std::atomic<bool> m_balancing = true;
    client_environment m_environment;
    std::thread m_balancer;
    std::vector<std::thread> m_clients;
    int m_seed;
};

}
