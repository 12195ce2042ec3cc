#pragma once

// Deployment and events of a soak, drawn from its seed.

#include "backend.h"
#include "link.h"

#include <string>
#include <vector>

namespace chestnut::soak
{

enum class action
{
    silence,       // a backend server sends no byte for a while
    refuse,        // a backend server turns requests away for a while
    crash,         // a backend server crashes and restarts
    drain,         // a backend server drains, leaves and comes back
    reconfigure,   // the operator publishes a configuration
    hangup,        // SIGHUP to a gateway
    terminate,     // SIGTERM to a gateway and a restart
    freeze,        // SIGSTOP to a gateway, SIGCONT later
    kill,          // SIGKILL to a gateway and a restart
    store,         // the store fails
    restore,       // the store comes back from an older copy
    crashing_part, // clients send prompts with a part that ends servers for a while
    server_link,   // the links of all gateways to a backend server are disturbed
    store_link,    // a gateway's link to the store is disturbed
    client_link,   // the links of all clients to a gateway are disturbed
    answers,       // a backend server sends its answers in another manner for a while
    drop_history,  // the store forgets the records of its logs, but not the newest of each key
    slow_store     // the store reads slowly
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
    int variant = 0;         // of a configuration, of a fault of the store or of a link, of answers
    milliseconds copyAge{0}; // of a restore: age of the copy when the store goes away
};

struct timeline
{
    int gateways = 0;
    int clients = 0;
    bool links = false; // parties reach each other through links that can be disturbed
    std::vector<server_plan> servers;
    std::vector<event> events; // in order of time
};

link_fault faultOfLink(const event &one);
answer_manner mannerOf(const event &one);
struct draw_options
{
    int seed = 0;
    int seconds = 0;        // length of the timeline
    int gateways = 0;       // 0 = drawn
    int clients = 0;        // 0 = drawn
    bool wireFaults = true; // faults of links, answers and reads of the store may be drawn
};

timeline drawTimeline(const draw_options &options);
std::string describe(const timeline &drawn, const event &one);

}
