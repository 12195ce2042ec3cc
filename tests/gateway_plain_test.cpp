// Tests chestnutgw-gateway with plain services whose servers fall silent, fail or close idle connections while others are asked.

#include "gateway_deployment.h"

#include <catch2/catch.hpp>
#include <mutex>
#include <set>

using namespace chestnut;
using namespace chestnut::test;

namespace
{

constexpr int SILENCE_MS = 1000; // longer than the try timeout of the route, shorter than its own
constexpr int ROUTE_TIMEOUT_MS = 5000;
constexpr milliseconds RELEASE_TIME{500}; // clients that leave and servers that lost must be released within this time

// Two servers that treat the first arrival of each request and its repeats differently.
class server_pair
{
public:
    server_pair(server_script first, server_script repeat)
        : m_first(std::move(first))
        , m_repeat(std::move(repeat))
        , m_one([this](raw_connection &out, const raw_request &in) { return handle(out, in); })
        , m_two([this](raw_connection &out, const raw_request &in) { return handle(out, in); })
    {
    }
    void list(deployment &site) const
    {
        site.addServer("i-1", "app", m_one.address());
        site.addServer("i-2", "app", m_two.address());
    }
    int count() const
    {
        return m_one.count() + m_two.count();
    }

private:
    bool handle(raw_connection &out, const raw_request &in)
    {
        bool isNew = false;
        {
            const std::lock_guard lock(m_mutex);
            isNew = m_seen.insert(in.header("X-Chestnutgw-Request-Id")).second;
        }
        return isNew ? m_first(out, in) : m_repeat(out, in);
    }

    std::mutex m_mutex; // guards m_seen
    std::set<std::string> m_seen;
    server_script m_first;
    server_script m_repeat;
    scripted_server m_one;
    scripted_server m_two;
};

// Exchanges that the gateway has closed before their answer.
struct release_record
{
    std::atomic<int> count = 0;
    std::atomic<steady_time::rep> last = 0;

    void add()
    {
        last = std::chrono::steady_clock::now().time_since_epoch().count();
        ++count;
    }
    bool soonAfter(steady_time moment) const
    {
        return steady_time(steady_time::duration(last.load())) - moment < RELEASE_TIME;
    }
};

// Script that answers after a silence.
server_script answerLate(release_record &released, int silenceMs = SILENCE_MS)
{
    return [&released, silenceMs](raw_connection &out, const raw_request &in) {
        if (out.waitForClose(silenceMs)) {
            released.add();
            return false;
        }
        out.write(answer(in, "late answer"));
        return true;
    };
}

// Script that never answers.
server_script neverAnswer(release_record &released)
{
    return [&released](raw_connection &out, const raw_request &) {
        if (out.waitForClose(8000)) {
            released.add();
        }
        return false;
    };
}

bool refuse(raw_connection &out, const raw_request &in)
{
    out.write(notRun(in));
    return true;
}

bool answerWithError(raw_connection &out, const raw_request &in)
{
    out.write("HTTP/1.1 500 Internal Server Error\r\n" + SIGNATURE + "X-Chestnutgw-Request-Id: " + in.header("X-Chestnutgw-Request-Id")
              + "\r\nContent-Length: 6\r\n\r\nfailed");
    return true;
}

bool breakOff(raw_connection &out, const raw_request &)
{
    out.reset();
    return false;
}

bool cutBody(raw_connection &out, const raw_request &in)
{
    const std::string whole = answer(in, "good answer");
    out.write(whole.substr(0, whole.size() - 4));
    return false;
}

bool answerAtOnce(raw_connection &out, const raw_request &in)
{
    out.write(answer(in, "good answer"));
    return true;
}

// Starts a gateway with one route, of the kind `safe`.
void startSafe(deployment &site, int maxAttempts = 2, const std::vector<std::string> &settings = {})
{
    site.publish(1,
                 {{"Routes",
                   {{{"Name", "safe"},
                     {"Hostname", "h.example"},
                     {"PathPrefix", "/safe/"},
                     {"RouteType", "safe"},
                     {"TimeoutMs", ROUTE_TIMEOUT_MS},
                     {"LatencyGoalMs", 100},
                     {"Service", "app"},
                     {"MaxAttempts", maxAttempts}}}}});
    site.startGateway("g1", 0, settings);
    REQUIRE(eventually([&] { return site.readyStatus() == 200; }));
}

}

