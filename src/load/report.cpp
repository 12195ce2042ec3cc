// Sections: summary, terminal and CSV, HTML page.

#include "load/report.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace chestnut
{

namespace
{

using json = nlohmann::json;

constexpr double SERIES_STEP_MS = 500;   // interval covered by one point of the time series
constexpr double RECOVERED_SHARE = 0.95; // of the bound: goodput from which a fault counts as recovered

double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())) - 1);
    return values[std::min(index, values.size() - 1)];
}

json percentiles(const std::vector<double> &values)
{
    return json{{"count", values.size()},
                {"p50", percentile(values, 0.5)},
                {"p95", percentile(values, 0.95)},
                {"p99", percentile(values, 0.99)},
                {"max", percentile(values, 1)}};
}

bool arrivedAfterWarmup(const run_result &result, const load_record &record)
{
    return record.arrivalMs >= result.warmupMs;
}

bool onTime(const load_settings &settings, const load_record &record)
{
    const bool firstTokenOnTime
        = settings.firstTokenLimit.count() == 0 || (record.firstTokenMs >= 0 && record.firstTokenMs <= static_cast<double>(settings.firstTokenLimit.count()));
    return record.whole && firstTokenOnTime && record.endMs <= static_cast<double>(settings.deadline.count());
}

double tokenCost(const load_settings &settings, const run_result &result, const load_record &record)
{
    return record.expectedTokens + settings.prefillShare * (result.accounts[record.account].words + 1);
}

// Capacity between two points in time in tokens, by model@version. Each sample holds until the next one; the first also
// covers the time before it.
std::map<std::string, double> capacityBetween(const run_result &result, double fromMs, double toMs)
{
    std::map<std::string, double> tokens;
    for (std::size_t i = 0; i < result.capacity.size(); ++i) {
        const capacity_sample &sample = result.capacity[i];
        const double start = i == 0 ? -1e9 : sample.atMs;
        const double end = i + 1 < result.capacity.size() ? result.capacity[i + 1].atMs : 1e9;
        const double width = std::min(end, toMs) - std::max(start, fromMs);
        for (const auto &[model, perSecond] : sample.tokensPerSecond) {
            tokens[model] += std::max(0.0, width) / 1000 * perSecond;
        }
    }
    return tokens;
}

// The account's model with a version: the newest one with known capacity if the account names none.
std::string resolveModelVersion(const run_result &result, const load_record &record, const std::map<std::string, double> &capacity)
{
    const std::string &name = result.accounts[record.account].model;
    if (capacity.contains(name)) {
        return name;
    }
    std::string best;
    for (const auto &[model, tokens] : capacity) {
        best = model.starts_with(name + "@") ? std::max(best, model) : best;
    }
    return best;
}

goodput_bound boundBetween(const load_settings &settings, const run_result &result, double fromMs, double toMs)
{
    const std::map<std::string, double> capacity = capacityBetween(result, fromMs, toMs);
    std::vector<offered_request> offered;
    for (const load_record &record : result.records) {
        if (record.arrivalMs >= fromMs && record.arrivalMs < toMs) {
            const load_account &account = result.accounts[record.account];
            offered.push_back({resolveModelVersion(result, record, capacity), account.worth, tokenCost(settings, result, record), account.name});
        }
    }
    return bestGoodput(std::move(offered), capacity);
}

json accountSummaries(const load_settings &settings, const run_result &result, const goodput_bound &bound)
{
    json list = json::array();
    for (std::size_t i = 0; i < result.accounts.size(); ++i) {
        const load_account &account = result.accounts[i];
        std::vector<double> firstToken;
        std::vector<double> whole;
        double worth = 0;
        int offered = 0;
        int good = 0;
        int refused = 0;
        for (const load_record &record : result.records) {
            if (record.account != i || !arrivedAfterWarmup(result, record)) {
                continue;
            }
            ++offered;
            refused += record.status != 200 && record.tokens == 0 ? 1 : 0;
            if (record.firstTokenMs >= 0) {
                firstToken.push_back(record.firstTokenMs);
            }
            if (record.whole) {
                whole.push_back(record.endMs);
            }
            if (onTime(settings, record)) {
                ++good;
                worth += account.worth;
            }
        }
        const auto best = bound.worthByAccount.find(account.name);
        list.push_back({{"account", account.name},
                        {"offered", offered},
                        {"on_time", good},
                        {"refused", refused},
                        {"worth", worth},
                        {"bound", best == bound.worthByAccount.end() ? 0 : best->second},
                        {"first_token_ms", percentiles(firstToken)},
                        {"answer_ms", percentiles(whole)}});
    }
    return list;
}

