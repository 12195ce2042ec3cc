#pragma once

#include "kernel/event_loop.h"
#include "load/bound.h"
#include "load/load_settings.h"

#include <mutex>
#include <nlohmann/json.hpp>

namespace chestnut
{

// One request of a run, from its planned arrival to its end.
struct load_record
{
    double arrivalMs = 0;    // after the start of the run, as planned
    std::size_t account = 0; // index in the mix
    std::string prompt;
    int expectedTokens = 0;   // by the oracle
    std::string expectedText; // by the oracle
    double firstTokenMs = -1; // after the arrival, -1 = none
    double endMs = -1;        // after the arrival, -1 = unfinished
    int tokens = 0;           // received
    int status = 0;           // HTTP
    bool whole = false;       // complete and equal to the oracle's text
    bool wrong = false;       // complete but different, or text beyond the oracle's
    bool cut = false;         // began and did not end whole
    int tries = 0;            // sends by this caller
    std::string verdictText;  // from the header
    double retryAfterMs = 0;
    std::string text; // received so far
};

// Capacity of the live servers at one moment.
struct capacity_sample
{
    double atMs = 0;                               // after the start
    std::map<std::string, double> tokensPerSecond; // by model@version
    int liveServers = 0;
};

struct run_result
{
    std::vector<load_account> accounts;
    std::vector<load_record> records;
    std::vector<capacity_sample> capacity;
    std::vector<fault_event> faults;
    double durationMs = 0; // of arrivals
    double warmupMs = 0;
};

// Sends the planned arrivals, open loop, and gathers what came back. Blocks until all have ended.
run_result runLoad(const load_settings &settings);

// Versions and layers that models resolve to, read from the sheet in force.
struct model_facts
{
    std::string version; // newest active
    int layers = 0;
};
std::map<std::string, model_facts> fetchModels(const load_settings &settings);

// Sends one request on a loop of its own and waits for the answer.
http_result sendOnce(const http_request &request);

}
