// Sections: conversions, service, rounds.

#include "mesh/mesh_node.h"

#include "core/mesh_roles.h"
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
constexpr milliseconds PER_PEER_INTERVAL{25}; // longer rounds for many relays, so that their cost for one instance stays level
constexpr milliseconds MEMBER_INTERVAL{240};  // between a member's exchanges with its relay
constexpr milliseconds EXCHANGE_TIMEOUT{400};
constexpr milliseconds SILENT_RETRY{1000}; // a peer that has not called for so long is called
constexpr milliseconds DOWN_TIME{2500};    // a peer that did not answer takes no part for so long
constexpr milliseconds PEER_GONE{60'000};  // a peer that failed for so long is forgotten

//-----------------------------------------------------------------------------
// Conversions
//-----------------------------------------------------------------------------

void toMessage(const peer_report &report, wire::gateway_state *message)
{
    message->set_instance(report.instance.text);
    message->set_failure_domain(report.domain.text);
    message->set_incarnation(report.incarnation);
    message->set_stopping_ms(static_cast<std::uint32_t>(report.stopping.count()));
    message->set_scope(static_cast<std::uint32_t>(report.scope));
    message->set_instances(static_cast<std::uint32_t>(report.instances));
    message->set_stopping(static_cast<std::uint32_t>(report.stoppingCount));
    for (const server_load &load : report.loads) {
        wire::server_load *entry = message->add_loads();
        entry->set_address(load.address);
        entry->set_running(static_cast<std::uint32_t>(load.running));
        entry->set_tokens(load.tokens);
        entry->set_avoid_ms(static_cast<std::uint32_t>(load.avoid.count()));
        entry->set_failure(static_cast<std::uint32_t>(load.failure));
    }
}

news_mark toMark(const wire::gateway_state &message)
{
    return {message.config_version(), message.fleet_offset(), message.member_offset(), message.wants_config()};
}

// Brings a number from outside into an enumeration's range.
template <typename enumeration>
enumeration clampTo(std::uint32_t value, enumeration last)
{
    return static_cast<enumeration>(std::min(value, static_cast<std::uint32_t>(last)));
}

peer_report toReport(const wire::gateway_state &message)
{
    peer_report report;
    report.instance = instance_id{message.instance()};
    report.domain = domain_id{message.failure_domain()};
    report.incarnation = message.incarnation();
    report.received = std::chrono::steady_clock::now();
    report.stopping = milliseconds(message.stopping_ms());
    report.scope = clampTo(message.scope(), load_scope::total);
    report.instances = static_cast<int>(message.instances());
    report.stoppingCount = static_cast<int>(message.stopping());
    for (const wire::server_load &entry : message.loads()) {
        report.loads.push_back({entry.address(), static_cast<int>(entry.running()), entry.tokens(), milliseconds(entry.avoid_ms()),
                                clampTo(entry.failure(), failure_kind::error)});
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
    std::string domain;
    std::string address;
    std::unique_ptr<wire::gateway_peer::Stub> stub; // null until it is called
    bool busy = false;                              // an exchange is under way
    bool silent = false;                            // the last exchange failed
    steady_time nextCall{};
    steady_time lastHeard{};   // a state came from it, or it was added
    steady_time failedSince{}; // first of the failures in a row, if silent
    steady_time downUntil{};   // takes no part before
    news_mark mark;            // as of its last state
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
    void start()
    {
        m_started = true;
        round();
    }
    void addPeer(const member_entry &member);
    const std::string &address() const
    {
        return m_settings.address;
    }

private:
    void round();
    void fill(wire::gateway_state *message, const news_mark &since, load_scope scope, const std::string &receiver);
    mesh_links links(steady_time now) const;
    void connect(peer_entry &peer) const;
    void take(const wire::gateway_state &message);
    void call(const std::string &instance, peer_entry &peer);
    void noteAnswer(const std::string &instance, const grpc::Status &status, const wire::gateway_state &reply);
    void forgetGone(steady_time now);

    event_loop &m_loop;
    metrics &m_counters;
    mesh_settings m_settings;
    mesh_handler m_handler;
    std::map<std::string, peer_entry> m_peers; // loop thread only
    shared_load m_reports;                     // of the peers; loop thread only
    bool m_started = false;                    // what the handler leads to is ready
    int m_rank = -1;
    bool m_relay = true;
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
        if (!*alive || !m_started) {
            reactor->Finish({grpc::StatusCode::UNAVAILABLE, m_started ? "stopping" : "starting"});
            return;
        }
        take(*request);
        const bool member = clampTo(request->scope(), load_scope::total) == load_scope::member;
        fill(reply, toMark(*request), member ? load_scope::total : load_scope::cluster, request->instance());
        reactor->Finish(grpc::Status::OK);
    });
    return reactor;
}

