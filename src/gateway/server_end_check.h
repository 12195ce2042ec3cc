#pragma once

// Finds out whether the process of a backend server has ended, after a connection to it broke. Traffic thread only.

#include "core/crash_evidence.h"
#include "gateway/one_shot.h"
#include "gateway/platform_port.h"

#include <memory>

namespace chestnut
{

namespace asio = boost::asio;

class server_end_check
{
public:
    using fetch_report = std::function<void(const std::string &address, const server_id &server, std::function<void(server_report)> done)>;
    // Time until a check ends without result.
    static constexpr milliseconds TIMEOUT{300};

    explicit server_end_check(asio::io_context &context)
        : m_context(context)
    {
    }
    // Asks the server for a report. Checks of one process at the same time share one question.
    std::shared_ptr<one_shot<bool>> start(const server_process &process, const std::string &address, const fetch_report &fetch);

private:
    asio::io_context &m_context;
    std::map<server_process, std::vector<std::shared_ptr<one_shot<bool>>>> m_waiting; // for the result "the process has ended"
};

}
