// chestnutgw-soak: plays faults and planned work, drawn from a seed, on gateways that run as processes, and judges what clients
// and backend servers saw. It is a test program: it starts processes and speaks the platform's protocol.

#include "rig.h"

#include "kernel/log.h"
#include "kernel/settings.h"

#include <filesystem>
#include <fstream>
#include <iostream>

namespace chestnut::soak
{

namespace
{

struct soak_settings
{
    int seed = 1;
    int seconds = 10;
    int gateways = 0;
    int clients = 0;
    std::string folder = "soak";
    std::string fault = "none";
    std::string gateway = "chestnutgw-gateway";
    bool wireFaults = true;
    bool drawOnly = false;
};

const setting_row<soak_settings> SOAK_SETTINGS[] = {
    {"soak.seed", &soak_settings::seed, 0, 2e9, "number", "seed of the deployment and the timeline"},
    {"soak.seconds", &soak_settings::seconds, 4, 3600, "s", "length of the timeline"},
    {"soak.gateways", &soak_settings::gateways, 0, 150, "number", "gateway processes; 0 = drawn from the seed"},
    {"soak.clients", &soak_settings::clients, 0, 400, "number", "clients; 0 = drawn from the seed"},
    {"soak.folder", &soak_settings::folder, 1, 4096, "folder", "the gateways' logs are written there"},
    {"soak.fault", &soak_settings::fault, 1, 20, "word", "fault that a stand-in adds, to see that a judge catches it"},
    {"soak.gateway", &soak_settings::gateway, 1, 4096, "file", "gateway program"},
    {"soak.wire_faults", &soak_settings::wireFaults, 0, 1, "yes/no",
     "disturbed links, answers in other manners, and a store that reads slowly or drops its history"},
    {"soak.draw_only", &soak_settings::drawOnly, 0, 1, "yes/no", "prints the timeline without playing it"},
};

void checkSettings(const soak_settings &settings)
{
    try {
        parseFault(settings.fault);
    } catch (const std::invalid_argument &problem) {
        throw settings_error("soak.fault: " + std::string(problem.what()));
    }
}

constexpr milliseconds SHOWN_BEFORE{3500}; // incidents this long before a request are shown with a broken rule
constexpr int MAX_LINES_SHOWN = 12;        // log lines of a request
constexpr std::size_t MAX_FINDINGS_SHOWN = 12;

void printLogLines(const std::string &folder, const std::string &id)
{
    int shown = 0;
    for (const auto &file : std::filesystem::directory_iterator(folder)) {
        std::ifstream log(file.path());
        for (std::string line; std::getline(log, line);) {
            if (line.find('"' + id + '"') != std::string::npos && ++shown <= MAX_LINES_SHOWN) {
                std::cout << "    " << file.path().filename().string() << ": " << line << '\n';
            }
        }
    }
}

void printFinding(const finding &broken, const evidence &seen, const soak_settings &settings)
{
    std::cout << broken.rule << " seed " << settings.seed << " request " << broken.id << " from " << broken.from.count() << " to " << broken.to.count()
              << " ms: " << broken.text << '\n';
    for (const incident &one : seen.incidents) {
        if (one.from <= broken.to && one.to + SHOWN_BEFORE >= broken.from && one.what != "start") {
            std::cout << "    " << one.from.count() << " to " << one.to.count() << ": " << one.party << " " << one.what << '\n';
        }
    }
    printLogLines(settings.folder, broken.id);
}

// Prints how the attempts ended. Returns true if no rule was broken.
bool printReport(const evidence &seen, const std::vector<std::string> &ended, const soak_settings &settings)
{
    std::map<std::string, int> ends;
    for (const attempt &one : seen.attempts) {
        ++ends[std::string(toText(one.kind)) + " " + (one.complete ? std::to_string(one.status) : one.left ? "left" : one.how)];
    }
    std::cout << "seed " << settings.seed << ": " << seen.attempts.size() << " attempts, " << seen.runs.size() << " reached servers\n";
    for (const auto &[end, count] : ends) {
        std::cout << "  " << end << ": " << count << '\n';
    }
    const auto [broken, excused, earlyFailures] = judge(seen);
    for (const auto &[failure, ids] : earlyFailures) {
        std::cout << "  failed at a sound server with time left, " << failure << ": " << ids.size() << ", the first is " << ids.front() << '\n';
    }
    for (const auto &[reason, count] : excused) {
        std::cout << "  incomplete, not counted, " << reason << ": " << count << '\n';
    }
    std::map<std::string, int> rules;
    for (const finding &one : broken) {
        if (++rules[one.rule] <= static_cast<int>(MAX_FINDINGS_SHOWN)) {
            printFinding(one, seen, settings);
        }
    }
    for (const std::string &process : ended) {
        std::cout << "FAULT seed " << settings.seed << ": " << process << '\n';
    }
    std::cout << "seed " << settings.seed << " result:";
    for (const auto &[rule, count] : rules) {
        std::cout << ' ' << rule << ' ' << count;
    }
    std::cout << (broken.empty() && ended.empty() ? " no rule broken" : "") << std::endl;
    return broken.empty() && ended.empty();
}

int play(const soak_settings &settings)
{
    startLog("soak", "json", log_level::error);
    std::filesystem::create_directories(settings.folder);
    const timeline drawn = drawTimeline({settings.seed, settings.seconds, settings.gateways, settings.clients, settings.wireFaults});
    std::cout << "seed " << settings.seed << ": " << drawn.gateways << " gateways, " << drawn.servers.size() << " servers, " << drawn.clients << " clients, "
              << drawn.events.size() << " events" << std::endl;
    if (settings.drawOnly) {
        for (const event &one : drawn.events) {
            std::cout << "  " << describe(drawn, one) << '\n';
        }
        return 0;
    }
    rig deployment({settings.gateway, settings.folder, parseFault(settings.fault)}, drawn, settings.seed);
    deployment.play(milliseconds(settings.seconds * 1000));
    return printReport(deployment.takeEvidence(), deployment.ended(), settings) ? 0 : 1;
}

}

}

int main(int argc, char **argv)
{
    return chestnut::runProgram(argc, argv, "chestnutgw-soak", "plays faults on gateways and judges what clients and backend servers saw",
                                chestnut::soak::SOAK_SETTINGS, chestnut::soak::play);
}
