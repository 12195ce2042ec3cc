#pragma once

// The best that any router could do with the live servers and the offered load. Method and assumptions: docs/DESIGN.md.

#include "core/chestnutgw.h"

namespace chestnut
{

// One offered request as the bound sees it.
struct offered_request
{
    std::string model;
    double worth = 0;  // if answered on time
    double tokens = 0; // cost in tokens at each stage, prompt included
    std::string account;
};

// What the best router delivers.
struct goodput_bound
{
    double worth = 0;                             // over the whole run
    std::map<std::string, double> worthByAccount; // the same, for each account
};

// Fills each model's capacity (tokens over the whole run) with the requests of most worth a token; the last one counts
// in part.
goodput_bound bestGoodput(std::vector<offered_request> requests, const std::map<std::string, double> &capacityTokens);

}
