// Tests chestnutgw-gateway with prompts of which one part ends the process of each backend server that begins to answer it.

#include "gateway_deployment.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <mutex>
#include <set>

using namespace chestnut;
using namespace chestnut::test;

namespace
{

constexpr milliseconds CRASH_DELAY{50};      // from the beginning of an answer until the process ends
constexpr milliseconds RESTART_DELAY{1000};  // until a server is back, as another process
constexpr milliseconds CONTACT_TIME{3000};   // within which all instances must know of the fifth end
constexpr milliseconds REQUEST_INTERVAL{60}; // between two requests
constexpr int SERVERS = 8;
constexpr int ENDS_UNTIL_KNOWN = 5;
constexpr int MOST_LATER_ARRIVALS = 3;
constexpr int LAST_EVENT = 4;
const std::string FIRST_PART = "5c1e07a2:800,";
const std::string CRASHING_PART = "deadbeef:410,";

std::string partsHeader(const std::string &shared, int number)
{
    return "X-Chestnutgw-Prefix-Hash: " + shared + std::to_string(100000 + number) + ":250\r\n";
}

bool crashes(const raw_request &request)
{
    return request.header("X-Chestnutgw-Prefix-Hash").find(CRASHING_PART) != std::string::npos;
}

// How a server ends.
enum class ending
{
    at_once,
    resets_first, // resets its requests' connections, accepts further ones for a while, as for a process that writes its core dump
    silent,       // refuses connections; those of its requests stay open for a while
};

// Servers that each hold all layers, end by requests with the crashing part and are replaced by new processes.
class crashing_fleet
{
public:
    explicit crashing_fleet(deployment &site, ending manner = ending::at_once, milliseconds dying = milliseconds(0))
        : m_site(site)
        , m_manner(manner)
        , m_dying(dying)
    {
        for (int number = 0; number < SERVERS; ++number) {
            add();
        }
    }

    // Lists ended servers no more and starts new ones in their place.
    void replaceEnded()
    {
        const steady_time now = std::chrono::steady_clock::now();
        for (member &one : m_members) {
            if (!one.server->refuses() || one.replaced) {
                continue;
            }
            one.endSeen = one.endSeen == steady_time() ? now : one.endSeen;
            if (now - one.endSeen < RESTART_DELAY) {
                continue;
            }
            one.replaced = true;
            m_site.addServer(one.id, "lm", one.server->address(), 0, 4, "draining");
            add();
            return; // `one` is no longer valid
        }
    }

    // When requests with the crashing part reached servers, in order.
    std::vector<steady_time> arrivals() const
    {
        const std::lock_guard lock(m_mutex);
        return m_arrivals;
    }

private:
    struct member
    {
        std::string id;
        std::unique_ptr<scripted_server> server;
        steady_time endSeen{};
        bool replaced = false;
    };

    void add()
    {
        const std::string id = "i-" + std::to_string(m_members.size());
        auto self = std::make_shared<std::atomic<scripted_server *>>(nullptr);
        auto server = std::make_unique<scripted_server>([this, self](raw_connection &out, const raw_request &in) { return serve(out, in, self->load()); });
        *self = server.get();
        m_site.addServer(id, "lm", server->address(), 0, 4);
        m_members.push_back({id, std::move(server)});
    }

    bool serve(raw_connection &out, const raw_request &in, scripted_server *self)
    {
        if (isDying(self)) {
            return !out.waitForClose(static_cast<int>(m_dying.count()));
        }
        if (in.target() == "/report") {
            out.write(report(in));
            return true;
        }
        const int first = firstEventOf(in);
        if (crashes(in)) {
            noteArrival(self);
            out.write(streamHead(in) + events(first, first));
            out.waitForClose(static_cast<int>(CRASH_DELAY.count()));
            if (m_manner == ending::resets_first) {
                out.reset();
            } else if (m_manner == ending::silent) {
                self->refuseConnections();
            }
            eventually([] { return false; }, m_dying);
            self->end();
            return false;
        }
        out.write(streamHead(in));
        for (int id = first; id <= LAST_EVENT; ++id) {
            out.write(events(id, id));
            out.waitForClose(120);
        }
        out.write("0\r\n\r\n");
        return true;
    }

    void noteArrival(const scripted_server *server)
    {
        const std::lock_guard lock(m_mutex);
        m_arrivals.push_back(std::chrono::steady_clock::now());
        if (m_manner == ending::resets_first) {
            m_dyingServers.insert(server);
        }
    }

