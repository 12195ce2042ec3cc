// Sections: conversions, service, rounds.

#include "mesh/mesh_node.h"

#include "gateway_peer.grpc.pb.h"
#include "kernel/log.h"

#include <atomic>
#include <grpcpp/grpcpp.h>
#include <map>
#include <thread>

namespace chestnut
{

namespace wire = chestnutgw::wire;

namespace
{

constexpr milliseconds ROUND_INTERVAL{160};   // between two exchanges with the same peer
constexpr milliseconds PER_PEER_INTERVAL{15}; // longer rounds for many peers, so that their cost for one instance stays level
constexpr milliseconds EXCHANGE_TIMEOUT{400};
constexpr milliseconds SILENT_RETRY{1000}; // between tries of a peer that does not answer
constexpr milliseconds PEER_GONE{60'000};  // a peer without an answer for so long is forgotten

//-----------------------------------------------------------------------------
// Conversions
//-----------------------------------------------------------------------------

void toMessage(const std::vector<server_load> &loads, wire::gateway_state *message)
{
    for (const server_load &load : loads) {
        wire::server_load *entry = message->add_loads();
        entry->set_address(load.address);
        entry->set_running(static_cast<std::uint32_t>(load.running));
        entry->set_tokens(load.tokens);
        entry->set_avoid_ms(static_cast<std::uint32_t>(load.avoid.count()));
        entry->set_failure(static_cast<std::uint32_t>(load.failure));
    }
}

peer_report toReport(const wire::gateway_state &message)
{
    peer_report report;
    report.instance = instance_id{message.instance()};
    report.domain = domain_id{message.failure_domain()};
    report.incarnation = message.incarnation();
    report.received = std::chrono::steady_clock::now();
    report.stopping = milliseconds(message.stopping_ms());
    for (const wire::server_load &entry : message.loads()) {
        const auto failure = static_cast<failure_kind>(std::min<std::uint32_t>(entry.failure(), static_cast<std::uint32_t>(failure_kind::error)));
        report.loads.push_back({entry.address(), static_cast<int>(entry.running()), entry.tokens(), milliseconds(entry.avoid_ms()), failure});
    }
    return report;
}

// One outgoing call, kept until its callback ran.
struct outgoing
{
    grpc::ClientContext context;
    wire::gateway_state request;
    wire::gateway_state reply;
};

// What is known of one peer.
struct peer_entry
{
    std::string address;
    std::unique_ptr<wire::gateway_peer::Stub> stub;
    bool busy = false;   // an exchange is under way
    bool silent = false; // the last exchange failed
    steady_time nextCall{};
    steady_time lastAnswer{}; // or when it was added
    news_mark mark;           // as of its last state
};

}

//-----------------------------------------------------------------------------
// Service
//-----------------------------------------------------------------------------

class mesh_node::implementation : public wire::gateway_peer::CallbackService
{
public:
    implementation(event_loop &loop, metrics &counters, const mesh_settings &settings, mesh_handler handler);
    ~implementation() override;

    grpc::ServerUnaryReactor *exchange(grpc::CallbackServerContext *context, const wire::gateway_state *request, wire::gateway_state *reply) override;
    void round();
    void addPeer(const std::string &instance, const std::string &address);
    const std::string &address() const
    {
        return m_settings.address;
    }

private:
    void fill(wire::gateway_state *message, const news_mark &since);
    void take(const wire::gateway_state &message);
    void call(const std::string &instance, peer_entry &peer, steady_time now);
    void noteAnswer(const std::string &instance, const grpc::Status &status, const wire::gateway_state &reply);
    void forgetGone(steady_time now);

