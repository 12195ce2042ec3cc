#include "gateway/stage_prober.h"

#include "gateway/completion.h"
#include "gateway/spawn.h"
#include "gateway/stream_attempt.h"

#include <boost/beast/core/tcp_stream.hpp>

#include <algorithm>

namespace chestnut
{

namespace
{

using tcp = asio::ip::tcp;

constexpr milliseconds PROBE_TIMEOUT{40};           // servers of the region accept within a few ms
constexpr std::size_t ATTEMPT_SWEEP_THRESHOLD = 64; // beyond this number of entries, ended attempts are removed from the list

}

void stage_prober::watch(const std::shared_ptr<stream_attempt> &attempt)
{
    if (m_attempts.size() > ATTEMPT_SWEEP_THRESHOLD) {
        std::erase_if(m_attempts, [](const auto &known) { return known.expired(); });
    }
    m_attempts.push_back(attempt);
}

void stage_prober::probe(const std::shared_ptr<stream_attempt> &attempt)
{
    const auto suspected = std::make_shared<suspects>();
    for (const path_stage &stage : attempt->path) {
        if (m_lastData(stage.address) > attempt->lastData) {
            ++suspected->alive;
        } else {
            suspected->addresses.push_back(stage.address);
        }
    }
    for (const std::string &address : m_probes.begin(suspected->addresses, std::chrono::steady_clock::now())) {
        spawnLogged(m_context, "stage_probe", probeServer(address, suspected));
    }
    settle(*suspected); // results of other streams' probes
}

asio::awaitable<void> stage_prober::probeServer(std::string address, std::shared_ptr<const suspects> suspected)
{
    probe_result result = co_await connect(address);
    if (result == probe_result::unanswered) { // the packets may have been lost
        result = co_await connect(address);
    }
    m_probes.noteResult(address, result, std::chrono::steady_clock::now());
    m_counters.count("stage_probes", {{"result", toText(result)}});
    settle(*suspected);
}

asio::awaitable<probe_result> stage_prober::connect(std::string address)
{
    const std::optional<tcp::endpoint> endpoint = parseEndpoint(address);
    if (!endpoint) {
        co_return probe_result::accepted; // no verdict on an address that cannot be read
    }
    beast::tcp_stream stream(m_context);
    stream.expires_after(PROBE_TIMEOUT);
    boost::system::error_code error;
    co_await stream.async_connect(*endpoint, into(error));
    if (error == asio::error::connection_refused) {
        co_return probe_result::refused;
    }
    const bool unanswered = error == beast::error::timeout || error == asio::error::host_unreachable || error == asio::error::network_unreachable;
    co_return unanswered ? probe_result::unanswered : probe_result::accepted;
}

void stage_prober::settle(const suspects &suspected)
{
    const steady_time now = std::chrono::steady_clock::now();
    for (const std::string &address : m_probes.lost(suspected.addresses, suspected.alive, now)) {
        m_onLost(address, m_probes.resultOf(address));
        wakeUsersOf(address);
    }
}

void stage_prober::wakeUsersOf(const std::string &address)
{
    const steady_time now = std::chrono::steady_clock::now();
    for (const auto &known : m_attempts) {
        const auto attempt = known.lock();
        if (!attempt || attempt->ended || !attempt->usesStage(address) || attempt->silence(now) < attempt->pace.meanInterval()) {
            continue;
        }
        attempt->stageLost = true;
        attempt->stallTimer.cancel();
    }
}

}
