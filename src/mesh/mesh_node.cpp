// Sections: service, rounds, reading updates.

#include "mesh/mesh_node.h"

#include "core/mesh_roles.h"
#include "gateway_peer.grpc.pb.h"
#include "kernel/log.h"
#include "mesh/evidence_message.h"
#include "mesh/state_message.h"
#include "mesh/update_transfer.h"

#include <atomic>
#include <grpcpp/grpcpp.h>
#include <map>
#include <optional>
#include <thread>

namespace chestnut
{

namespace wire = chestnutgw::wire;

namespace
{

constexpr milliseconds ROUND_INTERVAL{160};   // minimum time between two exchanges with the same peer
constexpr milliseconds PER_PEER_INTERVAL{25}; // lengthens the interval with the number of relays, so that the load of one instance stays constant
constexpr milliseconds MEMBER_INTERVAL{240};  // time between two exchanges of a member with its relay
constexpr milliseconds EXCHANGE_TIMEOUT{400};
constexpr milliseconds PART_TIMEOUT{1000};         // of one part of updates
constexpr milliseconds MISSED_CALL_DELAY{1000};    // a relay that should call but has not for this long is called instead
constexpr milliseconds DOWN_PERIOD{2500};          // a peer that did not answer counts as down for this long
constexpr milliseconds ISOLATED_AFTER{2000};       // without a state of any peer, an instance acts as if it were the first one
constexpr milliseconds PEER_REMOVAL_DELAY{60'000}; // a peer that has failed for this long is removed

// An outgoing exchange, kept alive until its callback has run.
struct outgoing_call
{
    grpc::ClientContext context;
    wire::gateway_state request;
    wire::gateway_state reply;
    steady_time began = std::chrono::steady_clock::now();
};

// An outgoing request for a part of updates, kept alive until its callback has run.
struct part_call
{
    grpc::ClientContext context;
    wire::updates_request request;
    wire::updates_part reply;
};

// What this instance and a peer have of each other's evidence.
struct evidence_position
{
    std::uint64_t incarnation = 0; // process of the peer that the next value refers to
    std::uint64_t merged = 0;      // revision of the peer up to which this instance has its evidence
    std::uint64_t known = 0;       // revision of this instance up to which the peer has its evidence
};

// True if a receiver lacks a configuration that a sender can pass on.
bool lacksConfig(const update_position &receiver, const update_position &sender)
{
    return sender.configVersion > receiver.configVersion && (receiver.wantsConfig || sender.config > receiver.config);
}

// True if a receiver lacks any updates that a sender can pass on.
bool lacksUpdates(const update_position &receiver, const update_position &sender)
{
    return lacksConfig(receiver, sender) || sender.fleet > receiver.fleet || sender.members > receiver.members;
}

// State of one peer.
struct peer_entry
{
    std::string domain;
    std::string address;
    std::unique_ptr<wire::gateway_peer::Stub> stub; // created at the first call
    bool busy = false;                              // an exchange is in progress
    bool failing = false;                           // the last exchange failed
    steady_time nextCall{};
    steady_time lastReceived{};              // last state received from it, or when it was added
    steady_time failedSince{};               // first of the consecutive failures
    steady_time downUntil{};                 // counts as down until then
    std::optional<update_position> position; // in the last state received from it
    evidence_position evidence;
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
    grpc::ServerUnaryReactor *read_updates(grpc::CallbackServerContext *context, const wire::updates_request *request, wire::updates_part *reply) override;
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
    const std::string &advertisedAddress() const
    {
        return m_settings.advertisedAddress;
    }

private:
    void round();
    void fillEvidence(wire::crash_evidence *message, const std::string &receiver);
    void takeEvidence(const wire::crash_evidence &message, std::uint64_t incarnation, evidence_position &position);
    void fill(wire::gateway_state *message, const std::optional<update_position> &since, load_scope scope, const std::string &receiver);
    mesh_links links(steady_time now) const;
    void connect(peer_entry &peer) const;
    void take(const wire::gateway_state &message);
    void call(const std::string &instance, peer_entry &peer);
    void handleReply(const std::string &instance, const grpc::Status &status, const outgoing_call &one);
    void countBytes(const char *direction, const wire::gateway_state &message);
    void countUpdateBytes(const char *direction, std::size_t bytes);
    void addUpdates(wire::gateway_state *message, const update_position &since, const update_position &until);
    update_part findPart(const wire::updates_request &request);
    void readUpdates(const std::string &instance);
    void readPart(const std::string &instance);
    void handlePart(const std::string &instance, const grpc::Status &status, const wire::updates_part &reply);
    void importRead(const std::string &instance, const std::string &updates);
    void removeGonePeers(steady_time now);

    event_loop &m_loop;
    metrics &m_counters;
    mesh_settings m_settings;
    mesh_handler m_handler;
    std::map<std::string, peer_entry> m_peers; // loop thread only
    shared_load m_reports;                     // reports of the peers; loop thread only
    update_source m_source;                    // updates that peers read; loop thread only
    update_reader m_reader;                    // updates that are read from a peer; loop thread only
    steady_time m_readBegan{};                 // when the present read began
    bool m_started = false;                    // the targets of the handler are ready
    steady_time m_lastReceived{};              // last state received from any peer
    int m_rank = -1;
    bool m_relay = true;
    std::unique_ptr<grpc::Server> m_server;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); // loop thread only
    std::atomic<int> m_pendingCalls = 0;                          // outgoing calls whose callback has not finished
};

mesh_node::implementation::implementation(event_loop &loop, metrics &counters, const mesh_settings &settings, mesh_handler handler)
    : m_loop(loop)
    , m_counters(counters)
    , m_settings(settings)
    , m_handler(std::move(handler))
    , m_source(settings.incarnation)
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
    if (m_settings.advertisedAddress.empty()) {
        m_settings.advertisedAddress = m_settings.address;
    }
}

mesh_node::implementation::~implementation()
{
    m_loop.run([this] { *m_alive = false; }); // exchanges queued on the loop are refused from now on
    m_server->Shutdown(std::chrono::system_clock::now() + milliseconds(100));
    while (m_pendingCalls > 0) {
        std::this_thread::yield(); // bounded by the timeout of the calls
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
        countBytes("received", *request);
        take(*request);
        const bool member = scopeOf(*request) == load_scope::member;
        fill(reply, toUpdatePosition(*request), member ? load_scope::total : load_scope::cluster, request->instance());
        countBytes("sent", *reply);
        reactor->Finish(grpc::Status::OK);
    });
    return reactor;
}

