// Feeds malformed updates of another instance to the platform adapter.

#include "gateway/platform_port.h"
#include "kernel/registry.h"
#include "platform/standin/store_standin.h"

#include <catch2/catch.hpp>

using namespace chestnut;

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
