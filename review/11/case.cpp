// A gateway takes the list of servers from a peer that has just started, and misses that a server has left. See claim.txt.

#include "../standin-3/rig.h"

using namespace rig;

namespace
{

constexpr double DRAIN_S = 2.0;          // DrainMs
constexpr double SERVES_ON_S = 6.0;      // a server that left goes on serving for so long, then exits
constexpr double RESTART_S = 0.1;        // from the end of a process until it is started again
constexpr int ROUNDS = 9;                // of about 10 s; the first one that breaks the rule ends the run
constexpr int WORK_MS = 60;              // of a request at the server that leaves
constexpr long REQUEST_INTERVAL_MS = 40; // of the one client

int numberOfRequests = 0;

std::string nextId()
{
    char text[20];
    std::snprintf(text, sizeof text, "%016x", ++numberOfRequests);
    return text;
}

bool asksUntilRunAt(const gateway &at, plain_server &server, double limit)
{
    const double until = seconds() + limit;
    const std::size_t before = server.runs().size();
    while (server.runs().size() == before) {
        if (seconds() > until) {
            return false;
        }
        ask(at, "/safe/", nextId());
        sleepMs(REQUEST_INTERVAL_MS);
    }
    return true;
}

int play(const std::string &folder)
{
    store platform;
    gateway first(folder, "g1", platform.addEndpoint());
    gateway second(folder, "g2", platform.addEndpoint());
    platform.put("keyed.op", "config", plainConfig(1));
    plain_server staying(platform, "i-staying");
    first.start();
    second.start();
    if (!first.awaitReady() || !second.awaitReady()) {
        record("the gateways did not become ready");
        return 2;
    }
    sleepMs(5000); // both have been in calm for ContactMs
    for (int round = 0; round < ROUNDS; ++round) {
        plain_server leaving(platform, "i-leaving-" + std::to_string(round), WORK_MS);
        if (!asksUntilRunAt(second, leaving, 5)) {
            record("the new server got no request");
            return 2;
        }
        sleepMs(1200 + 130 * round); // the two events come at different moments between two reads of the store
        if (troubled()) {
            first.kill();
        }
        leaving.removeEntry();
        const double left = seconds();
        if (troubled()) {
            waitUntil(left + RESTART_S);
            first.start();
        }
        std::map<std::string, int> statuses; // by request
        std::thread client([&] {
            while (seconds() < left + SERVES_ON_S + 0.5) {
                const std::string id = nextId();
                statuses[id] = ask(second, seconds() < left + 1 ? "/safe/" : "/once/", id).status();
                sleepMs(REQUEST_INTERVAL_MS);
            }
        });
        waitUntil(left + SERVES_ON_S);
        leaving.exit();
        client.join();
        int late = 0;
        for (const auto &one : leaving.runs()) {
            if (one.at > left + DRAIN_S && statuses[one.request] != 200) {
                record("request %s ran at %s and its client got %d", one.request.c_str(), leaving.id().c_str(), statuses[one.request]);
            }
        }
        for (const auto &one : leaving.runs()) {
            late += one.at > left + DRAIN_S ? 1 : 0;
        }
        record("round %d: %d requests reached %s from g2 later than DrainMs after the store had acknowledged that it is gone", round, late, leaving.id().c_str());
        if (second.ended()) {
            record("g2 has ended by itself");
            return 1;
        }
        if (late > 0) {
            return 1;
        }
        if (!first.awaitReady()) {
            record("g1 did not become ready");
            return 2;
        }
        sleepMs(1500);
    }
    return 0;
}

}

int main(int, char **argv)
{
    return runCase(argv[1], play);
}
