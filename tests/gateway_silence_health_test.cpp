// Tests how long chestnutgw-gateway avoids a server that was silent and has gone on.

#include "gateway_deployment.h"

#include <catch2/catch.hpp>

using namespace chestnut;
using namespace chestnut::test;
using nlohmann::json;

TEST_CASE("a silent server whose streams go on gets new requests", "[failure]")
{
    constexpr int STREAMS = 4; // fewer than the server's slots
    constexpr int SILENCE_MS = 1300;
    constexpr int LAST_EVENT = 60;
    scripted_server server([](raw_connection &out, const raw_request &in) {
        if (in.target() == "/report") {
            const bool closed = out.waitForClose(SILENCE_MS);
            out.write(report(in));
            return !closed;
        }
        out.write(streamHead(in) + events(0, 1));
        if (in.header("X-Chestnutgw-Request-Id") != "last" && out.waitForClose(SILENCE_MS)) {
            return false;
        }
        for (int id = 2; id <= LAST_EVENT && in.header("X-Chestnutgw-Request-Id") != "last"; ++id) {
            out.write(events(id, id));
            if (out.waitForClose(50)) {
                return false;
            }
        }
        out.write("0\r\n\r\n");
        return true;
    });
    deployment site;
    site.addServer("i-1", "lm", server.address(), 0, 4);
    site.start();
    std::vector<std::unique_ptr<raw_client>> clients;
    for (int number = 0; number < STREAMS; ++number) {
        clients.push_back(std::make_unique<raw_client>(site.front()));
        clients.back()->write(makeRequest("/stream/", "id" + std::to_string(number)));
    }
    for (const auto &client : clients) {
        REQUIRE(countOf(client->readUntil("piece3"), "piece3") == 1);
    }
    CHECK(statusOf(exchange(site.front(), makeRequest("/stream/", "last"))) == 200);
}

TEST_CASE("the layers of a server that falls silent for a second are not given to its neighbour", "[failure]")
{
    constexpr int SILENCE_MS = 1500;
    constexpr int LAST_EVENT = 3;
    std::atomic<int> orders = 0;
    const auto reportHeld = [](int from, int to) {
        const json body{{"Phase", "both"}, {"Busy", false}, {"Sequence", 0}, {"Models", {{{"Name", "m"}, {"Layers", {{"From", from}, {"Target", to}}}}}}};
        const std::string text = body.dump();
        return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
    };
    scripted_server silent([&](raw_connection &out, const raw_request &in) {
        if (in.target() == "/report") {
            const bool closed = out.waitForClose(SILENCE_MS);
            out.write(reportHeld(0, 2));
            return !closed;
        }
        out.write(streamHead(in) + events(0, 1));
        const bool closed = out.waitForClose(SILENCE_MS);
        out.write(events(2, LAST_EVENT) + "0\r\n\r\n");
        return !closed;
    });
    scripted_server neighbour([&](raw_connection &out, const raw_request &in) {
        orders += in.target() == "/order" ? 1 : 0;
        out.write(reportHeld(2, 4));
        return true;
    });
    deployment site;
    site.addServer("i-1", "lm", silent.address(), 0, 2);
    site.addServer("i-2", "lm", neighbour.address(), 2, 4);
    site.start();
    REQUIRE(eventually([&] { return site.metricsText().find("gives_orders 1") != std::string::npos; }));
    raw_client client(site.front());
    client.write(makeRequest("/stream/", "id1"));
    CHECK(isWholeStream(client.readUntil("0\r\n\r\n", 5000), LAST_EVENT));
    CHECK(orders == 0);
}
