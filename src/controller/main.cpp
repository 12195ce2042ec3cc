// chestnutgw-controller: places models on backend servers. Wiring only.

#include "controller/controller.h"
#include "kernel/log.h"

#include <cstdlib>
#include <thread>

namespace
{

constexpr chestnut::milliseconds RELEASE_TIME{300}; // for the lease's release to reach the log

int run(const chestnut::controller_settings &settings)
{
    chestnut::startLog("chestnutgw-controller", settings.logFormat, chestnut::parseLogLevel(settings.logLevel));
    auto process = std::make_unique<chestnut::controller>(settings);
    chestnut::printLine("listening on " + settings.address + ":" + std::to_string(process->port()));
    chestnut::waitForTermination();
    process->release();
    std::this_thread::sleep_for(RELEASE_TIME);
    // Nothing is left to save, and the loop holds callbacks into the parts: ending the process is the clean-up.
    std::_Exit(0);
}

}

int main(int argc, char **argv)
{
    chestnut::blockTerminationSignals();
    return chestnut::runProgram(argc, argv, "chestnutgw-controller", "Places models on backend servers under a lease", chestnut::CONTROLLER_SETTINGS, run);
}