json timeSeries(const load_settings &settings, const run_result &result)
{
    json series = json::array();
    for (double from = 0; from < result.durationMs; from += SERIES_STEP_MS) {
        double worth = 0;
        double completed = 0;
        int offered = 0;
        for (const load_record &record : result.records) {
            const double worthOfOne = result.accounts[record.account].worth;
            const double endedAt = record.arrivalMs + record.endMs;
            if (record.arrivalMs >= from && record.arrivalMs < from + SERIES_STEP_MS) {
                ++offered;
                worth += onTime(settings, record) ? worthOfOne : 0;
            }
            completed += onTime(settings, record) && endedAt >= from && endedAt < from + SERIES_STEP_MS ? worthOfOne : 0;
        }
        const goodput_bound bound = boundBetween(settings, result, from, from + SERIES_STEP_MS);
        series.push_back({{"at_ms", from}, {"offered", offered}, {"worth", worth}, {"completed_worth", completed}, {"bound", bound.worth}});
    }
    return series;
}

// Time from each fault to the first second (two points of the series) whose arrivals earned RECOVERED_SHARE of the bound.
json measureRecoveries(const json &series, const run_result &result)
{
    json list = json::array();
    for (const fault_event &fault : result.faults) {
        const auto at = static_cast<double>(fault.at.count());
        double recoveredAt = -1;
        for (std::size_t i = 0; i + 1 < series.size() && recoveredAt < 0; ++i) {
            const double from = series[i]["at_ms"].get<double>();
            const double worth = series[i]["worth"].get<double>() + series[i + 1]["worth"].get<double>();
            const double bound = series[i]["bound"].get<double>() + series[i + 1]["bound"].get<double>();
            if (from >= at && worth >= RECOVERED_SHARE * bound) {
                recoveredAt = from;
            }
        }
        list.push_back({{"at_ms", at}, {"url", fault.url}, {"body", fault.body}, {"recovery_ms", recoveredAt < 0 ? json(nullptr) : json(recoveredAt - at)}});
    }
    return list;
}

std::string formatDecimal(double value, int digits = 1)
{
    std::ostringstream text;
    text.setf(std::ios::fixed);
    text.precision(digits);
    text << value;
    return text.str();
}

}

//-----------------------------------------------------------------------------
// Summary
//-----------------------------------------------------------------------------

json summarise(const load_settings &settings, const run_result &result)
{
    const goodput_bound bound = boundBetween(settings, result, result.warmupMs, result.durationMs);
    std::vector<double> firstToken;
    std::vector<double> tokenInterval;
    std::vector<double> refusal;
    double worth = 0;
    double tokens = 0;
    int offered = 0;
    int good = 0;
    int late = 0;
    int refused = 0;
    int cut = 0;
    int wrong = 0;
    for (const load_record &record : result.records) {
        if (!arrivedAfterWarmup(result, record)) {
            continue;
        }
        ++offered;
        const bool isGood = onTime(settings, record);
        good += isGood ? 1 : 0;
        worth += isGood ? result.accounts[record.account].worth : 0;
        late += record.whole && !isGood ? 1 : 0;
        cut += record.cut ? 1 : 0;
        wrong += record.wrong ? 1 : 0;
        tokens += record.whole ? record.tokens : 0;
        if (record.status != 200 && record.tokens == 0) {
            ++refused;
            refusal.push_back(record.endMs);
        }
        if (record.firstTokenMs >= 0) {
            firstToken.push_back(record.firstTokenMs);
        }
        if (record.whole && record.tokens > 1) {
            tokenInterval.push_back((record.endMs - record.firstTokenMs) / (record.tokens - 1));
        }
    }
    const double spanSeconds = (result.durationMs - result.warmupMs) / 1000;
    const json series = timeSeries(settings, result);
    return json{{"label", settings.label},
                {"rate", settings.rate},
                {"seed", settings.seed},
                {"deadline_ms", settings.deadline.count()},
                {"offered", offered},
                {"on_time", good},
                {"late", late},
                {"refused", refused},
                {"cut", cut},
                {"wrong", wrong},
                {"tokens_per_second", tokens / spanSeconds},
                {"goodput", worth / spanSeconds},
                {"bound", bound.worth / spanSeconds},
                {"ratio", bound.worth > 0 ? worth / bound.worth : 0},
                {"first_token_ms", percentiles(firstToken)},
                {"token_interval_ms", percentiles(tokenInterval)},
                {"refusal_ms", percentiles(refusal)},
                {"accounts", accountSummaries(settings, result, bound)},
                {"series", series},
                {"recoveries", measureRecoveries(series, result)}};
}

