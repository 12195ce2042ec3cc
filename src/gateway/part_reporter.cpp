#include "gateway/part_reporter.h"

#include "kernel/log.h"

namespace chestnut
{

namespace
{

void logChange(const part_finding &finding)
{
    const auto toMs = [](auto span) { return std::to_string(std::chrono::duration_cast<milliseconds>(span).count()); };
    const log_level level = finding.status == part_status::quarantined ? log_level::warning : log_level::info;
    logLine(level, "prompt_part",
            {{"part", finding.part.text},
             {"status", toText(finding.status)},
             {"servers_ended", std::to_string(finding.ends)},
             {"span_ms", toMs(finding.lastEnd - finding.firstEnd)},
             {"last_end_ms", toMs(std::chrono::steady_clock::now() - finding.lastEnd)},
             {"ambiguous", finding.ambiguous ? "yes" : "no"}});
}

}

void part_reporter::report()
{
    const std::vector<part_finding> changes = m_quarantine.takeChanges();
    for (const part_finding &finding : changes) {
        m_counters.count("prompt_part_changes", {{"status", toText(finding.status)}});
        logChange(finding);
        keep(finding);
    }
    if (!changes.empty()) {
        countParts();
    }
}

void part_reporter::keep(const part_finding &finding)
{
    if (finding.status == part_status::quarantined && m_quarantine.witnessed(finding.part)) {
        m_kept.insert(finding.part);
        m_keeper(finding.part, m_quarantine.evidence().about(finding.part));
    } else if (finding.status == part_status::clear && m_kept.erase(finding.part) > 0) {
        m_keeper(finding.part, {});
    }
}

void part_reporter::countParts()
{
    std::map<part_status, int> numbers;
    for (const auto &[part, finding] : m_quarantine.findings()) {
        ++numbers[finding.status];
    }
    for (const part_status status : {part_status::suspected, part_status::quarantined}) {
        m_counters.set("prompt_parts", numbers[status], {{"status", toText(status)}});
    }
}

}
