#pragma once

// Upper bound of the goodput that any router could reach with the live servers and the offered load. Method and
// assumptions: docs/DESIGN.md.

#include "core/chestnutgw.h"

namespace chestnut
{

// One offered request: the input of the bound.
struct offered_request
{
    std::string model;
    double worth = 0;  // earned if answered on time
    double tokens = 0; // cost at each stage in tokens, prompt included
    std::string account;
};

// Greatest worth that can be earned.
struct goodput_bound
{
    double worth = 0;                             // all accounts
    std::map<std::string, double> worthByAccount; // by account name
};

// Fills the capacity of each model (in tokens, over the period of the requests) in descending order of worth per token.
// A request that fits only in part earns that part of its worth (fractional knapsack).
goodput_bound bestGoodput(std::vector<offered_request> requests, const std::map<std::string, double> &capacityTokens);

}
