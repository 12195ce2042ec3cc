// gRPC service and client of the peer protocol. Sections: conversions, service, node, relayed log.

#include "peer/peer_node.h"

#include "kernel/log.h"
#include "peer.grpc.pb.h"

#include <atomic>
#include <grpcpp/grpcpp.h>

namespace chestnut
{

namespace wire = chestnutgw::wire;

namespace
{

constexpr milliseconds EXCHANGE_TIMEOUT{800};
constexpr milliseconds RELAY_TIMEOUT{2500};              // longer than an exchange, because the peer waits for the log in turn
constexpr milliseconds HEARTBEAT_CHECK_INTERVAL{250};    // between checks whether a heartbeat is due
constexpr int MAX_RELAY_PEERS = 3;                       // peers tried per relayed call
constexpr std::uint32_t MAX_RELAYED_READ_RECORDS = 2000; // records per relayed read

//-----------------------------------------------------------------------------
// Conversions
//-----------------------------------------------------------------------------

void toMessage(const member &row, wire::instance_row *message)
{
    message->set_instance(row.id.text);
    message->set_failure_domain(row.domain.text);
    message->set_address(row.address);
    message->set_incarnation(row.incarnation);
    message->set_sequence(row.sequence);
    message->set_config_offset(row.configOffset.value);
    message->set_claims_offset(row.claimsOffset.value);
    message->set_leaving(row.leaving);
    message->set_streams(static_cast<std::uint32_t>(row.streams));
    for (const account_demand &one : row.demand) {
        wire::account_demand *demand = message->add_demand();
        demand->set_account(one.account.text);
        demand->set_tokens_per_second(one.offered);
        demand->set_used_per_second(one.used);
    }
}

member fromMessage(const wire::instance_row &message)
{
    member row;
    row.id = instance_id{message.instance()};
    row.domain = domain_id{message.failure_domain()};
    row.address = message.address();
    row.incarnation = message.incarnation();
    row.sequence = message.sequence();
    row.configOffset = log_offset{message.config_offset()};
    row.claimsOffset = log_offset{message.claims_offset()};
    row.leaving = message.leaving();
    row.streams = static_cast<int>(message.streams());
    for (const wire::account_demand &one : message.demand()) {
        row.demand.push_back({account_id{one.account()}, one.tokens_per_second(), one.used_per_second()});
    }
    return row;
}

// Member rows of a request or reply; the sender's own row comes first.
template <typename message_type>
std::vector<member> rowsOf(const message_type &message)
{
    std::vector<member> rows{fromMessage(message.sender())};
    for (const wire::instance_row &row : message.rows()) {
        rows.push_back(fromMessage(row));
    }
    return rows;
}

read_result fromMessage(const wire::read_reply &reply)
{
    read_result result;
    result.ok = true;
    result.oldest = log_offset{reply.oldest()};
    result.next = log_offset{reply.next()};
    for (const wire::log_record &record : reply.records()) {
        result.entries.push_back({log_offset{record.offset()}, record.time_ms(), record.data()});
    }
    return result;
}

void toMessage(const read_result &result, wire::read_reply *reply)
{
    reply->set_oldest(result.oldest.value);
    reply->set_next(result.next.value);
    for (const log_entry &entry : result.entries) {
        wire::log_record *record = reply->add_records();
        record->set_offset(entry.offset.value);
        record->set_time_ms(entry.timeMs);
        record->set_data(entry.data);
    }
}

grpc::Status unavailable()
{
    return {grpc::StatusCode::UNAVAILABLE, "not now"};
}

// State of one outgoing call. The callback shares ownership, so it lives until the callback has run.
template <typename request_type, typename reply_type>
struct outgoing_call
{
    grpc::ClientContext context;
    request_type request;
    reply_type reply;
};

}

//-----------------------------------------------------------------------------
// Service
//-----------------------------------------------------------------------------

class peer_node::implementation : public wire::peer::CallbackService
{
public:
    implementation(event_loop &loop, metrics &counters, membership &members, const std::string &listenAddress, peer_handler handler)
        : m_loop(loop)
        , m_counters(counters)
        , m_members(members)
        , m_handler(std::move(handler))
    {
        grpc::ServerBuilder builder;
        builder.AddListeningPort(listenAddress, grpc::InsecureServerCredentials(), &m_port);
        builder.RegisterService(this);
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
        m_server = builder.BuildAndStart();
        if (!m_server || m_port == 0) {
            throw std::runtime_error("peer service cannot listen on " + listenAddress + ": check that the address is valid and not in use");
        }
    }
    ~implementation() override
    {
        *m_alive = false;
        m_server->Shutdown(std::chrono::system_clock::now() + std::chrono::milliseconds(200));
    }

