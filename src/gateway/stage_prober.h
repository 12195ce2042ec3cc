#pragma once

// Probes the servers of streams that miss an event, and tells the streams which of them are lost. Traffic thread only.

#include "core/recovery/stage_probe.h"
#include "kernel/metrics.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace chestnut
{

namespace asio = boost::asio;
struct stream_attempt;

class stage_prober
{
public:
    // Called once for each server that is found lost, before the streams that use it are woken.
    using loss_handler = std::function<void(const std::string &address, probe_result result)>;

    stage_prober(asio::io_context &context, metrics &counters)
        : m_context(context)
        , m_counters(counters)
    {
    }
    // Time of the last data that passed through a server.
    using last_data = std::function<steady_time(const std::string &address)>;

    void setHandlers(loss_handler onLost, last_data lastData)
    {
        m_onLost = std::move(onLost);
        m_lastData = std::move(lastData);
    }
    // Wakes the attempt when one of its servers is lost, as long as it exists.
    void watch(const std::shared_ptr<stream_attempt> &attempt);
    // Probes the servers of the attempt's path, but for those through which other streams have received data since this one did; the
    // attempt is woken if one of them is lost.
    void probe(const std::shared_ptr<stream_attempt> &attempt);
    // A server is lost, as this instance or a peer has found: wakes the attempts that use it and whose next event is overdue.
    void wakeUsersOf(const std::string &address);
    // A new process serves at this address.
    void forget(const std::string &address)
    {
        m_probes.forget(address);
    }

private:
    // Servers of a path that may be lost.
    struct suspects
    {
        std::vector<std::string> addresses;
        std::size_t alive = 0; // other servers of the path, which work
    };

    asio::awaitable<void> probeServer(std::string address, std::shared_ptr<const suspects> suspected);
    // Connects to the server. The result is `unanswered` after PROBE_TIMEOUT.
    asio::awaitable<probe_result> connect(std::string address);
    void settle(const suspects &suspected);

    asio::io_context &m_context;
    metrics &m_counters;
    stage_probes m_probes;
    loss_handler m_onLost;
    last_data m_lastData;
    std::vector<std::weak_ptr<stream_attempt>> m_attempts;
};

}
