// Tests which parts of prompts are found to end servers, with evidence from several instances.

#include "core/part_quarantine.h"
#include "core/prompt_parts.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <pcg_random.hpp>

using namespace chestnut;

namespace
{

const steady_time START = steady_time(seconds(100000));

part_id part(const std::string &name)
{
    return part_id{"lm/" + name};
}

server_end endOf(int server, int atMs, const std::vector<std::string> &parts)
{
    server_end end{{server_id{"s" + std::to_string(server)}, 1}, START + milliseconds(atMs), {}};
    for (const std::string &name : parts) {
        end.parts.push_back(part(name));
    }
    return end;
}

part_status statusOf(part_quarantine &quarantine, const std::string &name)
{
    const auto found = quarantine.findings().find(part(name));
    return found == quarantine.findings().end() ? part_status::clear : found->second.status;
}

part_quarantine makeQuarantine(const std::string &instance = "g1")
{
    return {instance_id{instance}, {}};
}

// Evidence as another instance receives it.
void exchangeAll(part_quarantine &left, part_quarantine &right)
{
    const evidence_update update = left.evidence().since(0);
    left.merge(right.evidence().since(0));
    right.merge(update);
}

}

TEST_CASE("the last part of a prompt, repeated and malformed parts are not shared ones", "[unit]")
{
    const service_id service{"lm"};
    const auto parse = [&](const std::string &list) { return joinParts(sharedPromptParts(service, list)); };
    CHECK(parse("5c1e07a2:800,91bd3f06:410,e4402b7d:250") == "lm/5c1e07a2,lm/91bd3f06");
    CHECK(parse("5C1E07A2:800, 91bd3f06:410 ,e4:250") == "lm/5c1e07a2,lm/91bd3f06");
    CHECK(parse("abc:1,abc:1,abc:1").size() == std::string("lm/abc").size());
    CHECK(parse("abc:1").empty());
    CHECK(parse("").empty());
    CHECK(parse(",,,").empty());
    CHECK(parse("xyz:1,:5,12,ff:2") == "lm/12");
    const std::string huge(20000, 'a');
    CHECK(parse(huge + ":1,b:1").size() < 100);
    std::string many;
    for (int number = 100; number < 300; ++number) {
        many += std::to_string(number) + ":1,";
    }
    CHECK(sharedPromptParts(service, many).size() == MAX_PROMPT_PARTS);
}

TEST_CASE("a process that ended counts once, however many instances and requests saw it", "[unit]")
{
    part_quarantine first = makeQuarantine("g1");
    part_quarantine second = makeQuarantine("g2");
    for (int repeat = 0; repeat < 5; ++repeat) {
        first.noteEnd(endOf(1, 3 * repeat, {"bad", "a"}));
        second.noteEnd(endOf(1, 2 * repeat, {"bad", "b"}));
        exchangeAll(first, second);
    }
    CHECK(first.findings().empty());
    CHECK(second.findings().empty());
}

TEST_CASE("instances that saw different servers end agree on the part, in any order of messages", "[unit]")
{
    part_quarantine first = makeQuarantine("g1");
    part_quarantine second = makeQuarantine("g2");
    part_quarantine third = makeQuarantine("g3");
    first.noteEnd(endOf(1, 0, {"bad", "a"}));
    second.noteEnd(endOf(2, 700, {"bad", "b"}));
    first.noteEnd(endOf(3, 1500, {"bad", "c"}));
    exchangeAll(second, third);
    exchangeAll(third, first);
    exchangeAll(first, second);
    exchangeAll(first, second);
    for (part_quarantine *one : {&first, &second, &third}) {
        CHECK(statusOf(*one, "bad") == part_status::quarantined);
        CHECK(statusOf(*one, "a") == part_status::clear);
    }
}

