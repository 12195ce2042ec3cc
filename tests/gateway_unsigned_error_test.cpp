// Tests chestnutgw-gateway with redirects and client errors that a server did not produce itself, but something in front of it or
// in its place: they are not the answer to a proper request.

#include "gateway_deployment.h"

#include <catch2/catch.hpp>

using namespace chestnut;
using namespace chestnut::test;

namespace
{

constexpr int REQUESTS = 12;
constexpr int STATUSES[] = {302, 400, 401, 403, 404, 405, 413, 431};

std::string plainStatus(int status, const raw_request &request, const std::string &more)
{
    const std::string id = "X-Chestnutgw-Request-Id: " + request.header("X-Chestnutgw-Request-Id") + "\r\n";
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + id + more + "Content-Length: 2\r\n\r\nno";
}

// Script of a server that gives each request an error answer; `more` holds further header lines.
server_script failing(int status, const std::string &more = "")
{
    return [status, more](raw_connection &out, const raw_request &in) {
        out.write(in.target() == "/report" ? report(in) : plainStatus(status, in, more));
        return true;
    };
}

}

TEST_CASE("an unsigned redirect or client error of a server is not taken for the answer to an idempotent request", "[failure]")
{
    const int status = GENERATE(from_range(std::begin(STATUSES), std::end(STATUSES)));
    CAPTURE(status);
    scripted_server faulty(failing(status));
    scripted_server sound(answering("hello"));
    deployment site;
    site.addServer("i-1", "app", faulty.address());
    site.addServer("i-2", "app", sound.address());
    site.start();
    for (int number = 0; number < REQUESTS; ++number) {
        CHECK(statusOf(exchange(site.front(), makeRequest("/safe/", "id" + std::to_string(number)))) == 200);
    }
}

TEST_CASE("an unsigned redirect or client error of a server is not taken for the answer to a stream", "[failure]")
{
    const int status = GENERATE(from_range(std::begin(STATUSES), std::end(STATUSES)));
    CAPTURE(status);
    scripted_server faulty(failing(status));
    scripted_server sound(streaming(3));
    scripted_server rest(answering("unused"));
    deployment site;
    site.addServer("i-1", "lm", faulty.address(), 0, 4); // alone it is the cheaper path
    site.addServer("i-2", "lm", sound.address(), 0, 2);
    site.addServer("i-3", "lm", rest.address(), 2, 4);
    site.start();
    for (int number = 0; number < REQUESTS; ++number) {
        CHECK(isWholeStream(exchange(site.front(), makeRequest("/stream/", "id" + std::to_string(number))), 3));
    }
    CHECK(faulty.count() > 0);
}

TEST_CASE("an unsigned client error to a request that runs at most once becomes 502", "[failure]")
{
    scripted_server faulty(failing(404));
    deployment site;
    site.addServer("i-1", "app", faulty.address());
    site.start();
    CHECK(statusOf(exchange(site.front(), makeRequest("/once/", "id1"))) == 502);
    CHECK(faulty.count() == 1);
}

TEST_CASE("a client error that a server has signed reaches the client unchanged", "[failure]")
{
    scripted_server server(failing(404, SIGNATURE));
    deployment site;
    site.addServer("i-1", "app", server.address());
    site.start();
    const std::string got = exchange(site.front(), makeRequest("/safe/", "id1"));
    CHECK(statusOf(got) == 404);
    CHECK(got.find("X-Chestnutgw-Response-Signature") != std::string::npos);
    CHECK(server.count() == 1);
}

TEST_CASE("a request that servers turn away with a client error is told to come back", "[failure]")
{
    const int status = GENERATE(302, 400, 401, 403, 404, 413);
    CAPTURE(status);
    scripted_server server(failing(status, "X-Chestnutgw-Not-Executed: 1\r\n"));
    deployment site;
    site.addServer("i-1", "app", server.address());
    site.addServer("i-2", "lm", server.address(), 0, 4);
    site.start();
    for (const char *path : {"/safe/", "/once/", "/stream/"}) {
        const std::string got = exchange(site.front(), makeRequest(path, "id1"));
        CHECK(statusOf(got) == 503);
        CHECK(got.find("Retry-After:") != std::string::npos);
    }
}
