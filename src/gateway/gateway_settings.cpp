#include "gateway/gateway_settings.h"

#include "kernel/log.h"

#include <algorithm>
#include <sys/resource.h>
#include <unistd.h>

namespace chestnut
{

const setting_row<gateway_settings> GATEWAY_SETTINGS[26] = {
    {"instance.name", &gateway_settings::name, 1, 100, "text", "instance name, unique in the deployment"},
    {"instance.failure_domain", &gateway_settings::failureDomain, 1, 100, "text", "failure domain of this instance"},
    {"instance.front", &gateway_settings::frontAddress, 9, 21, "IP:port", "address for clients"},
    {"instance.ready", &gateway_settings::readyAddress, 9, 21, "IP:port", "address for readiness checks"},
    {"instance.peer", &gateway_settings::peerAddress, 9, 21, "IP:port", "address for the other instances"},
    {"instance.peer_advertised", &gateway_settings::peerAdvertisedAddress, 0, 21, "IP:port",
     "address that the other instances call, if it differs from instance.peer; empty: it does not"},
    {"instance.metrics", &gateway_settings::metricsAddress, 9, 21, "IP:port", "address for metrics"},
    {"instance.memory", &gateway_settings::memoryMb, 0, 1e6, "MB", "memory that the instance may use; 0: what the system reports"},
    {"instance.descriptors", &gateway_settings::descriptors, 0, 1e6, "descriptors",
     "file descriptors that the instance may use, at most the limit of the process; 0: that limit"},
    {"clients.memory", &gateway_settings::clientMemoryMb, 0, 1e6, "MB",
     "memory for what is kept for clients' requests and answers; 0: derived from instance.memory"},
    {"clients.connections", &gateway_settings::clientConnections, 0, 1e6, "connections",
     "client connections at a time; 0: derived from instance.descriptors and instance.memory"},
    {"instance.grace", &gateway_settings::graceSeconds, 0, 600, "s", "time from SIGTERM until the platform kills the process"},
    {"platform.adapter", &gateway_settings::platformAdapter, 1, 50, "plug-in", "name of the adapter for the platform"},
    {"platform.url", &gateway_settings::platformUrl, 1, 300, "URL", "URL of the platform's store"},
    {"platform.notice_limit", &gateway_settings::noticeLimitMs, 500, 60000, "ms", "time within which every instance must know that a server leaves"},
    {"repeats.ratio", &gateway_settings::repeatRatio, 0, 10, "repeats per request",
     "repeats allowed per first request: the part of the budget that grows with the traffic"},
    {"repeats.extra", &gateway_settings::repeatExtra, 0, 1e6, "repeats",
     "repeats allowed per window for all instances together: the part of the budget that does not depend on traffic"},
    {"repeats.window", &gateway_settings::repeatWindowSeconds, 0.1, 600, "s", "window in which repeats are counted"},
    {"repeats.instances", &gateway_settings::expectedInstances, 1, 10000, "instances", "least number of instances that share repeats.extra equally"},
    {"quarantine.ends", &gateway_settings::quarantineEnds, 0, 100, "processes",
     "processes of backend servers that end under the same part of a prompt until requests with that part are rejected; 0: they never are"},
    {"recovery.stage_probes", &gateway_settings::stageProbes, 0, 0, "yes or no",
     "probe the servers of a stream that misses an event, so that a lost one is replaced within the route's objective for pauses"},
    {"paths.count_load", &gateway_settings::countLoad, 0, 0, "yes or no", "predict the pace of a path from the load of its servers instead of their idle pace"},
    {"prefixes.retention", &gateway_settings::prefixRetentionSeconds, 0, 86400, "s",
     "time for which backend servers hold the prefix of a prompt after its last request; 0: they hold none, and paths do not depend on prefixes"},
    {"log.format", &gateway_settings::logFormat, 4, 4, "word", "text or json"},
    {"log.level", &gateway_settings::logLevel, 4, 7, "word", "debug, info, warning or error"},
    {"log.lines_per_second", &gateway_settings::logLinesPerSecond, 1, 100000, "lines/s",
     "limit for log lines of requests; further lines are counted, not written"},
};

namespace
{

constexpr milliseconds KILL_MARGIN{500}; // the process exits this long before the platform would kill it

milliseconds toMilliseconds(double seconds)
{
    return milliseconds(static_cast<std::int64_t>(seconds * 1000));
}

}

milliseconds gateway_settings::drainLimit() const
{
    return std::max(milliseconds(0), toMilliseconds(graceSeconds) - KILL_MARGIN);
}

milliseconds gateway_settings::repeatWindow() const
{
    return toMilliseconds(repeatWindowSeconds);
}

milliseconds gateway_settings::prefixRetention() const
{
    return toMilliseconds(prefixRetentionSeconds);
}

std::size_t gateway_settings::memoryLimit() const
{
    if (memoryMb > 0) {
        return static_cast<std::size_t>(memoryMb) << 20;
    }
    return static_cast<std::size_t>(::sysconf(_SC_PHYS_PAGES)) * static_cast<std::size_t>(::sysconf(_SC_PAGE_SIZE));
}

std::size_t gateway_settings::descriptorLimit() const
{
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    const auto allowed = static_cast<std::size_t>(limit.rlim_cur);
    return descriptors > 0 ? std::min(static_cast<std::size_t>(descriptors), allowed) : allowed;
}

void checkSettings(const gateway_settings &settings)
{
    if (settings.platformUrl.empty()) {
        throw settings_error("platform.url: missing (allowed: URL of the platform's store)");
    }
    if (settings.logFormat != "text" && settings.logFormat != "json") {
        throw settings_error("log.format: '" + settings.logFormat + "' (allowed: text, json)");
    }
    try {
        parseLogLevel(settings.logLevel);
    } catch (const std::invalid_argument &) {
        throw settings_error("log.level: '" + settings.logLevel + "' (allowed: debug, info, warning, error)");
    }
}

}
