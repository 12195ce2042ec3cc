// Passes updates of another instance to the platform adapter, malformed ones too.

#include "gateway/platform_port.h"
#include "kernel/registry.h"
#include "platform/standin/store_standin.h"
#include "process.h"

#include <catch2/catch.hpp>

using namespace chestnut;
using namespace chestnut::test;

namespace
{

// An adapter on its own event loop; the version that it reports as in force.
class following_port
{
public:
    explicit following_port(const std::string &url)
        : m_port(plugin_registry<platform_port, event_loop &, const std::string &, metrics &>::instance().make("log-store", m_loop, url, m_counters))
    {
        platform_handler handler{[this](const auto &config) { m_version = config->version; }, [](const auto &) {}, [](bool) {}};
        m_loop.run([&] { m_port->follow(std::move(handler)); });
    }
    ~following_port()
    {
        m_loop.stop();
    }
    following_port(const following_port &) = delete;
    following_port &operator=(const following_port &) = delete;

    std::uint64_t version() const
    {
        return m_version;
    }
    update_position position()
    {
        update_position position;
        m_loop.run([&] { position = m_port->position(); });
        return position;
    }
    std::string exportUpdates(const update_position &since)
    {
        std::string updates;
        m_loop.run([&] { updates = m_port->exportUpdates(since); });
        return updates;
    }
    void importUpdates(const std::string &updates)
    {
        m_loop.run([&] { m_port->importUpdates(updates); });
    }

private:
    std::atomic<std::uint64_t> m_version = 0;
    metrics m_counters;
    event_loop m_loop{"test"};
    std::unique_ptr<platform_port> m_port;
};

}

TEST_CASE("a configuration that a peer has passed on is not read from the store again", "[unit]")
{
    platform::store_standin store(2);
    store.put("keyed.op", "config", R"({"Version": 3, "Routes": [], "Services": []})");
    store.setFault(1, platform::store_fault::reset);
    following_port peer(store.url(0));
    following_port refused(store.url(1));
    REQUIRE(eventually([&] { return peer.version() == 3 && refused.position().wantsConfig; }));

    refused.importUpdates(peer.exportUpdates(refused.position()));
    CHECK(refused.version() == 3);
    CHECK(refused.position().config == peer.position().config);
}

TEST_CASE("malformed updates of another instance are ignored", "[unit]")
{
    platform::store_standin store;
    metrics counters;
    event_loop loop("test");
    const auto port = plugin_registry<platform_port, event_loop &, const std::string &, metrics &>::instance().make("log-store", loop, store.url(), counters);
    const std::string hugeArray("\x9b\xff\xff\xff\xff\xff\xff\xff\xfe", 9);
    const std::string hugeString("\xa1\x6b"
                                 "config_text"
                                 "\x7b\x7f\xff\xff\xff\xff\xff\xff\xff",
                                 22);
    const std::string deep(1'000'000, '\x81');
    const std::string wrongTypes = "\xa2\x6b"
                                   "config_text"
                                   "\x05\x67"
                                   "servers"
                                   "\x80";
    const std::string noValue = "\xa1\x6b"
                                "config_text"
                                "\xa0";
    for (const std::string &bytes : {std::string(), std::string("\xff"), hugeArray, hugeString, wrongTypes, noValue, deep}) {
        CAPTURE(bytes.size());
        CHECK_NOTHROW(port->importUpdates(bytes));
    }
    loop.stop();
}
