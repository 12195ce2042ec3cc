// Tests which exchanges are ended when incomplete messages take too much memory.

#include "core/buffer_quota.h"

#include <catch2/catch.hpp>
#include <list>

using namespace chestnut;

TEST_CASE("exchanges that keep much are ended once all together keep too much, small ones go on", "[unit]")
{
    buffer_quota quota;
    std::list<buffered_bytes> large;
    while (quota.total() <= buffer_quota::MAX_TOTAL) {
        large.emplace_back(quota).set(std::size_t(1) << 20);
    }
    buffered_bytes small(quota);
    small.set(buffer_quota::SMALL);
    CHECK(large.front().exceeded());
    CHECK(large.back().exceeded());
    CHECK_FALSE(small.exceeded());
    large.pop_front();
    small.set(0);
    CHECK_FALSE(large.front().exceeded());
}

TEST_CASE("bytes of an exchange that has ended are not counted", "[unit]")
{
    buffer_quota quota;
    {
        buffered_bytes one(quota);
        one.grow(1000);
        one.grow(500);
        CHECK(one.size() == 1500);
        one.set(200);
        CHECK(quota.total() == 200);
    }
    CHECK(quota.total() == 0);
}
