#pragma once

// Settings of chestnutgw-gateway. The deploy template renders them from the platform's fields.

#include "kernel/settings.h"

#include <string>

namespace chestnut
{

struct gateway_settings
{
    std::string name = "gateway";                  // instance name
    std::string failureDomain = "local";           // failure domain of this instance
    std::string frontAddress = "127.0.0.1:8080";   // IP:port for clients
    std::string readyAddress = "127.0.0.1:8081";   // IP:port for readiness checks
    std::string peerAddress = "127.0.0.1:7340";    // IP:port for the other instances
    std::string metricsAddress = "127.0.0.1:9464"; // IP:port for metrics
    std::string platformAdapter = "log-store";     // plug-in
    std::string platformUrl;                       // URL of the platform's store
    double graceSeconds = 8;                       // from SIGTERM until the platform kills the process
    double repeatRatio = 0.2;                      // repeats allowed for each request
    double repeatExtra = 20;                       // repeats allowed on top in one window, all instances together
    double repeatWindowSeconds = 10;               // window of the two above
    int expectedInstances = 7;                     // instances that share the extra repeats
    std::string logFormat = "json";                // text or json
    std::string logLevel = "info";                 // debug, info, warning or error
    int logLinesPerSecond = 150;                   // further lines are counted, not written

    // Longest wait for requests in flight at shutdown.
    milliseconds drainLimit() const;
    milliseconds repeatWindow() const;
};

extern const setting_row<gateway_settings> GATEWAY_SETTINGS[16];

// Throws settings_error on values that do not fit together.
void checkSettings(const gateway_settings &settings);

}
