#pragma once

#include "load/runner.h"

namespace chestnut
{

// Summary of a run as JSON: totals, bound, figures by account and time series. Input of the report command.
nlohmann::json summarise(const load_settings &settings, const run_result &result);

// Summary as text for a terminal.
std::string formatSummary(const nlohmann::json &summary);

// One CSV line per request, with a header line.
std::string formatCsv(const run_result &result);

// One HTML page for all summaries: SVG plots of goodput and bound with the faults marked, and a table of latencies by
// account.
std::string formatHtml(const std::vector<nlohmann::json> &summaries);

}
