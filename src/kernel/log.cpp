#include "kernel/log.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <climits>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <stdexcept>
#include <unistd.h>

namespace chestnut
{

namespace
{

// Sink backend that writes lines to a descriptor without blocking: a line that does not fit is dropped and counted.
class nonblocking_sink_backend : public boost::log::sinks::basic_formatted_sink_backend<char, boost::log::sinks::synchronized_feeding>
{
public:
    explicit nonblocking_sink_backend(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    void consume(const boost::log::record_view &, const std::string &line)
    {
        if (m_dropped > 0 && canWrite()) {
            writeLine("{\"event\":\"log_lines_lost\",\"reason\":\"reader too slow\",\"lines\":\"" + std::to_string(std::exchange(m_dropped, 0)) + "\"}");
        }
        if (!canWrite() || !writeLine(line)) {
            ++m_dropped;
        }
    }

private:
    // A pipe that poll() reports writable accepts at least MAX_LINE_BYTES (PIPE_BUF) without blocking.
    bool canWrite() const
    {
        pollfd entry{m_descriptor, POLLOUT, 0};
        return ::poll(&entry, 1, 0) > 0 && (entry.revents & POLLOUT) != 0;
    }
    // Truncates lines longer than MAX_LINE_BYTES, including the line break.
    bool writeLine(const std::string &line) const
    {
        const std::string bytes = line.substr(0, MAX_LINE_BYTES - 1) + "\n";
        return ::write(m_descriptor, bytes.data(), bytes.size()) == static_cast<ssize_t>(bytes.size());
    }

    static constexpr std::size_t MAX_LINE_BYTES = PIPE_BUF;
    int m_descriptor;
    std::uint64_t m_dropped = 0; // lines dropped since the last one written
};

struct log_state
{
    std::mutex mutex;                   // guards all members
    std::string program = "chestnutgw"; // field "program" of each line
    bool json = false;                  // JSON lines instead of key=value
    log_level level = log_level::info;  // lines of a lower level are dropped
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
    throw std::invalid_argument("invalid log level '" + std::string(text) + "' (allowed: debug, info, warning, error)");
}

void startLog(const std::string &program, const std::string &format, log_level level, log_target target)
{
    const std::lock_guard lock(state().mutex);
    state().program = program;
    state().json = format == "json";
    state().level = level;
    if (target == log_target::standard_output) {
        using sink = boost::log::sinks::synchronous_sink<nonblocking_sink_backend>;
        auto added = boost::make_shared<sink>(boost::make_shared<nonblocking_sink_backend>(STDOUT_FILENO));
        added->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
        boost::log::core::get()->add_sink(added);
        return;
    }
    boost::log::add_console_log(std::clog, boost::log::keywords::format = boost::log::expressions::stream << boost::log::expressions::smessage,
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
