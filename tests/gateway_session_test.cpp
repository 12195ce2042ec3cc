// Tests a client connection of the gateway with request flows that fail.

#include "gateway/client_session.h"
#include "gateway/spawn.h"
#include "gateway_deployment.h"
#include "kernel/registry.h"

#include <catch2/catch.hpp>
#include <thread>

using namespace chestnut;
using namespace chestnut::test;

namespace
{

using tcp = asio::ip::tcp;
using platform_plugins = plugin_registry<platform_port, event_loop &, const std::string &, metrics &>;

// Begins a stream with one event if asked to, and throws.
class throwing_flow : public request_flow
{
public:
    throwing_flow(traffic_state &state, request_facts facts, answer_sink &sink, bool beginsStream)
        : request_flow(state, std::move(facts), sink)
        , m_beginsStream(beginsStream)
    {
    }
    asio::awaitable<void> run() override
    {
        if (m_beginsStream) {
            const header_list headers;
            const std::string first = event(0);
            co_await m_sink.beginStream(200, headers);
            co_await m_sink.writeStream(first);
        }
        throw std::runtime_error("failure of a test");
    }

private:
    bool m_beginsStream;
};

std::shared_ptr<const gateway_config> configWithOneRoute()
{
    auto config = std::make_shared<gateway_config>();
    route only;
    only.name = "only";
    only.host = "h.example";
    only.prefix = "/";
    only.shares = {{service_id{"app"}, 1}};
    config->routes = {only};
    return config;
}

// Sends two requests on one connection, whose flows throw. Returns what the client receives until the connection closes.
std::string exchangeWithThrowingFlow(bool beginsStream, metrics &counters)
{
    event_loop control("control");
    const auto port = platform_plugins::instance().make("log-store", control, "http://127.0.0.1:1", counters);
    asio::io_context context{1};
    gateway_settings settings;
    traffic_state state(context, settings, counters, *port);
    state.config = configWithOneRoute();
    state.fleet = std::make_shared<fleet_snapshot>();
    tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    raw_client client("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
    const auto session = std::make_shared<client_session>(state, acceptor.accept(), [&](traffic_state &of, request_facts facts, answer_sink &sink) {
        return std::make_shared<throwing_flow>(of, std::move(facts), sink, beginsStream);
    });
    client.write(makeRequest("/a", "id1") + makeRequest("/a", "id2"));
    spawnLogged(context, "client_session", session->run());
    std::thread traffic([&] { context.run(); });
    std::string received = client.readUntil("\x01never");
    client.close();
    traffic.join();
    control.stop();
    return received;
}

}

TEST_CASE("a flow that fails before its answer has begun gets an error answer", "[failure]")
{
    metrics counters;
    const std::string got = exchangeWithThrowingFlow(false, counters);
    CHECK(statusOf(got) == 502);
    CHECK(got.find("X-Chestnutgw-Request-Id: id1") != std::string::npos);
    CHECK(got.find("Connection: close") != std::string::npos);
    CHECK(countOf(got, "HTTP/1.1 ") == 1);
    CHECK(counters.total("requests_failed") == 1);
}

TEST_CASE("a flow that fails in mid-stream leaves an answer that does not look complete", "[failure]")
{
    metrics counters;
    const std::string got = exchangeWithThrowingFlow(true, counters);
    CHECK(statusOf(got) == 200);
    CHECK(got.find("piece0") != std::string::npos);
    CHECK(got.find("\r\n0\r\n") == std::string::npos);
    CHECK(countOf(got, "HTTP/1.1 ") == 1);
    CHECK(counters.total("requests_failed") == 1);
    CHECK(counters.total("answers_incomplete") == 1);
}
