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
    double rate = 10;                       // requests per second, all accounts together
    milliseconds duration{10'000};          // requests arrive for this long
    milliseconds warmup{1'000};             // requests that arrive in this first period are not counted
    milliseconds deadline{5'000};           // longest time from arrival to the full answer that is on time
    milliseconds firstTokenLimit{0};        // longest time from arrival to the first token, 0 = no limit
    int seed = 1;                           // of the generator of arrivals and prompts
    double prefillShare = 0.02;             // cost of one prompt word relative to one output token; must match the engines
    std::string faults;                     // see parseFaults()
    std::string operatorKey;                // bearer key for /operator paths
    std::string csv;                        // output file with one line per request, empty = none
    std::string json;                       // output file for the summary, empty = none
    std::string label = "run";              // name of the run in reports
    bool retryRefused = false;              // clients retry a refused request once, after Retry-After
    std::string direct;                     // chain of engines to call without a router, see parseChain(); empty = call the entries
};

// Throws settings_error if accounts or faults cannot be parsed or the warmup is not shorter than the run.
void checkSettings(const load_settings &settings);

extern const setting_row<load_settings> LOAD_SETTINGS[16];

// Requests of one client account in the mix.
struct load_account
{
    std::string name;  // shown in the report
    std::string key;   // bearer key
    double share = 1;  // of all requests, relative to the other accounts
    double worth = 1;  // of one answer that is on time
    std::string model; // model or model@version
    int maxTokens = 16;
    int words = 8; // length of the prompt
};

// Parses "name:key:share:worth:model:max_tokens:words;...". Throws settings_error.
std::vector<load_account> parseAccounts(const std::string &text);

// An HTTP request sent during the run to inject or clear a fault.
struct fault_event
{
    milliseconds at{0}; // after the start of the run
    std::string method;
    std::string url;
    std::string body;
};

// Parses "MS METHOD URL BODY;;...". Throws settings_error.
std::vector<fault_event> parseFaults(const std::string &text);

// Parses "server@IP:port:first-last,...". Throws settings_error.
pipeline_chain parseChain(const std::string &text);

// Splits at each separator and drops empty parts.
std::vector<std::string> splitText(const std::string &text, const std::string &separator);

}
