// Tests chestnutgw-gateway with servers that write an earlier refusal once more on a kept connection.

#include "gateway_deployment.h"

#include <catch2/catch.hpp>
#include <map>
#include <mutex>

using namespace chestnut;
using namespace chestnut::test;

namespace
{

constexpr int LAST_EVENT = 3;
constexpr int STREAMS = 8;

// A refusal that names a later stage of the path as the one at fault.
std::string refusalAt(const raw_request &request, const std::string &address)
{
    std::string text = notRun(request);
    return text.insert(text.find("Content-Length"), "At-Server: " + address + "\r\n");
}

}

TEST_CASE("a refusal repeated on a kept connection is not taken for the refusal of the request that is sent there again", "[failure]")
{
    scripted_server full(answering("unused"));
    scripted_server freeThird(answering("unused"));
    scripted_server freeFourth(answering("unused"));
    std::atomic<int> executed = 0;
    std::mutex mutex;
    std::map<int, std::string> refusals; // the last one of each connection
    scripted_server first([&](raw_connection &out, const raw_request &in) {
        if (in.target() == "/report") {
            out.write(report(in));
            return true;
        }
        const std::lock_guard lock(mutex);
        if (in.header("X-Chestnutgw-Hop-Count").find(full.address() + "=") != std::string::npos) {
            refusals[in.connection] = refusalAt(in, full.address());
            out.write(refusals[in.connection]);
            return true;
        }
        ++executed;
        out.write(refusals[in.connection] + streamHead(in) + events(firstEventOf(in), LAST_EVENT) + "0\r\n\r\n");
        return true;
    });
    deployment site;
    site.addServer("i-1", "lm", first.address(), 0, 2);
    site.addServer("i-2", "lm", full.address(), 2, 4); // alone it is the cheaper rest of the path
    site.addServer("i-3", "lm", freeThird.address(), 2, 3);
    site.addServer("i-4", "lm", freeFourth.address(), 3, 4);
    site.start();
    for (int number = 0; number < STREAMS; ++number) {
        CHECK(isWholeStream(exchange(site.front(), makeRequest("/stream/", "id" + std::to_string(number))), LAST_EVENT));
    }
    CHECK(executed == STREAMS);
    CHECK_FALSE(refusals.empty());
}

TEST_CASE("a refusal of an earlier request that precedes the next answer is not taken for that answer", "[failure]")
{
    std::atomic<int> executed = 0;
    scripted_server server([&](raw_connection &out, const raw_request &in) {
        raw_request earlier = in;
        const std::size_t at = earlier.head.find("X-Chestnutgw-Request-Id: ");
        earlier.head.insert(at + 25, "earlier-");
        ++executed;
        out.write((in.index > 0 ? notRun(earlier) : "") + answer(in, "hello"));
        return true;
    });
    deployment site;
    site.addServer("i-1", "app", server.address());
    site.start();
    for (int number = 0; number < STREAMS; ++number) {
        const std::string path = number % 2 == 0 ? "/safe/" : "/once/";
        CHECK(statusOf(exchange(site.front(), makeRequest(path, "id" + std::to_string(number)))) == 200);
    }
    CHECK(executed == STREAMS);
}
