#pragma once

#include "core/chestnutgw.h"

#include <functional>
#include <mutex>

namespace chestnut
{

// Called at most once per request, on any thread, with the decision and the Retry-After time of a refusal.
using admission_callback = std::function<void(bool admitted, milliseconds retryAfter)>;

// The admission queues of one instance, one per model version, guarded by one mutex. Any thread.
class shared_admission
{
public:
    // Returns the ticket for ended(); the callback may run before this returns.
    admission_ticket submit(const std::string &model, admission_request request, admission_callback decided);
    // Removes a request: an admitted one has ended, or a waiting one is abandoned. Its callback is not called any more.
    void ended(const std::string &model, admission_ticket ticket);
    // Names of the queues, as model@version.
    std::vector<std::string> models();
    void setCapacity(const std::string &model, const admission_capacity &capacity);

private:
    struct decision
    {
        admission_callback call;
        bool admitted = false;
        milliseconds retryAfter{0};
    };
    std::vector<decision> collect(admission_queue &queue);
    static void deliver(const std::vector<decision> &decisions);

    std::mutex m_mutex; // guards all below
    std::map<std::string, admission_queue> m_queues;
    std::map<admission_ticket, admission_callback> m_callbacks;
    admission_ticket m_nextTicket = 1;
};

}
