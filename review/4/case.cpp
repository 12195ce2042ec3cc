// SIGTERM reaches a gateway while its machine stands still for some seconds. The gateway handles it afterwards and counts its grace period from
// then, so it goes on accepting requests until the platform kills it, and loses those that it has passed on.

#include "../standin/plain_server.h"

using namespace review;

namespace
{

constexpr int GRACE_S = 8;
constexpr int CONTACT_MS = 3000;
constexpr long FREEZE_MS = 3000;    // 4000 at most, by the site file
constexpr long TERM_AFTER_MS = 500; // from the beginning of the freeze to the SIGTERM
constexpr long GAP_MS = 1300;       // between the SIGTERMs of two machines
constexpr long RESTART_MS = 500;    // from the end of a process to its next start
constexpr int GATEWAYS = 3;         // in the clients' zone
constexpr int OTHER_GATEWAYS = 4;   // in two other zones, without clients, so that two are 0.29 of all
constexpr int CLIENTS = 36;
constexpr long WORK_MS[] = {200, 350, 500}; // of the servers
constexpr unsigned PAUSE_MS = 100;          // longest pause of a client between two requests
constexpr long TIMEOUT_MS = 1500;

struct sent_request
{
    std::string id;
    int node = 0;
    long sent = 0;
    long ended = 0;
    int status = 0; // 0 = the connection ended without an answer
    bool clientTimedOut = false;
};

// What the platform does for clients: asks each gateway once a second whether it is ready, and picks one for each new connection.
class balancer
{
public:
    explicit balancer(const std::vector<std::unique_ptr<gateway>> &nodes)
        : m_nodes(nodes)
        , m_misses(nodes.size(), 0)
        , m_inRotation(nodes.size(), true)
    {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            m_checks.emplace_back([this, i] { check(i); });
        }
    }
    ~balancer()
    {
        m_stop = true;
        for (std::thread &one : m_checks) {
            one.join();
        }
    }
    // By a hash of the client, from the nodes in rotation; from all of the zone if less than half of them are in rotation.
    std::size_t pick(std::size_t client)
    {
        const std::lock_guard lock(m_mutex);
        std::vector<std::size_t> usable;
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (m_inRotation[i]) {
                usable.push_back(i);
            }
        }
        if (usable.size() * 2 < m_nodes.size()) {
            return client % m_nodes.size();
        }
        return usable[client % usable.size()];
    }

private:
    void check(std::size_t i)
    {
        for (long next = nowMs(); !m_stop; next += 1000) {
            sleepUntil(next);
            const bool ready = m_nodes[i]->isReady();
            const std::lock_guard lock(m_mutex);
            m_misses[i] = ready ? 0 : m_misses[i] + 1;
            const bool in = ready || (m_inRotation[i] && m_misses[i] < 2);
            if (in != m_inRotation[i]) {
                RECORD.line("platform: %s is %s rotation", m_nodes[i]->name().c_str(), in ? "in" : "out of");
            }
            m_inRotation[i] = in;
        }
    }

    const std::vector<std::unique_ptr<gateway>> &m_nodes;
    std::mutex m_mutex;
    std::vector<int> m_misses;
    std::vector<bool> m_inRotation;
    std::atomic<bool> m_stop = false;
    std::vector<std::thread> m_checks;
};

struct client_book
{
    std::mutex mutex;
    std::vector<sent_request> requests;
    std::atomic<bool> stop = false;
};