// `since` is the position of the receiver, if it is known.
void mesh_node::implementation::fill(wire::gateway_state *message, const std::optional<update_position> &since, load_scope scope, const std::string &receiver)
{
    peer_report own;
    own.instance = instance_id{m_settings.instance};
    own.domain = domain_id{m_settings.domain};
    own.incarnation = m_settings.incarnation;
    own.loads = m_handler.loads();
    own.stopping = m_handler.stopping();
    own.stoppingCount = own.stopping.count() > 0 ? 1 : 0;
    toMessage(m_reports.merged(own, scope, instance_id{receiver}, std::chrono::steady_clock::now()), message);
    message->set_address(m_settings.advertisedAddress);
    const update_position position = m_handler.position();
    toMessage(position, message);
    const peer_confirmations known = m_handler.confirmations();
    toMessage(known.config, message->mutable_config_confirmation());
    toMessage(known.fleet, message->mutable_fleet_confirmation());
    toMessage(known.coordinator, message->mutable_coordinator_confirmation());
    message->set_lease_epoch(known.lease.end.epoch.number);
    message->set_lease_end(known.lease.end.offset);
    message->set_lease_holder(known.lease.newest.holder);
    message->set_lease_holder_epoch(known.lease.newest.epoch.number);
    fillEvidence(message->mutable_evidence(), receiver);
    if (since && lacksUpdates(*since, position)) {
        addUpdates(message, *since, position);
    }
}

