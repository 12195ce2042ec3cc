#include "entry/entry_settings.h"

#include "kernel/log.h"

namespace chestnut
{

const setting_row<entry_settings> ENTRY_SETTINGS[38] = {
    {"instance.name", &entry_settings::name, 1, 100, "text", "instance name, unique in the deployment"},
    {"instance.failure_domain", &entry_settings::failureDomain, 1, 100, "text", "failure domain of this instance"},
    {"instance.address", &entry_settings::address, 7, 15, "IP number", "listen address, as clients and peers reach it"},
    {"instance.port", &entry_settings::port, 0, 65535, "TCP port", "port for client and operator HTTP, 0 = any free port"},
    {"instance.peer_port", &entry_settings::peerPort, 0, 65535, "TCP port", "port for gRPC between peers, 0 = any free port"},
    {"instance.peers", &entry_settings::peers, 0, 100000, "IP:port,...", "initial peers, may be empty"},
    {"instance.shards", &entry_settings::shards, 1, 64, "threads", "event loops that process chat requests"},
    {"instance.http_threads", &entry_settings::httpThreads, 1, 64, "threads", "threads for client connections"},
    {"instance.max_body", &entry_settings::maxBodyBytes, 1024, 1 << 28, "bytes", "largest request body; larger ones are answered with 413"},
    {"instance.client_memory", &entry_settings::clientMemoryMb, 0, 1'000'000, "MB",
     "what the exchanges of all clients may hold together; 0: 96 x instance.max_body, 24 MB to a quarter of the machine's memory"},
    {"instance.max_connections", &entry_settings::maxConnections, 0, 1'000'000, "connections",
     "client connections; at this number the longest idle one is closed for a new one; 0: derived from the limit of descriptors, up to 4096"},
    {"instance.idle_timeout", &entry_settings::idleTimeout, 1000, 1e9, "ms", "client connections without traffic are closed, unless a response is awaited"},
    {"instance.receive_limit", &entry_settings::receiveLimit, 1000, 1e9, "ms", "connections whose request body takes longer to arrive are closed"},
    {"instance.max_unread", &entry_settings::maxUnreadBytes, 65'536, 1 << 30, "bytes", "streamed responses of which a client leaves more unread are cut"},
    {"instance.drain_limit", &entry_settings::drainLimit, 0, 600000, "ms", "longest wait for open requests at shutdown"},
    {"operator.key_sha256", &entry_settings::operatorKeySha256, 0, 64, "hex", "SHA-256 of the operators' bearer key, empty = no key required"},
    {"platform.log_adapter", &entry_settings::logAdapter, 1, 50, "plug-in", "adapter for the log service"},
    {"platform.log_url", &entry_settings::logUrl, 1, 300, "URL", "URL of the log service"},
    {"platform.list_adapter", &entry_settings::listAdapter, 1, 50, "plug-in", "adapter for the instance list"},
    {"platform.list_url", &entry_settings::listUrl, 0, 300, "URL", "URL of the instance list, empty = none"},
    {"platform.log_retention", &entry_settings::logRetention, 1000, 1e12, "ms", "how long the log service keeps records"},
    {"backend.engine_adapter", &entry_settings::engineAdapter, 1, 50, "plug-in", "adapter for model engines"},
    {"backend.report_interval", &entry_settings::reportInterval, 20, 60000, "ms", "interval between fetches of a backend server's load report"},
    {"backend.first_token_timeout", &entry_settings::firstTokenTimeout, 50, 600000, "ms",
     "another chain is tried beside an attempt whose first token takes longer"},
    {"backend.token_timeout", &entry_settings::tokenTimeout, 50, 600000, "ms", "another chain is tried beside an attempt whose next token takes longer"},
    {"backend.max_attempts", &entry_settings::maxAttempts, 1, 100, "attempts", "limit on the attempts of one request"},
    {"backend.retry_share", &entry_settings::retryShare, 0, 10, "retries per request", "retry budget: retries allowed for each first attempt"},
    {"routing.policy", &entry_settings::routingPolicy, 1, 50, "plug-in", "predicted, least_outstanding, round_robin or random"},
    {"routing.admission", &entry_settings::admission, 0, 1, "yes/no", "refuse requests that cannot meet their deadline; no = admit all"},
    {"routing.seed", &entry_settings::seed, 0, 2e9, "number", "seed of the random number generators"},
    {"routing.default_deadline", &entry_settings::defaultDeadline, 10, 1e9, "ms", "deadline for client accounts that set none"},
    {"claims.key_window", &entry_settings::keyWindow, 1000, 1e12, "ms", "how long idempotency keys are kept, at most half of platform.log_retention"},
    {"claims.dispatch_limit", &entry_settings::dispatchLimit, 10, 1e9, "ms",
     "a claimed call that is not sent within this time is never sent, at most a tenth of claims.key_window"},
    {"claims.append_interval", &entry_settings::appendInterval, 0, 10000, "ms", "shortest time between two appends of claims to the log"},
    {"claims.max_outcome", &entry_settings::maxOutcomeBytes, 0, 1 << 24, "bytes", "larger answers are not stored for repeated calls"},
    {"log.format", &entry_settings::logFormat, 4, 4, "word", "text or json"},
    {"log.level", &entry_settings::logLevel, 4, 7, "word", "debug, info, warning or error"},
    {"test.faults", &entry_settings::testFaults, 0, 1, "yes/no", "accept PUT /test/faults (fault injection for tests)"},
};

void checkSettings(const entry_settings &settings)
{
    constexpr double MAX_WINDOW_SHARE = 0.5;      // of the log retention; the other half is a margin for clock skew and slow readers
    constexpr int MIN_WINDOW_DISPATCH_RATIO = 10; // the key window is at least this many times the dispatch limit
    if (settings.logFormat != "text" && settings.logFormat != "json") {
        throw settings_error("log.format: '" + settings.logFormat + "' (allowed: text or json)");
    }
    try {
        parseLogLevel(settings.logLevel);
    } catch (const std::invalid_argument &problem) {
        throw settings_error(std::string("log.level: ") + problem.what());
    }
    if (settings.logUrl.empty()) {
        throw settings_error("platform.log_url: not set (allowed: the URL of the log service)");
    }
    if (static_cast<double>(settings.keyWindow.count()) > MAX_WINDOW_SHARE * static_cast<double>(settings.logRetention.count())) {
        throw settings_error("claims.key_window: " + std::to_string(settings.keyWindow.count())
                             + " ms (allowed: at most half of platform.log_retention, which is " + std::to_string(settings.logRetention.count()) + " ms)");
    }
    if (settings.dispatchLimit * MIN_WINDOW_DISPATCH_RATIO > settings.keyWindow) {
        throw settings_error("claims.dispatch_limit: " + std::to_string(settings.dispatchLimit.count())
                             + " ms (allowed: at most a tenth of claims.key_window, which is " + std::to_string(settings.keyWindow.count()) + " ms)");
    }
}

}
