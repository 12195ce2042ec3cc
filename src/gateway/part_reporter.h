#pragma once

// Tells operators and the platform of parts of prompts that are suspected or quarantined. Traffic thread only.

#include "core/part_quarantine.h"
#include "kernel/metrics.h"

#include <functional>

namespace chestnut
{

// Writes the evidence against a part to the platform; empty evidence removes it.
using keep_quarantine = std::function<void(const part_id &part, const evidence_update &evidence)>;

class part_reporter
{
public:
    part_reporter(part_quarantine &quarantine, metrics &counters)
        : m_quarantine(quarantine)
        , m_counters(counters)
    {
    }
    // Must be called before the other functions.
    void setKeeper(keep_quarantine keeper)
    {
        m_keeper = std::move(keeper);
    }
    // Logs, counts and keeps the parts whose status has changed.
    void report();
    // Keeps the evidence against a quarantined part if this instance has witnessed any; removes it once the part is clear.
    void keep(const part_finding &finding);

private:
    void countParts();

    part_quarantine &m_quarantine;
    metrics &m_counters;
    keep_quarantine m_keeper;
    std::set<part_id> m_kept; // written by this instance
};

}
