#pragma once

// Which instances exchange states. A few relays of each failure domain exchange with all other relays; every other instance
// exchanges with one relay of its domain only. A domain that is no larger than the number of relays consists of relays, so
// a small deployment is a full mesh. Pure: rendezvous hashing over what one instance knows of the others.
//
// Load pattern it answers: many small instances, of which each pair would otherwise exchange several times a second.

#include "kernel/ids.h"

#include <string>
#include <vector>

namespace chestnut
{

constexpr int RELAYS_PER_DOMAIN = 3; // two may fail at once

struct mesh_member
{
    std::string instance;
    std::string domain;
    bool down = false; // has not answered lately
};

struct mesh_links
{
    bool relay = false;                // this instance is a relay
    int rank = 0;                      // position of this instance among all that are not down, 0 = first
    std::vector<std::string> partners; // instances to exchange with; a member's only relay comes alone
};

// `others` does not contain the own instance. A relay that is down is replaced by the next member of its domain.
mesh_links chooseLinks(const mesh_member &self, const std::vector<mesh_member> &others);

}
