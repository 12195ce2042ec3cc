// Tests how long chestnutgw-gateway avoids a server that was silent and has gone on.

#include "gateway_deployment.h"

#include <catch2/catch.hpp>

using namespace chestnut;
using namespace chestnut::test;

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
