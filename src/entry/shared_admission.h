#pragma once

#include "core/chestnutgw.h"

#include <functional>
#include <mutex>

namespace chestnut
{

// Called once for each request, on any thread: whether it may run, and when to come back if not.
using admission_callback = std::function<void(bool admitted, milliseconds retryAfter)>;

// The admission queues of one instance, one for each model version, under one lock. Any thread.
class shared_admission
{
public:
    // Returns the ticket for ended(); the callback may run before this returns.
    admission_ticket submit(const std::string &model, admission_request request, admission_callback decided);
    // An admitted request ended, or a waiting one is given up.
    void ended(const std::string &model, admission_ticket ticket);
    // Names of the queues, and their new capacities.
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
    admission_ticket m_next = 1;
};

}
