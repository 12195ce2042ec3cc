// Claim manager and claim fold, driven step by step against an in-memory log.

#include "core/chestnutgw.h"

#include <catch2/catch.hpp>

using namespace chestnut;

namespace
{

// An in-memory claims stream and the claim managers that follow it.
struct claim_harness
{
    std::vector<std::string> log; // records in offset order
    std::vector<std::unique_ptr<claim_manager>> managers;
    steady_time now = steady_time(seconds(1000));

    claim_manager &add(const std::string &name)
    {
        managers.push_back(std::make_unique<claim_manager>(instance_id{name}, 1, claim_limits{}));
        managers.back()->setReady(true);
        return *managers.back();
    }
    void deliver(claim_manager &manager)
    {
        for (std::size_t i = manager.table().applied().value; i < log.size(); ++i) {
            manager.fold(log_offset{i + 1}, static_cast<std::int64_t>(toSeconds(now.time_since_epoch()) * 1000), log[i], now);
        }
    }
    void append(claim_manager &manager, append_status status, bool effect)
    {
        const std::vector<std::string> batch = manager.takeBatch(now);
        if (effect) {
            log.insert(log.end(), batch.begin(), batch.end());
        }
        if (!batch.empty()) {
            manager.appendEnded(status, now);
        }
    }
};

std::vector<claim_decision::kind> kinds(claim_manager &manager)
{
    std::vector<claim_decision::kind> list;
    for (const claim_decision &one : manager.takeDecisions()) {
        list.push_back(one.type);
    }
    return list;
}

using kind = claim_decision::kind;

}

TEST_CASE("the first claim in offset order owns the key, regardless of submission order", "[unit]")
{
    claim_harness harness;
    claim_manager &a = harness.add("a");
    claim_manager &b = harness.add("b");
    a.submit("k", "h", harness.now, harness.now + seconds(10));
    b.submit("k", "h", harness.now, harness.now + seconds(10));
    harness.append(b, append_status::appended, true);
    harness.append(a, append_status::appended, true);
    harness.deliver(a);
    harness.deliver(b);
    CHECK(kinds(a).empty());
    CHECK(kinds(b) == std::vector<kind>{kind::dispatch});
    a.tick(harness.now + seconds(11));
    CHECK(kinds(a) == std::vector<kind>{kind::outcome_timeout});
}

TEST_CASE("an append with an unknown result is resolved by reading the log", "[unit]")
{
    claim_harness harness;
    claim_manager &a = harness.add("a");
    const claim_ticket ticket = a.submit("k", "h", harness.now, harness.now + seconds(10));
    harness.append(a, append_status::unknown, true);
    CHECK(kinds(a).empty());
    harness.deliver(a);
    CHECK(kinds(a) == std::vector<kind>{kind::dispatch});
    CHECK(a.mayDispatch(ticket, harness.now));
}

TEST_CASE("a claim retried after an append with an unknown result is dispatched once when both copies reach the log", "[unit]")
{
    claim_harness harness;
    claim_manager &a = harness.add("a");
    a.submit("k", "h", harness.now, harness.now + seconds(10));
    const std::vector<std::string> late = a.takeBatch(harness.now);
    a.appendEnded(append_status::unknown, harness.now);
    harness.now += milliseconds(400);
    harness.append(a, append_status::appended, true);
    harness.log.insert(harness.log.end(), late.begin(), late.end());
    harness.deliver(a);
    CHECK(kinds(a) == std::vector<kind>{kind::dispatch});
}

TEST_CASE("a claim that succeeds after its client received not_run releases the key and is not sent", "[unit]")
{
    claim_harness harness;
    claim_manager &a = harness.add("a");
    claim_manager &b = harness.add("b");
    a.submit("k", "h", harness.now, harness.now + seconds(1));
    harness.append(a, append_status::unknown, true);
    harness.now += seconds(2);
    a.tick(harness.now);
    CHECK(kinds(a) == std::vector<kind>{kind::expired});
    harness.deliver(a);
    CHECK(kinds(a).empty());
    harness.append(a, append_status::appended, true);
    b.submit("k", "h", harness.now, harness.now + seconds(10));
    harness.append(b, append_status::appended, true);
    harness.deliver(b);
    CHECK(kinds(b) == std::vector<kind>{kind::dispatch});
}

TEST_CASE("a claim manager does not release the key of a dispatched call when another claim arrives before the outcome", "[unit]")
{
    claim_harness harness;
    claim_manager &a = harness.add("a");
    claim_manager &b = harness.add("b");
    const claim_ticket ticket = a.submit("k", "h", harness.now, harness.now + seconds(10));
    harness.append(a, append_status::appended, true);
    harness.deliver(a);
    CHECK(kinds(a) == std::vector<kind>{kind::dispatch});
    claim_record outcome;
    outcome.ran = verdict::ran;
    outcome.status = 200;
    a.finished(ticket, outcome);
    b.submit("k", "h", harness.now, harness.now + seconds(10));
    harness.append(b, append_status::appended, true);
    harness.deliver(a);
    harness.append(a, append_status::appended, true);
    harness.deliver(a);
    harness.deliver(b);
    CHECK(kinds(b) == std::vector<kind>{kind::recorded});
    CHECK(a.takeBatch(harness.now).empty());
}

TEST_CASE("the owner of a claim may not send after the dispatch limit", "[unit]")
{
    claim_harness harness;
    claim_manager &a = harness.add("a");
    const claim_ticket ticket = a.submit("k", "h", harness.now, harness.now + seconds(60));
    harness.append(a, append_status::appended, true);
    harness.deliver(a);
    CHECK(kinds(a) == std::vector<kind>{kind::dispatch});
    CHECK_FALSE(a.mayDispatch(ticket, harness.now + seconds(6)));
}

TEST_CASE("a key already used for a different request is refused", "[unit]")
{
    claim_harness harness;
    claim_manager &a = harness.add("a");
    a.submit("k", "h", harness.now, harness.now + seconds(10));
    harness.append(a, append_status::appended, true);
    harness.deliver(a);
    a.takeDecisions();
    a.submit("k", "other", harness.now, harness.now + seconds(10));
    CHECK(kinds(a) == std::vector<kind>{kind::mismatch});
}

TEST_CASE("claims are refused until the key window has been folded and while the log refuses appends", "[unit]")
{
    claim_harness harness;
    claim_manager &a = harness.add("a");
    a.setReady(false);
    a.submit("k", "h", harness.now, harness.now + seconds(10));
    CHECK(kinds(a) == std::vector<kind>{kind::refused});
    a.setReady(true);
    a.submit("k", "h", harness.now, harness.now + seconds(10));
    harness.append(a, append_status::refused, false);
    CHECK(kinds(a) == std::vector<kind>{kind::refused});
    a.submit("k2", "h", harness.now, harness.now + seconds(10));
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