TEST_CASE("a part that a server has survived is not taken for the cause of ends before", "[unit]")
{
    part_quarantine quarantine = makeQuarantine();
    quarantine.noteEnd(endOf(1, 0, {"hot"}));
    quarantine.noteEnd(endOf(2, 1000, {"hot"}));
    CHECK(statusOf(quarantine, "hot") == part_status::suspected);
    quarantine.noteSurvival({part("hot")}, START + milliseconds(1200));
    CHECK(statusOf(quarantine, "hot") == part_status::clear);
    quarantine.noteEnd(endOf(3, 2000, {"hot"}));
    CHECK(statusOf(quarantine, "hot") == part_status::clear);
}

TEST_CASE("a hot part is not quarantined beside the crashing part of the same requests", "[unit]")
{
    part_quarantine quarantine = makeQuarantine();
    quarantine.noteSurvival({part("hot")}, START - seconds(1));
    for (int server = 1; server <= 4; ++server) {
        quarantine.noteEnd(endOf(server, 500 * server, {"hot", "bad"}));
    }
    CHECK(statusOf(quarantine, "bad") == part_status::quarantined);
    CHECK(statusOf(quarantine, "hot") == part_status::clear);
}

TEST_CASE("servers of a domain that end at one moment are no evidence against a part that some of them had", "[unit]")
{
    part_quarantine quarantine = makeQuarantine();
    for (int server = 0; server < 12; ++server) {
        quarantine.noteEnd(endOf(server, server * 5, server % 2 == 0 ? std::vector<std::string>{"hot"} : std::vector<std::string>{"other"}));
    }
    CHECK(quarantine.findings().empty());
}

TEST_CASE("a part that became a cause after it was sound needs more ends", "[unit]")
{
    part_quarantine quarantine = makeQuarantine();
    quarantine.noteSurvival({part("changed")}, START - seconds(10));
    for (int server = 1; server <= 5; ++server) {
        quarantine.noteEnd(endOf(server, 1000 * server, {"changed"}));
        CHECK(statusOf(quarantine, "changed") == (server < 4 ? part_status::clear : server < 5 ? part_status::suspected : part_status::quarantined));
    }
}

TEST_CASE("requests with a suspected part reach servers one at a time and are not repeated", "[unit]")
{
    part_quarantine quarantine = makeQuarantine();
    const std::vector<part_id> parts{part("bad")};
    quarantine.noteEnd(endOf(1, 0, {"bad"}));
    CHECK(quarantine.mayRepeat(parts));
    quarantine.noteEnd(endOf(2, 500, {"bad"}));
    CHECK_FALSE(quarantine.mayRepeat(parts));
    CHECK(quarantine.admit(parts, START + seconds(1)).accepted);
    quarantine.addUnproven(parts);
    const part_admission second = quarantine.admit(parts, START + seconds(1));
    CHECK_FALSE(second.accepted);
    CHECK(second.retryAfter > milliseconds(0));
    quarantine.removeUnproven(parts);
    CHECK(quarantine.admit(parts, START + seconds(1)).accepted);
}

TEST_CASE("trials of a quarantined part are at most three over all instances", "[unit]")
{
    part_quarantine first = makeQuarantine("g1");
    part_quarantine second = makeQuarantine("g2");
    const std::vector<part_id> parts{part("bad")};
    for (int server = 1; server <= 3; ++server) {
        first.noteEnd(endOf(server, 500 * server, {"bad"}));
    }
    exchangeAll(first, second);
    int trials = 0;
    for (int step = 0; step < 3000; ++step) { // ends before the evidence is forgotten
        const steady_time now = START + seconds(2) + step * seconds(1);
        for (part_quarantine *one : {&first, &second}) {
            const part_admission admission = one->admit(parts, now);
            CHECK(admission.status == part_status::quarantined);
            trials += admission.trial ? 1 : 0;
            if (admission.trial) {
                one->noteEnd(endOf(100 + step, static_cast<int>(std::chrono::duration_cast<milliseconds>(now - START).count()) + 50, {"bad"}));
            }
        }
        exchangeAll(first, second);
    }
    CHECK(trials == part_quarantine::MAX_TRIALS);
}