    bool isDying(const scripted_server *server) const
    {
        const std::lock_guard lock(m_mutex);
        return m_dyingServers.contains(server);
    }

    deployment &m_site;
    ending m_manner;
    milliseconds m_dying;       // from the crash until all connections end
    mutable std::mutex m_mutex; // guards the next two members
    std::vector<steady_time> m_arrivals;
    std::set<const scripted_server *> m_dyingServers;
    std::vector<member> m_members;
};

// Sends requests to the gateways in turn: every third one has the crashing part. All have the same key and first part.
class request_series
{
public:
    request_series(deployment &site, crashing_fleet &fleet)
        : m_site(site)
        , m_fleet(fleet)
    {
    }

    void send(int requests)
    {
        for (int count = 0; count < requests; ++count, ++m_number) {
            const bool crashing = m_number % 3 == 2;
            const std::string parts = partsHeader(FIRST_PART + (crashing ? CRASHING_PART : ""), m_number);
            const std::size_t gateway = static_cast<std::size_t>(m_number / 3) % m_site.gateways.size();
            auto client = std::make_unique<raw_client>(m_site.front(gateway));
            client->write(makeRequest("/stream/", "id" + std::to_string(m_number), parts));
            (crashing ? m_crashing : m_sound).push_back({std::chrono::steady_clock::now(), std::move(client)});
            m_fleet.replaceEnded();
            m_crashing.back().client->readUntil("\x01never", static_cast<int>(REQUEST_INTERVAL.count()));
        }
    }

    // Share of the sound requests sent from then on that were answered whole.
    double soundShare(steady_time from)
    {
        int sent = 0;
        int whole = 0;
        for (sent_request &one : m_sound) {
            if (one.at >= from) {
                ++sent;
                whole += isWholeStream(one.client->readUntil("0\r\n\r\n", 3000), LAST_EVENT) ? 1 : 0;
            }
        }
        return sent == 0 ? 0 : static_cast<double>(whole) / sent;
    }

    // Status of the newest request with the crashing part.
    int lastCrashingStatus()
    {
        return statusOf(m_crashing.back().client->readUntil("}\n", 3000));
    }

private:
    struct sent_request
    {
        steady_time at;
        std::unique_ptr<raw_client> client;
    };

    deployment &m_site;
    crashing_fleet &m_fleet;
    int m_number = 2; // so that the first one has the crashing part
    std::vector<sent_request> m_sound;
    std::vector<sent_request> m_crashing;
};

int arrivalsAfter(const std::vector<steady_time> &arrivals, steady_time from)
{
    return static_cast<int>(std::count_if(arrivals.begin(), arrivals.end(), [from](steady_time one) { return one > from; }));
}

}

TEST_CASE("requests with a part that ended five servers do not go on to end servers", "[failure]")
{
    deployment site;
    crashing_fleet fleet(site);
    site.start();
    site.startGateway("g2");
    REQUIRE(eventually([&] { return site.readyStatus(1) == 200; }));
    request_series series(site, fleet);
    const steady_time start = std::chrono::steady_clock::now();
    series.send(160);
    const std::vector<steady_time> arrivals = fleet.arrivals();
    REQUIRE_FALSE(arrivals.empty());
    const std::size_t last = std::min<std::size_t>(arrivals.size(), ENDS_UNTIL_KNOWN) - 1; // of the ends that count
    const steady_time known = arrivals[last] + CRASH_DELAY + CONTACT_TIME;
    CAPTURE(arrivals.size(), std::chrono::duration_cast<milliseconds>(arrivals[last] - start).count());
    CHECK(arrivalsAfter(arrivals, known) <= MOST_LATER_ARRIVALS);
    CHECK(series.soundShare(known) >= 0.5);
    CHECK(series.lastCrashingStatus() == 503);
}

TEST_CASE("an instance that has just started does not send requests with a part that ended five servers", "[failure]")
{
    deployment site;
    crashing_fleet fleet(site);
    site.start();
    request_series before(site, fleet);
    before.send(40);
    REQUIRE(fleet.arrivals().size() >= 2);
    site.startGateway("g2");
    REQUIRE(eventually([&] { return site.readyStatus(1) == 200; }));
    raw_client(site.front(1)).readUntil("\x01never", static_cast<int>(CONTACT_TIME.count()));
    const steady_time started = std::chrono::steady_clock::now();
    request_series after(site, fleet);
    after.send(40);
    CHECK(arrivalsAfter(fleet.arrivals(), started) <= MOST_LATER_ARRIVALS);
    CHECK(after.soundShare(started) >= 0.5);
}

