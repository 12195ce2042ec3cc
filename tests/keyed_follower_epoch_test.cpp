// Tests the follower of a keyed topic across restores of the store: answers and records of several epochs, in any order.

#include "followed_topic.h"
#include "process.h"

#include <catch2/catch.hpp>

using namespace chestnut;
using namespace chestnut::test;
using namespace chestnut::platform;

namespace
{

constexpr const char *TOPIC = "keyed.servers";
constexpr store_epoch FIRST{1};
constexpr store_epoch SECOND{2};

record_batch batchOf(store_epoch epoch, const std::string &value, bool complete)
{
    const log_position position{epoch, 0};
    return {{{"a", {position, value, position}}}, {epoch, 1}, complete};
}

record_batch changesOf(followed_topic &topic, log_position from)
{
    record_batch changes;
    topic.loop.run([&] { changes = topic.follower.changesFrom(from); });
    return changes;
}

log_position knownTo(followed_topic &topic)
{
    log_position known;
    topic.loop.run([&] { known = topic.follower.knownTo(); });
    return known;
}

void merge(followed_topic &topic, const record_batch &batch)
{
    topic.loop.run([&] { topic.follower.mergeRecords(batch); });
}

}

TEST_CASE("records of an earlier epoch do not replace those of a later one, whatever their offsets", "[failure]")
{
    store_standin store;
    store.put(TOPIC, "a", "old");
    store.keepCopy();
    for (const char *value : {"2", "3", "4"}) {
        store.put(TOPIC, "a", value);
    }
    followed_topic topic(store);
    REQUIRE(eventually([&] { return topic.get("a") == "4"; }));
    const record_batch before = changesOf(topic, {});
    store.restore();
    store.put(TOPIC, "a", "5");
    REQUIRE(eventually([&] { return topic.get("a") == "5"; }));
    CHECK(knownTo(topic).epoch == SECOND);
    merge(topic, before); // passed on late by a peer that has not seen the restore
    CHECK(topic.get("a") == "5");
    CHECK(knownTo(topic).epoch == SECOND);
}

TEST_CASE("an instance enters an epoch by a peer's complete list, not by single changes", "[failure]")
{
    store_standin store;
    store.put(TOPIC, "a", "1");
    store.put(TOPIC, "forgotten", "1");
    followed_topic topic(store);
    REQUIRE(eventually([&] { return topic.size() == 2; }));
    store.setFault(0, store_fault::unresponsive);
    merge(topic, batchOf(SECOND, "2", false));
    CHECK(topic.get("a") == "1");
    CHECK(knownTo(topic).epoch == FIRST);
    const record_batch complete = batchOf(SECOND, "2", true);
    for (int times = 0; times < 2; ++times) {
        merge(topic, complete);
        CHECK(topic.get("a") == "2");
        CHECK(topic.get("forgotten").empty());
        CHECK(knownTo(topic) == log_position{SECOND, 1});
    }
}

TEST_CASE("a peer in an earlier epoch gets all records of the later one, and none that the store has forgotten", "[failure]")
{
    constexpr milliseconds KEPT{30'000};
    store_standin store;
    store.put(TOPIC, "a", "1");
    store.keepCopy();
    store.put(TOPIC, "forgotten", "1");
    followed_topic topic(store, KEPT);
    REQUIRE(eventually([&] { return topic.size() == 2; }));
    const log_position before = knownTo(topic);
    store.restore();
    REQUIRE(eventually([&] { return knownTo(topic).epoch == SECOND; }));
    CHECK(topic.get("forgotten") == "1"); // its writer may write it again
    const record_batch changes = changesOf(topic, before);
    CHECK(changes.complete);
    CHECK(changes.records.size() == 1);
    CHECK(changes.records.contains("a"));
}

TEST_CASE("several restores in a row lose no change", "[failure]")
{
    store_standin store;
    store.put(TOPIC, "a", "0");
    store.keepCopy();
    followed_topic topic(store, milliseconds(0), 0, milliseconds(500));
    for (int restored = 1; restored <= 5; ++restored) {
        store.put(TOPIC, "a", "lost");
        store.put(TOPIC, "a", "lost too");
        store.restore();
        const std::string value = std::to_string(restored);
        store.put(TOPIC, "a", value);
        CHECK(eventually([&] { return topic.get("a") == value; }));
    }
}

TEST_CASE("a malformed epoch or one that goes down loses no change", "[failure]")
{
    using values = std::vector<std::string>;
    const values header
        = GENERATE(as<values>(), values{"x"}, values{"-1"}, values{"99999999999999999999999"}, values{"2", "3"}, values{"2 "}, values{}, values{"1"});
    store_standin store;
    store.put(TOPIC, "a", "1");
    store.keepCopy();
    store.restore();
    followed_topic topic(store);
    REQUIRE(eventually([&] { return topic.get("a") == "1"; }));
    const int before = store.calls("/log-read");
    store.setEpochHeader(header);
    store.put(TOPIC, "a", "2");
    REQUIRE(eventually([&] { return store.calls("/log-read") > before + 2; }));
    store.setEpochHeader({"2"});
    CHECK(eventually([&] { return topic.get("a") == "2"; }));
    CHECK(knownTo(topic).epoch == SECOND);
}

TEST_CASE("a store without epochs whose log was recreated is listed anew", "[failure]")
{
    store_standin store;
    store.put(TOPIC, "a", "0");
    store.keepCopy();
    store.put(TOPIC, "a", "1");
    store.put(TOPIC, "a", "2");
    store.setEpochHeader({});
    followed_topic topic(store);
    REQUIRE(eventually([&] { return topic.get("a") == "2"; }));
    store.setFault(0, store_fault::reset);
    store.restore();
    store.setEpochHeader({});
    store.put(TOPIC, "a", "3");
    store.setFault(0, store_fault::none);
    CHECK(eventually([&] { return topic.get("a") == "3"; }));
}
