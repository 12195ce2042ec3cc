// Tests what the answer to a report, or the lack of one, shows of a backend server's process.

#include "gateway_deployment.h"
#include "platform/decode.h"
#include "platform/server_calls.h"

#include <catch2/catch.hpp>
#include <future>

using namespace chestnut;
using namespace chestnut::test;

namespace
{

process_state stateOf(const std::string &address)
{
    event_loop loop("test");
    metrics counters;
    const header_names headerNames = platform::makeHeaderNames();
    platform::server_calls calls(loop, counters, headerNames);
    std::promise<process_state> state;
    loop.post([&] { calls.fetchReport(address, server_id{"i-1"}, [&](const server_report &report) { state.set_value(report.processState()); }); });
    const process_state result = state.get_future().get();
    loop.stop();
    return result;
}

// Server that gives every request the same bytes, or none.
server_script sending(const std::string &bytes)
{
    return [bytes](raw_connection &out, const raw_request &) {
        out.write(bytes);
        return !bytes.empty() || !out.waitForClose(3000);
    };
}

}

TEST_CASE("a server whose report is unusable is not taken for one that has ended", "[failure]")
{
    const std::string bytes = GENERATE("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
                                       "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nxxxx",
                                       "HTTP/1.1 000 Status\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 600 Status\r\nContent-Length: 0\r\n\r\n");
    CAPTURE(bytes);
    const scripted_server server(sending(bytes));
    CHECK(stateOf(server.address()) == process_state::alive);
}

TEST_CASE("a server has ended if another process answers, or nothing accepts connections", "[failure]")
{
    std::string address;
    {
        const scripted_server other(sending("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"));
        address = other.address();
        CHECK(stateOf(address) == process_state::ended);
    }
    CHECK(stateOf(address) == process_state::ended);
}

TEST_CASE("a server that accepts a connection but does not answer is silent", "[failure]")
{
    const scripted_server silent(sending(""));
    CHECK(stateOf(silent.address()) == process_state::silent);
}

TEST_CASE("a server that closes the connection to its report without a byte has ended", "[failure]")
{
    const scripted_server closing([](raw_connection &, const raw_request &) { return false; });
    CHECK(stateOf(closing.address()) == process_state::ended);
}
