// Entry point of chestnutgw-controller, which places models on backend servers.

#include "controller/controller.h"
#include "kernel/log.h"

#include <cstdlib>
#include <thread>

namespace
{

constexpr chestnut::milliseconds LEASE_RELEASE_WAIT{300}; // time for the release record to reach the log before the process exits

int run(const chestnut::controller_settings &settings)
{
    chestnut::startLog("chestnutgw-controller", settings.logFormat, chestnut::parseLogLevel(settings.logLevel));
    auto process = std::make_unique<chestnut::controller>(settings);
    chestnut::printLine("listening on " + settings.address + ":" + std::to_string(process->port()));
    chestnut::waitForTermination();
    process->release();
    std::this_thread::sleep_for(LEASE_RELEASE_WAIT);
    // Skip destructors: there is no state to save, and the event loop still holds callbacks into the objects.
    std::_Exit(0);
}

}

int main(int argc, char **argv)
{
    chestnut::blockTerminationSignals();
    return chestnut::runProgram(argc, argv, "chestnutgw-controller", "Places models on backend servers under a lease", chestnut::CONTROLLER_SETTINGS, run);
}
