#pragma once

#include "kernel/event_loop.h"
#include "load/bound.h"
#include "load/load_settings.h"

#include <mutex>
#include <nlohmann/json.hpp>

namespace chestnut
{

// One request of a run: plan, expected answer and outcome.
struct load_record
{
    double arrivalMs = 0;    // planned arrival, after the start of the run
    std::size_t account = 0; // index in the mix
    std::string prompt;
    int expectedTokens = 0;   // of the oracle's answer
    std::string expectedText; // of the oracle's answer
    double firstTokenMs = -1; // after the arrival, -1 = none
    double endMs = -1;        // after the arrival, -1 = unfinished
    int tokens = 0;           // received
    int status = 0;           // HTTP status
    bool whole = false;       // complete and equal to the oracle's text
    bool wrong = false;       // complete but different, or no prefix of the oracle's text
    bool cut = false;         // incomplete, but at least one token was received
    int tries = 0;            // times this client sent it
    std::string verdictText;  // from the verdict header
    double retryAfterMs = 0;
    std::string text; // received so far
};

// Capacity of the live servers at one point in time.
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
    double durationMs = 0; // period in which requests arrive
    double warmupMs = 0;
};

// Sends the planned requests as an open loop (each at its arrival time, whether or not earlier ones are answered) and
// collects the outcomes. Blocks until all requests have ended.
run_result runLoad(const load_settings &settings);

// Version and number of layers that a model resolves to.
struct model_facts
{
    std::string version; // newest that is not retired
    int layers = 0;
};

// Reads the active sheet from the first entry instance. Keys are both model and model@version.
std::map<std::string, model_facts> fetchModels(const load_settings &settings);

// Sends one request on an event loop of its own and blocks until it has ended.
http_result sendOnce(const http_request &request);

}
