#pragma once

// Settings of chestnutgw-gateway. The deployment template fills them in from the platform's fields.

#include "kernel/settings.h"

#include <cstddef>
#include <string>

namespace chestnut
{

struct gateway_settings
{
    std::string name = "gateway";                  // instance name
    std::string failureDomain = "local";           // failure domain of this instance
    std::string frontAddress = "127.0.0.1:8080";   // IP:port that clients connect to
    std::string readyAddress = "127.0.0.1:8081";   // IP:port for readiness checks
    std::string peerAddress = "127.0.0.1:7340";    // IP:port that the service for other instances listens on
    std::string peerAdvertisedAddress;             // IP:port that other instances call, empty = peerAddress
    std::string metricsAddress = "127.0.0.1:9464"; // IP:port for metrics
    int memoryMb = 0;                              // memory that the instance may use, 0 = what the system reports
    int descriptors = 0;                           // file descriptors that the instance may use, 0 = the limit of the process
    int clientMemoryMb = 0;                        // memory for clients' requests and answers, 0 = derived from memoryMb
    int clientConnections = 0;                     // client connections at a time, 0 = derived from descriptors and memoryMb
    std::string platformAdapter = "log-store";     // name of the adapter's plug-in
    std::string platformUrl;                       // URL of the platform's store
    int noticeLimitMs = 2000;                      // time within which every instance must know that a server leaves
    double graceSeconds = 8;                       // time from SIGTERM until the platform kills the process
    double repeatRatio = 0.2;                      // repeats allowed per first request
    double repeatExtra = 20;                       // additional repeats per window, for all instances together
    double repeatWindowSeconds = 10;               // window for repeatRatio and repeatExtra
    int expectedInstances = 7;                     // least number of instances that share repeatExtra equally
    int quarantineEnds = 3;                        // server processes that end under a part of a prompt until it is rejected, 0 = never
    bool stageProbes = true;                       // probe the servers of streams that miss an event
    bool countLoad = false;                        // the cost of a path counts the load of its stages
    double prefixRetentionSeconds = 0;             // servers hold a prompt's prefix for so long after its last request, 0 = they hold none
    std::string logFormat = "json";                // text or json
    std::string logLevel = "info";                 // debug, info, warning or error
    int logLinesPerSecond = 150;                   // log lines of requests; further ones are only counted

    // Maximum wait for requests in flight at shutdown.
    milliseconds drainLimit() const;
    milliseconds repeatWindow() const;
    milliseconds prefixRetention() const;
    // Memory in bytes that the instance may use: the setting, or what the system reports.
    std::size_t memoryLimit() const;
    // File descriptors that the instance may use: the setting, but at most the limit of the process.
    std::size_t descriptorLimit() const;
};

extern const setting_row<gateway_settings> GATEWAY_SETTINGS[26];

// Throws settings_error if the platform's URL is missing or a log setting is not an allowed word.
void checkSettings(const gateway_settings &settings);

}
