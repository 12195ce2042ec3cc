// Clients send bodies as long as the configuration's limit allows. Usually the gateway's memory suffices; when 1.7 times as many clients come
// at once, the process exceeds MemoryMb and the platform kills it. Requests on kept connections that are at a sound server get no answer.

#include "../standin/plain_server.h"

using namespace review;

namespace
{

constexpr long MEMORY_MB = 260;          // Limits.MemoryMb of the deployment's machines
constexpr long MAX_BODY_BYTES = 4194304; // Limits.MaxBodyBytes of its configuration
constexpr std::size_t BODY_BYTES = 4'000'000;
constexpr long WORK_MS = 800;
constexpr int USUAL_CLIENTS = 22;
constexpr double BURST = 1.7;
constexpr int SERVERS = 4;
constexpr long USUAL_MS = 6000;
constexpr long BURST_MS = 3000;
constexpr int TOLERATED = 3; // such closes, by the rule

struct sent_request
{
    std::string id;
    long sent = 0;
    int status = 0;    // 0 = the connection ended
    int before = 0;    // requests that were answered on the same connection
};

struct client_book
{
    std::mutex mutex;
    std::vector<sent_request> requests;
    std::atomic<bool> stop = false;
};

void runClient(int port, client_book &book)
{
    const std::string body(BODY_BYTES, 'p');
    std::unique_ptr<connection> kept;
    int answeredOnIt = 0;
    while (!book.stop) {
        if (!kept) {
            answeredOnIt = 0;
            kept = connection::to(port);
            if (!kept) {
                sleepMs(200);
                continue;
            }
        }
        sent_request one{newId(), nowMs(), 0, answeredOnIt};
        message in;
        const bool answered = kept->send("POST /submit/ HTTP/1.1\r\nHost: shop.example\r\nX-Chestnutgw-Request-Id: " + one.id
                                         + "\r\nX-Chestnutgw-Deadline-Ms: 8000\r\nAuthorization: Bearer k1\r\nContent-Length: "
                                         + std::to_string(body.size()) + "\r\n\r\n" + body)
            && kept->read(in, 10'000);
        one.status = answered ? in.status() : 0;
        answeredOnIt += answered ? 1 : 0;
        if (!answered || in.header("Connection") == "close") {
            kept.reset();
        }
        if (one.status != 200) {
            RECORD.line("client: %s sent at %ld, answered %d", one.id.c_str(), one.sent, one.status);
        }
        {
            const std::lock_guard lock(book.mutex);
            book.requests.push_back(one);
        }
        sleepMs(one.status == 200 ? 100 : 1000);
    }
}

// What the page says the platform does: "A process that exceeds MemoryMb is killed." Returns the resident memory in MB.
long residentMb(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.rfind("VmRSS:", 0) == 0) {
            return std::atol(line.c_str() + 6) / 1024;
        }
    }
    return 0;
}

}

int main(int argc, char **argv)
{
    environment env(argc, argv);
    store platform;
    platform.put("keyed.op", "config",
                 json{{"Version", 3},
                      {"Routes",
                       {{{"Name", "submit"},
                         {"Hostname", "shop.example"},
                         {"PathPrefix", "/submit/"},
                         {"RouteType", "non_idempotent"},
                         {"TimeoutMs", 8000},
                         {"LatencyGoalMs", 3000},
                         {"MaxAttempts", 1},
                         {"Priority", 2},
                         {"Service", "survey-app"}}}},
                      {"Services", {{{"Name", "survey-app"}, {"HealthPath", "/health"}, {"MaxConns", 100}}}},
                      {"Tenants", {{{"Name", "t1"}, {"ApiKeys", {"k1"}}}}},
                      {"Limits", {{"HeaderBytes", 16384}, {"MaxBodyBytes", MAX_BODY_BYTES}, {"HeaderTimeoutMs", 5000}, {"IdleTimeoutMs", 20000}}}}
                     .dump());
    std::vector<std::unique_ptr<plain_server>> servers;
    for (int i = 0; i < SERVERS; ++i) {
        servers.push_back(std::make_unique<plain_server>(platform, "i-" + std::to_string(i), "survey-app", "zone-a", WORK_MS));
    }
    gateway one(env.root, env.temporary, {"edge-zone-a-1", "zone-a", platform.endpoint().port()});
    one.start();
    if (!one.awaitReady(15'000)) {
        RECORD.line("the gateway did not become ready");
        return 2;
    }
    sleepMs(3000);
    const int more = env.trouble ? static_cast<int>(USUAL_CLIENTS * (BURST - 1)) : 0;
    RECORD.line("%d clients, bodies of %zu bytes, MaxBodyBytes %ld, MemoryMb %ld", USUAL_CLIENTS, BODY_BYTES, MAX_BODY_BYTES, MEMORY_MB);
    client_book book;
    std::vector<std::thread> threads;
    const auto addClient = [&] { threads.emplace_back([&] { runClient(one.front, book); }); };
    for (int i = 0; i < USUAL_CLIENTS; ++i) {
        addClient();
        sleepMs(30);
    }
    long peak = 0;
    int kills = 0;
    const long burstAt = nowMs() + USUAL_MS;
    bool burst = false;
    while (nowMs() < burstAt + BURST_MS && kills == 0) {
        if (!burst && nowMs() >= burstAt) {
            burst = true;
            RECORD.line("peak so far %ld MB; %d more clients", peak, more);
            for (int i = 0; i < more; ++i) {
                addClient();
            }
        }
        const long used = residentMb(one.process());
        peak = std::max(peak, used);
        if (used > MEMORY_MB) {
            ++kills;
            RECORD.line("the gateway uses %ld MB, over MemoryMb: the platform kills it", used);
            one.kill(SIGKILL);
            one.wait();
        } else if (one.hasEnded()) {
            ++kills;
            RECORD.line("the gateway has ended by itself");
        }
        sleepMs(20);
    }
    sleepMs(500);
    book.stop = true;
    one.kill(SIGKILL);
    one.wait();
    for (std::thread &client : threads) {
        client.join();
    }
    std::set<std::string> ran;
    for (const auto &server : servers) {
        for (const arrival &run : server->arrivals()) {
            ran.insert(run.id);
        }
    }
    int lost = 0;
    int lostAtServer = 0;
    for (const sent_request &request : book.requests) {
        const bool unanswered = kills > 0 && request.status == 0;
        lost += unanswered ? 1 : 0;
        if (unanswered && request.before > 0 && ran.count(request.id) > 0) {
            ++lostAtServer;
            RECORD.line("LOST: %s, request %d of its connection, was at a sound server", request.id.c_str(), request.before + 1);
        }
    }
    RECORD.line("peak %ld MB, requests %zu, without an answer as the process ended %d, of these on kept connections and at a server %d (tolerated %d)", peak,
                book.requests.size(), lost, lostAtServer, TOLERATED);
    return finish("LOST", std::max(0, lostAtServer - TOLERATED));
}
