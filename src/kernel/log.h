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

// Parses debug, info, warning or error. Throws std::invalid_argument for any other text.
log_level parseLogLevel(std::string_view text);

using log_field = std::pair<std::string_view, std::string>;

// Writes to standard output never block: lines that a slow reader leaves no room for are dropped and counted.
enum class log_target
{
    standard_error,
    standard_output
};

// Sets up logging. format is "json" for JSON lines, any other value means key=value.
void startLog(const std::string &program, const std::string &format, log_level level, log_target target = log_target::standard_error);

// Changes the minimum level at run time. Call from any thread.
void setLogLevel(log_level level);

// Writes one line, from any thread. Only changes of state are logged; anything more frequent is counted in a metric.
void logLine(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});

}
