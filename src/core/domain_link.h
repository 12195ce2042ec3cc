#pragma once

// The network between failure domains: the activations of a prompt cross it wherever a path hands over from one domain to another, one
// transfer after the other, and all instances' requests share it.
//
// Designed for the loss of several servers of one domain at once, after which its instances would send every prompt across the network:
// it then takes many times the clients' patience to get through, and each prompt that a client gives up has been transferred in vain.

#include "core/gateway_types.h"

namespace chestnut
{

// Name under which prompts in transfer stand in load reports, beside the addresses of servers.
constexpr const char *DOMAIN_LINK_NAME = "domain-link";

// Handovers of a path to a stage in another failure domain.
int countDomainHops(const std::vector<path_stage> &path);
// Those of them at which a stage takes part that the path before did not have.
int countNewDomainHops(const std::vector<path_stage> &before, const std::vector<path_stage> &path);
// Time for which a prompt of this many tokens occupies the network, 0 if its bandwidth is not known.
double domainTransferMs(const engine_profile &engine, double tokens);

// How the network is used at one moment.
struct domain_link_state
{
    double waitingTokens = 0; // of prompts that are being transferred or wait for it, of all instances
    milliseconds patience{0}; // a prompt that would wait longer is not sent across
};

// Cost of a handover to another domain, in ms per token of the answer; infinite if the prompt would wait too long.
double domainHopCostMs(const engine_profile &engine, const domain_link_state &link, double tokens);

}
