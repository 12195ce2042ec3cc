// Tests a follower whose store refuses it while other instances pass on records and confirmations.

#include "followed_topic.h"
#include "process.h"

#include <catch2/catch.hpp>

using namespace chestnut;
using namespace chestnut::test;
using namespace chestnut::platform;

namespace
{

constexpr const char *TOPIC = "keyed.servers";
constexpr std::uint64_t PEER = 7; // origin of its confirmations
constexpr milliseconds NEVER_OLD{60'000};
constexpr milliseconds NOTICE_LIMIT{3000}; // from the return of the store until the first rank knows of it

log_position knownTo(followed_topic &topic)
{
    log_position position;
    topic.loop.run([&] { position = topic.follower.knownTo(); });
    return position;
}

}

TEST_CASE("records that continue what an earlier process had are not taken for all records", "[unit]")
{
    store_standin store(2);
    store.setEpochHeader({});
    for (const char *key : {"one", "two", "three"}) {
        store.put(TOPIC, key, "value");
    }
    store.setFault(1, store_fault::reset);
    followed_topic peer(store);
    REQUIRE(eventually([&] { return peer.size() == 3; }));
    followed_topic restarted(store, milliseconds(0), 1);

    record_batch batch;
    peer.loop.run([&] { batch = peer.follower.changesFrom({{}, 2}); }); // the position of the earlier process
    restarted.loop.run([&] { restarted.follower.mergeRecords(batch); });
    CHECK(knownTo(restarted) == log_position());

    peer.loop.run([&] { batch = peer.follower.changesFrom({}); });
    restarted.loop.run([&] { restarted.follower.mergeRecords(batch); });
    CHECK(restarted.size() == 3);
    CHECK(knownTo(restarted) == knownTo(peer));
}

TEST_CASE("a store that is back is noticed although peers confirm that nothing is missing", "[unit]")
{
    store_standin store;
    store.setEpochHeader({});
    followed_topic topic(store);
    REQUIRE(eventually([&] { return store.calls("/log-read") > 0; }));
    const auto unreachable = [&] {
        bool lost = false;
        topic.loop.run([&] { lost = topic.follower.unreachable(); });
        return lost;
    };
    store.setFault(0, store_fault::reset);
    REQUIRE(eventually(unreachable));
    topic.loop.run([&] {
        topic.follower.setMaxConfirmationAge(NEVER_OLD);
        topic.follower.confirm({PEER, 1, milliseconds(0)}, {}, std::chrono::steady_clock::now());
    });
    store.setFault(0, store_fault::none);
    CHECK(eventually([&] { return !unreachable(); }, NOTICE_LIMIT));
}
