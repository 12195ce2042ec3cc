#pragma once

// Deployment and events of a soak, drawn from its seed.

#include "backend.h"

#include <string>
#include <vector>

namespace chestnut::soak
{

enum class action
{
    silence,      // a backend server sends no byte for a while
    refuse,       // a backend server turns requests away for a while
    crash,        // a backend server crashes and restarts
    drain,        // a backend server drains, leaves and comes back
    reconfigure,  // the operator publishes a configuration
    hangup,       // SIGHUP to a gateway
    terminate,    // SIGTERM to a gateway and a restart
    freeze,       // SIGSTOP to a gateway, SIGCONT later
    kill,         // SIGKILL to a gateway and a restart
    store,        // the store fails
    restore,      // the store comes back from an older copy
    crashing_part // clients send prompts with a part that ends servers for a while
};

const char *toText(action what);

// What a new configuration changes.
enum class config_change
{
    weight,
    timeout,
    idle_limit,
    new_key,
    many_routes
};

const char *toText(config_change what);

struct event
{
    milliseconds at{0};
    action what = action::silence;
    int target = 0; // number of the server or gateway
    milliseconds length{0};
    int variant = 0;         // of a configuration or a fault of the store
    milliseconds copyAge{0}; // of a restore: age of the copy when the store goes away
};

struct timeline
{
    int gateways = 0;
    int clients = 0;
    std::vector<server_plan> servers;
    std::vector<event> events; // in order of time
};

timeline drawTimeline(int seed, int seconds);
std::string describe(const timeline &drawn, const event &one);

}
