// chestnutgw-load: load and experiment tool. Without a command it runs a load; see COMMANDS for the others.

#include "caller/chat_api.h"
#include "load/report.h"
#include "load/scale.h"
#include "standin/oracle.h"

#include <fstream>

namespace
{

using namespace chestnut;

void writeFile(const std::string &name, const std::string &content)
{
    std::ofstream file(name);
    file << content;
    if (!file) {
        throw std::runtime_error("cannot write '" + name + "'");
    }
}

int run(const load_settings &settings)
{
    const run_result result = runLoad(settings);
    const nlohmann::json summary = summarise(settings, result);
    printLine(formatSummary(summary));
    if (!settings.csv.empty()) {
        writeFile(settings.csv, formatCsv(result));
    }
    if (!settings.json.empty()) {
        writeFile(settings.json, summary.dump() + "\n");
    }
    return 0;
}

// oracle MODEL VERSION LAYERS MAX_TOKENS PROMPT: prints the text that engine stand-ins must answer to a user message.
int oracle(const std::vector<std::string> &arguments)
{
    if (arguments.size() != 5) {
        printError("usage: chestnutgw-load oracle MODEL VERSION LAYERS MAX_TOKENS PROMPT");
        return 2;
    }
    printLine(oracleAnswer(arguments[0], arguments[1], std::stoi(arguments[2]), formatPromptLine("user", arguments[4]), std::stoi(arguments[3])).text());
    return 0;
}

// report OUT.html SUMMARY.json...: writes one HTML page for the summaries of several runs.
int report(const std::vector<std::string> &files)
{
    if (files.size() < 2) {
        printError("usage: chestnutgw-load report OUT.html SUMMARY.json...");
        return 2;
    }
    std::vector<nlohmann::json> summaries;
    for (std::size_t i = 1; i < files.size(); ++i) {
        std::ifstream file(files[i]);
        nlohmann::json summary = nlohmann::json::parse(file, nullptr, false);
        if (!summary.is_object() || !summary.contains("series")) {
            printError("'" + files[i] + "' is not the summary of a load run");
            return 1;
        }
        summaries.push_back(std::move(summary));
    }
    writeFile(files[0], formatHtml(summaries));
    printLine("wrote " + files[0]);
    return 0;
}

int scale(const std::vector<std::string> &)
{
    return measureScale();
}

struct named_command
{
    const char *name;
    int (*run)(const std::vector<std::string> &arguments);
};

constexpr named_command COMMANDS[] = {
    {"report", report}, {"oracle", oracle}, {"publications", measurePublications}, {"submissions", measureSubmissions}, {"scale", scale},
};

}

int main(int argc, char **argv)
{
    chestnut::blockTerminationSignals();
    const std::string command = argc > 1 ? argv[1] : "";
    for (const auto &[name, commandFunction] : COMMANDS) {
        if (command != name) {
            continue;
        }
        try {
            return commandFunction({argv + 2, argv + argc});
        } catch (const std::exception &problem) {
            chestnut::printError(problem.what());
            return 1;
        }
    }
    return chestnut::runProgram(argc, argv, "chestnutgw-load", "Sends load to entry instances and compares the goodput with its upper bound",
                                chestnut::LOAD_SETTINGS, run);
}
