// SIGTERM at a gateway that serves two models. Most streams are of the fast one, a few of the slow one. The gateway goes on accepting
// streams of the slow model as if they took as long as the others, and breaks them off before it ends.

#include "../standin/model_server.h"

using namespace review;

namespace
{

constexpr int GRACE_S = 8;
constexpr long EXCUSED_MS = 3000; // requests sent later than this after the SIGTERM are not excused if they last into the end of GraceS
constexpr int FAST_CLIENTS = 24;
constexpr int SLOW_CLIENTS = 12;
constexpr int FAST_EVENTS = 20;
constexpr int SLOW_EVENTS = 40;
constexpr long FAST_EVENT_MS = 20;
constexpr long SLOW_EVENT_MS = 150; // GapAimMs of the routes is 200
constexpr long LEARNING_MS = 20'000;

struct sent_request
{
    std::string id;
    std::string route;
    long sent = 0;
    long ended = 0;
    int status = 0; // 0 = none
    int events = 0;
    bool complete = false;
};

struct client_book
{
    std::mutex mutex;
    std::vector<sent_request> requests;
    std::atomic<bool> stop = false;
};

// Sends streams one after the other on a kept connection, as long as the gateway keeps it; opens a new one if it can.
void runClient(int port, const std::string &route, int events, client_book &book)
{
    std::unique_ptr<connection> kept;
    while (!book.stop) {
        if (!kept) {
            kept = connection::to(port);
            if (!kept) {
                sleepMs(100);
                continue;
            }
        }
        sent_request one;
        one.id = newId();
        one.route = route;
        one.sent = nowMs();
        message head;
        bool open = kept->send("POST /" + route + "/ HTTP/1.1\r\nHost: shop.example\r\nX-Chestnutgw-Request-Id: " + one.id
                               + "\r\nX-Chestnutgw-Model-Name: m0\r\nX-Chestnutgw-Token-Count: 40," + std::to_string(events)
                               + "\r\nX-Chestnutgw-Prefix-Hash: 5c1e07a2:40\r\nX-Chestnutgw-Deadline-Ms: 20000\r\nAuthorization: Bearer k1\r\n"
                                 "Content-Length: 5\r\n\r\nhello")
            && kept->readHead(head, 20'000);
        if (open) {
            one.status = head.status();
            if (one.status == 200) {
                std::string chunk;
                do {
                    open = kept->takeChunk(chunk, 5000);
                    one.events += open && !chunk.empty() ? 1 : 0;
                } while (open && !chunk.empty());
                one.complete = open;
            } else {
                std::string body;
                open = kept->take(std::strtoul(head.header("Content-Length").c_str(), nullptr, 10), body, 5000);
            }
        }
        one.ended = nowMs();
        if (!open || head.header("Connection") == "close") {
            kept.reset();
        }
        const double retry = std::atof(head.header("Retry-After").c_str());
        {
            const std::lock_guard lock(book.mutex);
            book.requests.push_back(one);
        }
        sleepMs(one.status == 200 ? 0 : std::max(200L, static_cast<long>(retry * 1000)));
    }
}

}

int main(int argc, char **argv)
{
    environment env(argc, argv);
    store platform;
    const auto route = [](const std::string &name, const std::string &service) {
        return json{{"Name", name},          {"Hostname", "shop.example"}, {"PathPrefix", "/" + name + "/"}, {"RouteType", "streaming"}, {"TimeoutMs", 20000},
                    {"LatencyGoalMs", 500},  {"GapAimMs", 200},            {"MaxAttempts", 2},               {"Priority", 1},            {"Affinity", true},
                    {"StreamResume", true}, {"Service", service}};
    };
    platform.put("keyed.op", "config",
                 json{{"Version", 3},
                      {"Routes", {route("draft", "lm-large"), route("classify", "lm-small")}},
                      {"Services", {modelService("lm-large", 140.0), modelService("lm-small", 18.0)}},
                      {"Tenants", {{{"Name", "t1"}, {"ApiKeys", {"k1"}}}}},
                      {"Limits", {{"HeaderBytes", 16384}, {"MaxBodyBytes", 1048576}, {"HeaderTimeoutMs", 5000}, {"IdleTimeoutMs", 20000}}}}
                     .dump());
    model_server large(platform, "i-large", "lm-large", "zone-a", SLOW_EVENT_MS);
    model_server small(platform, "i-small", "lm-small", "zone-a", FAST_EVENT_MS);
    gateway one(env.root, env.temporary, {"edge-zone-a-1", "zone-a", platform.endpoint().port(), GRACE_S});
    one.start();
    if (!one.awaitReady(15'000)) {
        RECORD.line("the gateway did not become ready");
        return 2;
    }
    sleepMs(3500); // traffic starts later than the machines
    client_book book;
    std::vector<std::thread> clients;
    for (int i = 0; i < FAST_CLIENTS; ++i) {
        clients.emplace_back([&] { runClient(one.front, "classify", FAST_EVENTS, book); });
    }
    for (int i = 0; i < SLOW_CLIENTS; ++i) {
        clients.emplace_back([&] { runClient(one.front, "draft", SLOW_EVENTS, book); });
        sleepMs(SLOW_EVENTS * SLOW_EVENT_MS / SLOW_CLIENTS); // spread over the length of a stream
    }
    sleepMs(LEARNING_MS);
    const long termAt = nowMs();
    if (env.trouble) {
        RECORD.line("SIGTERM to the gateway");
        one.kill(SIGTERM);
        while (!one.hasEnded() && nowMs() < termAt + GRACE_S * 1000) {
            sleepMs(20);
        }
        RECORD.line(one.hasEnded() ? "the gateway has ended, status %d" : "the gateway is killed at GraceS", one.status());
        one.kill(SIGKILL);
        one.wait();
        book.stop = true;
    } else {
        sleepMs(GRACE_S * 1000);
        book.stop = true;
    }
    for (std::thread &client : clients) {
        client.join();
    }
    std::map<std::string, stream_run> runs;
    for (const auto &run : large.runs()) {
        runs[run.id] = run;
    }
    int lost = 0;
    int all = 0;
    for (const sent_request &request : book.requests) {
        ++all;
        const bool slow = request.route == "draft";
        if (slow && request.ended > termAt - 1000) {
            RECORD.line("client: %s %s sent %ld ms after the SIGTERM, status %d, %d events, %s after %ld ms", request.route.c_str(), request.id.c_str(),
                        request.sent - termAt, request.status, request.events, request.complete ? "complete" : "not complete", request.ended - request.sent);
        }
        const bool passedOn = runs.count(request.id) > 0 || request.status == 200;
        if (env.trouble && request.sent > termAt + EXCUSED_MS && passedOn && !request.complete) {
            ++lost;
            RECORD.line("LOST: %s sent %ld ms after the SIGTERM, passed on to i-large, which was at work, ended without a complete answer %ld ms after the "
                        "SIGTERM (%d of %d events)",
                        request.id.c_str(), request.sent - termAt, request.ended - termAt, request.events, SLOW_EVENTS);
        } else if (!env.trouble && request.status == 200 && !request.complete) {
            ++lost;
            RECORD.line("LOST: %s", request.id.c_str());
        }
    }
    RECORD.line("requests %d, lost %d", all, lost);
    return finish("LOST", lost);
}
