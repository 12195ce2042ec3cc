// Feeds the decoders samples mutated with a fixed seed. A decoder must accept the bytes, ignore them or throw its documented
// exception.

#include "core/event_splitter.h"
#include "kernel/hash.h"
#include "platform/decode.h"

#include <catch2/catch.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <pcg_random.hpp>

using namespace chestnut;
using namespace chestnut::platform;

namespace
{

constexpr int MUTATIONS_PER_SAMPLE = 4000; // all decoders together take about a second

std::string mutate(std::string bytes, pcg32 &random)
{
    const std::uint32_t changes = 1 + random(6);
    for (std::uint32_t i = 0; i < changes && !bytes.empty(); ++i) {
        const std::size_t at = random(static_cast<std::uint32_t>(bytes.size()));
        switch (random(5)) {
        case 0:
            bytes[at] = static_cast<char>(random(256));
            break;
        case 1:
            bytes.erase(at, 1 + random(8));
            break;
        case 2:
            bytes.insert(at, bytes.substr(random(static_cast<std::uint32_t>(bytes.size())), 1 + random(16)));
            break;
        case 3:
            bytes.resize(at);
            break;
        default:
            bytes.insert(at, 1, "\"{}[]:,0-9e\n\xff"[random(13)]);
            break;
        }
    }
    return bytes;
}

// Runs a decoder on mutated samples. Any exception other than std::invalid_argument fails the test.
void fuzzDecoder(const std::vector<std::string> &samples, const std::function<void(const std::string &)> &decode)
{
    pcg32 random(20261204);
    for (const std::string &sample : samples) {
        for (int round = 0; round < MUTATIONS_PER_SAMPLE; ++round) {
            const std::string bytes = mutate(sample, random);
            try {
                decode(bytes);
            } catch (const std::invalid_argument &) { // rejected
            } catch (const std::exception &problem) {
                FAIL(problem.what() << " on " << encodeBase64(bytes));
            }
        }
    }
    SUCCEED();
}

const std::string CONFIG = R"({"Version":7,"Routes":[{"Name":"r","Hostname":"h.example","PathPrefix":"/a/","RouteType":"streaming",
"TimeoutMs":20000,"LatencyGoalMs":500,"Priority":1,"TrafficSplit":[{"Service":"s","Weight":90}],"MaxAttempts":2,"Affinity":true}],
"Services":[{"Name":"s","MaxConns":10,"Engine":{"KvBytes":426000,"Layers":80,"LayerMb":1750.0,"step_ms":0.85,"usual":{"prompt":772,
"answer":145},"Kinds":[{"Name":"k","SizeMb":36000.0,"pace":3.1,"ReadX":3.2}]}}],"Limits":{"HeaderBytes":8000},
"Tenants":[{"Name":"t","ApiKeys":["a","b"]}]})";
const std::string SERVER = R"({"Service":"s","Address":"10.0.0.1:80","Zone":"z","BatchSlots":192,"State":"ready","born":1000,
"Sequence":4,"RouteType":"k","Models":[{"Name":"m","Layers":{"From":0,"Target":16}}]})";
const std::string REPORT = R"({"Busy":false,"Sequence":2,"Models":[{"Layers":[{"From":3,"Target":9}]}],
"Stalled":[{"Id":"a","Address":"10.0.0.2:80"}]})";

}

TEST_CASE("a mutated configuration is decoded completely or rejected", "[unit][fuzz]")
{
    fuzzDecoder({CONFIG}, [](const std::string &bytes) { (void)decodeConfig(bytes); });
}

TEST_CASE("mutated server entries, heartbeats, reports and member entries decode to usable values or to nothing", "[unit][fuzz]")
{
    fuzzDecoder({SERVER}, [](const std::string &bytes) {
        (void)decodeHeartbeat(bytes);
        const auto server = decodeServer("i-1", bytes);
        CHECK((!server || (server->slots > 0 && server->held.count() >= 0 && server->held.first >= 0)));
    });
    fuzzDecoder({REPORT}, [](const std::string &bytes) {
        const server_report report = decodeReport(bytes);
        CHECK(report.held.count() >= 0);
    });
    fuzzDecoder({encodeMember({"i", "d", "10.0.0.1:7340"})}, [](const std::string &bytes) {
        const auto member = decodeMember("i", bytes);
        CHECK((!member || !member->address.empty()));
    });
    fuzzDecoder({R"({"Address":"10.0.0.1:80"})"}, [](const std::string &bytes) { (void)decodeFaultyAddress(bytes); });
}

TEST_CASE("mutated records are split without losing or adding bytes, or rejected", "[unit][fuzz]")
{
    const std::string records = joinRecords({encodeKeyed({"key", "value"}), encodeKeyed({"gone", std::nullopt}), std::string(300, 'x')});
    fuzzDecoder({records}, [](const std::string &bytes) {
        const auto split = splitRecords(bytes);
        CHECK(joinRecords(split) == bytes);
        for (const std::string &content : split) {
            (void)decodeKeyed(content);
        }
    });
    fuzzDecoder({encodeBase64(records)}, [](const std::string &bytes) { (void)decodeBase64(bytes); });
}

TEST_CASE("the event splitter only outputs complete events of a mutated stream", "[unit][fuzz]")
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\nevent: x\ndata: b\n\n: comment\n\nid: 3\r\ndata: c\r\n\r\n";
    fuzzDecoder({stream}, [](const std::string &bytes) {
        event_splitter splitter;
        std::string out;
        for (const char byte : bytes) {
            out += splitter.feed(std::string(1, byte));
        }
        CHECK(out.size() + splitter.pendingBytes() <= bytes.size());
        CHECK(bytes.starts_with(out));
    });
}
