#pragma once

#include "load/runner.h"

namespace chestnut
{

// Summary of a run as JSON: totals, bound, per account, over time. The report command reads it back.
nlohmann::json summarise(const load_settings &settings, const run_result &result);

// Summary as lines for a terminal.
std::string formatSummary(const nlohmann::json &summary);

// One line a request.
std::string formatCsv(const run_result &result);

// One HTML page with SVG plots: goodput against bound with fault marks, latencies of each account.
std::string formatHtml(const std::vector<nlohmann::json> &summaries);

}
