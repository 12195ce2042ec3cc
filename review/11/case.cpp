// A store that comes back from an older copy makes gateways use a server again that has left. See claim.txt.

#include "../standin-3/rig.h"

using namespace rig;

namespace
{

constexpr double DRAIN_S = 2.0;         // DrainMs
constexpr double CALM_S = 4.0;          // a new server is known and sends heartbeats for so long before the copy is made
constexpr double LEAVES_AFTER_S = 0.5;  // from the copy until the server says that it leaves
constexpr double REMOVED_AFTER_S = 0.4; // from then until its entry is removed
constexpr double DOWN_AFTER_S = 2.6;    // from the removal until the store goes away
constexpr double AWAY_S = 1.2;          // the store is away
constexpr double EXITS_AFTER_S = 0.06;  // from the store's return until the server exits; 0.04 s more in each round
constexpr double WRITTEN_AGAIN_S = 1.0; // from the store's return until the removal is written again
constexpr double WATCH_S = 1.5;         // clients ask for so long after the store's return
constexpr int GATEWAYS = 4;
constexpr int CLIENTS = 3; // of each gateway
constexpr int ROUNDS = 6;
constexpr int WORK_MS = 60;
constexpr long REQUEST_INTERVAL_MS = 30;

std::atomic<int> numberOfRequests{0};

std::string nextId()
{
    char text[20];
    std::snprintf(text, sizeof text, "%016x", ++numberOfRequests);
    return text;
}

struct sent_request
{
    std::size_t gateway;
    double at;
    int status = 0; // of the answer, 0 = none
};

// What the clients saw.
struct client_view
{
    std::mutex mutex;
    std::map<std::string, sent_request> requests;
    std::map<std::size_t, double> leavingPassed; // by gateway: when it had passed on an answer with Server-Leaving
};

void askOnce(const gateway &at, std::size_t index, client_view &seen)
{
    const std::string id = nextId();
    {
        const std::lock_guard<std::mutex> lock(seen.mutex);
        seen.requests[id] = {index, seconds()};
    }
    const message answer = ask(at, "/once/", id, "x", 2500);
    const std::lock_guard<std::mutex> lock(seen.mutex);
    seen.requests[id].status = answer.status();
    if (answer.header("Server-Leaving") == "1" && seen.leavingPassed.count(index) == 0) {
        seen.leavingPassed[index] = seconds();
        record("%s has passed on an answer with Server-Leaving: 1", at.name().c_str());
    }
}

int play(const std::string &folder)
{
    store platform;
    std::deque<gateway> gateways;
    for (int index = 1; index <= GATEWAYS; ++index) {
        gateways.emplace_back(folder, "g" + std::to_string(index), platform.addEndpoint());
    }
    platform.put("keyed.op", "config", plainConfig(1));
    plain_server staying(platform, "i-staying", WORK_MS);
    for (gateway &one : gateways) {
        one.start();
    }
    for (gateway &one : gateways) {
        if (!one.awaitReady()) {
            record("the gateways did not become ready");
            return 2;
        }
    }
    sleepMs(3000);
    int late = 0;
    int lost = 0;
    for (int round = 0; round < ROUNDS && lost == 0; ++round) {
        plain_server leaving(platform, "i-leaving-" + std::to_string(round), WORK_MS);
        sleepMs(static_cast<long>(CALM_S * 1000) + 97 * round);
        client_view seen;
        std::atomic<bool> watching{true};
        std::vector<std::thread> clients;
        for (std::size_t index = 0; index < gateways.size(); ++index) {
            for (int client = 0; client < CLIENTS; ++client) {
                clients.emplace_back([&, index] {
                    while (watching) {
                        askOnce(gateways[index], index, seen);
                        sleepMs(REQUEST_INTERVAL_MS);
                    }
                });
            }
        }
        sleepMs(300);
        platform.keepCopy();
        record("the copy of the store is made; heartbeat %ld of %s", leaving.sequence(), leaving.id().c_str());
        sleepMs(static_cast<long>(LEAVES_AFTER_S * 1000));
        leaving.announceLeaving();
        sleepMs(static_cast<long>(REMOVED_AFTER_S * 1000));
        leaving.removeEntry();
        const double left = seconds();
        waitUntil(left + DOWN_AFTER_S);
        if (troubled()) {
            platform.setFaultOfAll(store::fault::down);
            record("the store is away");
            waitUntil(left + DOWN_AFTER_S + AWAY_S);
            platform.restore();
            platform.put("keyed.op", "config", plainConfig(1)); // the operator and the servers write again what was forgotten
            staying.heartbeat();
            platform.setFaultOfAll(store::fault::none);
            record("the store is back from the copy");
        }
        const double back = seconds();
        waitUntil(back + EXITS_AFTER_S + 0.04 * round);
        leaving.exit();
        waitUntil(back + WRITTEN_AGAIN_S);
        platform.put("keyed.servers", leaving.id(), ""); // the removal is written again
        record("the removal of %s is written again", leaving.id().c_str());
        waitUntil(back + WATCH_S);
        watching = false;
        for (std::thread &one : clients) {
            one.join();
        }
        int lateNow = 0;
        for (const auto &one : leaving.runs()) {
            const sent_request &request = seen.requests[one.request];
            const auto passed = seen.leavingPassed.find(request.gateway);
            if (passed == seen.leavingPassed.end() || request.at <= passed->second + DRAIN_S) {
                continue;
            }
            ++lateNow;
            lost += request.status == 200 ? 0 : 1;
            record("late: request %s, sent to g%zu %.3f s after that had passed on Server-Leaving: 1, ran at %s, its client got %d", one.request.c_str(),
                   request.gateway + 1, request.at - passed->second, leaving.id().c_str(), request.status);
        }
        late += lateNow;
        record("round %d: %zu gateways had passed on Server-Leaving: 1; %d requests that clients sent later than DrainMs after it reached %s", round,
               seen.leavingPassed.size(), lateNow, leaving.id().c_str());
        sleepMs(1500);
    }
    record("%d requests too late, %d of them ran and are lost", late, lost);
    return late > 0 ? 1 : 0;
}

}

int main(int, char **argv)
{
    return runCase(argv[1], play);
}