    grpc::ServerUnaryReactor *exchange(grpc::CallbackServerContext *context, const wire::exchange_request *request, wire::exchange_reply *reply) override
    {
        grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
        m_loop.post([this, request, reply, reactor, alive = m_alive] {
            const std::vector<member> rows = rowsOf(*request);
            if (!*alive || m_blockedPeers.contains(rows.front().id.text)) {
                reactor->Finish(unavailable());
                return;
            }
            const steady_time now = std::chrono::steady_clock::now();
            m_members.merge(rows, now);
            toMessage(m_members.self(), reply->mutable_sender());
            for (const member &row : m_members.rowsFor(rows.front().address, now)) {
                toMessage(row, reply->add_rows());
            }
            m_counters.count("chestnutgw_peer_bytes_total", {{"direction", "in"}}, static_cast<double>(request->ByteSizeLong()));
            m_counters.count("chestnutgw_peer_bytes_total", {{"direction", "out"}}, static_cast<double>(reply->ByteSizeLong()));
            m_handler.onExchange(rows);
            reactor->Finish(grpc::Status::OK);
        });
        return reactor;
    }

    grpc::ServerUnaryReactor *readRecords(grpc::CallbackServerContext *context, const wire::read_request *request, wire::read_reply *reply) override
    {
        grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
        m_loop.post([this, request, reply, reactor, alive = m_alive] {
            if (!*alive) {
                reactor->Finish(unavailable());
                return;
            }
            m_handler.read(request->stream(), log_offset{request->from()}, [reply, reactor](const read_result &result) {
                if (!result.ok) {
                    reactor->Finish(unavailable());
                    return;
                }
                toMessage(result, reply);
                reactor->Finish(grpc::Status::OK);
            });
        });
        return reactor;
    }

    grpc::ServerUnaryReactor *appendRecords(grpc::CallbackServerContext *context, const wire::append_request *request, wire::append_reply *reply) override
    {
        grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
        m_loop.post([this, request, reply, reactor, alive = m_alive] {
            if (!*alive) {
                reactor->Finish(unavailable());
                return;
            }
            const std::vector<std::string> records(request->data().begin(), request->data().end());
            m_handler.append(request->stream(), records, [reply, reactor](const append_result &result) {
                reply->set_result(static_cast<std::uint32_t>(result.status));
                reply->set_first_offset(result.first.value);
                reactor->Finish(grpc::Status::OK);
            });
        });
        return reactor;
    }

    //-------------------------------------------------------------------------
    // Node
    //-------------------------------------------------------------------------

    int port() const
    {
        return m_port;
    }

    void start()
    {
        m_loop.post([this, alive = m_alive] {
            if (*alive) {
                runExchangeRound();
            }
        });
    }

    void runExchangeRound()
    {
        const steady_time now = std::chrono::steady_clock::now();
        if (m_members.advanceHeartbeat(now)) {
            for (const std::string &address : m_members.targets(now)) {
                sendExchange(address, now);
            }
        }
        for (const auto &[row, state] : m_members.takeChanges(now)) {
            static constexpr const char *NAMES[] = {"alive", "suspect", "dead"};
            logLine(log_level::info, "member_state",
                    {{"instance", row.id.text}, {"state", NAMES[static_cast<int>(state)]}, {"failure_domain", row.domain.text}});
        }
        m_loop.after(HEARTBEAT_CHECK_INTERVAL, [this, alive = m_alive] {
            if (*alive) {
                runExchangeRound();
            }
        });
    }

