#pragma once

// Decides which instances exchange their states. A few relays per failure domain exchange with all other relays; every other
// instance (a member) exchanges with one relay of its domain only. In a domain with no more instances than relays all are
// relays, so a small deployment is a full mesh. Pure: rendezvous hashing over the instances that this one knows.
//
// Designed for many small instances: in a full mesh every pair of them would exchange states several times per second.

#include "kernel/ids.h"

#include <string>
#include <vector>

namespace chestnut
{

constexpr int RELAYS_PER_DOMAIN = 3; // tolerates two simultaneous failures

struct mesh_member
{
    std::string instance;
    std::string domain;
    bool down = false; // did not answer a recent exchange
};

struct mesh_links
{
    bool relay = false;                // this instance is a relay
    int rank = 0;                      // position of this instance in the hash order of all that are not down, 0 = first
    std::vector<std::string> partners; // instances to exchange with; for a member, only its relay
};

// `others` does not contain this instance. A relay that is down is replaced by the next member of its domain.
mesh_links chooseLinks(const mesh_member &self, const std::vector<mesh_member> &others);

}
