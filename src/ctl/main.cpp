// chestnutctl: the operators' command line. Exit status: 0 done, 1 failed or refused, 2 wrong use, 3 not settled in time.
// Sections: requests, output, commands, main.

#include "core/chestnutgw.h"
#include "kernel/event_loop.h"
#include "kernel/settings.h"

#include <cstdlib>
#include <cxxopts.hpp>
#include <fstream>
#include <future>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

namespace
{

using namespace chestnut;
using json = nlohmann::json;

constexpr int EXIT_FAILED = 1;
constexpr int EXIT_WRONG_USE = 2;
constexpr int EXIT_NOT_SETTLED = 3;
constexpr milliseconds REQUEST_MARGIN{5000}; // beyond the time that the instance itself may take
constexpr milliseconds WAIT_STEP{100};       // between looks at the instances

struct ctl_options
{
    std::vector<std::string> words;            // command and its arguments
    std::string entry = "127.0.0.1:8080";      // IP:port of any instance
    std::string controller = "127.0.0.1:8090"; // IP:port of any controller
    std::string key;                           // operators' bearer key
    std::string author;                        // written into changes
    std::string id;                            // of a change, for repeating it safely
    std::string base;                          // offset that the sheet was made from
    bool printJson = false;                    // raw answers
    bool wait = false;                         // until all live instances have it in force
    milliseconds timeout{30'000};              // for a change to settle and reach all
};

//-----------------------------------------------------------------------------
// Requests
//-----------------------------------------------------------------------------

std::string encodeQuery(const std::string &text)
{
    std::ostringstream out;
    for (const unsigned char letter : text) {
        if (std::isalnum(letter) != 0 || letter == '-' || letter == '_' || letter == '.') {
            out << letter;
        } else {
            out << '%' << std::uppercase << std::hex << std::setw(2) << std::setfill('0') << static_cast<int>(letter) << std::dec;
        }
    }
    return out.str();
}

http_result ask(const ctl_options &options, const std::string &method, const std::string &path, const std::string &body = {})
{
    static event_loop loop("ctl");
    http_request request;
    request.method = method;
    request.url = "http://" + options.entry + path;
    request.body = body;
    request.totalTimeout = options.timeout + REQUEST_MARGIN;
    if (!options.key.empty()) {
        request.headers.push_back("Authorization: Bearer " + options.key);
    }
    std::promise<http_result> done;
    loop.post([&] { loop.start(request, {{}, [&done](http_result result) { done.set_value(std::move(result)); }}); });
    return done.get_future().get();
}

// Throws std::runtime_error with a sentence for the operator.
json askJson(const ctl_options &options, const std::string &method, const std::string &path, const std::string &body = {})
{
    const http_result result = ask(options, method, path, body);
    if (!result.completed()) {
        throw std::runtime_error("instance " + options.entry + " cannot be reached: " + result.error);
    }
    json answer = json::parse(result.body, nullptr, false);
    if (!answer.is_object()) {
        throw std::runtime_error("instance " + options.entry + " answered with HTTP status " + std::to_string(result.status) + " and no JSON");
    }
    answer["http_status"] = result.status;
    return answer;
}

std::string readFile(const std::string &name)
{
    std::ifstream file(name);
    if (!file) {
        throw std::runtime_error("file '" + name + "' cannot be read");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

//-----------------------------------------------------------------------------
// Output
//-----------------------------------------------------------------------------

// Prints rows as columns of equal width; the first row is the heading.
void printTable(const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths;
    for (const auto &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    for (const auto &row : rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += row[i] + std::string(i + 1 < row.size() ? widths[i] - row[i].size() + 2 : 0, ' ');
        }
        printLine(line);
    }
}

std::string textOf(const json &value)
{
    if (value.is_string()) {
        return value.get<std::string>();
    }
    if (value.is_boolean()) {
        return value.get<bool>() ? "yes" : "no";
    }
    return value.dump();
}

int printProblems(const std::vector<sheet_problem> &problems)
{
    std::vector<std::vector<std::string>> table{{"ROW", "COLUMN", "PROBLEM"}};
    for (const sheet_problem &one : problems) {
        table.push_back({std::to_string(one.row), one.column, one.message});
    }
    printTable(table);
    printError(std::to_string(problems.size()) + " problem(s); nothing would be applied");
    return EXIT_FAILED;
}

int printFailure(const json &answer)
{
    if (answer.contains("problems")) {
        std::vector<sheet_problem> problems;
        for (const json &one : answer["problems"]) {
            problems.push_back({one.at("row").get<int>(), one.at("column").get<std::string>(), one.at("message").get<std::string>()});
        }
        return printProblems(problems);
    }
    if (answer.contains("error")) {
        printError(answer["error"].value("message", "failed") + " (" + answer["error"].value("code", "") + ", verdict " + answer["error"].value("verdict", "")
                   + ")");
        return answer["http_status"] == 504 ? EXIT_NOT_SETTLED : EXIT_FAILED;
    }
    printError(answer.dump());
    return EXIT_FAILED;
}

//-----------------------------------------------------------------------------
// Commands
//-----------------------------------------------------------------------------

// Waits until every live instance reports the offset; names those that do not.
int waitForOffset(const ctl_options &options, std::uint64_t offset)
{
    const steady_time deadline = std::chrono::steady_clock::now() + options.timeout;
    std::string lastLine;
    while (true) {
        const json status = askJson(options, "GET", "/operator/status");
        std::string behind;
        std::size_t live = 0;
        for (const json &one : status.at("instances")) {
            if (one.at("state") == "dead" || one.at("leaving") == true) {
                continue;
            }
            ++live;
            if (one.at("config_offset").get<std::uint64_t>() < offset) {
                behind += (behind.empty() ? "" : ", ") + one.at("instance").get<std::string>();
            }
        }
        if (behind.empty()) {
            printLine("in force on all " + std::to_string(live) + " live instances");
            return 0;
        }
        if (behind != lastLine) {
            printLine("waiting for " + behind);
            lastLine = behind;
        }
        if (std::chrono::steady_clock::now() >= deadline) {
            printError("not in force yet on " + behind);
            return EXIT_NOT_SETTLED;
        }
        std::this_thread::sleep_for(WAIT_STEP);
    }
}

int finishChange(const ctl_options &options, const json &answer)
{
    if (options.printJson) {
        printLine(answer.dump());
    }
    if (answer["http_status"] != 200) {
        if (answer.contains("outcome")) {
            printError("rejected: " + textOf(answer["outcome"]) + " (" + textOf(answer["detail"]) + ")");
            return EXIT_FAILED;
        }
        return printFailure(answer);
    }
    if (!options.printJson) {
        printLine("accepted at offset " + textOf(answer["offset"]) + ", " + textOf(answer["changed_rows"]) + " row(s) changed, change " + textOf(answer["id"]));
    }
    return options.wait ? waitForOffset(options, answer["offset"].get<std::uint64_t>()) : 0;
}

std::string changeQuery(const ctl_options &options)
{
    std::string query = "wait_ms=" + std::to_string(options.timeout.count()) + "&author=" + encodeQuery(options.author);
    if (!options.id.empty()) {
        query += "&id=" + encodeQuery(options.id);
    }
    if (!options.base.empty()) {
        query += "&base=" + encodeQuery(options.base);
    }
    return query;
}

int checkSheet(const ctl_options &options)
{
    const parsed_sheet sheet = parseSheet(readFile(options.words.at(2)));
    if (!sheet.problems.empty()) {
        return printProblems(sheet.problems);
    }
    std::map<std::string, int> counts;
    for (const config_row &row : sheet.rows) {
        ++counts[row.kind];
    }
    std::string summary;
    for (const auto &[kind, count] : counts) {
        summary += (summary.empty() ? "" : ", ") + std::to_string(count) + " " + kind + (count == 1 ? "" : "s");
    }
    printLine("valid: " + summary);
    return 0;
}

config_rows byKey(const std::vector<config_row> &rows)
{
    config_rows map;
    for (const config_row &row : rows) {
        map.emplace(row.key(), row);
    }
    return map;
}

int diffSheet(const ctl_options &options)
{
    const parsed_sheet wanted = parseSheet(readFile(options.words.at(2)));
    if (!wanted.problems.empty()) {
        return printProblems(wanted.problems);
    }
    const json current = askJson(options, "GET", "/operator/sheet");
    if (current["http_status"] != 200) {
        return printFailure(current);
    }
    const config_rows inForce = byKey(parseSheet(current.at("sheet").get<std::string>()).rows);
    const std::vector<row_change> changes = diffRows(inForce, byKey(wanted.rows));
    std::vector<std::vector<std::string>> table{{"CHANGE", "ROW"}};
    for (const row_change &one : changes) {
        table.push_back({!one.row ? "remove" : (inForce.contains(one.key) ? "change" : "add"), one.key});
    }
    if (!changes.empty()) {
        printTable(table);
    }
    printLine(std::to_string(changes.size()) + " row(s) differ from offset " + textOf(current["offset"]));
    return 0;
}

int publishSheet(const ctl_options &options)
{
    return finishChange(options, askJson(options, "POST", "/operator/sheets?" + changeQuery(options), readFile(options.words.at(2))));
}

// Publishes the sheet whenever its content changes; for the planners' morning export.
int watchSheet(const ctl_options &options)
{
    constexpr milliseconds WATCH_STEP{1000};
    std::string published;
    while (true) {
        const std::string content = readFile(options.words.at(2));
        if (content != published) {
            const int status = publishSheet(options);
            if (status == 0 || status == EXIT_FAILED) {
                published = content; // a faulty sheet is reported once, not every second
            }
        }
        std::this_thread::sleep_for(WATCH_STEP);
    }
}

int sheetStatus(const ctl_options &options)
{
    const json status = askJson(options, "GET", "/operator/status");
    if (options.printJson) {
        printLine(status.dump());
        return 0;
    }
    std::vector<std::vector<std::string>> table{{"INSTANCE", "FAILURE DOMAIN", "STATE", "OFFSET IN FORCE"}};
    for (const json &one : status.at("instances")) {
        table.push_back({textOf(one["instance"]), textOf(one["failure_domain"]), textOf(one["state"]), textOf(one["config_offset"])});
    }
    printTable(table);
    return 0;
}

int showStatus(const ctl_options &options)
{
    const json status = askJson(options, "GET", "/operator/status");
    if (status["http_status"] != 200) {
        return printFailure(status);
    }
    if (options.printJson) {
        printLine(status.dump());
        return 0;
    }
    printLine("instance " + textOf(status["instance"]) + " " + textOf(status["version"]) + ": configuration " + textOf(status["config_offset"]) + " (age "
              + textOf(status["config_age_ms"]) + " ms), log reachable " + textOf(status["log_reachable"]) + ", claims " + textOf(status["claims_offset"])
              + ", keys " + textOf(status["keys"]) + ", in flight " + textOf(status["in_flight"]));
    printLine("");
    std::vector<std::vector<std::string>> instances{{"INSTANCE", "FAILURE DOMAIN", "STATE", "LEAVING", "CONFIG", "CLAIMS", "IN FLIGHT"}};
    for (const json &one : status.at("instances")) {
        instances.push_back({textOf(one["instance"]), textOf(one["failure_domain"]), textOf(one["state"]), textOf(one["leaving"]), textOf(one["config_offset"]),
                             textOf(one["claims_offset"]), textOf(one["streams"])});
    }
    printTable(instances);
    printLine("");
    std::vector<std::vector<std::string>> servers{{"BACKEND SERVER", "FAILURE DOMAIN", "USABLE", "WHY NOT", "STREAMS", "HOLDS"}};
    for (const json &one : status.at("servers")) {
        std::string holds;
        for (const json &part : one["holds"]) {
            holds += (holds.empty() ? "" : " ") + textOf(part);
        }
        servers.push_back({textOf(one["server"]), textOf(one["failure_domain"]), textOf(one["usable"]), textOf(one["reason"]), textOf(one["streams"]), holds});
    }
    printTable(servers);
    return 0;
}

int explainRequest(const ctl_options &options)
{
    const json answer = askJson(options, "GET", "/operator/explain?request=" + encodeQuery(options.words.at(2)));
    if (answer["http_status"] != 200) {
        return printFailure(answer);
    }
    if (options.printJson) {
        printLine(answer.dump());
        return 0;
    }
    std::vector<std::vector<std::string>> table{{"AFTER MS", "REASON", "DETAIL"}};
    const std::int64_t start = answer["decisions"][0]["time_ms"].get<std::int64_t>();
    for (const json &one : answer["decisions"]) {
        table.push_back({std::to_string(one["time_ms"].get<std::int64_t>() - start), textOf(one["reason"]), textOf(one["detail"])});
    }
    printTable(table);
    return 0;
}

int explainPlacement(const ctl_options &options)
{
    ctl_options asked = options;
    asked.entry = options.controller;
    const json answer = askJson(asked, "GET", "/operator/placement");
    if (options.printJson) {
        printLine(answer.dump());
        return 0;
    }
    printLine("lease held by " + textOf(answer.at("holder")) + " with fencing number " + textOf(answer.at("fence")));
    for (const auto &[model, rate] : answer.at("tokens_per_second").items()) {
        if (model.starts_with(options.words.at(2))) {
            printLine(model + " can do " + std::to_string(static_cast<int>(rate.get<double>())) + " tokens/s");
        }
    }
    std::vector<std::vector<std::string>> table{{"BY", "DECISION"}};
    for (const json &one : answer.at("decisions")) {
        if (textOf(one["text"]).find(" " + options.words.at(2) + "@") != std::string::npos) {
            table.push_back({textOf(one["by"]), textOf(one["text"])});
        }
    }
    printTable(table);
    return 0;
}

int setServerState(const ctl_options &options, const std::string &state)
{
    return finishChange(
        options,
        askJson(options, "POST", "/operator/server-state?server=" + encodeQuery(options.words.at(1)) + "&state=" + state + "&" + changeQuery(options)));
}

int drainServer(const ctl_options &options)
{
    return setServerState(options, "draining");
}

int undrainServer(const ctl_options &options)
{
    return setServerState(options, "active");
}

int setLogLevelCommand(const ctl_options &options)
{
    const json answer = askJson(options, "PUT", "/operator/log-level?level=" + encodeQuery(options.words.at(1)));
    return answer["http_status"] == 200 ? 0 : printFailure(answer);
}

//-----------------------------------------------------------------------------
// Main
//-----------------------------------------------------------------------------

struct command
{
    std::vector<std::string> words; // fixed first words
    std::size_t arguments;          // words after them
    const char *usage;
    const char *help;
    int (*run)(const ctl_options &);
};

const std::vector<command> &commands()
{
    static const std::vector<command> TABLE{
        {{"sheet", "check"}, 1, "sheet check FILE", "check a sheet without an instance", checkSheet},
        {{"sheet", "diff"}, 1, "sheet diff FILE", "show what publishing would change", diffSheet},
        {{"sheet", "publish"}, 1, "sheet publish FILE [--wait]", "put a sheet into force", publishSheet},
        {{"sheet", "watch"}, 1, "sheet watch FILE", "publish a sheet whenever it changes", watchSheet},
        {{"sheet", "status"}, 0, "sheet status", "offset in force on each instance", sheetStatus},
        {{"status"}, 0, "status", "instances, failure domains, backend servers", showStatus},
        {{"explain", "request"}, 1, "explain request ID", "what was decided on a request, on the instance that had it", explainRequest},
        {{"explain", "placement"}, 1, "explain placement MODEL", "what a controller decided on a model", explainPlacement},
        {{"drain"}, 1, "drain SERVER [--wait]", "no new work for a backend server", drainServer},
        {{"undrain"}, 1, "undrain SERVER [--wait]", "new work again", undrainServer},
        {{"log-level"}, 1, "log-level LEVEL", "debug, info, warning or error", setLogLevelCommand},
    };
    return TABLE;
}

std::string commandHelp()
{
    std::string text = "Commands:\n";
    for (const command &one : commands()) {
        text += "  " + std::string(one.usage) + std::string(std::max<std::size_t>(2, 32 - std::string(one.usage).size()), ' ') + one.help + "\n";
    }
    return text + "Exit status: 0 done, 1 failed or refused, 2 wrong use, 3 not settled in time.\n";
}

int runCommand(const ctl_options &options)
{
    for (const command &one : commands()) {
        if (options.words.size() != one.words.size() + one.arguments) {
            continue;
        }
        if (std::equal(one.words.begin(), one.words.end(), options.words.begin())) {
            return one.run(options);
        }
    }
    printError("no such command; see chestnutctl --help");
    return EXIT_WRONG_USE;
}

const setting_row<ctl_options> CTL_SETTINGS[] = {
    {"ctl.entry", &ctl_options::entry, 9, 100, "IP:port", "any entry instance"},
    {"ctl.controller", &ctl_options::controller, 9, 100, "IP:port", "any controller"},
    {"ctl.key", &ctl_options::key, 0, 1000, "text", "operators' bearer key"},
    {"ctl.author", &ctl_options::author, 0, 200, "text", "written into changes"},
    {"ctl.timeout", &ctl_options::timeout, 1, 1e7, "ms", "for a change to settle and to reach all instances"},
};

// An option goes before the environment, and that before the file.
void applyOverride(ctl_options &target, const cxxopts::ParseResult &given, const std::string &option, const char *variable)
{
    const char *value = variable == nullptr ? nullptr : std::getenv(variable);
    if (value != nullptr) {
        applySetting(target, CTL_SETTINGS, {std::string("environment ") + variable, 0, "ctl." + option, value});
    }
    if (given.count(option) > 0) {
        applySetting(target, CTL_SETTINGS, {"--" + option, 0, "ctl." + option, given[option].as<std::string>()});
    }
}

ctl_options readOptions(const cxxopts::ParseResult &given)
{
    ctl_options parsed;
    if (given.count("config") > 0) {
        for (const setting_text &text : readSettings(given["config"].as<std::string>())) {
            applySetting(parsed, CTL_SETTINGS, text);
        }
    }
    applyOverride(parsed, given, "entry", "CHESTNUTGW_ENTRY");
    applyOverride(parsed, given, "controller", "CHESTNUTGW_CONTROLLER");
    applyOverride(parsed, given, "key", "CHESTNUTGW_KEY");
    applyOverride(parsed, given, "author", "USER");
    applyOverride(parsed, given, "timeout", nullptr);
    parsed.id = given["id"].as<std::string>();
    parsed.base = given["base"].as<std::string>();
    parsed.printJson = given.count("json") > 0;
    parsed.wait = given.count("wait") > 0;
    if (given.count("words") > 0) {
        parsed.words = given["words"].as<std::vector<std::string>>();
    }
    return parsed;
}

}

int main(int argc, char **argv)
{
    cxxopts::Options options("chestnutctl", "Operates a chestnutgw deployment through any of its instances");
    options.positional_help("COMMAND ...");
    options.add_options()("c,config", "INI file with the settings below", cxxopts::value<std::string>());
    options.add_options()("check-config", "check the settings and exit");
    options.add_options()("e,entry", "IP:port of an instance; else CHESTNUTGW_ENTRY", cxxopts::value<std::string>());
    options.add_options()("controller", "IP:port of a controller; else CHESTNUTGW_CONTROLLER", cxxopts::value<std::string>());
    options.add_options()("key", "operators' bearer key; else CHESTNUTGW_KEY", cxxopts::value<std::string>());
    options.add_options()("author", "written into changes; else USER", cxxopts::value<std::string>());
    options.add_options()("id", "id of the change; repeating it is harmless", cxxopts::value<std::string>()->default_value(""));
    options.add_options()("base", "offset that the sheet was made from; default: the one in force", cxxopts::value<std::string>()->default_value(""));
    options.add_options()("json", "print answers as JSON");
    options.add_options()("wait", "until all live instances have the change in force");
    options.add_options()("timeout", "for a change to settle and to reach all instances, ms", cxxopts::value<std::string>());
    options.add_options()("h,help", "print this help")("version", "print the version");
    options.add_options()("words", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"words"});
    try {
        const auto given = options.parse(argc, argv);
        if (given.count("help") > 0) {
            chestnut::printLine(options.help() + "\n" + commandHelp() + "\n" + chestnut::describeSettings(CTL_SETTINGS));
            return 0;
        }
        if (given.count("version") > 0) {
            chestnut::printLine(std::string("chestnutctl ") + CHESTNUTGW_VERSION);
            return 0;
        }
        ctl_options parsed = readOptions(given);
        if (given.count("check-config") > 0) {
            chestnut::printLine("settings are valid");
            return 0;
        }
        return runCommand(parsed);
    } catch (const cxxopts::exceptions::exception &problem) {
        chestnut::printError(std::string(problem.what()) + "; see chestnutctl --help");
        return EXIT_WRONG_USE;
    } catch (const chestnut::settings_error &problem) {
        chestnut::printError(problem.what());
        return EXIT_WRONG_USE;
    } catch (const std::exception &problem) {
        chestnut::printError(problem.what());
        return EXIT_FAILED;
    }
}
