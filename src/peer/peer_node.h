#pragma once

#include "core/chestnutgw.h"
#include "kernel/event_loop.h"
#include "kernel/metrics.h"
#include "platform/platform.h"

#include <functional>
#include <memory>

namespace chestnut
{

// Callbacks that serve the requests of peers. Called on the node's loop.
struct peer_handler
{
    stream_source read; // reads a stream for a peer that cannot reach the log
    // Appends records for a peer that cannot reach the log.
    std::function<void(const std::string &stream, std::vector<std::string> records, std::function<void(append_result)> done)> append;
    std::function<void(const std::vector<member> &)> onExchange; // called after the received rows were merged
};

// Exchanges membership rows with the other instances over gRPC, and relays reads and appends of the log. Loop thread only,
// unless stated otherwise.
class peer_node
{
public:
    // Starts the gRPC server. Throws std::runtime_error if the address cannot be bound.
    peer_node(event_loop &loop, metrics &counters, membership &members, const std::string &listenAddress, peer_handler handler);
    ~peer_node();
    peer_node(const peer_node &) = delete;
    peer_node &operator=(const peer_node &) = delete;

    // Bound port of the peer service.
    int port() const;
    // Starts the periodic membership exchanges. May be called from any thread.
    void start();
    // Reads via live peers, one after the other, until one succeeds. Tries up to three peers, those in the own failure domain
    // first.
    void readViaPeers(const std::string &stream, log_offset from, std::function<void(read_result)> done);
    // Appends via live peers, one after the other, until one reports success; same peers and order as for reads.
    void appendViaPeers(const std::string &stream, const std::vector<std::string> &records, std::function<void(append_result)> done);
    // Fault injection for tests: exchanges with these instances fail, and they are not used as relays.
    void setBlockedPeers(std::set<std::string> instances);

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

// Log service that appends via peers if the log refuses a direct append or does not answer; reads are always direct. Records
// must be idempotent: one may be appended twice, once directly and once via a peer.
class relayed_log : public log_service
{
public:
    relayed_log(log_service &direct, peer_node &peers)
        : m_direct(direct)
        , m_peers(peers)
    {
    }
    void append(const std::string &stream, std::vector<std::string> records, std::function<void(append_result)> done) override;
    void read(const std::string &stream, log_offset from, int limit, milliseconds wait, std::function<void(read_result)> done) override;

private:
    log_service &m_direct;
    peer_node &m_peers;
};

}
