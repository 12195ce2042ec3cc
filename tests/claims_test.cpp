// Claim manager and claim fold, driven step by step against an in-memory log.

#include "core/chestnutgw.h"

#include <catch2/catch.hpp>

using namespace chestnut;

namespace
{

// An in-memory claims stream and the claim managers that follow it.
struct desk_bench
{
    std::vector<std::string> log; // records in offset order
    std::vector<std::unique_ptr<claim_desk>> desks;
    steady_time now = steady_time(seconds(1000));

    claim_desk &add(const std::string &name)
    {
        desks.push_back(std::make_unique<claim_desk>(instance_id{name}, 1, claim_limits{}));
        desks.back()->setReady(true);
        return *desks.back();
    }
    void deliver(claim_desk &desk)
    {
        for (std::size_t i = desk.table().applied().value; i < log.size(); ++i) {
            desk.fold(log_offset{i + 1}, static_cast<std::int64_t>(toSeconds(now.time_since_epoch()) * 1000), log[i], now);
        }
    }
    void append(claim_desk &desk, append_status status, bool effect)
    {
        const std::vector<std::string> batch = desk.takeBatch(now);
        if (effect) {
            log.insert(log.end(), batch.begin(), batch.end());
        }
        if (!batch.empty()) {
            desk.appendEnded(status, now);
        }
    }
};

std::vector<claim_decision::kind> kinds(claim_desk &desk)
{
    std::vector<claim_decision::kind> list;
    for (const claim_decision &one : desk.takeDecisions()) {
        list.push_back(one.type);
    }
    return list;
}

using kind = claim_decision::kind;

}

TEST_CASE("the first claim in offset order owns the key, regardless of submission order", "[unit]")
{
    desk_bench bench;
    claim_desk &a = bench.add("a");
    claim_desk &b = bench.add("b");
    a.submit("k", "h", bench.now, bench.now + seconds(10));
    b.submit("k", "h", bench.now, bench.now + seconds(10));
    bench.append(b, append_status::appended, true);
    bench.append(a, append_status::appended, true);
    bench.deliver(a);
    bench.deliver(b);
    CHECK(kinds(a).empty());
    CHECK(kinds(b) == std::vector<kind>{kind::dispatch});
    a.tick(bench.now + seconds(11));
    CHECK(kinds(a) == std::vector<kind>{kind::lost_winner});
}

TEST_CASE("an append with an unknown result is resolved by reading the log", "[unit]")
{
    desk_bench bench;
    claim_desk &a = bench.add("a");
    const claim_ticket ticket = a.submit("k", "h", bench.now, bench.now + seconds(10));
    bench.append(a, append_status::unknown, true);
    CHECK(kinds(a).empty());
    bench.deliver(a);
    CHECK(kinds(a) == std::vector<kind>{kind::dispatch});
    CHECK(a.mayDispatch(ticket, bench.now));
}

TEST_CASE("a claim retried after an append with an unknown result is dispatched once when both copies reach the log", "[unit]")
{
    desk_bench bench;
    claim_desk &a = bench.add("a");
    a.submit("k", "h", bench.now, bench.now + seconds(10));
    const std::vector<std::string> late = a.takeBatch(bench.now);
    a.appendEnded(append_status::unknown, bench.now);
    bench.now += milliseconds(400);
    bench.append(a, append_status::appended, true);
    bench.log.insert(bench.log.end(), late.begin(), late.end());
    bench.deliver(a);
    CHECK(kinds(a) == std::vector<kind>{kind::dispatch});
}

TEST_CASE("a claim that succeeds after its client received not_run releases the key and is not sent", "[unit]")
{
    desk_bench bench;
    claim_desk &a = bench.add("a");
    claim_desk &b = bench.add("b");
    a.submit("k", "h", bench.now, bench.now + seconds(1));
    bench.append(a, append_status::unknown, true);
    bench.now += seconds(2);
    a.tick(bench.now);
    CHECK(kinds(a) == std::vector<kind>{kind::expired});
    bench.deliver(a);
    CHECK(kinds(a).empty());
    bench.append(a, append_status::appended, true);
    b.submit("k", "h", bench.now, bench.now + seconds(10));
    bench.append(b, append_status::appended, true);
    bench.deliver(b);
    CHECK(kinds(b) == std::vector<kind>{kind::dispatch});
}