// Sends requests that may run once, one after the other, on a connection that it keeps as long as the gateway does.
void runClient(std::size_t number, balancer &platform, const std::vector<std::unique_ptr<gateway>> &nodes, client_book &book)
{
    std::unique_ptr<connection> kept;
    std::size_t node = 0;
    std::size_t next = number;
    unsigned seed = static_cast<unsigned>(number) + 1;
    while (!book.stop) {
        if (!kept) {
            node = platform.pick(next);
            kept = connection::to(nodes[node]->front);
            if (!kept) {
                ++next; // another node
                sleepMs(100);
                continue;
            }
        }
        sent_request one;
        one.id = newId();
        one.node = static_cast<int>(node);
        one.sent = nowMs();
        message in;
        const bool answered = kept->send("POST /submit/ HTTP/1.1\r\nHost: shop.example\r\nX-Chestnutgw-Request-Id: " + one.id + "\r\nX-Chestnutgw-Deadline-Ms: "
                                         + std::to_string(TIMEOUT_MS) + "\r\nAuthorization: Bearer k1\r\nContent-Length: 5\r\n\r\nhello")
            && kept->read(in, TIMEOUT_MS);
        one.status = answered ? in.status() : 0;
        one.clientTimedOut = !answered && kept->timedOut();
        one.ended = nowMs();
        {
            const std::lock_guard lock(book.mutex);
            book.requests.push_back(one);
        }
        if (!answered || in.header("Connection") == "close") {
            kept.reset();
        }
        if (one.status == 503) { // not run: the client comes back over another connection
            kept.reset();
            ++next;
            sleepMs(std::min(TIMEOUT_MS / 3, std::max(50L, static_cast<long>(std::atof(in.header("Retry-After").c_str()) * 1000))));
        }
        sleepMs(::rand_r(&seed) % PAUSE_MS);
    }
}

