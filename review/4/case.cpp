// A server's entry is removed just after one gateway has found the store again. The other gateway, which the store served all the time,
// goes on sending requests to that server for longer than DrainMs.

#include "../standin/plain_server.h"

using namespace review;

namespace
{

constexpr long DRAIN_MS = 2000;         // bound of the deployment
constexpr long SERVES_LONGER_MS = 250;  // of the leaving server after DrainMs
constexpr long CUT_MS = 3000;           // of one gateway from the store
constexpr long WORK_MS = 60;            // of a request
constexpr int CLIENTS = 8;

struct sent_request
{
    long sent = 0;
    long answered = 0;
    int status = 0; // 0 = the connection ended
};

// Sends requests that may run once, one after the other, on a kept connection.
void runClient(int port, const std::atomic<bool> &stop, std::mutex &mutex, std::map<std::string, sent_request> &book)
{
    std::unique_ptr<connection> kept;
    while (!stop) {
        if (!kept) {
            kept = connection::to(port);
        }
        const std::string id = newId();
        sent_request one{nowMs(), 0, 0};
        message in;
        const bool answered = kept
            && kept->send("POST /submit/ HTTP/1.1\r\nHost: shop.example\r\nX-Chestnutgw-Request-Id: " + id
                          + "\r\nX-Chestnutgw-Deadline-Ms: 1500\r\nAuthorization: Bearer k1\r\nContent-Length: 5\r\n\r\nhello")
            && kept->read(in, 4000);
        one.answered = nowMs();
        one.status = answered ? in.status() : 0;
        if (one.status != 200) {
            RECORD.line("client: %s answered %d", id.c_str(), one.status);
        }
        if (!answered || in.header("Connection") == "close") {
            kept.reset();
        }
        const std::lock_guard lock(mutex);
        book[id] = one;
    }
}

}

int main(int argc, char **argv)
{
    environment env(argc, argv);
    store platform;
    listener &storeOfA = platform.endpoint();
    listener &storeOfB = platform.endpoint();
    platform.put("keyed.op", "config",
                 json{{"Version", 3},
                      {"Routes",
                       {{{"Name", "submit"},
                         {"Hostname", "shop.example"},
                         {"PathPrefix", "/submit/"},
                         {"RouteType", "non_idempotent"},
                         {"TimeoutMs", 1500},
                         {"LatencyGoalMs", 300},
                         {"MaxAttempts", 1},
                         {"Priority", 2},
                         {"Service", "survey-app"}}}},
                      {"Services", {{{"Name", "survey-app"}, {"HealthPath", "/health"}, {"MaxConns", 100}}}},
                      {"Tenants", {{{"Name", "t1"}, {"ApiKeys", {"k1"}}}}},
                      {"Limits", {{"HeaderBytes", 16384}, {"MaxBodyBytes", 1048576}, {"HeaderTimeoutMs", 5000}, {"IdleTimeoutMs", 20000}}}}
                     .dump());
    plain_server leaving(platform, "i-leaving", "survey-app", "zone-a", WORK_MS);
    plain_server staying(platform, "i-staying", "survey-app", "zone-a", WORK_MS);
    gateway a(env.root, env.temporary, {"edge-zone-a-1", "zone-a", storeOfA.port()});
    gateway b(env.root, env.temporary, {"edge-zone-a-2", "zone-a", storeOfB.port()});
    a.start();
    b.start();
    if (!a.awaitReady(15'000) || !b.awaitReady(15'000)) {
        RECORD.line("a gateway did not become ready");
        return 2;
    }
    sleepMs(4000); // the gateways have found each other
    // The instance that reads the store first is cut off, the other one serves the clients.
    const auto firstRank = [](const gateway &one) {
        const auto roles = one.logLines("\"mesh_role\"");
        return !roles.empty() && roles.back().find("\"rank\":\"0\"") != std::string::npos;
    };
    if (firstRank(a) == firstRank(b)) {
        RECORD.line("the gateways have not agreed on their order");
        return 2;
    }
    const bool aReads = firstRank(a);
    gateway &serving = aReads ? b : a;
    listener &cutStore = aReads ? storeOfA : storeOfB;
    RECORD.line("%s takes the clients' requests, %s reads the store for both", serving.name().c_str(), (aReads ? a : b).name().c_str());

    std::atomic<bool> stop = false;
    std::mutex mutex;
    std::map<std::string, sent_request> book;
    std::vector<std::thread> clients;
    for (int i = 0; i < CLIENTS; ++i) {
        clients.emplace_back([&] { runClient(serving.front, stop, mutex, book); });
    }
    sleepMs(1000);
    if (env.trouble) {
        RECORD.line("cut: %s is partitioned from the store", (aReads ? a : b).name().c_str());
        cutStore.setReset(true);
    }
    sleepMs(CUT_MS);
    cutStore.setReset(false);
    RECORD.line("the store is reachable from both gateways");
    sleepMs(700);
    const long removed = leaving.removeEntry();
    sleepUntil(removed + DRAIN_MS + SERVES_LONGER_MS);
    leaving.exit();
    sleepMs(1500);
    stop = true;
    for (std::thread &one : clients) {
        one.join();
    }
    int late = 0;
    int lost = 0;
    long latest = 0;
    const auto sentAt = [&](const std::string &id) { return book.count(id) > 0 ? book[id].sent : 0; };
    for (const arrival &one : leaving.arrivals()) {
        latest = std::max(latest, one.at - removed);
        if (one.at > removed + DRAIN_MS && sentAt(one.id) > removed) {
            ++late;
            RECORD.line("DRAIN: %s reached i-leaving %ld ms after its removal", one.id.c_str(), one.at - removed);
        }
        if (!one.finished) {
            ++lost;
            RECORD.line("lost: %s ran at i-leaving when that ended; its client got %d", one.id.c_str(), book[one.id].status);
        }
    }
    RECORD.line("requests %zu, last one at i-leaving %ld ms after its removal, %d later than DrainMs, %d of them lost with the server", book.size(), latest,
                late, lost);
    return finish("DRAIN", late);
}