    event_loop &m_loop;
    metrics &m_counters;
    mesh_settings m_settings;
    mesh_handler m_handler;
    std::map<std::string, peer_entry> m_peers; // loop thread only
    std::unique_ptr<grpc::Server> m_server;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); // loop thread only
    std::atomic<int> m_underWay = 0;                              // outgoing calls whose callback has not run
};

mesh_node::implementation::implementation(event_loop &loop, metrics &counters, const mesh_settings &settings, mesh_handler handler)
    : m_loop(loop)
    , m_counters(counters)
    , m_settings(settings)
    , m_handler(std::move(handler))
{
    int port = 0;
    grpc::ServerBuilder builder;
    builder.AddListeningPort(settings.address, grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(this);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    m_server = builder.BuildAndStart();
    if (!m_server || port == 0) {
        throw std::runtime_error("peer service cannot listen on " + settings.address);
    }
    m_settings.address = settings.address.substr(0, settings.address.rfind(':') + 1) + std::to_string(port);
}

mesh_node::implementation::~implementation()
{
    m_loop.run([this] { *m_alive = false; }); // exchanges that wait on the loop are refused from now on
    m_server->Shutdown(std::chrono::system_clock::now() + milliseconds(100));
    while (m_underWay > 0) {
        std::this_thread::yield(); // the calls' own timeout ends the wait
    }
}

grpc::ServerUnaryReactor *mesh_node::implementation::exchange(grpc::CallbackServerContext *context, const wire::gateway_state *request,
                                                              wire::gateway_state *reply)
{
    grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
    m_loop.post([this, request, reply, reactor, alive = m_alive] {
        if (!*alive) {
            reactor->Finish({grpc::StatusCode::UNAVAILABLE, "stopping"});
            return;
        }
        take(*request);
        fill(reply, {request->config_version(), request->fleet_offset()});
        reactor->Finish(grpc::Status::OK);
    });
    return reactor;
}

void mesh_node::implementation::fill(wire::gateway_state *message, const news_mark &since)
{
    message->set_instance(m_settings.instance);
    message->set_failure_domain(m_settings.domain);
    message->set_address(m_settings.address);
    message->set_incarnation(m_settings.incarnation);
    toMessage(m_handler.loads(), message);
    message->set_stopping_ms(static_cast<std::uint32_t>(m_handler.stopping().count()));
    const news_mark own = m_handler.mark();
    message->set_config_version(own.configVersion);
    message->set_fleet_offset(own.fleetOffset);
    if (own.configVersion > since.configVersion || own.fleetOffset > since.fleetOffset) {
        message->set_news(m_handler.exportNews(since));
    }
}

void mesh_node::implementation::take(const wire::gateway_state &message)
{
    addPeer(message.instance(), message.address());
    const auto peer = m_peers.find(message.instance());
    if (peer == m_peers.end()) {
        return;
    }
    peer->second.mark = {message.config_version(), message.fleet_offset()};
    peer->second.lastAnswer = std::chrono::steady_clock::now();
    m_handler.onReport(toReport(message));
    if (!message.news().empty()) {
        m_handler.importNews(message.news());
    }
}

//-----------------------------------------------------------------------------
// Rounds
//-----------------------------------------------------------------------------

void mesh_node::implementation::addPeer(const std::string &instance, const std::string &address)
{
    if (instance == m_settings.instance || instance.empty()) {
        return;
    }
    peer_entry &peer = m_peers[instance];
    if (peer.address == address) {
        return;
    }
    peer.address = address;
    peer.lastAnswer = std::chrono::steady_clock::now();
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 200);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 200);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1000);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, 1000); // a connection may go silent for good
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, 1000);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 0);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    peer.stub = wire::gateway_peer::NewStub(grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments));
    logLine(log_level::info, "peer_known", {{"peer", instance}, {"address", address}});
    m_counters.set("peers_known", static_cast<double>(m_peers.size()));
}

// Of each pair the instance with the smaller name calls, so that a pair exchanges once in a round. A peer that is silent
// may not know of us, so both sides try then.
void mesh_node::implementation::round()
{
    const steady_time now = std::chrono::steady_clock::now();
    forgetGone(now);
    for (auto &[instance, peer] : m_peers) {
        const bool ours = m_settings.instance < instance || now - peer.lastAnswer > SILENT_RETRY;
        if (ours && !peer.busy && now >= peer.nextCall) {
            call(instance, peer, now);
        }
    }
    m_loop.after(ROUND_INTERVAL / 4, [this, alive = m_alive] {
        if (*alive) {
            round();
        }
    });
}

void mesh_node::implementation::forgetGone(steady_time now)
{
    std::erase_if(m_peers, [now](const auto &entry) { return !entry.second.busy && now - entry.second.lastAnswer > PEER_GONE; });
}

void mesh_node::implementation::call(const std::string &instance, peer_entry &peer, steady_time now)
{
    peer.busy = true;
    const auto pace = std::max<milliseconds>(ROUND_INTERVAL, PER_PEER_INTERVAL * static_cast<int>(m_peers.size()));
    peer.nextCall = now + (peer.silent ? SILENT_RETRY : pace);
    const auto one = std::make_shared<outgoing>();
    one->context.set_deadline(std::chrono::system_clock::now() + EXCHANGE_TIMEOUT);
    fill(&one->request, peer.mark);
    ++m_underWay;
    peer.stub->async()->exchange(&one->context, &one->request, &one->reply, [this, one, instance](const grpc::Status &status) {
        m_loop.post([this, one, instance, status, alive = m_alive] {
            if (*alive) {
                noteAnswer(instance, status, one->reply);
            }
        });
        --m_underWay;
    });
}

void mesh_node::implementation::noteAnswer(const std::string &instance, const grpc::Status &status, const wire::gateway_state &reply)
{
    const auto peer = m_peers.find(instance);
    if (peer == m_peers.end()) {
        return;
    }
    peer->second.busy = false;
    m_counters.count("peer_exchanges", {{"result", status.ok() ? "ok" : "failed"}});
    if (status.ok() == peer->second.silent) {
        peer->second.silent = !status.ok();
        logLine(log_level::info, status.ok() ? "peer_back" : "peer_silent", {{"peer", instance}, {"error", status.error_message()}});
    }
    if (status.ok()) {
        take(reply);
    }
}

mesh_node::mesh_node(event_loop &loop, metrics &counters, const mesh_settings &settings, mesh_handler handler)
    : m_impl(std::make_unique<implementation>(loop, counters, settings, std::move(handler)))
{
}

mesh_node::~mesh_node() = default;

const std::string &mesh_node::address() const
{
    return m_impl->address();
}

void mesh_node::start()
{
    m_impl->round();
}

void mesh_node::addPeer(const std::string &instance, const std::string &address)
{
    m_impl->addPeer(instance, address);
}

}
