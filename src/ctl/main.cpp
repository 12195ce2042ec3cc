// chestnutctl: command line for operators. Exit status: 0 success, 1 failed or rejected, 2 usage error, 3 timed out before the
// change was decided or active on all live instances.
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
constexpr int EXIT_USAGE_ERROR = 2;
constexpr int EXIT_TIMED_OUT = 3;
constexpr milliseconds REQUEST_TIMEOUT_MARGIN{5000}; // added to the instance's own timeout, so that the instance answers first
constexpr milliseconds STATUS_POLL_INTERVAL{100};    // between polls of the instance status

struct ctl_options
{
    std::vector<std::string> words;            // positional arguments: command and its arguments
    std::string entry = "127.0.0.1:8080";      // IP:port of any entry instance
    std::string controller = "127.0.0.1:8090"; // IP:port of any controller
    std::string key;                           // bearer key for the operator API
    std::string author;                        // recorded in changes
    std::string id;                            // change ID; a repeated request with the same ID is applied only once
    std::string base;                          // configuration offset that the sheet was based on
    bool printJson = false;                    // print the answers as JSON
    bool wait = false;                         // wait until the change is active on all live instances
    milliseconds timeout{30'000};              // for a change to be decided, and then to be active on all live instances
};

//-----------------------------------------------------------------------------
// Requests
//-----------------------------------------------------------------------------

std::string percentEncode(const std::string &text)
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

http_result sendRequest(const ctl_options &options, const std::string &method, const std::string &path, const std::string &body = {})
{
    static event_loop loop("ctl");
    http_request request;
    request.method = method;
    request.url = "http://" + options.entry + path;
    request.body = body;
    request.totalTimeout = options.timeout + REQUEST_TIMEOUT_MARGIN;
    if (!options.key.empty()) {
        request.headers.push_back("Authorization: Bearer " + options.key);
    }
    std::promise<http_result> done;
    loop.post([&] { loop.start(request, {{}, [&done](http_result result) { done.set_value(std::move(result)); }}); });
    return done.get_future().get();
}

// Sends a request and returns the JSON object of the answer with the HTTP status added as http_status. Throws
// std::runtime_error, whose text is shown to the operator, if there is no answer or no JSON object in it.
json requestJson(const ctl_options &options, const std::string &method, const std::string &path, const std::string &body = {})
{
    const http_result result = sendRequest(options, method, path, body);
    if (!result.completed()) {
        throw std::runtime_error("cannot reach " + options.entry + ": " + result.error + "; check the address (--entry or --controller)");
    }
    json answer = json::parse(result.body, nullptr, false);
    if (!answer.is_object()) {
        throw std::runtime_error(options.entry + " answered with HTTP status " + std::to_string(result.status) + " and a body that is not a JSON object");
    }
    answer["http_status"] = result.status;
    return answer;
}

std::string readFile(const std::string &name)
{
    std::ifstream file(name);
    if (!file) {
        throw std::runtime_error("cannot read file '" + name + "'");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

//-----------------------------------------------------------------------------
// Output
//-----------------------------------------------------------------------------

// Prints rows with aligned columns; the first row is the heading.
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

std::string formatValue(const json &value)
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
    printError(std::to_string(problems.size()) + " problem(s) found, nothing was applied; correct the listed rows and try again");
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
        printError(answer["error"].value("message", "request failed") + " (" + answer["error"].value("code", "") + ", verdict "
                   + answer["error"].value("verdict", "") + ")");
        return answer["http_status"] == 504 ? EXIT_TIMED_OUT : EXIT_FAILED;
    }
    printError("unexpected answer: " + answer.dump());
    return EXIT_FAILED;
}

//-----------------------------------------------------------------------------
// Commands
//-----------------------------------------------------------------------------

// Polls until the configuration offset is active on every live instance. Prints the instances that it waits for.
int waitForOffset(const ctl_options &options, std::uint64_t offset)
{
    const steady_time deadline = std::chrono::steady_clock::now() + options.timeout;
    std::string lastLine;
    while (true) {
        const json status = requestJson(options, "GET", "/operator/status");
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
            printLine("offset " + std::to_string(offset) + " is active on all " + std::to_string(live) + " live instances");
            return 0;
        }
        if (behind != lastLine) {
            printLine("waiting until offset " + std::to_string(offset) + " is active on " + behind);
            lastLine = behind;
        }
        if (std::chrono::steady_clock::now() >= deadline) {
            printError("timed out: the change was accepted, but offset " + std::to_string(offset) + " is not active yet on " + behind
                       + "; check with 'chestnutctl sheet status'");
            return EXIT_TIMED_OUT;
        }
        std::this_thread::sleep_for(STATUS_POLL_INTERVAL);
    }
}