    void sendExchange(const std::string &address, steady_time now)
    {
        if (isBlockedAddress(address)) {
            m_members.exchangeFailed(address);
            return;
        }
        const auto call = std::make_shared<outgoing_call<wire::exchange_request, wire::exchange_reply>>();
        toMessage(m_members.self(), call->request.mutable_sender());
        for (const member &row : m_members.rowsFor(address, now)) {
            toMessage(row, call->request.add_rows());
        }
        m_counters.count("chestnutgw_peer_bytes_total", {{"direction", "out"}}, static_cast<double>(call->request.ByteSizeLong()));
        m_counters.count("chestnutgw_peer_exchanges_total");
        call->context.set_deadline(std::chrono::system_clock::now() + EXCHANGE_TIMEOUT);
        stub(address).async()->exchange(&call->context, &call->request, &call->reply, [this, call, address, alive = m_alive](const grpc::Status &status) {
            m_loop.post([this, call, address, ok = status.ok(), alive] {
                if (*alive) {
                    handleExchangeResult(address, ok, call->reply);
                }
            });
        });
    }

    void handleExchangeResult(const std::string &address, bool ok, const wire::exchange_reply &reply)
    {
        if (!ok) {
            m_members.exchangeFailed(address);
            return;
        }
        m_counters.count("chestnutgw_peer_bytes_total", {{"direction", "in"}}, static_cast<double>(reply.ByteSizeLong()));
        const std::vector<member> rows = rowsOf(reply);
        m_members.merge(rows, std::chrono::steady_clock::now());
        m_handler.onExchange(rows);
    }

    void readViaNextPeer(std::vector<std::string> addresses, const std::string &stream, log_offset from, const std::function<void(read_result)> &done)
    {
        if (addresses.empty()) {
            done({});
            return;
        }
        const std::string address = addresses.back();
        addresses.pop_back();
        const auto call = std::make_shared<outgoing_call<wire::read_request, wire::read_reply>>();
        call->request.set_stream(stream);
        call->request.set_from(from.value);
        call->request.set_limit(MAX_RELAYED_READ_RECORDS);
        call->context.set_deadline(std::chrono::system_clock::now() + RELAY_TIMEOUT);
        stub(address).async()->readRecords(&call->context, &call->request, &call->reply,
                                           [this, call, addresses, stream, from, done, alive = m_alive](const grpc::Status &status) {
                                               m_loop.post([this, call, addresses, stream, from, done, ok = status.ok(), alive] {
                                                   if (!*alive) {
                                                       return;
                                                   }
                                                   if (ok) {
                                                       m_counters.count("chestnutgw_relayed_reads_total");
                                                       done(fromMessage(call->reply));
                                                       return;
                                                   }
                                                   readViaNextPeer(addresses, stream, from, done);
                                               });
                                           });
    }

    // worstStatus: most uncertain result of the peers tried so far. If one of them may have appended the records (unknown), the
    // result stays unknown even if a later peer refuses.
    void appendViaNextPeer(std::vector<std::string> addresses, const std::string &stream, const std::vector<std::string> &records, append_status worstStatus,
                           const std::function<void(append_result)> &done)
    {
        if (addresses.empty()) {
            done({worstStatus, {}});
            return;
        }
        const std::string address = addresses.back();
        addresses.pop_back();
        const auto call = std::make_shared<outgoing_call<wire::append_request, wire::append_reply>>();
        call->request.set_stream(stream);
        for (const std::string &record : records) {
            call->request.add_data(record);
        }
        call->context.set_deadline(std::chrono::system_clock::now() + RELAY_TIMEOUT);
        stub(address).async()->appendRecords(&call->context, &call->request, &call->reply,
                                             [this, call, addresses, stream, records, worstStatus, done, alive = m_alive](const grpc::Status &status) {
                                                 m_loop.post([this, call, addresses, stream, records, worstStatus, done, ok = status.ok(), alive] {
                                                     if (!*alive) {
                                                         return;
                                                     }
                                                     const append_status peerStatus
                                                         = ok && call->reply.result() <= static_cast<std::uint32_t>(append_status::unknown)
                                                         ? static_cast<append_status>(call->reply.result())
                                                         : append_status::unknown;
                                                     if (peerStatus == append_status::appended) {
                                                         m_counters.count("chestnutgw_relayed_appends_total");
                                                         done({peerStatus, log_offset{call->reply.first_offset()}});
                                                         return;
                                                     }
                                                     appendViaNextPeer(addresses, stream, records, std::max(worstStatus, peerStatus), done);
                                                 });
                                             });
    }