// Adds the updates that the receiver lacks, if they fit into one part: larger ones would delay the state, so the receiver reads them. A
// large configuration does not hold up the others.
void mesh_node::implementation::addUpdates(wire::gateway_state *message, const update_position &since, const update_position &until)
{
    const steady_time now = std::chrono::steady_clock::now();
    if (const auto all = m_source.updates(since, until, now, [&] { return m_handler.exportUpdates(since); }); all->size() <= MAX_PART_BYTES) {
        message->set_news(*all);
        return;
    }
    update_position others = since;
    others.configVersion = until.configVersion;
    if (!lacksUpdates(others, until)) {
        return;
    }
    if (const std::string updates = m_handler.exportUpdates(others); updates.size() <= MAX_PART_BYTES) {
        message->set_news(updates);
    }
}

// Sends what the receiver lacks according to its last state.
void mesh_node::implementation::fillEvidence(wire::crash_evidence *message, const std::string &receiver)
{
    const auto peer = m_peers.find(receiver);
    const evidence_position position = peer == m_peers.end() ? evidence_position() : peer->second.evidence;
    toMessage(m_handler.exportEvidence(position.known), message, std::chrono::steady_clock::now());
    message->set_seen_incarnation(position.incarnation);
    message->set_seen_revision(position.merged);
}

void mesh_node::implementation::takeEvidence(const wire::crash_evidence &message, std::uint64_t incarnation, evidence_position &position)
{
    if (position.incarnation != incarnation) {
        position = {incarnation, 0, 0};
    }
    position.merged = std::max(position.merged, message.revision());
    position.known = message.seen_incarnation() == m_settings.incarnation ? message.seen_revision() : 0;
    const evidence_update update = toEvidence(message, std::chrono::steady_clock::now());
    if (!update.empty()) {
        m_handler.importEvidence(update);
    }
}

void mesh_node::implementation::take(const wire::gateway_state &message)
{
    addPeer({message.instance(), message.failure_domain(), message.address()});
    const auto peer = m_peers.find(message.instance());
    if (peer == m_peers.end()) {
        return;
    }
    peer->second.position = toUpdatePosition(message);
    peer->second.lastReceived = std::chrono::steady_clock::now();
    peer->second.downUntil = {};
    m_lastReceived = peer->second.lastReceived;
    peer_report report = toReport(message, peer->second.lastReceived);
    m_reports.take(report);
    m_handler.onReport(std::move(report));
    if (!message.news().empty()) {
        m_handler.importUpdates(message.news());
    }
    takeEvidence(message.evidence(), message.incarnation(), peer->second.evidence);
    const lease_state lease{{{message.lease_epoch()}, message.lease_end()}, {message.lease_holder(), {message.lease_holder_epoch()}}};
    const peer_confirmations known{toConfirmation(message.config_confirmation()), toConfirmation(message.fleet_confirmation()),
                                   toConfirmation(message.coordinator_confirmation()), lease};
    const update_position position = toUpdatePosition(message);
    m_handler.onConfirmations(known, position);
    const update_position own = m_handler.position(); // after the import of what the message carried
    const bool incomplete = message.news().empty() ? lacksUpdates(own, position) : lacksConfig(own, position);
    if (incomplete && !m_reader.reading()) {
        readUpdates(message.instance());
    }
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
    peer.position.reset();
    peer.lastReceived = std::chrono::steady_clock::now();
    logLine(log_level::info, "peer_known", {{"peer", member.instance}, {"address", member.address}});
    m_counters.set("peers_known", static_cast<double>(m_peers.size()));
}

void mesh_node::implementation::connect(peer_entry &peer) const
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 200);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 200);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1000);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, 1000); // a dead connection is otherwise not detected
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

