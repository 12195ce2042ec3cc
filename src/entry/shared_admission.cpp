#include "entry/shared_admission.h"

#include <algorithm>

namespace chestnut
{

namespace
{

constexpr milliseconds MIN_RETRY_AFTER{500};
constexpr milliseconds MAX_RETRY_AFTER{10'000};

}

admission_ticket shared_admission::submit(const std::string &model, admission_request request, admission_callback decided)
{
    std::vector<decision> decisions;
    {
        const std::lock_guard lock(m_mutex);
        request.ticket = m_nextTicket++;
        m_callbacks[request.ticket] = std::move(decided);
        admission_queue &queue = m_queues[model];
        queue.submit(request, std::chrono::steady_clock::now());
        decisions = collect(queue);
    }
    deliver(decisions);
    return request.ticket;
}

void shared_admission::ended(const std::string &model, admission_ticket ticket)
{
    std::vector<decision> decisions;
    {
        const std::lock_guard lock(m_mutex);
        m_callbacks.erase(ticket);
        admission_queue &queue = m_queues[model];
        queue.abandon(ticket);
        queue.ended(ticket, std::chrono::steady_clock::now());
        decisions = collect(queue);
    }
    deliver(decisions);
}

std::vector<std::string> shared_admission::models()
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> names;
    for (const auto &[name, queue] : m_queues) {
        names.push_back(name);
    }
    return names;
}

void shared_admission::setCapacity(const std::string &model, const admission_capacity &capacity)
{
    const std::lock_guard lock(m_mutex);
    m_queues[model].setCapacity(capacity);
}

std::vector<shared_admission::decision> shared_admission::collect(admission_queue &queue)
{
    std::vector<decision> decisions;
    const milliseconds retryAfter = std::clamp(queue.backlog(), MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    const auto take = [&](const std::vector<admission_ticket> &tickets, bool admitted) {
        for (const admission_ticket ticket : tickets) {
            const auto found = m_callbacks.find(ticket);
            if (found != m_callbacks.end()) {
                decisions.push_back({std::move(found->second), admitted, retryAfter});
                m_callbacks.erase(found);
            }
        }
    };
    take(queue.takeAdmitted(), true);
    take(queue.takeRefused(), false);
    return decisions;
}

void shared_admission::deliver(const std::vector<decision> &decisions)
{
    for (const decision &one : decisions) {
        one.call(one.admitted, one.retryAfter);
    }
}

}
