#pragma once

#include "core/chestnutgw.h"
#include "kernel/event_loop.h"
#include "kernel/metrics.h"
#include "platform/platform.h"

#include <functional>
#include <memory>

namespace chestnut
{

// What a node answers to its peers. Called on the node's loop.
struct peer_handler
{
    stream_source read; // records of a stream for a peer that cannot reach the log
    std::function<void(const std::string &stream, std::vector<std::string> records, std::function<void(append_result)> done)> append;
    std::function<void(const std::vector<member> &)> onExchange; // after rows were merged
};

// Speaks to the other instances over gRPC: membership exchange and log relay. Loop thread only, unless said otherwise.
class peer_node
{
public:
    // Throws std::runtime_error if the address cannot be bound.
    peer_node(event_loop &loop, metrics &counters, membership &members, const std::string &listenAddress, peer_handler handler);
    ~peer_node();
    peer_node(const peer_node &) = delete;
    peer_node &operator=(const peer_node &) = delete;

    // Port of the peer service.
    int port() const;
    // Starts the rounds of exchanges.
    void start();
    // Reads through the live peers, one after the other, until one answers.
    void readThroughPeers(const std::string &stream, log_offset from, std::function<void(read_result)> done);
    // Appends through the live peers, one after the other, until one has appended.
    void appendThroughPeers(const std::string &stream, const std::vector<std::string> &records, std::function<void(append_result)> done);
    // Fault for tests: addresses with which no message is exchanged.
    void setCut(std::set<std::string> instances);

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

// A log that falls back to the peers when it cannot be reached. Records must be idempotent: a record may be appended
// twice, once directly and once through a peer.
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