TEST_CASE("a trial that its server survives ends the quarantine at all instances", "[unit]")
{
    part_quarantine first = makeQuarantine("g1");
    part_quarantine second = makeQuarantine("g2");
    const std::vector<part_id> parts{part("a")};
    for (int server = 1; server <= 3; ++server) { // nothing tells the two parts apart
        first.noteEnd(endOf(server, 500 * server, {"a", "bad"}));
    }
    REQUIRE(statusOf(first, "a") == part_status::quarantined);
    CHECK_FALSE(first.admit({part("a"), part("bad")}, START + seconds(60)).accepted);
    steady_time now = START + seconds(2);
    bool tried = false;
    for (; !tried && now < START + seconds(6); now += milliseconds(100)) {
        exchangeAll(first, second);
        tried = second.admit(parts, now).trial;
    }
    REQUIRE(tried);
    second.noteSurvival(parts, now + milliseconds(700));
    exchangeAll(first, second);
    CHECK(statusOf(first, "a") == part_status::clear);
    CHECK(statusOf(second, "a") == part_status::clear);
    CHECK(statusOf(first, "bad") == part_status::quarantined);
}

TEST_CASE("an operator releases a part and evidence is forgotten after an hour", "[unit]")
{
    part_quarantine quarantine = makeQuarantine();
    for (int server = 1; server <= 3; ++server) {
        quarantine.noteEnd(endOf(server, 500 * server, {"bad", "worse"}));
    }
    quarantine.release(part("bad"), START + seconds(2));
    CHECK(statusOf(quarantine, "bad") == part_status::clear);
    CHECK(statusOf(quarantine, "worse") == part_status::quarantined);
    CHECK(quarantine.takeChanges().size() == 1);
    quarantine.dropExpired(START + crash_evidence::MEMORY + seconds(3));
    CHECK(quarantine.findings().empty());
    CHECK(quarantine.takeChanges().size() == 1);
}

TEST_CASE("copies of the evidence agree after lost, late and repeated updates", "[unit]")
{
    const auto seed = GENERATE(range(1, 40));
    CAPTURE(seed);
    pcg32 random(static_cast<std::uint64_t>(seed));
    std::vector<crash_evidence> copies(5);
    std::vector<evidence_update> sent;
    for (int step = 0; step < 400; ++step) {
        crash_evidence &copy = copies[random(5)];
        const std::string name = "p" + std::to_string(random(6));
        const int at = static_cast<int>(step * 100);
        switch (random(4)) {
        case 0:
            copy.noteEnd(endOf(static_cast<int>(random(20)), at, {name, "p" + std::to_string(random(6))}));
            break;
        case 1:
            copy.noteSurvival({part(name), START + milliseconds(at)});
            break;
        case 2:
            copy.noteTrial({part(name), 1 + random(3), 1 + random(3), instance_id{"g" + std::to_string(random(5))}, random(2) == 0, START});
            break;
        default:
            sent.push_back(copy.since(random(2) == 0 ? 0 : copy.revision() / 2));
            copies[random(5)].merge(sent[random(static_cast<std::uint32_t>(sent.size()))]);
        }
    }
    for (int round = 0; round < 3; ++round) {
        for (crash_evidence &from : copies) {
            for (crash_evidence &to : copies) {
                to.merge(from.since(0));
            }
        }
    }
    const auto parts = [](const crash_evidence &copy) {
        std::string text;
        for (const server_end &end : copy.since(0).ends) {
            text += end.process.server.text + ":" + joinParts(end.parts) + ";";
        }
        for (const part_trial &trial : copy.since(0).trials) {
            text += trial.part.text + std::to_string(trial.number) + (trial.started ? "+" : "-") + std::to_string(trial.round) + trial.instance.text + ";";
        }
        return text;
    };
    for (const crash_evidence &copy : copies) {
        CHECK(parts(copy) == parts(copies.front()));
        CHECK_FALSE(copies.front().merge(copy.since(0)));
    }
}
