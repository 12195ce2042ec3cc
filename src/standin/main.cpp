// chestnutgw-standin: runs one stand-in; the setting standin.mode selects which.

#include "kernel/log.h"
#include "kernel/settings.h"
#include "standin/standin.h"

#include <thread>

namespace
{

using namespace chestnut;

struct standin_settings
{
    std::string mode = "engine";       // engine, service, log, instances or weights
    int port = 0;                      // TCP port, 0 = chosen by the system
    std::string name = "engine";       // engine: name as in the sheet
    std::string holds;                 // engine: model@version:first-last;...
    int slots = 4;                     // engine: activations served concurrently
    int maxLayers = 16;                // engine: layers that fit into memory
    double layerMs = 0.2;              // engine: service time of one layer for one token
    double linkMs = 0;                 // engine: one-way delay of the link to this engine
    bool checksFence = true;           // engine: refuses orders with an old fencing number
    std::string weightsUrl;            // engine: weight store
    milliseconds hopTimeout{400};      // engine: timeout of the call to the next stage, per remaining stage
    bool deduplicates = false;         // service: runs each idempotency key once
    milliseconds serviceTime{0};       // service: time for one call
    double appendsPerSecond = 400;     // log: rate limit of appends
    milliseconds retention{3'600'000}; // log: age at which records are dropped
    milliseconds lag{1000};            // instances: delay before a change of the list is visible
    double layersPerSecond = 100;      // weights: rate limit
    milliseconds drainLimit{30'000};   // engine: longest wait for streams after SIGTERM
};

const setting_row<standin_settings> STANDIN_SETTINGS[] = {
    {"standin.mode", &standin_settings::mode, 1, 20, "word", "engine, service, log, instances or weights"},
    {"standin.port", &standin_settings::port, 0, 65535, "TCP port", "port to listen on, 0 = any free one"},
    {"engine.name", &standin_settings::name, 1, 200, "text", "server name as in the sheet"},
    {"engine.holds", &standin_settings::holds, 0, 10000, "model@version:first-last;...", "layers held at the start"},
    {"engine.slots", &standin_settings::slots, 1, 4096, "activations", "activations served concurrently"},
    {"engine.max_layers", &standin_settings::maxLayers, 1, 10000, "layers", "layers that fit into memory"},
    {"engine.layer_ms", &standin_settings::layerMs, 0.0001, 1000, "ms", "service time of one layer for one token"},
    {"engine.link_ms", &standin_settings::linkMs, 0, 1000, "ms", "one-way delay of the link to this engine"},
    {"engine.checks_fence", &standin_settings::checksFence, 0, 1, "yes/no", "refuse orders with an old fencing number"},
    {"engine.weights_url", &standin_settings::weightsUrl, 0, 300, "URL", "weight store"},
    {"engine.hop_timeout", &standin_settings::hopTimeout, 10, 60000, "ms", "timeout of the call to the next stage, per remaining stage"},
    {"engine.drain_limit", &standin_settings::drainLimit, 0, 600000, "ms", "longest wait for streams after SIGTERM"},
    {"service.deduplicates", &standin_settings::deduplicates, 0, 1, "yes/no", "run each idempotency key once"},
    {"service.service_time", &standin_settings::serviceTime, 0, 60000, "ms", "time for one call"},
    {"log.appends_per_second", &standin_settings::appendsPerSecond, 1, 1e6, "1/s", "rate limit of appends"},
    {"log.retention", &standin_settings::retention, 100, 1e10, "ms", "records are kept for this long"},
    {"instances.lag", &standin_settings::lag, 0, 600000, "ms", "delay before a change of the list is visible"},
    {"weights.layers_per_second", &standin_settings::layersPerSecond, 0.01, 1e6, "1/s", "rate limit of the weight store"},
};

void checkSettings(const standin_settings &settings)
{
    static const std::set<std::string> MODES{"engine", "service", "log", "instances", "weights"};
    if (!MODES.contains(settings.mode)) {
        throw settings_error("standin.mode: '" + settings.mode + "' (allowed: engine, service, log, instances or weights)");
    }
    try {
        parseHoldings(settings.holds);
    } catch (const std::exception &problem) {
        throw settings_error(std::string("engine.holds: ") + problem.what());
    }
}

engine_standin_options engineOptions(const standin_settings &settings)
{
    engine_standin_options options;
    options.name = settings.name;
    options.port = static_cast<std::uint16_t>(settings.port);
    options.slots = settings.slots;
    options.maxLayers = settings.maxLayers;
    options.layerMs = settings.layerMs;
    options.linkMs = settings.linkMs;
    options.checksFence = settings.checksFence;
    options.hopTimeout = settings.hopTimeout;
    options.weightsUrl = settings.weightsUrl;
    options.holdings = parseHoldings(settings.holds);
    return options;
}

std::unique_ptr<standin> makeStandin(const standin_settings &settings)
{
    const auto port = static_cast<std::uint16_t>(settings.port);
    if (settings.mode == "log") {
        return std::make_unique<log_standin>(log_standin_options{port, settings.appendsPerSecond, settings.retention});
    }
    if (settings.mode == "instances") {
        return std::make_unique<instances_standin>(port, settings.lag);
    }
    if (settings.mode == "weights") {
        return std::make_unique<weights_standin>(port, settings.layersPerSecond);
    }
    if (settings.mode == "service") {
        return std::make_unique<service_standin>(port, settings.deduplicates, settings.serviceTime);
    }
    return std::make_unique<engine_standin>(engineOptions(settings));
}

// Makes an engine refuse new work and waits until its streams have ended or the limit is reached.
void drain(standin &one, milliseconds limit)
{
    auto *engine = dynamic_cast<engine_standin *>(&one);
    if (engine == nullptr) {
        return;
    }
    engine->setFaults({{"leaving", true}});
    const steady_time deadline = std::chrono::steady_clock::now() + limit;
    while (engine->hasStreams() && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(milliseconds(20));
    }
}

int run(const standin_settings &settings)
{
    const std::unique_ptr<standin> one = makeStandin(settings);
    printLine("listening on " + one->address());
    waitForTermination();
    drain(*one, settings.drainLimit);
    return 0;
}

}

int main(int argc, char **argv)
{
    chestnut::blockTerminationSignals();
    return chestnut::runProgram(argc, argv, "chestnutgw-standin", "Stand-in for one of the systems that chestnutgw talks to", STANDIN_SETTINGS, run);
}