void mesh_node::implementation::fill(wire::gateway_state *message, const news_mark &since, load_scope scope, const std::string &receiver)
{
    peer_report own;
    own.instance = instance_id{m_settings.instance};
    own.domain = domain_id{m_settings.domain};
    own.incarnation = m_settings.incarnation;
    own.loads = m_handler.loads();
    own.stopping = m_handler.stopping();
    own.stoppingCount = own.stopping.count() > 0 ? 1 : 0;
    toMessage(m_reports.merged(own, scope, instance_id{receiver}, std::chrono::steady_clock::now()), message);
    message->set_address(m_settings.address);
    const news_mark mark = m_handler.mark();
    message->set_config_version(mark.configVersion);
    message->set_fleet_offset(mark.fleetOffset);
    message->set_member_offset(mark.memberOffset);
    message->set_wants_config(mark.wantsConfig);
    const news_ages ages = m_handler.ages();
    message->set_config_age_ms(static_cast<std::uint32_t>(ages.config.count()));
    message->set_fleet_age_ms(static_cast<std::uint32_t>(ages.fleet.count()));
    message->set_giver_age_ms(static_cast<std::uint32_t>(ages.giver.count()));
    message->set_lease_end(ages.leaseEnd);
    message->set_lease_holder(ages.leaseHolder);
    const bool config = since.wantsConfig && mark.configVersion > since.configVersion;
    if (config || mark.fleetOffset > since.fleetOffset || mark.memberOffset > since.memberOffset) {
        message->set_news(m_handler.exportUpdates(since));
    }
}

void mesh_node::implementation::take(const wire::gateway_state &message)
{
    addPeer({message.instance(), message.failure_domain(), message.address()});
    const auto peer = m_peers.find(message.instance());
    if (peer == m_peers.end()) {
        return;
    }
    peer->second.mark = toMark(message);
    peer->second.lastHeard = std::chrono::steady_clock::now();
    peer->second.downUntil = {};
    peer_report report = toReport(message);
    m_reports.take(report);
    m_handler.onReport(std::move(report));
    if (!message.news().empty()) {
        m_handler.importUpdates(message.news());
    }
    const news_ages ages{milliseconds(message.config_age_ms()), milliseconds(message.fleet_age_ms()), milliseconds(message.giver_age_ms()), message.lease_end(),
                         message.lease_holder()};
    m_handler.onAges(ages, toMark(message));
}

//-----------------------------------------------------------------------------
// Rounds
//-----------------------------------------------------------------------------

void mesh_node::implementation::addPeer(const member_entry &member)
{
    if (member.instance == m_settings.instance || member.instance.empty()) {
        return;
    }
    peer_entry &peer = m_peers[member.instance];
    peer.domain = member.domain;
    if (peer.address == member.address) {
        return;
    }
    peer.address = member.address;
    peer.stub.reset();
    peer.lastHeard = std::chrono::steady_clock::now();
    logLine(log_level::info, "peer_known", {{"peer", member.instance}, {"address", member.address}});
    m_counters.set("peers_known", static_cast<double>(m_peers.size()));
}

void mesh_node::implementation::connect(peer_entry &peer) const
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 200);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 200);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1000);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, 1000); // a connection may go silent for good
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, 1000);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 0);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    peer.stub = wire::gateway_peer::NewStub(grpc::CreateCustomChannel(peer.address, grpc::InsecureChannelCredentials(), arguments));
}

mesh_links mesh_node::implementation::links(steady_time now) const
{
    std::vector<mesh_member> others;
    others.reserve(m_peers.size());
    for (const auto &[instance, peer] : m_peers) {
        others.push_back({instance, peer.domain, now < peer.downUntil});
    }
    return chooseLinks({m_settings.instance, m_settings.domain, false}, others);
}

// Of each pair of relays the one with the smaller name calls, so that a pair exchanges once in a round; the other one does
// if nothing comes. A member calls its relay.
void mesh_node::implementation::round()
{
    const steady_time now = std::chrono::steady_clock::now();
    forgetGone(now);
    const mesh_links current = links(now);
    if (current.rank != m_rank || current.relay != m_relay) {
        m_rank = current.rank;
        m_relay = current.relay;
        m_handler.onRank(m_rank);
        logLine(log_level::info, "mesh_role",
                {{"relay", m_relay ? "yes" : "no"}, {"rank", std::to_string(m_rank)}, {"partners", std::to_string(current.partners.size())}});
    }
    const auto pace = m_relay ? std::max<milliseconds>(ROUND_INTERVAL, PER_PEER_INTERVAL * static_cast<int>(current.partners.size())) : MEMBER_INTERVAL;
    for (const std::string &instance : current.partners) {
        peer_entry &peer = m_peers.at(instance);
        const bool ours = !m_relay || m_settings.instance < instance || now - peer.lastHeard > SILENT_RETRY;
        if (ours && !peer.busy && now >= peer.nextCall) {
            peer.nextCall = now + pace;
            call(instance, peer);
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
    std::erase_if(m_peers, [now](const auto &entry) {
        const peer_entry &peer = entry.second;
        return peer.silent && !peer.busy && now - std::max(peer.failedSince, peer.lastHeard) > PEER_GONE;
    });
}

void mesh_node::implementation::call(const std::string &instance, peer_entry &peer)
{
    if (!peer.stub) {
        connect(peer);
    }
    peer.busy = true;
    const auto one = std::make_shared<outgoing>();
    one->context.set_deadline(std::chrono::system_clock::now() + EXCHANGE_TIMEOUT);
    fill(&one->request, peer.mark, m_relay ? load_scope::cluster : load_scope::member, instance);
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
    const steady_time now = std::chrono::steady_clock::now();
    if (!status.ok()) {
        peer->second.failedSince = peer->second.silent ? peer->second.failedSince : now;
        peer->second.downUntil = now + DOWN_TIME;
    }
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
    m_impl->start();
}

void mesh_node::addPeer(const member_entry &member)
{
    m_impl->addPeer(member);
}

}
