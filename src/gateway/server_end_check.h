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
    using pending_state = std::shared_ptr<one_shot<process_state>>;

    explicit server_end_check(asio::io_context &context)
        : m_context(context)
    {
    }
    // Asks the server for a report. Checks of one process at the same time share one question, and learn its answer in the order in which
    // they were started. The result is empty at `until` if there is no answer by then.
    pending_state start(const server_process &process, const std::string &address, const fetch_report &fetch, steady_time until);

private:
    asio::io_context &m_context;
    std::map<server_process, std::vector<pending_state>> m_waiting;
};

}
