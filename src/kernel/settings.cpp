#include "kernel/settings.h"

#include <csignal>
#include <cstdio>
#define CXXOPTS_VECTOR_DELIMITER '\x1f'
#include <cxxopts.hpp>
#include <fstream>
#include <ini.h>
#include <iostream>

namespace chestnut
{

namespace
{

struct ini_state
{
    std::ifstream file;              // opened file
    std::string name;                // file name for error messages
    int line = 0;                    // number of the last line read
    std::vector<setting_text> found; // settings read so far
};

// Counts the lines, since Debian builds inih without line numbers for the value handler.
char *readIniLine(char *buffer, int size, void *user)
{
    auto *state = static_cast<ini_state *>(user);
    std::string text;
    if (!std::getline(state->file, text)) {
        return nullptr;
    }
    ++state->line;
    std::snprintf(buffer, static_cast<std::size_t>(size), "%s\n", text.c_str());
    return buffer;
}

int storeIniValue(void *user, const char *section, const char *name, const char *value)
{
    auto *state = static_cast<ini_state *>(user);
    state->found.push_back({state->name, state->line, std::string(section) + "." + name, value});
    return 1;
}

std::string formatBound(double value)
{
    std::string text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    return text.ends_with('.') ? text.substr(0, text.size() - 1) : text;
}

}

std::vector<setting_text> readSettings(const std::string &file)
{
    ini_state state;
    state.name = file;
    state.file.open(file);
    if (!state.file) {
        throw settings_error(file + ": cannot read settings file");
    }
    const int badLine = ini_parse_stream(reinterpret_cast<ini_reader>(readIniLine), &state, storeIniValue, &state);
    if (badLine != 0) {
        throw settings_error(file + ":" + std::to_string(badLine) + ": invalid line (allowed: [section], key = value, ; comment)");
    }
    return state.found;
}

double parseNumber(const std::string &text, double lowest, double highest)
{
    const std::string errorMessage = "invalid value '" + text + "' (allowed: a number from " + formatBound(lowest) + " to " + formatBound(highest) + ")";
    std::size_t used = 0;
    double value = 0;
    try {
        value = std::stod(text, &used);
    } catch (const std::exception &) {
        throw std::invalid_argument(errorMessage);
    }
    if (used != text.size() || !(value >= lowest && value <= highest)) {
        throw std::invalid_argument(errorMessage);
    }
    return value;
}

bool parseBool(const std::string &text)
{
    if (text == "yes" || text == "true" || text == "on") {
        return true;
    }
    if (text == "no" || text == "false" || text == "off") {
        return false;
    }
    throw std::invalid_argument("invalid value '" + text + "' (allowed: yes, true, on, no, false, off)");
}

std::string parseBoundedText(const std::string &text, double shortest, double longest)
{
    if (static_cast<double>(text.size()) < shortest || static_cast<double>(text.size()) > longest) {
        throw std::invalid_argument("invalid value '" + text + "' (allowed: a text of " + formatBound(shortest) + " to " + formatBound(longest) + " bytes)");
    }
    return text;
}

void throwSettingsError(const setting_text &text, const std::string &problem)
{
    const std::string place = text.line > 0 ? text.source + ":" + std::to_string(text.line) : text.source;
    throw settings_error(place + ": " + text.key + ": " + problem);
}

program_options parseProgramOptions(int argc, char **argv, const std::string &program, const std::string &purpose, const std::string &settingsHelp)
{
    program_options result;
    cxxopts::Options options(program, purpose);
    options.add_options()("c,config", "INI file with the settings", cxxopts::value<std::string>());
    options.add_options()("s,set", "override one setting, section.key=value; may be repeated", cxxopts::value<std::vector<std::string>>());
    options.add_options()("check-config", "check the settings and exit");
    options.add_options()("h,help", "print this help");
    options.add_options()("version", "print the version");
    try {
        const auto given = options.parse(argc, argv);
        if (given.count("help") > 0) {
            printLine(options.help() + "\n" + settingsHelp);
            result.exitNow = true;
            return result;
        }
        if (given.count("version") > 0) {
            printLine(program + " " + CHESTNUTGW_VERSION);
            result.exitNow = true;
            return result;
        }
        if (!given.unmatched().empty()) {
            throw settings_error("unexpected argument '" + given.unmatched().front() + "'; see --help");
        }
        result.checkOnly = given.count("check-config") > 0;
        if (given.count("config") > 0) {
            result.settings = readSettings(given["config"].as<std::string>());
        }
        if (given.count("set") > 0) {
            for (const std::string &text : given["set"].as<std::vector<std::string>>()) {
                const auto equals = text.find('=');
                if (equals == std::string::npos) {
                    throw settings_error("--set: invalid value '" + text + "' (allowed: section.key=value)");
                }
                result.settings.push_back({"--set", 0, text.substr(0, equals), text.substr(equals + 1)});
            }
        }
    } catch (const cxxopts::exceptions::exception &problem) {
        throw settings_error(std::string(problem.what()) + "; see --help");
    }
    return result;
}

void printError(const std::string &text)
{
    std::cerr << text << std::endl;
}

void printLine(const std::string &text)
{
    std::cout << text << std::endl;
}

namespace
{

sigset_t terminationSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGTERM);
    return set;
}

}

void blockTerminationSignals()
{
    const sigset_t set = terminationSignals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void waitForTermination()
{
    const sigset_t set = terminationSignals();
    int received = 0;
    sigwait(&set, &received);
}

}