//-----------------------------------------------------------------------------
// Terminal and CSV
//-----------------------------------------------------------------------------

std::string formatSummary(const json &summary)
{
    std::ostringstream out;
    out << summary["label"].get<std::string>() << ": offered " << summary["offered"] << ", on time " << summary["on_time"] << ", late " << summary["late"]
        << ", refused " << summary["refused"] << ", cut " << summary["cut"] << ", wrong " << summary["wrong"] << "\n";
    out << "  goodput " << formatDecimal(summary["goodput"], 2) << " worth/s, bound " << formatDecimal(summary["bound"], 2) << " worth/s, ratio "
        << formatDecimal(summary["ratio"], 3) << ", tokens/s " << formatDecimal(summary["tokens_per_second"]) << "\n";
    for (const char *name : {"first_token_ms", "token_interval_ms", "refusal_ms"}) {
        const json &one = summary[name];
        out << "  " << name << " p50 " << formatDecimal(one["p50"]) << " p95 " << formatDecimal(one["p95"]) << " p99 " << formatDecimal(one["p99"]) << " max "
            << formatDecimal(one["max"]) << "\n";
    }
    for (const json &one : summary["accounts"]) {
        out << "  account " << one["account"].get<std::string>() << ": offered " << one["offered"] << ", on time " << one["on_time"] << ", refused "
            << one["refused"] << ", worth " << formatDecimal(one["worth"]) << " of " << formatDecimal(one["bound"]) << ", answer p50 "
            << formatDecimal(one["answer_ms"]["p50"]) << " p99 " << formatDecimal(one["answer_ms"]["p99"]) << " ms\n";
    }
    for (const json &one : summary["recoveries"]) {
        out << "  fault at " << formatDecimal(one["at_ms"], 0) << " ms (" << one["url"].get<std::string>() << " " << one["body"].get<std::string>()
            << "): recovered to 95% of the bound after " << (one["recovery_ms"].is_null() ? "never" : formatDecimal(one["recovery_ms"], 0)) << " ms\n";
    }
    return out.str();
}

std::string formatCsv(const run_result &result)
{
    std::ostringstream out;
    out << "arrival_ms,account,status,whole,wrong,cut,tokens,first_token_ms,end_ms,tries,verdict,retry_after_ms\n";
    for (const load_record &one : result.records) {
        out << formatDecimal(one.arrivalMs) << ',' << result.accounts[one.account].name << ',' << one.status << ',' << one.whole << ',' << one.wrong << ','
            << one.cut << ',' << one.tokens << ',' << formatDecimal(one.firstTokenMs) << ',' << formatDecimal(one.endMs) << ',' << one.tries << ','
            << one.verdictText << ',' << formatDecimal(one.retryAfterMs, 0) << '\n';
    }
    return out.str();
}

//-----------------------------------------------------------------------------
// HTML page
//-----------------------------------------------------------------------------

