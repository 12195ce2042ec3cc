// Admission queue and client account limits; the tests pass in the time.

#include "core/chestnutgw.h"

#include <catch2/catch.hpp>

using namespace chestnut;

namespace
{

const steady_time NOW = steady_time(seconds(1000));

admission_request makeRequest(admission_ticket ticket, const std::string &account, double worth, milliseconds deadline = milliseconds(60'000))
{
    return {ticket, account_id{account}, 1, worth, 100, NOW + deadline};
}

}

TEST_CASE("requests are admitted while capacity is free and otherwise wait in order of worth", "[unit]")
{
    admission_queue queue;
    queue.setCapacity({100, 1});
    queue.submit(makeRequest(1, "a", 1), NOW);
    queue.submit(makeRequest(2, "b", 1), NOW);
    queue.submit(makeRequest(3, "c", 5), NOW);
    CHECK(queue.takeAdmitted() == std::vector<admission_ticket>{1});
    CHECK(queue.waiting() == 2);
    queue.ended(1, NOW);
    CHECK(queue.takeAdmitted() == std::vector<admission_ticket>{3});
    queue.ended(3, NOW);
    CHECK(queue.takeAdmitted() == std::vector<admission_ticket>{2});
}

TEST_CASE("a request that cannot meet its deadline is refused at once", "[unit]")
{
    admission_queue queue;
    queue.setCapacity({100, 1}); // an answer of 100 tokens takes 1 s
    queue.submit(makeRequest(1, "a", 1), NOW);
    queue.submit(makeRequest(2, "b", 1, milliseconds(1200)), NOW);
    CHECK(queue.takeRefused() == std::vector<admission_ticket>{2});
    CHECK(queue.backlog() > milliseconds(0));
    queue.submit(makeRequest(3, "b", 1, milliseconds(500)), NOW);
    CHECK(queue.takeRefused() == std::vector<admission_ticket>{3});
}

TEST_CASE("a request of higher worth displaces one that can then no longer meet its deadline, and that one is refused at once", "[unit]")
{
    admission_queue queue;
    queue.setCapacity({100, 1});
    queue.submit(makeRequest(1, "a", 1), NOW);
    queue.submit(makeRequest(2, "b", 1, milliseconds(2000)), NOW);
    CHECK(queue.takeRefused().empty());
    queue.submit(makeRequest(3, "c", 9, milliseconds(5000)), NOW);
    CHECK(queue.takeRefused() == std::vector<admission_ticket>{2});
    CHECK(queue.waiting() == 1);
}

TEST_CASE("among requests of equal worth the client account with the least service per weight is admitted first", "[unit]")
{
    admission_queue queue;
    queue.setCapacity({100, 2});
    for (admission_ticket i = 1; i <= 12; ++i) {
        queue.submit(makeRequest(i, "large", 1), NOW);
    }
    queue.submit(makeRequest(20, "small", 1), NOW);
    queue.takeAdmitted();
    queue.ended(1, NOW);
    CHECK(queue.takeAdmitted() == std::vector<admission_ticket>{20});
}

TEST_CASE("a client account is limited to the instance's share of its rate limit and receives a retry delay", "[unit]")
{
    account_limiter limiter;
    const account_id account{"a"};
    double granted = 0;
    for (int ms = 0; ms < 10'000; ms += 10) {
        const milliseconds back = limiter.take(account, 400, 50, 4, NOW + milliseconds(ms));
        granted += back.count() == 0 ? 50 : 0;
        CHECK(back <= milliseconds(500)); // 50 tokens at this instance's share of 100 tokens per second
    }
    CHECK(granted <= 100 * 10 + 200 + 50); // share x time, burst, and one more request
    CHECK(granted >= 100 * 10);
    CHECK(limiter.take(account_id{"b"}, 0, 1e9, 4, NOW) == milliseconds(0));
}
