// Tests a client connection of the gateway with request flows that fail, and one that is cut while an answer is written.

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

// A client and the gateway's side of its connection, with a flow of the test for each request. The caller runs the context.
struct session_site
{
    session_site(metrics &counters, flow_factory createFlow)
        : port(platform_plugins::instance().make("log-store", control, "http://127.0.0.1:1", counters))
        , state(context, settings, counters, *port)
    {
        state.config = configWithOneRoute();
        state.fleet = std::make_shared<fleet_snapshot>();
        session = std::make_shared<client_session>(state, acceptor.accept(), std::move(createFlow));
        spawnLogged(context, "client_session", session->run());
    }
    ~session_site()
    {
        control.stop();
    }
    session_site(const session_site &) = delete;
    session_site &operator=(const session_site &) = delete;

    event_loop control{"control"};
    std::shared_ptr<platform_port> port;
    asio::io_context context{1};
    gateway_settings settings;
    traffic_state state;
    tcp::acceptor acceptor{context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
    raw_client client{"127.0.0.1:" + std::to_string(acceptor.local_endpoint().port())};
    std::shared_ptr<client_session> session;
};

// Sends two requests on one connection, whose flows throw. Returns what the client receives until the connection closes.
std::string exchangeWithThrowingFlow(bool beginsStream, metrics &counters)
{
    session_site site(counters, [&](traffic_state &of, request_facts facts, answer_sink &sink) {
        return std::make_shared<throwing_flow>(of, std::move(facts), sink, beginsStream);
    });
    site.client.write(makeRequest("/a", "id1") + makeRequest("/a", "id2"));
    std::thread traffic([&] { site.context.run(); });
    std::string received = site.client.readUntil("\x01never");
    site.client.close();
    traffic.join();
    return received;
}

// Results of the writes of an answer, in order.
struct write_log
{
    std::vector<bool> accepted;
    bool ended = false;
};

// Writes a stream of three events.
class writing_flow : public request_flow
{
public:
    writing_flow(traffic_state &state, request_facts facts, answer_sink &sink, write_log &log)
        : request_flow(state, std::move(facts), sink)
        , m_log(log)
    {
    }
    asio::awaitable<void> run() override
    {
        const header_list headers;
        m_log.accepted.push_back(co_await m_sink.beginStream(200, headers));
        for (int id = 0; id < 3; ++id) {
            const std::string text = event(id);
            m_log.accepted.push_back(co_await m_sink.writeStream(text));
        }
        m_log.accepted.push_back(co_await m_sink.finishStream());
        m_log.ended = true;
    }

private:
    write_log &m_log;
};

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

// Guards against a server that works on for a client whose connection the gateway has cut.
TEST_CASE("no write of an answer is accepted after its connection was cut, at whichever moment that is", "[failure]")
{
    constexpr int MAX_HANDLERS = 200; // far more than one answer takes
    constexpr milliseconds LIMIT{2000};
    bool complete = false;
    for (int handlers = 0; handlers < MAX_HANDLERS && !complete; ++handlers) {
        CAPTURE(handlers);
        metrics counters;
        write_log log;
        session_site site(counters, [&](traffic_state &of, request_facts facts, answer_sink &sink) {
            return std::make_shared<writing_flow>(of, std::move(facts), sink, log);
        });
        site.client.write(makeRequest("/a", "id1"));
        for (int run = 0; run < handlers && !log.ended; ++run) {
            site.context.run_one_for(LIMIT);
        }
        complete = log.ended;
        const std::size_t before = log.accepted.size();
        site.session->cut();
        site.context.run_for(LIMIT);
        for (std::size_t write = before; write < log.accepted.size(); ++write) {
            CHECK_FALSE(log.accepted[write]);
        }
    }
    CHECK(complete);
}