namespace
{

constexpr double PLOT_WIDTH = 900;
constexpr double PLOT_HEIGHT = 260;
constexpr double MARGIN = 50;

std::string escapeHtml(const std::string &text)
{
    std::string out;
    for (const char letter : text) {
        switch (letter) {
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '&':
            out += "&amp;";
            break;
        default:
            out += letter;
        }
    }
    return out;
}

std::string polyline(const json &series, const char *member, double spanMs, double axisMax, const char *colour)
{
    std::ostringstream out;
    out << "<polyline fill='none' stroke-width='2' stroke='" << colour << "' points='";
    for (const json &point : series) {
        const double x = MARGIN + point["at_ms"].get<double>() / spanMs * (PLOT_WIDTH - 2 * MARGIN);
        const double y = PLOT_HEIGHT - MARGIN - point[member].get<double>() / axisMax * (PLOT_HEIGHT - 2 * MARGIN);
        out << formatDecimal(x) << ',' << formatDecimal(y) << ' ';
    }
    out << "'/>";
    return out.str();
}

std::string goodputPlot(const json &summary)
{
    const json &series = summary["series"];
    double axisMax = 1e-9;
    double spanMs = 1;
    for (const json &point : series) {
        axisMax = std::max({axisMax, point["bound"].get<double>(), point["worth"].get<double>()});
        spanMs = std::max(spanMs, point["at_ms"].get<double>());
    }
    std::ostringstream out;
    out << "<svg width='" << PLOT_WIDTH << "' height='" << PLOT_HEIGHT << "'><rect width='100%' height='100%' fill='#fafafa'/>";
    out << polyline(series, "bound", spanMs, axisMax, "#999") << polyline(series, "worth", spanMs, axisMax, "#2060c0");
    for (const json &fault : summary["recoveries"]) {
        const double x = MARGIN + fault["at_ms"].get<double>() / spanMs * (PLOT_WIDTH - 2 * MARGIN);
        out << "<line x1='" << formatDecimal(x) << "' x2='" << formatDecimal(x) << "' y1='20' y2='" << PLOT_HEIGHT - MARGIN
            << "' stroke='#c02020' stroke-dasharray='4'/>";
        out << "<text x='" << formatDecimal(x + 4) << "' y='30' font-size='11' fill='#c02020'>" << escapeHtml(fault["body"].get<std::string>()) << "</text>";
    }
    out << "<text x='" << MARGIN << "' y='" << PLOT_HEIGHT - 15 << "' font-size='12'>0 to " << formatDecimal(spanMs / 1000)
        << " s; worth per half second: bound in grey (up to " << formatDecimal(axisMax) << "), delivered on time in blue</text></svg>";
    return out.str();
}

std::string accountBars(const json &summary)
{
    std::ostringstream out;
    out << "<table><tr><th>account<th>offered<th>on time<th>refused<th>worth<th>bound<th>first token p50/p95/p99 ms<th>answer p50/p95/p99 ms</tr>";
    for (const json &one : summary["accounts"]) {
        out << "<tr><td>" << escapeHtml(one["account"].get<std::string>()) << "<td>" << one["offered"] << "<td>" << one["on_time"] << "<td>" << one["refused"]
            << "<td>" << formatDecimal(one["worth"]) << "<td>" << formatDecimal(one["bound"]);
        for (const char *name : {"first_token_ms", "answer_ms"}) {
            const json &times = one[name];
            out << "<td>" << formatDecimal(times["p50"]) << " / " << formatDecimal(times["p95"]) << " / " << formatDecimal(times["p99"]);
        }
        out << "</tr>";
    }
    out << "</table>";
    return out.str();
}

}

std::string formatHtml(const std::vector<json> &summaries)
{
    std::ostringstream out;
    out << "<!doctype html><meta charset='utf-8'><title>chestnutgw load report</title><style>body{font-family:sans-serif;margin:2em}td,th{padding:2px "
           "10px;text-align:right}td:first-child{text-align:left}</style><h1>chestnutgw load report</h1>";
    for (const json &summary : summaries) {
        out << "<h2>" << escapeHtml(summary["label"].get<std::string>()) << "</h2><pre>" << escapeHtml(formatSummary(summary)) << "</pre>"
            << goodputPlot(summary) << accountBars(summary);
    }
    return out.str();
}

}
