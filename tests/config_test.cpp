// Sheet parsing and the configuration fold.

#include "core/chestnutgw.h"

#include <catch2/catch.hpp>

using namespace chestnut;

namespace
{

const std::string HEADER
    = "kind,name,of,failure_domain,address,accelerator,layers,weight,worth,tokens_per_second,deadline_ms,key_sha256,repeat,checks_fence,state\n";

config_row modelRow(const std::string &name, int layers)
{
    config_row row;
    row.kind = "model";
    row.name = name;
    row.layers = layers;
    return row;
}

std::string change(const std::string &id, std::uint64_t base, std::vector<config_row> rows)
{
    config_change made;
    made.id = id;
    made.author = "test";
    made.base = log_offset{base};
    for (const config_row &row : rows) {
        made.rows.push_back({row.key(), row});
    }
    return encodeChange(made);
}

}

TEST_CASE("every error in a sheet is reported with its row and column", "[unit]")
{
    const parsed_sheet sheet
        = parseSheet(HEADER + "model,m1,,,,,0,,,,,,,,\nversion,v1,m2,,,,,,,,,,,,\nserver,s1,,a,nowhere,x,,,,,,,,yes,lost\nthing,t,,,,,,,,,,,,,\n");
    std::set<std::pair<int, std::string>> places;
    for (const sheet_problem &one : sheet.problems) {
        places.insert({one.row, one.column});
    }
    CHECK(places.contains({2, "layers"}));
    CHECK(places.contains({3, "of"}));
    CHECK(places.contains({4, "address"}));
    CHECK(places.contains({4, "state"}));
    CHECK(places.contains({5, "kind"}));
}

TEST_CASE("a sheet round-trips through formatting and parsing", "[unit]")
{
    const parsed_sheet sheet = parseSheet(HEADER + "model,\"a, \"\"b\"\"\",,,,,12,,,,,,,,\nversion,v1,\"a, \"\"b\"\"\",,,,,,,,,,,,retired\n");
    REQUIRE(sheet.problems.empty());
    CHECK(parseSheet(formatSheet(sheet.rows)).rows == sheet.rows);
}

TEST_CASE("disjoint changes merge and overlapping ones conflict", "[unit]")
{
    config_fold fold;
    fold.apply(log_offset{1}, change("c1", 0, {modelRow("m1", 10), modelRow("m2", 10)}));
    fold.apply(log_offset{2}, change("c2", 1, {modelRow("m1", 11)}));
    fold.apply(log_offset{3}, change("c3", 1, {modelRow("m2", 12)}));
    fold.apply(log_offset{4}, change("c4", 1, {modelRow("m1", 13)}));
    CHECK(fold.resultOf("c2")->outcome == change_outcome::accepted);
    CHECK(fold.resultOf("c3")->outcome == change_outcome::accepted);
    CHECK(fold.resultOf("c4")->outcome == change_outcome::conflict);
    CHECK(fold.rows().at("model//m1").layers == 11);
    CHECK(fold.rows().at("model//m2").layers == 12);
    CHECK(fold.rowsAt(log_offset{2})->at("model//m2").layers == 10);
}

TEST_CASE("a change appended twice is applied once", "[unit]")
{
    config_fold fold;
    fold.apply(log_offset{1}, change("c1", 0, {modelRow("m1", 10)}));
    fold.apply(log_offset{2}, change("c2", 1, {modelRow("m1", 11)}));
    fold.apply(log_offset{3}, change("c1", 0, {modelRow("m1", 10)}));
    CHECK(fold.rows().at("model//m1").layers == 11);
    CHECK(fold.resultOf("c1")->offset == log_offset{1});
}

TEST_CASE("a change that leaves references unresolved is rejected as a whole", "[unit]")
{
    config_fold fold;
    config_row version;
    version.kind = "version";
    version.name = "v1";
    version.of = "nowhere";
    fold.apply(log_offset{1}, change("c1", 0, {modelRow("m1", 10), version}));
    CHECK(fold.resultOf("c1")->outcome == change_outcome::invalid);
    CHECK(fold.rows().empty());
}

TEST_CASE("a reader that starts at a snapshot reaches the same state as one that read the whole log", "[unit]")
{
    config_fold whole;
    config_fold late;
    std::vector<std::string> log;
    const auto append = [&](const std::string &record) {
        log.push_back(record);
        whole.apply(log_offset{log.size()}, record);
    };
    append(change("c1", 0, {modelRow("m1", 10)}));
    append(change("c2", 1, {modelRow("m2", 10)}));
    const std::string snapshot = whole.encodeSnapshot();
    append(change("c3", 2, {modelRow("m1", 12)}));
    append(snapshot); // stale: taken before c3 but appended after it
    append(change("c4", 1, {modelRow("m2", 14)}));
    append(change("c5", 2, {modelRow("m1", 15)}));
    for (std::size_t i = 2; i < log.size(); ++i) {
        late.apply(log_offset{i + 1}, log[i]);
    }
    CHECK(late.started());
    CHECK(late.rows() == whole.rows());
    CHECK(late.applied() == whole.applied());
    CHECK(whole.rows().at("model//m1").layers == 12);
    for (const char *id : {"c1", "c2", "c3", "c4", "c5"}) {
        CHECK(late.resultOf(id)->outcome == whole.resultOf(id)->outcome);
    }
    CHECK(late.encodeSnapshot() == whole.encodeSnapshot());
}

TEST_CASE("a snapshot does not start a reader if records between it and the reader's first offset are missing", "[unit]")
{
    config_fold whole;
    whole.apply(log_offset{1}, change("c1", 0, {modelRow("m1", 10)}));
    config_fold late;
    late.apply(log_offset{3}, change("c3", 1, {modelRow("m1", 12)}));
    late.apply(log_offset{4}, whole.encodeSnapshot());
    CHECK_FALSE(late.started());
}

TEST_CASE("a lagging reader adopts a newer snapshot from a peer and ignores an older one", "[unit]")
{
    config_fold ahead;
    ahead.apply(log_offset{1}, change("c1", 0, {modelRow("m1", 10)}));
    const std::string old = ahead.encodeSnapshot();
    ahead.apply(log_offset{2}, change("c2", 1, {modelRow("m1", 11)}));
    config_fold behind;
    behind.apply(log_offset{1}, change("c1", 0, {modelRow("m1", 10)}));
    CHECK(behind.apply(log_offset{2}, ahead.encodeSnapshot()) == fold_step::applied);
    CHECK(behind.rows().at("model//m1").layers == 11);
    CHECK(behind.apply(log_offset{1}, old) == fold_step::ignored);
    CHECK(behind.applied() == log_offset{2});
}

TEST_CASE("undecodable records advance the fold's offset and change no rows", "[unit]")
{
    config_fold fold;
    fold.apply(log_offset{1}, change("c1", 0, {modelRow("m1", 10)}));
    for (const char *text : {"", "{", "[]", "null", R"({"type":"change"})", R"({"type":"snapshot","as_of":"x"})",
                             R"({"type":"change","id":"x","author":"","base":1,"rows":[{"key":"model//m1","row":{}}]})"}) {
        fold.apply(log_offset{fold.applied().value + 1}, text);
    }
    CHECK(fold.applied() == log_offset{8});
    CHECK(fold.rows().at("model//m1").layers == 10);
    CHECK(fold.undecodable() >= 5);
}
