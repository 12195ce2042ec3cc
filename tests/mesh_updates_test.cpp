// Tests what instances pass to each other over links that are slow for its size.

#include "mesh/mesh_node.h"
#include "process.h"
#include "soak/link.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <mutex>

using namespace chestnut;
using namespace chestnut::test;

namespace
{

constexpr std::size_t UPDATE_BYTES = 80'000;  // takes longer than an exchange may on a squeezed link
constexpr milliseconds APPLY_LIMIT{3000};     // within which an instance must have a change
constexpr milliseconds SQUEEZE_TIME{120'000}; // longer than the test
constexpr const char *UNKNOWN_TARGET = "127.0.0.1:1";

// An instance whose updates are one versioned text, reached over a link of its own.
class test_instance
{
public:
    test_instance(soak::link_network &links, const std::string &name)
        : m_link(links.add(UNKNOWN_TARGET))
        , m_name(name)
        , m_node(m_loop, m_counters, mesh_settings{name, "domain", "127.0.0.1:0", m_link, 1}, handler())
    {
        links.retarget(m_link, m_node.address());
        links.disturb(m_link, soak::link_fault::squeeze, SQUEEZE_TIME);
    }
    test_instance(const test_instance &) = delete;
    test_instance &operator=(const test_instance &) = delete;

    void start(const test_instance &peer)
    {
        m_loop.run([&] {
            m_node.addPeer({peer.m_name, "domain", peer.m_link});
            m_node.start();
        });
    }
    void write(std::uint64_t version, const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        m_version = version;
        m_text = text;
    }
    std::string text() const
    {
        const std::lock_guard lock(m_mutex);
        return m_text;
    }
    int reports() const
    {
        return m_reports;
    }
    bool exchangesFailed() const
    {
        return m_counters.expose().find("result=\"failed\"") != std::string::npos;
    }

private:
    mesh_handler handler()
    {
        mesh_handler handler;
        handler.loads = [] { return std::vector<server_load>(); };
        handler.stopping = [] { return milliseconds(0); };
        handler.onReport = [this](const peer_report &) { ++m_reports; };
        handler.onRank = [](int) {};
        handler.position = [this] { return position(); };
        handler.confirmations = [] { return peer_confirmations(); };
        handler.onConfirmations = [](const peer_confirmations &, const update_position &) {};
        handler.exportUpdates = [this](const update_position &) { return std::to_string(position().fleet.offset) + ":" + text(); };
        handler.importUpdates = [this](const std::string &updates) {
            const std::size_t colon = updates.find(':');
            write(std::stoull(updates.substr(0, colon)), updates.substr(colon + 1));
        };
        handler.exportEvidence = [](std::uint64_t) { return evidence_update(); };
        handler.importEvidence = [](const evidence_update &) {};
        return handler;
    }
    update_position position() const
    {
        const std::lock_guard lock(m_mutex);
        update_position position;
        position.fleet = {{}, m_version};
        return position;
    }

    std::string m_link; // where peers reach this instance
    std::string m_name;
    mutable std::mutex m_mutex; // guards m_version and m_text
    std::uint64_t m_version = 0;
    std::string m_text;
    std::atomic<int> m_reports = 0;
    metrics m_counters;
    event_loop m_loop{"test"};
    mesh_node m_node;
};

}

TEST_CASE("an update that is too large for an exchange on a slow link arrives, and no exchange fails", "[failure]")
{
    const bool callerHasIt = GENERATE(true, false); // of a pair, the instance with the smaller name calls
    CAPTURE(callerHasIt);
    soak::link_network links;
    test_instance caller(links, "a");
    test_instance called(links, "b");
    test_instance &sender = callerHasIt ? caller : called;
    test_instance &receiver = callerHasIt ? called : caller;
    caller.start(called);
    called.start(caller);
    REQUIRE(eventually([&] { return caller.reports() > 0 && called.reports() > 0; }));

    const std::string text(UPDATE_BYTES, 'x');
    sender.write(1, text);
    CHECK(eventually([&] { return receiver.text() == text; }, APPLY_LIMIT));
    const int before = receiver.reports();
    CHECK(eventually([&] { return receiver.reports() > before; }, APPLY_LIMIT));
    CHECK_FALSE(caller.exchangesFailed());
    CHECK_FALSE(called.exchangesFailed());
}
