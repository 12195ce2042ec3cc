// Tests how the tests start the programs of the project.

#include "gateway_deployment.h"

#include <catch2/catch.hpp>
#include <sys/socket.h>
#include <unistd.h>

using namespace chestnut;
using namespace chestnut::test;

TEST_CASE("a socket that is closed here is closed for its peer although a child process runs", "[failure]")
{
    int ends[2] = {-1, -1};
    REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends) == 0);
    const unique_fd peer(ends[1]);
    deployment site;
    site.startGateway();
    ::close(ends[0]);
    char byte = 0;
    CHECK(::recv(peer.get(), &byte, 1, MSG_DONTWAIT) == 0);
}
