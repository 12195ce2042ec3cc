#pragma once

#include "kernel/settings.h"

namespace chestnut
{

// Settings of chestnutgw-entry. Keys, units and ranges are in the table ENTRY_SETTINGS; the initializers are the defaults.
struct entry_settings
{
    std::string name = "entry-1";        // instance name, unique in the deployment
    std::string failureDomain = "local"; // failure domain of this instance
    std::string address = "127.0.0.1";   // IP number that clients and peers reach
    int port = 0;                        // client and operator HTTP, 0 = any free port
    int peerPort = 0;                    // gRPC between peers, 0 = any free port
    std::string peers;                   // initial peer addresses, separated by commas
    int shards = 2;                      // event loops that process chat requests
    int httpThreads = 2;                 // threads for client connections
    int maxBodyBytes = 1 << 20;          // larger request bodies are answered with 413
    int clientMemoryMb = 0;              // that all client exchanges hold together, 0 = derived (derivedClientMemory)
    int maxConnections = 0;              // client connections, 0 = derived (derivedConnections)
    milliseconds idleTimeout{120'000};   // client connections without traffic are closed, unless a response is awaited
    milliseconds receiveLimit{600'000};  // longest time in which a request body may arrive
    int maxUnreadBytes = 4 << 20;        // of a streamed response
    milliseconds drainLimit{30'000};     // longest wait for open requests at shutdown

    std::string operatorKeySha256; // SHA-256 of the operators' bearer key, empty = no key required

    std::string logAdapter = "http";  // plug-in for the log service
    std::string logUrl;               // URL of the log service
    std::string listAdapter = "http"; // plug-in for the instance list
    std::string listUrl;              // URL of the instance list, empty = none

    std::string engineAdapter = "stages";    // plug-in for model engines
    std::string routingPolicy = "predicted"; // plug-in: predicted, least_outstanding, round_robin or random
    milliseconds reportInterval{500};        // between fetches of a backend server's load report
    milliseconds defaultDeadline{60'000};    // for client accounts that set none
    milliseconds firstTokenTimeout{2'000};   // an attempt whose first token takes longer has stalled
    milliseconds tokenTimeout{1'000};        // an attempt whose next token takes longer has stalled; shorter for fast streams
    int maxAttempts = 8;                     // limit on the attempts of one request
    double retryShare = 0.2;                 // retries per first attempt
    bool admission = true;                   // refuse requests that cannot meet their deadline; off = admit all, as a baseline
    int seed = 1;                            // of the random number generators

    milliseconds keyWindow{600'000};      // how long idempotency keys are kept
    milliseconds logRetention{3'600'000}; // how long the log service keeps records
    milliseconds dispatchLimit{5'000};    // a claimed call that is not sent within this time is never sent
    milliseconds appendInterval{20};      // shortest time between two appends of claims to the log
    int maxOutcomeBytes = 65'536;         // larger answers are not stored for repeated calls

    std::string logFormat = "text"; // text or json
    std::string logLevel = "info";  // debug, info, warning or error
    bool testFaults = false;        // accept PUT /test/faults (fault injection for tests)
};

// Checks what the table cannot express: allowed words, required values and limits between settings. Throws settings_error.
void checkSettings(const entry_settings &settings);

extern const setting_row<entry_settings> ENTRY_SETTINGS[38];

}
