#pragma once

#include "platform/keyed_follower.h"
#include "platform/standin/store_standin.h"

#include <mutex>

namespace chestnut::test
{

constexpr const char *UNUSABLE = "unusable"; // value at which the handler of a followed topic throws

// Follower of a topic on its own event loop; the test reads the values that it reported.
struct followed_topic
{
    explicit followed_topic(const platform::store_standin &store, milliseconds outageRemovalDelay = milliseconds(0), int endpoint = 0,
                            milliseconds wait = milliseconds(0))
        : client(loop, store.url(endpoint), counters)
        , follower(loop, client, "keyed.servers", {wait, milliseconds(20), outageRemovalDelay}, handler())
    {
        loop.run([this] { follower.start(); });
    }
    ~followed_topic()
    {
        loop.stop();
    }
    platform::keyed_handler handler()
    {
        return {[this](const std::string &key, const std::string &value) {
                    if (value == UNUSABLE) {
                        throw std::runtime_error("unusable value");
                    }
                    const bool same = get(key) == value;
                    set(key, value);
                    return same ? platform::value_effect::unchanged : platform::value_effect::changed;
                },
                [this](const std::string &key) { set(key, ""); },
                [] {},
                [](bool) {},
                {}};
    }
    void set(const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(mutex);
        value.empty() ? (void)values.erase(key) : (void)(values[key] = value);
    }
    std::string get(const std::string &key)
    {
        const std::lock_guard lock(mutex);
        return values.contains(key) ? values[key] : "";
    }
    std::size_t size()
    {
        const std::lock_guard lock(mutex);
        return values.size();
    }

    metrics counters;
    std::mutex mutex; // guards values
    std::map<std::string, std::string> values;
    event_loop loop{"test"};
    platform::store_client client;
    platform::keyed_follower follower;
};

}