int finishChange(const ctl_options &options, const json &answer)
{
    if (options.printJson) {
        printLine(answer.dump());
    }
    if (answer["http_status"] != 200) {
        if (answer.contains("outcome")) {
            printError("change rejected: " + formatValue(answer["outcome"]) + " (" + formatValue(answer["detail"]) + ")");
            return EXIT_FAILED;
        }
        return printFailure(answer);
    }
    if (!options.printJson) {
        printLine("change " + formatValue(answer["id"]) + " accepted at offset " + formatValue(answer["offset"]) + ": " + formatValue(answer["changed_rows"])
                  + " row(s) changed");
    }
    return options.wait ? waitForOffset(options, answer["offset"].get<std::uint64_t>()) : 0;
}

std::string changeQuery(const ctl_options &options)
{
    std::string query = "wait_ms=" + std::to_string(options.timeout.count()) + "&author=" + percentEncode(options.author);
    if (!options.id.empty()) {
        query += "&id=" + percentEncode(options.id);
    }
    if (!options.base.empty()) {
        query += "&base=" + percentEncode(options.base);
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
    printLine("sheet is valid: " + summary);
    return 0;
}

config_rows indexByKey(const std::vector<config_row> &rows)
{
    config_rows map;
    for (const config_row &row : rows) {
        map.emplace(row.key(), row);
    }
    return map;
}

int diffSheet(const ctl_options &options)
{
    const parsed_sheet newSheet = parseSheet(readFile(options.words.at(2)));
    if (!newSheet.problems.empty()) {
        return printProblems(newSheet.problems);
    }
    const json current = requestJson(options, "GET", "/operator/sheet");
    if (current["http_status"] != 200) {
        return printFailure(current);
    }
    const config_rows activeRows = indexByKey(parseSheet(current.at("sheet").get<std::string>()).rows);
    const std::vector<row_change> changes = diffRows(activeRows, indexByKey(newSheet.rows));
    std::vector<std::vector<std::string>> table{{"CHANGE", "ROW"}};
    for (const row_change &one : changes) {
        table.push_back({!one.row ? "remove" : (activeRows.contains(one.key) ? "change" : "add"), one.key});
    }
    if (!changes.empty()) {
        printTable(table);
    }
    printLine(std::to_string(changes.size()) + " row(s) differ from the active sheet at offset " + formatValue(current["offset"]));
    return 0;
}

int publishSheet(const ctl_options &options)
{
    return finishChange(options, requestJson(options, "POST", "/operator/sheets?" + changeQuery(options), readFile(options.words.at(2))));
}

// Publishes the sheet whenever its content changes. Used for the planners' morning export.
int watchSheet(const ctl_options &options)
{
    constexpr milliseconds WATCH_INTERVAL{1000};
    std::string published;
    while (true) {
        const std::string content = readFile(options.words.at(2));
        if (content != published) {
            const int status = publishSheet(options);
            if (status == 0 || status == EXIT_FAILED) {
                published = content; // report a rejected sheet once, not every second
            }
        }
        std::this_thread::sleep_for(WATCH_INTERVAL);
    }
}

int sheetStatus(const ctl_options &options)
{
    const json status = requestJson(options, "GET", "/operator/status");
    if (options.printJson) {
        printLine(status.dump());
        return 0;
    }
    std::vector<std::vector<std::string>> table{{"INSTANCE", "FAILURE DOMAIN", "STATE", "OFFSET IN FORCE"}};
    for (const json &one : status.at("instances")) {
        table.push_back({formatValue(one["instance"]), formatValue(one["failure_domain"]), formatValue(one["state"]), formatValue(one["config_offset"])});
    }
    printTable(table);
    return 0;
}

int showStatus(const ctl_options &options)
{
    const json status = requestJson(options, "GET", "/operator/status");
    if (status["http_status"] != 200) {
        return printFailure(status);
    }
    if (options.printJson) {
        printLine(status.dump());
        return 0;
    }
    printLine("instance " + formatValue(status["instance"]) + ", version " + formatValue(status["version"]) + ": configuration offset "
              + formatValue(status["config_offset"]) + " (age " + formatValue(status["config_age_ms"])
              + " ms), log reachable: " + formatValue(status["log_reachable"]) + ", claims offset " + formatValue(status["claims_offset"])
              + ", idempotency keys: " + formatValue(status["keys"]) + ", requests in flight: " + formatValue(status["in_flight"]));
    printLine("");
    std::vector<std::vector<std::string>> instances{{"INSTANCE", "FAILURE DOMAIN", "STATE", "LEAVING", "CONFIG", "CLAIMS", "IN FLIGHT"}};
    for (const json &one : status.at("instances")) {
        instances.push_back({formatValue(one["instance"]), formatValue(one["failure_domain"]), formatValue(one["state"]), formatValue(one["leaving"]),
                             formatValue(one["config_offset"]), formatValue(one["claims_offset"]), formatValue(one["streams"])});
    }
    printTable(instances);
    printLine("");
    std::vector<std::vector<std::string>> servers{{"BACKEND SERVER", "FAILURE DOMAIN", "USABLE", "WHY NOT", "STREAMS", "HOLDS"}};
    for (const json &one : status.at("servers")) {
        std::string holds;
        for (const json &part : one["holds"]) {
            holds += (holds.empty() ? "" : " ") + formatValue(part);
        }
        servers.push_back({formatValue(one["server"]), formatValue(one["failure_domain"]), formatValue(one["usable"]), formatValue(one["reason"]),
                           formatValue(one["streams"]), holds});
    }
    printTable(servers);
    return 0;
}

int explainRequest(const ctl_options &options)
{
    const json answer = requestJson(options, "GET", "/operator/explain?request=" + percentEncode(options.words.at(2)));
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
        table.push_back({std::to_string(one["time_ms"].get<std::int64_t>() - start), formatValue(one["reason"]), formatValue(one["detail"])});
    }
    printTable(table);
    return 0;
}

