#pragma once

#include "kernel/settings.h"

namespace chestnut
{

// Settings of chestnutgw-entry. Units, defaults and ranges stand in the table in entry_settings.cpp.
struct entry_settings
{
    std::string name = "entry-1";        // instance name, unique in the deployment
    std::string failureDomain = "local"; // failure domain of this instance
    std::string address = "127.0.0.1";   // IP number that callers and peers reach
    int port = 0;                        // caller and operator HTTP, 0 = any free one
    int peerPort = 0;                    // peer gRPC, 0 = any free one
    std::string peers;                   // peer addresses to start from, separated by commas
    int shards = 2;                      // event loops that carry requests
    int httpThreads = 2;                 // threads that move callers' bytes
    int maxBodyBytes = 1 << 20;          // larger request bodies get 413
    milliseconds drainLimit{30'000};     // longest wait for requests in flight at shutdown

    std::string operatorKeySha256; // SHA-256 of the operators' bearer key, empty = operator paths are open

    std::string logAdapter = "http";  // plug-in for the log service
    std::string logUrl;               // log service
    std::string listAdapter = "http"; // plug-in for the instance list
    std::string listUrl;              // instance list, empty = none

    std::string engineAdapter = "stages";    // plug-in for engines
    std::string routingPolicy = "predicted"; // plug-in for routing
    milliseconds reportInterval{500};        // load reports of each server are fetched this often
    milliseconds defaultDeadline{60'000};    // for accounts without one
    milliseconds firstTokenTimeout{2'000};   // an attempt without a token for so long is silent
    milliseconds tokenTimeout{1'000};        // longest silence between tokens; shorter for fast streams
    int maxAttempts = 8;                     // chains tried for one request
    double retryShare = 0.2;                 // retries per first attempt
    bool admission = true;                   // refuse what cannot meet its deadline; off = admit everything, as a baseline
    int seed = 1;                            // of random choices

    milliseconds keyWindow{600'000};      // idempotency keys are remembered this long
    milliseconds logRetention{3'600'000}; // records are kept this long by the log service
    milliseconds dispatchLimit{5'000};    // a claim that has not been sent by then never is
    milliseconds appendInterval{20};      // shortest time between two appends of claims
    int maxOutcomeBytes = 65'536;         // larger answers are not recorded for repeats

    std::string logFormat = "text"; // text or json
    std::string logLevel = "info";  // debug, info, warning or error
    bool testFaults = false;        // accept PUT /test/faults, for failure tests
};

// Parses nothing but checks what one setting alone cannot show. Throws settings_error.
void checkSettings(const entry_settings &settings);

extern const setting_row<entry_settings> ENTRY_SETTINGS[33];

}
