#pragma once

// Follows one request at a server until it is known whether the server lives on with it. Traffic thread only.

#include "core/part_quarantine.h"

#include <algorithm>

namespace chestnut
{

class part_exposure
{
public:
    part_exposure(part_quarantine &quarantine, const std::vector<part_id> &parts)
        : m_quarantine(quarantine)
        , m_parts(parts)
    {
        m_quarantine.addUnproven(m_parts);
    }
    ~part_exposure()
    {
        end();
    }
    part_exposure(const part_exposure &) = delete;
    part_exposure &operator=(const part_exposure &) = delete;

    // Data of the answer was received. A long gap counts in part only: after a pause of this process, data of a server that has ended
    // meanwhile is still read.
    void noteData(steady_time now)
    {
        if (m_lastData != steady_time()) {
            m_answering += std::min<std::chrono::nanoseconds>(now - m_lastData, MAX_GAP);
        }
        m_lastData = now;
        if (m_answering >= part_quarantine::PROVING_TIME) {
            prove(now);
        }
    }
    // The server lives on: it has answered for long enough, or completely.
    void prove(steady_time now)
    {
        if (m_open) {
            m_quarantine.noteSurvival(m_parts, now);
            end();
        }
    }
    // True until the server is known to live on with the request.
    bool open() const
    {
        return m_open;
    }

private:
    void end()
    {
        if (m_open) {
            m_open = false;
            m_quarantine.removeUnproven(m_parts);
        }
    }

    static constexpr milliseconds MAX_GAP{200};

    part_quarantine &m_quarantine;
    std::vector<part_id> m_parts;
    steady_time m_lastData{};                // 0 = none
    std::chrono::nanoseconds m_answering{0}; // time for which data has arrived
    bool m_open = true;
};

}