int explainPlacement(const ctl_options &options)
{
    ctl_options controllerOptions = options;
    controllerOptions.entry = options.controller;
    const json answer = requestJson(controllerOptions, "GET", "/operator/placement");
    if (options.printJson) {
        printLine(answer.dump());
        return 0;
    }
    printLine("placement lease held by " + formatValue(answer.at("holder")) + ", fencing number " + formatValue(answer.at("fence")));
    for (const auto &[model, rate] : answer.at("tokens_per_second").items()) {
        if (model.starts_with(options.words.at(2))) {
            printLine(model + ": estimated capacity " + std::to_string(static_cast<int>(rate.get<double>())) + " tokens/s");
        }
    }
    std::vector<std::vector<std::string>> table{{"BY", "DECISION"}};
    for (const json &one : answer.at("decisions")) {
        if (formatValue(one["text"]).find(" " + options.words.at(2) + "@") != std::string::npos) {
            table.push_back({formatValue(one["by"]), formatValue(one["text"])});
        }
    }
    printTable(table);
    return 0;
}

int setServerState(const ctl_options &options, const std::string &state)
{
    return finishChange(
        options,
        requestJson(options, "POST", "/operator/server-state?server=" + percentEncode(options.words.at(1)) + "&state=" + state + "&" + changeQuery(options)));
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
    const json answer = requestJson(options, "PUT", "/operator/log-level?level=" + percentEncode(options.words.at(1)));
    return answer["http_status"] == 200 ? 0 : printFailure(answer);
}

// The quarantine is asked for at the metrics address of a gateway, which --entry names here.
int listQuarantine(const ctl_options &options)
{
    const json answer = requestJson(options, "GET", "/quarantine");
    if (answer["http_status"] != 200) {
        return printFailure(answer);
    }
    if (options.printJson) {
        printLine(answer.dump(2));
        return 0;
    }
    std::vector<std::vector<std::string>> table{{"part", "status", "servers ended", "last s ago", "trials"}};
    for (const json &part : answer.at("parts")) {
        table.push_back({part.at("part").get<std::string>(), part.at("status").get<std::string>(), std::to_string(part.at("servers_ended").get<int>()),
                         std::to_string(part.at("last_end_ms").get<std::int64_t>() / 1000), std::to_string(part.at("trials").get<int>())});
    }
    printTable(table);
    return 0;
}

int releaseFromQuarantine(const ctl_options &options)
{
    const json answer = requestJson(options, "POST", "/quarantine/release?part=" + percentEncode(options.words.at(2)));
    return answer["http_status"] == 200 ? 0 : printFailure(answer);
}

//-----------------------------------------------------------------------------
// Main
//-----------------------------------------------------------------------------

struct command
{
    std::vector<std::string> words; // name of the command
    std::size_t arguments;          // number of arguments after the name
    const char *usage;
    const char *help;
    int (*run)(const ctl_options &);
};

