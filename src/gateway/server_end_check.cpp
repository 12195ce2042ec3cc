#include "gateway/server_end_check.h"

#include <utility>

namespace chestnut
{

std::shared_ptr<one_shot<bool>> server_end_check::start(const server_process &process, const std::string &address, const fetch_report &fetch)
{
    const auto ended = std::make_shared<one_shot<bool>>(m_context, std::chrono::steady_clock::now() + TIMEOUT);
    std::vector<std::shared_ptr<one_shot<bool>>> &waiting = m_waiting[process];
    waiting.push_back(ended);
    if (waiting.size() > 1) {
        return ended;
    }
    fetch(address, process.server, [this, process](const server_report &report) {
        const auto asked = std::exchange(m_waiting[process], {});
        m_waiting.erase(process);
        for (const auto &one : asked) {
            one->set(!report.ok);
        }
    });
    return ended;
}

}