TEST_CASE("instances that all restarted at once do not send requests with a part that ended servers", "[failure]")
{
    deployment site;
    crashing_fleet fleet(site);
    site.start();
    request_series before(site, fleet);
    before.send(40);
    REQUIRE(before.lastCrashingStatus() == 503);
    site.gateways[0]->signal(SIGKILL);
    site.gateways.clear();
    site.startGateway("g2");
    REQUIRE(eventually([&] { return site.readyStatus() == 200; }));
    raw_client(site.front()).readUntil("\x01never", static_cast<int>(CONTACT_TIME.count()));
    const steady_time started = std::chrono::steady_clock::now();
    request_series after(site, fleet);
    after.send(40);
    CHECK(arrivalsAfter(fleet.arrivals(), started) <= MOST_LATER_ARRIVALS);
    CHECK(after.soundShare(started) >= 0.5);
}

TEST_CASE("servers that take a while to end count as evidence against a part", "[failure]")
{
    constexpr int REQUESTS = 12;
    const ending manner = GENERATE(ending::resets_first, ending::silent);
    const milliseconds dying = manner == ending::silent ? milliseconds(6000) : milliseconds(700);
    const milliseconds interval = manner == ending::silent ? milliseconds(600) : CRASH_DELAY + dying * 2;
    CAPTURE(static_cast<int>(manner));
    deployment site;
    crashing_fleet fleet(site, manner, dying);
    site.start();
    std::vector<std::unique_ptr<raw_client>> clients;
    for (int number = 0; number < REQUESTS; ++number) {
        clients.push_back(std::make_unique<raw_client>(site.front()));
        clients.back()->write(makeRequest("/single/", "id" + std::to_string(number), partsHeader(FIRST_PART + CRASHING_PART, number)));
        eventually([] { return false; }, interval);
        fleet.replaceEnded();
    }
    CHECK(fleet.arrivals().size() >= 3);
    CHECK(fleet.arrivals().size() <= ENDS_UNTIL_KNOWN + MOST_LATER_ARRIVALS);
}

TEST_CASE("an operator sees a quarantined part and releases it at all instances", "[failure]")
{
    const std::string part = "lm/" + CRASHING_PART.substr(0, CRASHING_PART.find(':'));
    deployment site;
    crashing_fleet fleet(site);
    site.start();
    site.startGateway("g2");
    REQUIRE(eventually([&] { return site.readyStatus(1) == 200; }));
    const auto control = [&](std::size_t gateway, const std::string &command) {
        const std::string address = "127.0.0.1:" + site.gateways[gateway]->listening().at("metrics_port").get<std::string>();
        std::vector<std::string> words{"--entry", address, "quarantine", command};
        if (command == "release") {
            words.push_back(part);
        }
        return runProgramOnce("chestnutctl", words);
    };
    request_series series(site, fleet);
    series.send(40);
    const auto listed = [&](std::size_t gateway) { return control(gateway, "list").output.find(part) != std::string::npos; };
    CHECK(eventually([&] { return listed(0) && listed(1); }));
    CHECK(site.metricsText().find("prompt_parts{status=\"quarantined\"} 1") != std::string::npos);
    CHECK(control(0, "release").status == 0);
    CHECK(eventually([&] { return !listed(0) && !listed(1); }));
    CHECK(control(0, "release").status == 1);
}

TEST_CASE("a stream that ends with its connection before the first event is resumed at another server", "[failure]")
{
    std::atomic<int> streams = 0;
    const server_script breakFirst = [&](raw_connection &out, const raw_request &in) {
        if (in.target() == "/report" || ++streams > 1) {
            return streaming(LAST_EVENT)(out, in);
        }
        out.write("HTTP/1.1 200 OK\r\n" + SIGNATURE + "X-Chestnutgw-Request-Id: " + in.header("X-Chestnutgw-Request-Id")
                  + "\r\nContent-Type: text/event-stream\r\n\r\n");
        return false;
    };
    scripted_server first(breakFirst);
    scripted_server second(breakFirst);
    deployment site;
    site.addServer("i-1", "lm", first.address(), 0, 4);
    site.addServer("i-2", "lm", second.address(), 0, 4);
    site.start();
    raw_client client(site.front());
    client.write(makeRequest("/stream/", "id1"));
    CHECK(isWholeStream(client.readUntil("0\r\n\r\n", 5000), LAST_EVENT));
    CHECK(first.count() == 1);
    CHECK(second.count() == 1);
}