const std::vector<command> &commands()
{
    static const std::vector<command> TABLE{
        {{"sheet", "check"}, 1, "sheet check FILE", "check a sheet locally, without a running instance", checkSheet},
        {{"sheet", "diff"}, 1, "sheet diff FILE", "show what publishing the sheet would change", diffSheet},
        {{"sheet", "publish"}, 1, "sheet publish FILE [--wait]", "publish a sheet; --wait returns once it is active everywhere", publishSheet},
        {{"sheet", "watch"}, 1, "sheet watch FILE", "publish a sheet whenever the file changes", watchSheet},
        {{"sheet", "status"}, 0, "sheet status", "show the active configuration offset of each instance", sheetStatus},
        {{"status"}, 0, "status", "show instances and backend servers with their failure domains", showStatus},
        {{"explain", "request"}, 1, "explain request ID", "show the decisions on a request; ask the instance that handled it", explainRequest},
        {{"explain", "placement"}, 1, "explain placement MODEL", "show the placement decisions on a model", explainPlacement},
        {{"drain"}, 1, "drain SERVER [--wait]", "send no new requests to a backend server", drainServer},
        {{"undrain"}, 1, "undrain SERVER [--wait]", "send new requests to a drained backend server again", undrainServer},
        {{"quarantine", "list"}, 0, "quarantine list", "show the parts of prompts that end servers; --entry: metrics address of a gateway", listQuarantine},
        {{"quarantine", "release"},
         1,
         "quarantine release PART",
         "let requests with a part through again; --entry: metrics address of a gateway",
         releaseFromQuarantine},
        {{"log-level"}, 1, "log-level LEVEL", "set the log level of an instance: debug, info, warning or error", setLogLevelCommand},
    };
    return TABLE;
}

std::string commandHelp()
{
    std::string text = "Commands:\n";
    for (const command &one : commands()) {
        text += "  " + std::string(one.usage) + std::string(std::max<std::size_t>(2, 32 - std::string(one.usage).size()), ' ') + one.help + "\n";
    }
    return text
        + "Exit status: 0 success, 1 failed or rejected, 2 usage error,\n"
          "3 timed out before the change was decided or active on all live instances.\n";
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
    printError("unknown command or wrong number of arguments; see chestnutctl --help");
    return EXIT_USAGE_ERROR;
}

const setting_row<ctl_options> CTL_SETTINGS[] = {
    {"ctl.entry", &ctl_options::entry, 9, 100, "IP:port", "address of any entry instance"},
    {"ctl.controller", &ctl_options::controller, 9, 100, "IP:port", "address of any controller"},
    {"ctl.key", &ctl_options::key, 0, 1000, "text", "bearer key for the operator API"},
    {"ctl.author", &ctl_options::author, 0, 200, "text", "author recorded in changes"},
    {"ctl.timeout", &ctl_options::timeout, 1, 1e7, "ms", "timeout for a change to be decided, and then to be active on all live instances"},
};

// Precedence: command-line option, environment variable, settings file.
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
    cxxopts::Options options("chestnutctl", "Operates a chestnutgw deployment through any of its entry instances");
    options.positional_help("COMMAND ...");
    options.add_options()("c,config", "INI file with the settings below", cxxopts::value<std::string>());
    options.add_options()("check-config", "check the settings and exit");
    options.add_options()("e,entry", "IP:port of an entry instance; default: environment variable CHESTNUTGW_ENTRY", cxxopts::value<std::string>());
    options.add_options()("controller", "IP:port of a controller; default: environment variable CHESTNUTGW_CONTROLLER", cxxopts::value<std::string>());
    options.add_options()("key", "bearer key for the operator API; default: environment variable CHESTNUTGW_KEY", cxxopts::value<std::string>());
    options.add_options()("author", "author recorded in changes; default: environment variable USER", cxxopts::value<std::string>());
    options.add_options()("id", "ID of the change; repeating a request with the same ID applies it only once",
                          cxxopts::value<std::string>()->default_value(""));
    options.add_options()("base", "configuration offset that the sheet was based on; default: the active one",
                          cxxopts::value<std::string>()->default_value(""));
    options.add_options()("json", "print answers as JSON");
    options.add_options()("wait", "wait until the change is active on all live instances");
    options.add_options()("timeout", "timeout in ms for a change to be decided, and then to be active on all live instances", cxxopts::value<std::string>());
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
        return EXIT_USAGE_ERROR;
    } catch (const chestnut::settings_error &problem) {
        chestnut::printError(problem.what());
        return EXIT_USAGE_ERROR;
    } catch (const std::exception &problem) {
        chestnut::printError(problem.what());
        return EXIT_FAILED;
    }
}
