#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace chestnut
{

enum class log_level
{
    debug,
    info,
    warning,
    error
};

// Parses debug, info, warning or error. Throws std::invalid_argument otherwise.
log_level parseLogLevel(std::string_view text);

using log_field = std::pair<std::string_view, std::string>;

// A slow reader of standard output never holds the program up: lines that it does not take are dropped and counted.
enum class log_target
{
    standard_error,
    standard_output
};

// Sets up logging. format is "text" (key=value) or "json".
void startLog(const std::string &program, const std::string &format, log_level level, log_target target = log_target::standard_error);

// Changes the level while running.
void setLogLevel(log_level level);

// Writes one line. Used for changes of state only; everything else is a counter.
void logLine(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});

}