    // Addresses of live peers for relayed calls, tried from the back. Peers in the own failure domain come last, so they are
    // tried first.
    std::vector<std::string> relayAddresses() const
    {
        const steady_time now = std::chrono::steady_clock::now();
        std::vector<std::string> sameDomain;
        std::vector<std::string> others;
        for (const member &row : m_members.alive(now)) {
            if (row.id == const_cast<membership &>(m_members).self().id || row.leaving || m_blockedPeers.contains(row.id.text)) {
                continue;
            }
            (row.domain == const_cast<membership &>(m_members).self().domain ? sameDomain : others).push_back(row.address);
        }
        others.insert(others.end(), sameDomain.begin(), sameDomain.end());
        if (others.size() > MAX_RELAY_PEERS) {
            others.erase(others.begin(), others.end() - MAX_RELAY_PEERS);
        }
        return others;
    }

    void setBlockedPeers(std::set<std::string> instances)
    {
        m_blockedPeers = std::move(instances);
    }

private:
    bool isBlockedAddress(const std::string &address) const
    {
        if (m_blockedPeers.empty()) {
            return false;
        }
        for (const auto &[row, state] : m_members.all(std::chrono::steady_clock::now())) {
            if (row.address == address && m_blockedPeers.contains(row.id.text)) {
                return true;
            }
        }
        return false;
    }

    wire::peer::Stub &stub(const std::string &address)
    {
        auto &known = m_stubs[address];
        if (!known) {
            grpc::ChannelArguments arguments;
            arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1000);
            arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 200);
            arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 200);
            arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, 10'000);
            arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, 2000);
            known = wire::peer::NewStub(grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments));
        }
        return *known;
    }

    event_loop &m_loop;
    metrics &m_counters;
    membership &m_members;
    peer_handler m_handler;
    int m_port = 0;
    std::unique_ptr<grpc::Server> m_server;
    std::map<std::string, std::unique_ptr<wire::peer::Stub>> m_stubs;
    std::set<std::string> m_blockedPeers; // peers that a test has cut off, by instance name
    std::shared_ptr<std::atomic<bool>> m_alive = std::make_shared<std::atomic<bool>>(true);
};

peer_node::peer_node(event_loop &loop, metrics &counters, membership &members, const std::string &listenAddress, peer_handler handler)
    : m_impl(std::make_unique<implementation>(loop, counters, members, listenAddress, std::move(handler)))
{
}

peer_node::~peer_node() = default;

int peer_node::port() const
{
    return m_impl->port();
}

void peer_node::start()
{
    m_impl->start();
}

void peer_node::readViaPeers(const std::string &stream, log_offset from, std::function<void(read_result)> done)
{
    m_impl->readViaNextPeer(m_impl->relayAddresses(), stream, from, done);
}

void peer_node::appendViaPeers(const std::string &stream, const std::vector<std::string> &records, std::function<void(append_result)> done)
{
    m_impl->appendViaNextPeer(m_impl->relayAddresses(), stream, records, append_status::refused, done);
}

void peer_node::setBlockedPeers(std::set<std::string> instances)
{
    m_impl->setBlockedPeers(std::move(instances));
}

//-----------------------------------------------------------------------------
// Relayed log
//-----------------------------------------------------------------------------

void relayed_log::append(const std::string &stream, std::vector<std::string> records, std::function<void(append_result)> done)
{
    m_direct.append(stream, records, [this, stream, records, done](const append_result &direct) {
        if (direct.status == append_status::appended || direct.status == append_status::throttled) {
            done(direct);
            return;
        }
        m_peers.appendViaPeers(stream, records, [direct, done](append_result relayed) {
            if (relayed.status != append_status::appended) {
                relayed.status = std::max(direct.status, relayed.status);
            }
            done(relayed);
        });
    });
}

void relayed_log::read(const std::string &stream, log_offset from, int limit, milliseconds wait, std::function<void(read_result)> done)
{
    m_direct.read(stream, from, limit, wait, std::move(done));
}

}
