// An incomplete entry of another writer sends requests to a server of another service. See claim.txt.

#include "../standin-3/rig.h"

using namespace rig;

namespace
{

constexpr int ROUNDS = 5;
constexpr double ROUND_S = 4.0;
constexpr long REQUEST_INTERVAL_MS = 20;

int numberOfRequests = 0;

std::string nextId()
{
    char text[20];
    std::snprintf(text, sizeof text, "%016x", ++numberOfRequests);
    return text;
}

int play(const std::string &folder)
{
    store platform;
    gateway first(folder, "g1", platform.addEndpoint());
    platform.put("keyed.op", "config", plainConfig(1));
    plain_server app(platform, "i-app-1");
    plain_server other(platform, "i-other-1", 10, "other");
    first.start();
    if (!first.awaitReady()) {
        record("the gateway did not become ready");
        return 2;
    }
    sleepMs(3000);
    for (int round = 0; round < ROUNDS; ++round) {
        const double began = seconds();
        bool written = !troubled();
        while (seconds() < began + ROUND_S) {
            ask(first, numberOfRequests % 2 == 0 ? "/once/" : "/safe/", nextId());
            if (!written && seconds() > began + 1) {
                // Without Version, ColdLeftMs, Sequence and born. The server's next heartbeat replaces it.
                platform.put("keyed.servers", other.id(),
                             "{\"Service\":\"app\",\"Address\":\"" + other.address() + "\",\"Zone\":\"a\",\"BatchSlots\":6,\"State\":\"ready\"}");
                record("another writer has written an entry without Version, ColdLeftMs, Sequence and born under servers/%s", other.id().c_str());
                written = true;
            }
            sleepMs(REQUEST_INTERVAL_MS);
        }
        const std::size_t runs = other.runs().size();
        record("round %d: %zu requests of the routes of service app were run by %s, a server of service other", round, runs, other.id().c_str());
        if (runs > 0) {
            return 1;
        }
    }
    return app.runs().empty() ? 2 : 0;
}

}

int main(int, char **argv)
{
    return runCase(argv[1], play);
}