//-----------------------------------------------------------------------------
// Silent servers
//-----------------------------------------------------------------------------

TEST_CASE("a request to a silent plain server is not lost if the server asked beside it fails", "[failure]")
{
    const server_script failing = GENERATE(server_script(answerWithError), server_script(breakOff), server_script(cutBody), server_script(refuse));
    release_record released;
    server_pair servers(answerLate(released), failing);
    deployment site;
    servers.list(site);
    startSafe(site);
    raw_client client(site.front());
    client.write(makeRequest("/safe/", "id1"));
    const std::string got = client.readUntil("late answer", 4000);
    CHECK(statusOf(got) == 200);
    CHECK(got.ends_with("late answer"));
    CHECK(servers.count() == 2);
    CHECK(released.count == 0);
}

TEST_CASE("a request to a silent plain server is answered by the server asked beside it, and the silent one is released", "[failure]")
{
    release_record released;
    server_pair servers(neverAnswer(released), answerAtOnce);
    deployment site;
    servers.list(site);
    startSafe(site);
    raw_client client(site.front());
    client.write(makeRequest("/safe/", "id1"));
    CHECK(statusOf(client.readUntil("good answer", 4000)) == 200);
    const steady_time answered = std::chrono::steady_clock::now();
    REQUIRE(eventually([&] { return released.count == 1; }));
    CHECK(released.soonAfter(answered));
}

TEST_CASE("a silent plain server that answers first keeps its request, and the one asked beside it is released", "[failure]")
{
    release_record abandoned;
    release_record released;
    server_pair servers(answerLate(abandoned), neverAnswer(released));
    deployment site;
    servers.list(site);
    startSafe(site);
    raw_client client(site.front());
    client.write(makeRequest("/safe/", "id1"));
    CHECK(statusOf(client.readUntil("late answer", 4000)) == 200);
    const steady_time answered = std::chrono::steady_clock::now();
    REQUIRE(eventually([&] { return released.count == 1; }));
    CHECK(released.soonAfter(answered));
    CHECK(abandoned.count == 0);
}

TEST_CASE("a request to silent plain servers runs on no more servers than its route allows", "[failure]")
{
    const int maxAttempts = GENERATE(1, 2, 3);
    CAPTURE(maxAttempts);
    release_record released;
    std::vector<std::unique_ptr<scripted_server>> servers;
    deployment site;
    for (int number = 1; number <= 4; ++number) {
        servers.push_back(std::make_unique<scripted_server>(answerLate(released, 1500)));
        site.addServer("i-" + std::to_string(number), "app", servers.back()->address());
    }
    startSafe(site, maxAttempts);
    raw_client client(site.front());
    client.write(makeRequest("/safe/", "id1"));
    CHECK(statusOf(client.readUntil("late answer", 4500)) == 200);
    int asked = 0;
    for (const auto &server : servers) {
        asked += server->count();
    }
    CHECK(asked == maxAttempts);
    CHECK(eventually([&] { return released.count == maxAttempts - 1; }));
}