// In each pair of relays the one with the smaller name calls, so that a pair exchanges once per round; the other one calls
// if it receives no call. A member calls its relay.
void mesh_node::implementation::round()
{
    const steady_time now = std::chrono::steady_clock::now();
    removeGonePeers(now);
    mesh_links current = links(now);
    if (now - m_lastReceived > ISOLATED_AFTER) {
        current.rank = 0; // nobody confirms anything to this instance
    }
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
        const bool ours = !m_relay || m_settings.instance < instance || now - peer.lastReceived > MISSED_CALL_DELAY;
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

void mesh_node::implementation::removeGonePeers(steady_time now)
{
    std::erase_if(m_peers, [now](const auto &entry) {
        const peer_entry &peer = entry.second;
        return peer.failing && !peer.busy && now - std::max(peer.failedSince, peer.lastReceived) > PEER_REMOVAL_DELAY;
    });
}

void mesh_node::implementation::call(const std::string &instance, peer_entry &peer)
{
    if (!peer.stub) {
        connect(peer);
    }
    peer.busy = true;
    const auto one = std::make_shared<outgoing_call>();
    one->context.set_deadline(std::chrono::system_clock::now() + EXCHANGE_TIMEOUT);
    fill(&one->request, peer.position, m_relay ? load_scope::cluster : load_scope::member, instance);
    countBytes("sent", one->request);
    ++m_pendingCalls;
    peer.stub->async()->exchange(&one->context, &one->request, &one->reply, [this, one, instance](const grpc::Status &status) {
        m_loop.post([this, one, instance, status, alive = m_alive] {
            if (*alive) {
                handleReply(instance, status, *one);
            }
        });
        --m_pendingCalls;
    });
}

// Counts updates apart from the rest of a state: only they grow with what the receiver lacks.
void mesh_node::implementation::countBytes(const char *direction, const wire::gateway_state &message)
{
    const std::size_t updates = message.news().size();
    m_counters.count("peer_bytes", {{"direction", direction}, {"content", "state"}}, static_cast<double>(message.ByteSizeLong() - updates));
    countUpdateBytes(direction, updates);
}

void mesh_node::implementation::countUpdateBytes(const char *direction, std::size_t bytes)
{
    m_counters.count("peer_bytes", {{"direction", direction}, {"content", "updates"}}, static_cast<double>(bytes));
}

void mesh_node::implementation::handleReply(const std::string &instance, const grpc::Status &status, const outgoing_call &one)
{
    const auto peer = m_peers.find(instance);
    if (peer == m_peers.end()) {
        return;
    }
    peer->second.busy = false;
    m_counters.count("peer_exchanges", {{"result", status.ok() ? "ok" : "failed"}});
    const steady_time now = std::chrono::steady_clock::now();
    if (!status.ok()) {
        peer->second.failedSince = peer->second.failing ? peer->second.failedSince : now;
        peer->second.downUntil = now + DOWN_PERIOD;
    }
    if (status.ok() == peer->second.failing) {
        peer->second.failing = !status.ok();
        logLine(log_level::info, status.ok() ? "peer_back" : "peer_silent",
                {{"peer", instance},
                 {"error", status.error_message()},
                 {"ms", std::to_string(std::chrono::duration_cast<milliseconds>(now - one.began).count())},
                 {"request_bytes", std::to_string(one.request.ByteSizeLong())},
                 {"update_bytes", std::to_string(one.request.news().size())}});
    }
    if (status.ok()) {
        countBytes("received", one.reply);
        take(one.reply);
    }
}

//-----------------------------------------------------------------------------
// Reading updates
//-----------------------------------------------------------------------------

grpc::ServerUnaryReactor *mesh_node::implementation::read_updates(grpc::CallbackServerContext *context, const wire::updates_request *request,
                                                                  wire::updates_part *reply)
{
    grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
    m_loop.post([this, request, reply, reactor, alive = m_alive] {
        if (!*alive || !m_started) {
            reactor->Finish({grpc::StatusCode::UNAVAILABLE, m_started ? "stopping" : "starting"});
            return;
        }
        update_part part = findPart(*request);
        countUpdateBytes("sent", part.content.size());
        reply->set_transfer(part.transfer);
        reply->set_total(part.total);
        reply->set_content(std::move(part.content));
        reactor->Finish(grpc::Status::OK);
    });
    return reactor;
}

update_part mesh_node::implementation::findPart(const wire::updates_request &request)
{
    const steady_time now = std::chrono::steady_clock::now();
    if (std::optional<update_part> part = m_source.part(request.transfer(), request.offset(), now)) {
        return *std::move(part);
    }
    const update_position since = toUpdatePosition(request.position());
    const update_position position = m_handler.position();
    if (!lacksUpdates(since, position)) {
        return {};
    }
    return m_source.firstPart(since, position, now, [&] { return m_handler.exportUpdates(since); });
}

void mesh_node::implementation::readUpdates(const std::string &instance)
{
    m_reader.begin(instance);
    m_readBegan = std::chrono::steady_clock::now();
    readPart(instance);
}

// Asks for one part at a time, so that states of other peers pass between them.
void mesh_node::implementation::readPart(const std::string &instance)
{
    const auto peer = m_peers.find(instance);
    if (peer == m_peers.end()) {
        m_reader.stop();
        return;
    }
    if (!peer->second.stub) {
        connect(peer->second);
    }
    const auto one = std::make_shared<part_call>();
    one->context.set_deadline(std::chrono::system_clock::now() + PART_TIMEOUT);
    toMessage(m_handler.position(), one->request.mutable_position());
    one->request.set_transfer(m_reader.transfer());
    one->request.set_offset(m_reader.offset());
    ++m_pendingCalls;
    peer->second.stub->async()->read_updates(&one->context, &one->request, &one->reply, [this, one, instance](const grpc::Status &status) {
        m_loop.post([this, one, instance, status, alive = m_alive] {
            if (*alive) {
                handlePart(instance, status, one->reply);
            }
        });
        --m_pendingCalls;
    });
}

// After a failure the next state that offers updates begins another read, from that peer or where this one has stopped.
void mesh_node::implementation::handlePart(const std::string &instance, const grpc::Status &status, const wire::updates_part &reply)
{
    if (!status.ok()) {
        m_reader.stop();
        m_counters.count("peer_update_reads", {{"result", "failed"}});
        logLine(log_level::info, "updates_not_read", {{"peer", instance}, {"error", status.error_message()}, {"bytes", std::to_string(m_reader.offset())}});
        return;
    }
    countUpdateBytes("received", reply.content().size());
    try {
        const std::optional<std::string> updates = m_reader.take({reply.transfer(), reply.total(), reply.content()});
        if (updates) {
            importRead(instance, *updates);
        } else {
            readPart(instance);
        }
    } catch (const std::invalid_argument &problem) {
        m_counters.count("peer_update_reads", {{"result", "malformed"}});
        logLine(log_level::warning, "updates_not_read", {{"peer", instance}, {"error", problem.what()}, {"bytes", "0"}});
    }
}

void mesh_node::implementation::importRead(const std::string &instance, const std::string &updates)
{
    m_counters.count("peer_update_reads", {{"result", "ok"}});
    if (updates.empty()) {
        return; // what was offered has arrived from elsewhere
    }
    const auto elapsed = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - m_readBegan);
    logLine(log_level::info, "updates_read", {{"peer", instance}, {"bytes", std::to_string(updates.size())}, {"ms", std::to_string(elapsed.count())}});
    m_handler.importUpdates(updates);
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

const std::string &mesh_node::advertisedAddress() const
{
    return m_impl->advertisedAddress();
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
