// Tests chestnutgw-gateway with servers whose answers bear a status that no server may send.

#include "gateway_deployment.h"

#include <catch2/catch.hpp>

using namespace chestnut;
using namespace chestnut::test;

namespace
{

constexpr int REQUESTS = 4;
const std::vector<std::string> INVALID_STATUSES{"000", "001", "099", "100", "101", "199", "600", "700", "999"};

// Signs each answer and gives it a body, as a sound server does.
server_script answeringWith(const std::string &status)
{
    return [status](raw_connection &out, const raw_request &in) {
        const std::string id = "X-Chestnutgw-Request-Id: " + in.header("X-Chestnutgw-Request-Id") + "\r\n";
        out.write(in.target() == "/report" ? report(in) : "HTTP/1.1 " + status + " Status\r\n" + SIGNATURE + id + "Content-Length: 4\r\n\r\nnone");
        return true;
    };
}

}

// Guards against an answer without meaning that a client gets, or whose request waits for another one until its deadline.
TEST_CASE("an answer whose status no server may send becomes 502 at once", "[failure]")
{
    const std::string status = GENERATE(from_range(INVALID_STATUSES));
    const std::string path = GENERATE("/safe/", "/once/", "/stream/", "/single/");
    CAPTURE(status, path);
    scripted_server faulty(answeringWith(status));
    deployment site;
    site.addServer("i-1", "app", faulty.address());
    site.addServer("i-2", "lm", faulty.address(), 0, 4);
    site.start();
    const std::string got = exchange(site.front(), makeRequest(path, "id1"));
    CHECK(statusOf(got) == 502); // 504 would say that it waited until its deadline
    CHECK(got.find("none") == std::string::npos);
    CHECK(got.find("X-Chestnutgw-Response-Signature") == std::string::npos);
    CHECK(faulty.count() == 1);
}

TEST_CASE("an idempotent request goes to another server if the status of the answer is none", "[failure]")
{
    const std::string status = GENERATE(from_range(INVALID_STATUSES));
    CAPTURE(status);
    scripted_server faulty(answeringWith(status));
    scripted_server sound(answering("hello"));
    scripted_server stream(streaming(3));
    scripted_server rest(answering("unused"));
    deployment site;
    site.addServer("i-1", "app", faulty.address());
    site.addServer("i-2", "app", sound.address());
    site.addServer("i-3", "lm", faulty.address(), 0, 4); // alone it is the cheaper path
    site.addServer("i-4", "lm", stream.address(), 0, 2);
    site.addServer("i-5", "lm", rest.address(), 2, 4);
    site.start();
    for (int number = 0; number < REQUESTS; ++number) {
        const std::string id = "id" + std::to_string(number);
        CHECK(statusOf(exchange(site.front(), makeRequest("/safe/", id))) == 200);
        CHECK(isWholeStream(exchange(site.front(), makeRequest("/stream/", id)), 3));
    }
    CHECK(faulty.count() > 0);
}

TEST_CASE("an interim answer is followed by the final one", "[failure]")
{
    const std::string interim = GENERATE("100 Continue", "102 Processing", "103 Early Hints\r\nLink: x", "199 Status\r\nContent-Length: 0");
    CAPTURE(interim);
    scripted_server server([interim](raw_connection &out, const raw_request &in) {
        out.write("HTTP/1.1 " + interim + "\r\n\r\n" + answer(in, "hello"));
        return true;
    });
    deployment site;
    site.addServer("i-1", "app", server.address());
    site.start();
    for (const char *path : {"/safe/", "/once/"}) {
        const std::string got = exchange(site.front(), makeRequest(path, "id1"));
        CHECK(statusOf(got) == 200);
        CHECK(got.ends_with("hello"));
    }
}
