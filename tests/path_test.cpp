// End-to-end path: client requests through entry processes to stand-ins and back.

#include "cluster.h"

#include <catch2/catch.hpp>
#include <fstream>

using namespace chestnut;
using namespace chestnut::test;

TEST_CASE("a chat request returns the oracle's text, as a stream and as a single body", "[failure]")
{
    cluster all({});
    all.publish();
    CHECK(answerText(all.chat(0, "summarise the steel prices", 40)) == all.expected("summarise the steel prices", 40));
    CHECK(answerText(all.chat(1, "describe the hallmark", 25, true)) == all.expected("describe the hallmark", 25));
}

TEST_CASE("a submission runs once, and a repeat through another instance returns the recorded answer", "[failure]")
{
    cluster all({});
    all.publish();
    const http_result first = requestAll({all.submission(0, "k1", "price=3")}).front();
    const http_result repeat = requestAll({all.submission(1, "k1", "price=3")}).front();
    const http_result other = requestAll({all.submission(2, "k1", "price=4")}).front();
    CHECK(first.status == 200);
    CHECK(first.verdictHeader == "ran");
    CHECK(repeat.status == 200);
    CHECK(repeat.body == first.body);
    CHECK(other.status == 422);
    CHECK(other.verdictHeader == "not_run");
    CHECK(all.runs() == std::map<std::string, int>{{"k1", 1}});
}

TEST_CASE("clients receive the matching status for each kind of invalid request", "[failure]")
{
    cluster all({});
    all.publish();
    const std::string chat = all.url(0) + "/v1/chat/completions";
    const std::vector<std::string> key{std::string("Authorization: Bearer ") + TEST_KEY};
    CHECK(request("POST", chat, "{}").status == 401);
    CHECK(request("POST", chat, "not json", key).status == 400);
    CHECK(request("POST", chat, R"({"model":"m1"})", key).body.find("messages") != std::string::npos);
    CHECK(request("POST", chat, R"({"model":"other","messages":[{"role":"user","content":"x"}]})", key).status == 404);
    CHECK(request("POST", chat, std::string(2 << 20, 'x'), key).status == 413);
    CHECK(request("GET", chat, "", key).status == 405);
    CHECK(request("GET", all.url(0) + "/nowhere", "", key).status == 404);
    CHECK(request("POST", all.url(0) + "/services/prices/submit", "x", key).status == 400);
    CHECK(request("GET", all.url(0) + "/v1/models", "", key).body.find("m1@v1") != std::string::npos);
    CHECK(request("GET", all.url(0) + "/metrics").body.find("chestnutgw_decisions_total") != std::string::npos);
}

TEST_CASE("an invalid setting stops the program at start with exit status 2", "[failure]")
{
    const program_result result
        = runProgramOnce("chestnutgw-entry", {"--check-config", "--set", "instance.port=99999", "--set", "platform.log_url=http://127.0.0.1:1"});
    CHECK(result.status == 2);
    CHECK(runProgramOnce("chestnutgw-entry", {"--check-config", "--set", "platform.log_url=http://127.0.0.1:1"}).status == 0);
    CHECK(runProgramOnce("chestnutgw-entry", {"--help"}).output.find("instance.drain_limit [ms] default 30000") != std::string::npos);
}

TEST_CASE("every program reports an invalid line in a settings file with file and line", "[failure]")
{
    const std::string file = std::string(CHESTNUTGW_BIN) + "/wrong-settings.ini";
    std::ofstream(file) << "; a comment\n[instance]\nname = x\n\n[nowhere]\nkey = 1\n";
    for (const char *program : {"chestnutgw-entry", "chestnutgw-controller", "chestnutgw-standin", "chestnutgw-load", "chestnutctl"}) {
        const program_result result = runProgramOnce(program, {"--check-config", "--config", file}, true);
        INFO(program << ": " << result.output);
        CHECK(result.status == 2);
        CHECK(result.output.find("wrong-settings.ini:") != std::string::npos);
        CHECK(result.output.find("allowed:") != std::string::npos);
        CHECK(runProgramOnce(program, {"--version"}).output.find(program) != std::string::npos);
    }
}