// What the platform does to stop a process: SIGTERM, and SIGKILL after GraceS if it has not ended. It then starts it again. Returns when it ended.
long stopAndRestart(gateway &one)
{
    const long at = nowMs();
    one.kill(SIGTERM);
    RECORD.line("SIGTERM to %s", one.name().c_str());
    while (nowMs() < at + GRACE_S * 1000 && !one.hasEnded()) {
        sleepMs(2);
    }
    RECORD.line("%s %s %ld ms after its SIGTERM", one.name().c_str(), one.hasEnded() ? "has ended" : "still runs and is killed", nowMs() - at);
    one.kill(SIGKILL);
    one.wait();
    const long ended = nowMs();
    sleepMs(RESTART_MS);
    one.start();
    return ended;
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
                         {"TimeoutMs", TIMEOUT_MS},
                         {"LatencyGoalMs", 500},
                         {"MaxAttempts", 1},
                         {"Priority", 1},
                         {"Service", "survey-app"}}}},
                      {"Services", {{{"Name", "survey-app"}, {"HealthPath", "/health"}, {"MaxConns", 100}}}},
                      {"Tenants", {{{"Name", "t1"}, {"ApiKeys", {"k1"}}}}},
                      {"Limits", {{"HeaderBytes", 16384}, {"MaxBodyBytes", 1048576}, {"HeaderTimeoutMs", 5000}, {"IdleTimeoutMs", 20000}}}}
                     .dump());
    std::vector<std::unique_ptr<plain_server>> servers;
    for (int i = 1; i <= 3; ++i) {
        servers.push_back(std::make_unique<plain_server>(platform, "i-" + std::to_string(i), "survey-app", "zone-a", WORK_MS[i - 1], 16, false));
    }
    std::vector<std::unique_ptr<gateway>> nodes;
    for (int i = 1; i <= GATEWAYS; ++i) {
        nodes.push_back(std::make_unique<gateway>(env.root, env.temporary,
                                                  gateway_options{"edge-zone-a-" + std::to_string(i), "zone-a", platform.endpoint().port(), GRACE_S}));
        nodes.back()->start();
    }
    for (const auto &one : nodes) {
        if (!one->awaitReady(15'000)) {
            RECORD.line("%s did not become ready", one->name().c_str());
            return 2;
        }
    }
    std::vector<std::unique_ptr<gateway>> others;
    for (int i = 0; i < OTHER_GATEWAYS; ++i) {
        const std::string zone = i % 2 == 0 ? "zone-b" : "zone-c";
        others.push_back(std::make_unique<gateway>(env.root, env.temporary,
                                                   gateway_options{"edge-" + zone + "-" + std::to_string(i / 2 + 1), zone, platform.endpoint().port(), GRACE_S}));
        others.back()->start();
    }
    for (const auto &one : others) {
        if (!one->awaitReady(15'000)) {
            RECORD.line("%s did not become ready", one->name().c_str());
            return 2;
        }
    }
    client_book book;
    long termAt = 0;
    long thawedAt = 0;
    long endedAt = 0;
    {
        balancer rotation(nodes);
        std::vector<std::thread> clients;
        for (std::size_t i = 0; i < CLIENTS; ++i) {
            clients.emplace_back([&, i] { runClient(i, rotation, nodes, book); });
            sleepMs(10);
        }
        sleepMs(6000);
        gateway &first = *nodes[0];
        gateway &second = *nodes[1];
        const long frozenAt = nowMs();
        if (env.trouble) {
            first.kill(SIGSTOP);
            RECORD.line("%s stands still", first.name().c_str());
        }
        sleepUntil(frozenAt + TERM_AFTER_MS);
        termAt = nowMs();
        std::thread firstStop([&] { endedAt = stopAndRestart(first); });
        sleepUntil(termAt + GAP_MS);
        std::thread secondStop([&] { stopAndRestart(second); });
        sleepUntil(frozenAt + FREEZE_MS);
        if (env.trouble) {
            first.kill(SIGCONT);
            RECORD.line("%s goes on", first.name().c_str());
        }
        thawedAt = nowMs();
        firstStop.join();
        secondStop.join();
        sleepMs(1000);
        book.stop = true;
        for (std::thread &client : clients) {
            client.join();
        }
    }
    std::map<std::string, std::string> runs; // by request: server and time
    for (const auto &server : servers) {
        for (const arrival &run : server->arrivals()) {
            runs[run.id] += " run by " + server->id() + " at " + std::to_string(run.at) + " ms" + (run.finished ? "" : ", answer not taken");
        }
    }
    const long judgedFrom = env.trouble ? thawedAt + CONTACT_MS : termAt;
    int lost = 0;
    std::map<std::pair<int, int>, int> statuses;
    std::sort(book.requests.begin(), book.requests.end(), [](const sent_request &left, const sent_request &right) { return left.sent < right.sent; });
    for (const sent_request &one : book.requests) {
        ++statuses[{one.node, one.status}];
        const bool passedOn = runs.count(one.id) > 0;
        // What was sent while the machine stood still, or soon after it, is excused.
        const bool judged = one.node == 0 && one.status == 0 && one.sent > judgedFrom && !one.clientTimedOut && passedOn;
        lost += judged ? 1 : 0;
        if (judged) {
            RECORD.line("LOST: %s sent to %s %ld ms after its SIGTERM and %ld ms after the freeze, passed on to a sound server, no answer, the connection ended "
                        "%ld ms after it was sent",
                        one.id.c_str(), nodes[0]->name().c_str(), one.sent - termAt, one.sent - thawedAt, one.ended - one.sent);
        }
        if (one.node == 0 && one.ended > termAt) {
            RECORD.line("%s sent to %s at %ld ms, %s at %ld ms,%s", one.id.c_str(), nodes[0]->name().c_str(), one.sent,
                        one.status == 0 ? "no answer" : ("status " + std::to_string(one.status)).c_str(), one.ended, passedOn ? runs[one.id].c_str() : " not run");
        }
    }
    for (const auto &[key, count] : statuses) {
        RECORD.line("%s: status %d: %d", nodes[static_cast<std::size_t>(key.first)]->name().c_str(), key.second, count);
    }
    RECORD.line("requests %zu, lost %d, the first gateway ended %ld ms after its SIGTERM", book.requests.size(), lost, endedAt - termAt);
    return finish("LOST", lost);
}
