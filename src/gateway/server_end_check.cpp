#include "gateway/server_end_check.h"

#include <utility>

namespace chestnut
{

server_end_check::pending_state server_end_check::start(const server_process &process, const std::string &address, const fetch_report &fetch, steady_time until)
{
    const auto state = std::make_shared<one_shot<process_state>>(m_context, until);
    std::vector<pending_state> &waiting = m_waiting[process];
    waiting.push_back(state);
    if (waiting.size() > 1) {
        return state;
    }
    fetch(address, process.server, [this, process](const server_report &report) {
        const auto asked = std::exchange(m_waiting[process], {});
        m_waiting.erase(process);
        for (const pending_state &one : asked) {
            one->set(report.processState());
        }
    });
    return state;
}

}
