#pragma once

// Judges of a soak: rules on what clients and backend servers saw.

#include "ledger.h"

#include <set>
#include <string>
#include <vector>

namespace chestnut::soak
{

// What a configuration allows, from its acknowledgement on.
struct config_record
{
    milliseconds acknowledged{0};
    std::set<std::string> services; // of the plain routes
};

struct finding
{
    std::string rule;
    std::string id; // of the request
    milliseconds from{0};
    milliseconds to{0};
    std::string text;
};

struct evidence
{
    std::vector<attempt> attempts;
    std::map<std::string, std::vector<run>> runs; // by request id
    std::vector<incident> incidents;
    std::vector<config_record> configs;
    std::map<std::string, milliseconds> keys; // when they were acknowledged
    milliseconds grace{0};                    // from SIGTERM until a process is killed
};

struct verdicts
{
    std::vector<finding> broken;        // in order of time
    std::map<std::string, int> excused; // incomplete answers that break no rule, by reason
    // Requests that the gateway failed although their servers were sound and time was left, by kind and status; break no rule.
    std::map<std::string, std::vector<std::string>> earlyFailures;
};

verdicts judge(const evidence &seen);

}