TEST_CASE("a claim manager does not release the key of a dispatched call when another claim arrives before the outcome", "[unit]")
{
    desk_bench bench;
    claim_desk &a = bench.add("a");
    claim_desk &b = bench.add("b");
    const claim_ticket ticket = a.submit("k", "h", bench.now, bench.now + seconds(10));
    bench.append(a, append_status::appended, true);
    bench.deliver(a);
    CHECK(kinds(a) == std::vector<kind>{kind::dispatch});
    claim_record outcome;
    outcome.ran = verdict::ran;
    outcome.status = 200;
    a.finished(ticket, outcome);
    b.submit("k", "h", bench.now, bench.now + seconds(10));
    bench.append(b, append_status::appended, true);
    bench.deliver(a);
    bench.append(a, append_status::appended, true);
    bench.deliver(a);
    bench.deliver(b);
    CHECK(kinds(b) == std::vector<kind>{kind::recorded});
    CHECK(a.takeBatch(bench.now).empty());
}

TEST_CASE("the owner of a claim may not send after the dispatch limit", "[unit]")
{
    desk_bench bench;
    claim_desk &a = bench.add("a");
    const claim_ticket ticket = a.submit("k", "h", bench.now, bench.now + seconds(60));
    bench.append(a, append_status::appended, true);
    bench.deliver(a);
    CHECK(kinds(a) == std::vector<kind>{kind::dispatch});
    CHECK_FALSE(a.mayDispatch(ticket, bench.now + seconds(6)));
}

TEST_CASE("a key already used for a different request is refused", "[unit]")
{
    desk_bench bench;
    claim_desk &a = bench.add("a");
    a.submit("k", "h", bench.now, bench.now + seconds(10));
    bench.append(a, append_status::appended, true);
    bench.deliver(a);
    a.takeDecisions();
    a.submit("k", "other", bench.now, bench.now + seconds(10));
    CHECK(kinds(a) == std::vector<kind>{kind::mismatch});
}

TEST_CASE("claims are refused until the key window has been folded and while the log refuses appends", "[unit]")
{
    desk_bench bench;
    claim_desk &a = bench.add("a");
    a.setReady(false);
    a.submit("k", "h", bench.now, bench.now + seconds(10));
    CHECK(kinds(a) == std::vector<kind>{kind::refused});
    a.setReady(true);
    a.submit("k", "h", bench.now, bench.now + seconds(10));
    bench.append(a, append_status::refused, false);
    CHECK(kinds(a) == std::vector<kind>{kind::refused});
    a.submit("k2", "h", bench.now, bench.now + seconds(10));
    CHECK(kinds(a) == std::vector<kind>{kind::refused});
}

TEST_CASE("keys are evicted from the window by the log's clock", "[unit]")
{
    claim_table table(milliseconds(1000));
    claim_record first;
    first.key = "k";
    first.attempt = "a1";
    table.apply(log_offset{1}, 10'000, first);
    claim_record second = first;
    second.attempt = "a2";
    table.apply(log_offset{2}, 10'900, second);
    CHECK(table.find("k")->winner == "a1");
    second.attempt = "a3";
    table.apply(log_offset{3}, 11'100, second);
    CHECK(table.find("k")->winner == "a3");
}

TEST_CASE("claim records round-trip through encoding, and malformed text is refused", "[unit]")
{
    claim_record record;
    record.type = claim_record::kind::outcome;
    record.key = "a/b/c";
    record.attempt = "x.1.2";
    record.ran = verdict::may_have_run;
    record.status = 504;
    record.body = std::string("\x00\xff\"", 3);
    const claim_record back = decodeClaim(encodeClaim(record));
    CHECK(back.body == record.body);
    CHECK(back.ran == record.ran);
    CHECK(back.status == 504);
    for (const char *text : {"", "{}", "[]", R"({"k":"a","a":"b","t":"other"})", R"({"k":1,"a":"b","t":"claim"})",
                             R"({"k":"a","a":"b","t":"outcome","v":"ran","s":200,"c":"","b":"***","x":false})"}) {
        CHECK_THROWS_AS(decodeClaim(text), std::invalid_argument);
    }
}
