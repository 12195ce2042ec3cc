#include "kernel/log.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace chestnut
{

namespace
{

struct log_state
{
    std::mutex mutex;                   // guards all members
    std::string program = "chestnutgw"; // written in each line
    bool json = false;                  // JSON lines in place of key=value
    log_level level = log_level::info;  // lower levels are dropped
};

log_state &state()
{
    static log_state value;
    return value;
}

std::string_view levelName(log_level level)
{
    static constexpr std::string_view NAMES[] = {"debug", "info", "warning", "error"};
    return NAMES[static_cast<int>(level)];
}

std::string quoted(const std::string &value)
{
    const bool plain = !value.empty() && value.find_first_of(" \"=\n\t") == std::string::npos;
    return plain ? value : nlohmann::json(value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string timestamp()
{
    const auto now = boost::posix_time::microsec_clock::universal_time();
    return boost::posix_time::to_iso_extended_string(now).substr(0, 23) + "Z";
}

std::string formatLine(const log_state &settings, log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    if (settings.json) {
        nlohmann::ordered_json line{{"time", timestamp()}, {"level", levelName(level)}, {"program", settings.program}, {"event", event}};
        for (const auto &[name, value] : fields) {
            line[std::string(name)] = value;
        }
        return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }
    std::string line = "time=" + timestamp() + " level=" + std::string(levelName(level)) + " program=" + settings.program + " event=" + std::string(event);
    for (const auto &[name, value] : fields) {
        line += " " + std::string(name) + "=" + quoted(value);
    }
    return line;
}

}

log_level parseLogLevel(std::string_view text)
{
    for (const log_level level : {log_level::debug, log_level::info, log_level::warning, log_level::error}) {
        if (levelName(level) == text) {
            return level;
        }
    }
    throw std::invalid_argument("log level must be debug, info, warning or error");
}

void startLog(const std::string &program, const std::string &format, log_level level, log_target target)
{
    const std::lock_guard lock(state().mutex);
    state().program = program;
    state().json = format == "json";
    state().level = level;
    boost::log::add_console_log(target == log_target::standard_output ? std::cout : std::clog, boost::log::keywords::format = boost::log::expressions::stream << boost::log::expressions::smessage,
                                boost::log::keywords::auto_flush = true);
}

void setLogLevel(log_level level)
{
    const std::lock_guard lock(state().mutex);
    state().level = level;
}

void logLine(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    const std::lock_guard lock(state().mutex);
    if (level < state().level) {
        return;
    }
    static boost::log::sources::severity_logger<int> logger;
    BOOST_LOG_SEV(logger, static_cast<int>(level)) << formatLine(state(), level, event, fields);
}

}