TEST_CASE("requests to silent plain servers are not given up beyond the repeat budget", "[failure]")
{
    constexpr int REQUESTS = 5;
    const server_script repeated = GENERATE(server_script(refuse), server_script(answerAtOnce));
    release_record released;
    server_pair servers(answerLate(released), repeated);
    deployment site;
    servers.list(site);
    startSafe(site, 2, {"repeats.extra=1", "repeats.ratio=0", "repeats.instances=1"});
    std::vector<std::unique_ptr<raw_client>> clients;
    for (int number = 0; number < REQUESTS; ++number) {
        clients.push_back(std::make_unique<raw_client>(site.front()));
        clients.back()->write(makeRequest("/safe/", "id" + std::to_string(number)));
    }
    for (const auto &client : clients) {
        CHECK(statusOf(client->readUntil(" answer", 4000)) == 200);
    }
    CHECK(servers.count() == REQUESTS + 1);
    CHECK(released.count <= 1);
}

TEST_CASE("both servers of a request are released when its client disconnects", "[failure]")
{
    release_record released;
    server_pair servers(neverAnswer(released), neverAnswer(released));
    deployment site;
    servers.list(site);
    startSafe(site);
    raw_client client(site.front());
    client.write(makeRequest("/safe/", "id1"));
    REQUIRE(eventually([&] { return servers.count() == 2; }));
    CHECK(released.count == 0);
    client.close();
    const steady_time left = std::chrono::steady_clock::now();
    REQUIRE(eventually([&] { return released.count == 2; }));
    CHECK(released.soonAfter(left));
}

TEST_CASE("a request whose silent plain server breaks off gets the other server's error answer at once", "[failure]")
{
    release_record abandoned;
    std::atomic<steady_time::rep> brokenAt = 0;
    const server_script breakLate = [&](raw_connection &out, const raw_request &) {
        if (out.waitForClose(SILENCE_MS)) {
            abandoned.add();
        }
        brokenAt = std::chrono::steady_clock::now().time_since_epoch().count();
        return false;
    };
    server_pair servers(breakLate, answerWithError);
    deployment site;
    servers.list(site);
    startSafe(site);
    raw_client client(site.front());
    client.write(makeRequest("/safe/", "id1"));
    CHECK(statusOf(client.readUntil("failed", 4000)) == 500);
    const steady_time answered = std::chrono::steady_clock::now();
    CHECK(brokenAt != 0);
    CHECK(abandoned.count == 0);
    CHECK(answered - steady_time(steady_time::duration(brokenAt.load())) < RELEASE_TIME);
}

//-----------------------------------------------------------------------------
// Idle connections
//-----------------------------------------------------------------------------

namespace
{

// Server that keeps its connections until `stale` is set, then closes a used one when a request arrives on it.
server_script closeUsed(std::atomic<bool> &stale)
{
    return [&stale](raw_connection &out, const raw_request &in) {
        if (stale && in.index > 0) {
            return false;
        }
        out.write(answer(in, "good answer", "Keep-Alive: timeout=60\r\n"));
        return true;
    };
}

}

TEST_CASE("a request whose reused connections are stale is answered over a new one", "[failure]")
{
    const int count = GENERATE(1, 2);
    CAPTURE(count);
    std::atomic<bool> stale = false;
    std::vector<std::unique_ptr<scripted_server>> servers;
    deployment site;
    for (int number = 1; number <= count; ++number) {
        servers.push_back(std::make_unique<scripted_server>(closeUsed(stale)));
        site.addServer("i-" + std::to_string(number), "app", servers.back()->address());
    }
    startSafe(site);
    int sent = 0;
    REQUIRE(eventually([&] {
        raw_client client(site.front());
        client.write(makeRequest("/safe/", "warm" + std::to_string(++sent)));
        client.readUntil("good answer", 1000);
        return std::all_of(servers.begin(), servers.end(), [](const auto &server) { return server->count() > 0; });
    }));
    stale = true;
    raw_client client(site.front());
    client.write(makeRequest("/safe/", "id1"));
    CHECK(statusOf(client.readUntil("good answer", 3000)) == 200);
    int asked = 0;
    for (const auto &server : servers) {
        asked += server->count();
    }
    CHECK(asked == sent + 2);
}
