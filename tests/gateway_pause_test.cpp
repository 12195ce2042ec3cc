// Tests chestnutgw-gateway as a process that was paused for some seconds, while connections, signals and changes arrive.

#include "gateway_deployment.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <nlohmann/json.hpp>

using namespace chestnut;
using namespace chestnut::test;
using nlohmann::json;

namespace
{

constexpr milliseconds PAUSE{3000}; // longer than the time within which every instance must know a change

}

TEST_CASE("requests on connections that were not accepted yet are answered when the process stops", "[failure]")
{
    constexpr int CLIENTS = 60;
    scripted_server server(answering("hello"));
    deployment site;
    site.addServer("i-1", "app", server.address());
    site.start();
    const std::string front = site.front();
    site.gateways[0]->signal(SIGSTOP); // so that connections wait in the listen queue
    std::vector<std::unique_ptr<raw_client>> clients;
    for (int number = 0; number < CLIENTS; ++number) {
        clients.push_back(std::make_unique<raw_client>(front));
        clients.back()->write(makeRequest("/once/", "id" + std::to_string(number)));
        if (number == CLIENTS / 2) {
            site.gateways[0]->signal(SIGTERM);
        }
    }
    site.gateways[0]->signal(SIGCONT);
    int answered = 0;
    for (const auto &client : clients) {
        const std::string got = client->readUntil("\x01never", 300);
        const int status = statusOf(got);
        answered += status == 200 || (status == 503 && got.find("Retry-After:") != std::string::npos) ? 1 : 0;
    }
    CHECK(answered == CLIENTS);
    CHECK(site.gateways[0]->wait() == 0);
}

// Guards against requests that are accepted behind a late signal to stop and lost when the platform kills the process.
TEST_CASE("a process that is told to stop during a pause ends within the grace period counted from the signal", "[failure]")
{
    constexpr milliseconds GRACE{5000};
    constexpr milliseconds WORK{300}; // of the server for a request
    scripted_server server([&](raw_connection &out, const raw_request &in) {
        out.waitForClose(static_cast<int>(WORK.count()));
        out.write(answer(in, "hello"));
        return true;
    });
    deployment site;
    site.addServer("i-1", "app", server.address());
    site.start({"instance.grace=5"});
    const std::string front = site.front();
    child_process &gateway = *site.gateways[0];
    gateway.signal(SIGSTOP);
    const steady_time asked = std::chrono::steady_clock::now();
    gateway.signal(SIGTERM);
    waitUntil(asked + PAUSE);
    gateway.signal(SIGCONT);
    int lost = 0;
    int next = 0;
    while (!gateway.hasEnded() && std::chrono::steady_clock::now() < asked + GRACE) {
        const int before = server.count();
        int status = 0;
        try {
            status = statusOf(test::exchange(front, makeRequest("/once/", "id" + std::to_string(++next))));
        } catch (const std::exception &) {
            break; // the listener is closed
        }
        lost += status == 0 && server.count() > before ? 1 : 0;
    }
    CHECK(eventually([&] { return gateway.hasEnded(); }));
    CHECK(std::chrono::steady_clock::now() - asked < GRACE);
    CHECK(lost == 0);
}

TEST_CASE("a key that was withdrawn during a pause is not accepted afterwards", "[failure]")
{
    scripted_server server(answering("hello"));
    deployment site;
    site.addServer("i-1", "app", server.address());
    site.start();
    CHECK(statusOf(exchange(site.front(), makeRequest("/once/", "id1", "", "", "key2"))) == 200);
    const std::string front = site.front();
    site.gateways[0]->signal(SIGSTOP);
    site.publish(2, {{"Tenants", {{{"Name", "t1"}, {"ApiKeys", {"key1"}}}}}});
    waitUntil(std::chrono::steady_clock::now() + PAUSE);
    raw_client client(front);
    client.write(makeRequest("/once/", "id2", "Connection: close\r\n", "", "key2"));
    site.gateways[0]->signal(SIGCONT);
    const int status = statusOf(client.readUntil("\x01never", 3000));
    CHECK((status == 401 || status == 503));
    CHECK(server.count() == 1);
}
