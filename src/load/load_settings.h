#pragma once

#include "core/chestnutgw.h"
#include "kernel/settings.h"

namespace chestnut
{

// Settings of one load run.
struct load_settings
{
    std::string entries = "127.0.0.1:8080"; // IP:port of the entry instances, separated by commas
    std::string accounts;                   // mix; see parseAccounts()
    double rate = 10;                       // requests a second over all accounts
    milliseconds duration{10'000};          // arrivals end after this
    milliseconds warmup{1'000};             // requests that arrive before are not counted
    milliseconds deadline{5'000};           // an answer is on time up to this after its arrival
    milliseconds firstTokenLimit{0};        // and its first token up to this, 0 = no limit
    int seed = 1;                           // of arrivals and prompts
    double prefillShare = 0.02;             // cost of one prompt word as a share of one token's, as the engines are set
    std::string faults;                     // "MS METHOD URL BODY" entries, separated by ";;"
    std::string operatorKey;                // bearer key for /operator paths
    std::string csv;                        // file for one line a request, empty = none
    std::string json;                       // file for the summary, empty = none
    std::string label = "run";              // name of the run in reports
    bool retryRefused = false;              // callers come back once after Retry-After
    std::string direct;                     // chain of engines to call without a router, empty = call the entry instances
};

void checkSettings(const load_settings &settings);

extern const setting_row<load_settings> LOAD_SETTINGS[16];

// One client account of the mix.
struct load_account
{
    std::string name;  // for the report
    std::string key;   // bearer key
    double share = 1;  // of the requests
    double worth = 1;  // of one answer on time
    std::string model; // model or model@version
    int maxTokens = 16;
    int words = 8; // of the prompt
};

// Parses "name:key:share:worth:model:max_tokens:words;...". Throws settings_error.
std::vector<load_account> parseAccounts(const std::string &text);

// A change made while the load runs.
struct fault_event
{
    milliseconds at{0}; // after the start
    std::string method;
    std::string url;
    std::string body;
};

// Throws settings_error.
std::vector<fault_event> parseFaults(const std::string &text);

// Parses "server@IP:port:first-last,...". Throws settings_error.
pipeline_chain parseChain(const std::string &text);

std::vector<std::string> splitText(const std::string &text, const std::string &separator);

}
