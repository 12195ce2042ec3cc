#pragma once

#include "kernel/ids.h"

#include <map>
#include <stdexcept>
#include <string>
#include <variant>
#include <vector>

namespace chestnut
{

// One "key = value" of an INI file or of a --set option, not parsed yet.
struct setting_text
{
    std::string source; // name of the file, or "--set"
    int line = 0;       // line in the file, from 1; 0 = command line
    std::string key;    // section.key
    std::string value;  // text of the value
};

// Invalid setting. what() has the form "FILE:LINE: key: problem (allowed: ...)".
class settings_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

// Reads an INI file (inih). Throws settings_error if it cannot be read or parsed.
std::vector<setting_text> readSettings(const std::string &file);

// Row of a settings table: the member that a key sets, and the allowed range.
template <typename settings>
struct setting_row
{
    const char *key; // section.key
    // Member to set.
    std::variant<int settings::*, double settings::*, bool settings::*, std::string settings::*, milliseconds settings::*> member;
    double lowest;    // minimum of a number, or minimum length of a string in bytes
    double highest;   // maximum of a number, or maximum length of a string in bytes
    const char *unit; // ms, bytes, IP:port, ...
    const char *help; // description of one line
};

// Parsers used by applySetting. Each throws std::invalid_argument with the value found and the allowed values.
double parseNumber(const std::string &text, double lowest, double highest);
bool parseBool(const std::string &text);
std::string parseBoundedText(const std::string &text, double shortest, double longest);
// Throws a settings_error that names the source, line and key of the setting.
[[noreturn]] void throwSettingsError(const setting_text &text, const std::string &problem);

// Parses one setting and stores it in target. Throws settings_error for an unknown key or an invalid value.
template <typename settings, std::size_t count>
void applySetting(settings &target, const setting_row<settings> (&table)[count], const setting_text &text)
{
    for (const setting_row<settings> &row : table) {
        if (text.key != row.key) {
            continue;
        }
        try {
            std::visit(
                [&](auto member) {
                    using value_type = std::decay_t<decltype(target.*member)>;
                    if constexpr (std::is_same_v<value_type, bool>) {
                        target.*member = parseBool(text.value);
                    } else if constexpr (std::is_same_v<value_type, std::string>) {
                        target.*member = parseBoundedText(text.value, row.lowest, row.highest);
                    } else {
                        target.*member = static_cast<value_type>(static_cast<std::int64_t>(parseNumber(text.value, row.lowest, row.highest)));
                        if constexpr (std::is_same_v<value_type, double>) {
                            target.*member = parseNumber(text.value, row.lowest, row.highest);
                        }
                    }
                },
                row.member);
        } catch (const std::invalid_argument &problem) {
            throwSettingsError(text, problem.what());
        }
        return;
    }
    std::string known;
    for (const setting_row<settings> &row : table) {
        known += std::string(" ") + row.key;
    }
    throwSettingsError(text, "unknown key (allowed:" + known + ")");
}

// Lists the keys with unit, default and description, for --help.
template <typename settings, std::size_t count>
std::string describeSettings(const setting_row<settings> (&table)[count])
{
    const settings defaults;
    std::string text = "Settings (section.key of the INI file):\n";
    for (const setting_row<settings> &row : table) {
        std::string defaultText;
        std::visit(
            [&](auto member) {
                using value_type = std::decay_t<decltype(defaults.*member)>;
                if constexpr (std::is_same_v<value_type, std::string>) {
                    defaultText = (defaults.*member).empty() ? "(none)" : defaults.*member;
                } else if constexpr (std::is_same_v<value_type, milliseconds>) {
                    defaultText = std::to_string((defaults.*member).count());
                } else if constexpr (std::is_same_v<value_type, bool>) {
                    defaultText = defaults.*member ? "yes" : "no";
                } else {
                    defaultText = std::to_string(defaults.*member);
                }
            },
            row.member);
        text += std::string("  ") + row.key + " [" + row.unit + "] default " + defaultText + ": " + row.help + "\n";
    }
    return text;
}

// Command line options that all programs share.
struct program_options
{
    std::vector<setting_text> settings; // those of --config, then those of --set, which override them
    bool checkOnly = false;             // --check-config
    bool exitNow = false;               // --help or --version was printed
};

// Parses --config, --set, --check-config, --help and --version (cxxopts). Throws settings_error for an invalid command line or an
// invalid or unreadable settings file.
program_options parseProgramOptions(int argc, char **argv, const std::string &program, const std::string &purpose, const std::string &settingsHelp);

// Common main function: parses the command line, applies the settings, then calls body(settings). Returns the exit status: that of body,
// 2 for an invalid setting, 1 for any other exception.
template <typename settings, std::size_t count, typename callable>
int runProgram(int argc, char **argv, const std::string &program, const std::string &purpose, const setting_row<settings> (&table)[count], callable body);

// Write one line to standard error or standard output and flush it.
void printError(const std::string &text);
void printLine(const std::string &text);

template <typename settings, std::size_t count, typename callable>
int runProgram(int argc, char **argv, const std::string &program, const std::string &purpose, const setting_row<settings> (&table)[count], callable body)
{
    try {
        const program_options options = parseProgramOptions(argc, argv, program, purpose, describeSettings(table));
        if (options.exitNow) {
            return 0;
        }
        settings parsed;
        for (const setting_text &text : options.settings) {
            applySetting(parsed, table, text);
        }
        checkSettings(parsed);
        if (options.checkOnly) {
            printLine("settings are valid");
            return 0;
        }
        return body(parsed);
    } catch (const settings_error &problem) {
        printError(problem.what());
        return 2;
    } catch (const std::exception &problem) {
        printError(problem.what());
        return 1;
    }
}

// Blocks SIGINT and SIGTERM in the calling thread and all threads it starts later, and ignores SIGPIPE. Call it first in main.
void blockTerminationSignals();
// Blocks until SIGINT or SIGTERM arrives.
void waitForTermination();

}
