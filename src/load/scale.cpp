// Sections: code without I/O, publications, submissions.

#include "load/scale.h"

#include "kernel/registry.h"
#include "load/runner.h"

#include <algorithm>
#include <fstream>
#include <future>
#include <sstream>
#include <thread>

namespace chestnut
{

namespace
{

using json = nlohmann::json;

double percentileOf(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}

std::string describeTimes(const std::vector<double> &values)
{
    std::ostringstream out;
    out << "count " << values.size() << " p50 " << percentileOf(values, 0.5) << " ms p99 " << percentileOf(values, 0.99) << " ms worst "
        << percentileOf(values, 1) << " ms";
    return out.str();
}

double elapsedMs(steady_time since)
{
    return toSeconds(std::chrono::steady_clock::now() - since) * 1000;
}

// Configuration offset that the entry instance has applied, 0 if it cannot be read.
std::uint64_t fetchConfigOffset(const std::string &entry)
{
    http_request request;
    request.url = "http://" + entry + "/operator/status";
    request.totalTimeout = milliseconds(2000);
    const json answer = json::parse(sendOnce(request).body, nullptr, false);
    return answer.is_object() && answer.contains("config_offset") ? answer["config_offset"].get<std::uint64_t>() : 0;
}

//-----------------------------------------------------------------------------
// Code without I/O
//-----------------------------------------------------------------------------

config_rows makeRows(int servers)
{
    config_rows rows;
    for (int i = 0; i < servers; ++i) {
        config_row row;
        row.kind = "server";
        row.name = "server-" + std::to_string(i);
        row.failureDomain = "domain-" + std::to_string(i % 27);
        row.address = "127.0.0.1:" + std::to_string(1 + i % 60000);
        row.accelerator = "kind-" + std::to_string(i % 6);
        row.checksFence = "yes";
        row.state = "active";
        rows.emplace(row.key(), row);
    }
    return rows;
}

config_change makeChange(const config_rows &rows, const std::string &id, log_offset base)
{
    config_change change;
    change.id = id;
    change.base = base;
    for (const auto &[key, row] : rows) {
        change.rows.push_back({key, row});
    }
    return change;
}

void measureFold(int servers)
{
    constexpr int CHANGES = 100;
    const config_rows rows = makeRows(servers);
    config_fold fold;
    const std::string encodedSheet = encodeChange(makeChange(rows, "first", {}));
    const steady_time start = std::chrono::steady_clock::now();
    fold.apply(log_offset{1}, encodedSheet);
    const double firstMs = elapsedMs(start);
    const steady_time changesStart = std::chrono::steady_clock::now();
    for (int i = 0; i < CHANGES; ++i) {
        config_row row = rows.begin()->second;
        row.weight = i + 2;
        fold.apply(log_offset{static_cast<std::uint64_t>(i) + 2}, encodeChange(makeChange({{row.key(), row}}, std::to_string(i), fold.applied())));
    }
    const double changeMs = elapsedMs(changesStart) / CHANGES;
    const steady_time viewStart = std::chrono::steady_clock::now();
    const config_view view = buildConfigView(fold.rows(), fold.applied());
    const double viewMs = elapsedMs(viewStart);
    std::ostringstream out;
    out << "fold servers=" << servers << " first_sheet_ms=" << firstMs << " sheet_bytes=" << encodedSheet.size() << " change_ms=" << changeMs
        << " view_ms=" << viewMs << " snapshot_bytes=" << fold.encodeSnapshot().size();
    printLine(out.str());
}

void measureRouting(int servers)
{
    constexpr int CHOICES = 200;
    constexpr int STAGES = 4;
    constexpr int LAYERS = 48;
    fleet all;
    const steady_time now = std::chrono::steady_clock::now();
    for (int i = 0; i < servers; ++i) {
        fleet_server one;
        one.id = server_id{"server-" + std::to_string(i)};
        one.report = server_report();
        const int first = i % STAGES * LAYERS / STAGES;
        one.report->holdings = {{model_id{"m"}, "v", {first, first + LAYERS / STAGES}}};
        one.report->streams = i % 7;
        all.servers.emplace(one.id, one);
    }
    const auto policy = plugin_registry<routing_policy>::instance().make("predicted");
    pcg32 random(1);
    const steady_time start = std::chrono::steady_clock::now();
    for (int i = 0; i < CHOICES; ++i) {
        chooseChain(all, {model_id{"m"}, "v", LAYERS, {}, now}, *policy, random);
    }
    printLine("routing servers=" + std::to_string(servers) + " choice_ms=" + std::to_string(elapsedMs(start) / CHOICES));
}

void measurePlacement(int servers)
{
    std::vector<placement_server> all;
    for (int i = 0; i < servers; ++i) {
        placement_server one;
        one.id = server_id{"server-" + std::to_string(i)};
        one.domain = domain_id{"domain-" + std::to_string(i % 27)};
        one.maxLayers = 16;
        one.layerMs = 1 + i % 6;
        all.push_back(one);
    }
    std::vector<placement_target> targets;
    for (int i = 0; i < std::max(1, servers / 240); ++i) {
        targets.push_back({model_id{"m" + std::to_string(i)}, "v", 48, 1});
    }
    const steady_time start = std::chrono::steady_clock::now();
    const auto reassignments = planPlacement(all, targets, 8);
    printLine("placement servers=" + std::to_string(servers) + " models=" + std::to_string(targets.size()) + " plan_ms=" + std::to_string(elapsedMs(start))
              + " moves=" + std::to_string(reassignments.size()));
}

void measureMembership(int instances)
{
    const steady_time now = std::chrono::steady_clock::now();
    member self;
    self.id = instance_id{"self"};
    self.domain = domain_id{"domain-0"};
    self.address = "self";
    membership view(self, {});
    std::vector<member> rows;
    for (int i = 0; i < instances; ++i) {
        member row;
        row.id = instance_id{"instance-" + std::to_string(i)};
        row.domain = domain_id{"domain-" + std::to_string(i % 27)};
        row.address = "10.0.0." + std::to_string(i);
        row.incarnation = 1;
        row.sequence = 1;
        rows.push_back(row);
    }
    view.merge(rows, now);
    const steady_time start = std::chrono::steady_clock::now();
    const auto targets = view.targets(now);
    std::size_t sent = 0;
    for (const std::string &address : targets) {
        sent += view.rowsFor(address, now).size();
    }
    printLine("membership instances=" + std::to_string(instances) + " targets=" + std::to_string(targets.size()) + " first_rows=" + std::to_string(sent)
              + " round_ms=" + std::to_string(elapsedMs(start)));
}

}

//-----------------------------------------------------------------------------
// Publications
//-----------------------------------------------------------------------------

int measurePublications(const std::vector<std::string> &arguments)
{
    if (arguments.size() != 3) {
        printError("usage: chestnutgw-load publications ENTRIES SHEET COUNT");
        return 2;
    }
    const std::vector<std::string> entries = splitText(arguments[0], ",");
    std::ifstream file(arguments[1]);
    std::ostringstream sheet;
    sheet << file.rdbuf();
    std::vector<double> acceptTimes;
    std::vector<double> activationTimes;
    for (int i = 0; i < std::stoi(arguments[2]); ++i) {
        http_request request;
        request.method = "POST";
        request.url = "http://" + entries[static_cast<std::size_t>(i) % entries.size()] + "/operator/sheets";
        request.body = sheet.str() + "model,extra,,,,," + std::to_string(1 + i) + ",,,,,,,,\n";
        const steady_time start = std::chrono::steady_clock::now();
        const json answer = json::parse(sendOnce(request).body, nullptr, false);
        acceptTimes.push_back(elapsedMs(start));
        if (!answer.is_object() || !answer.contains("offset")) {
            printError("a publication was rejected or got no valid answer");
            return 1;
        }
        const auto offset = answer["offset"].get<std::uint64_t>();
        const steady_time since = std::chrono::steady_clock::now();
        std::vector<std::future<double>> waits;
        for (const std::string &entry : entries) {
            waits.push_back(std::async(std::launch::async, [entry, offset, since] {
                while (fetchConfigOffset(entry) < offset) {
                    std::this_thread::sleep_for(milliseconds(1));
                }
                return elapsedMs(since);
            }));
        }
        double slowest = 0;
        for (auto &wait : waits) {
            slowest = std::max(slowest, wait.get());
        }
        activationTimes.push_back(slowest);
    }
    printLine("publications until accepted: " + describeTimes(acceptTimes));
    printLine("publications from accepted to active on " + std::to_string(entries.size()) + " instances: " + describeTimes(activationTimes));
    return 0;
}

//-----------------------------------------------------------------------------
// Submissions
//-----------------------------------------------------------------------------

int measureSubmissions(const std::vector<std::string> &arguments)
{
    if (arguments.size() != 4) {
        printError("usage: chestnutgw-load submissions ENTRIES KEY RATE SECONDS");
        return 2;
    }
    const std::vector<std::string> entries = splitText(arguments[0], ",");
    const double rate = std::stod(arguments[2]);
    const int count = static_cast<int>(rate * std::stod(arguments[3]));
    event_loop loop("submissions");
    std::vector<double> times;
    std::map<std::string, int> verdicts;
    std::promise<void> done;
    int pendingAnswers = count;
    const std::string run = std::to_string(std::chrono::system_clock::now().time_since_epoch().count());
    loop.post([&] {
        for (int i = 0; i < count; ++i) {
            loop.after(microseconds(static_cast<std::int64_t>(i * 1e6 / rate)), [&, i] {
                http_request request;
                request.method = "POST";
                request.url = "http://" + entries[static_cast<std::size_t>(i) % entries.size()] + "/services/prices/submit";
                request.headers = {"Authorization: Bearer " + arguments[1], "Idempotency-Key: " + run + "-" + std::to_string(i)};
                request.body = "price=1";
                const steady_time start = std::chrono::steady_clock::now();
                loop.start(std::move(request), {{}, [&, start](const http_result &result) {
                                                    times.push_back(elapsedMs(start));
                                                    ++verdicts[result.verdictHeader.empty() ? "none" : result.verdictHeader];
                                                    if (--pendingAnswers == 0) {
                                                        done.set_value();
                                                    }
                                                }});
            });
        }
    });
    done.get_future().wait();
    std::string verdictCounts;
    for (const auto &[name, number] : verdicts) {
        verdictCounts += " " + name + "=" + std::to_string(number);
    }
    printLine("submissions rate=" + arguments[2] + ": " + describeTimes(times) + verdictCounts);
    return 0;
}

int measureScale()
{
    for (const int servers : {500, 2000, 5800}) {
        measureFold(servers);
        measureRouting(servers);
        measurePlacement(servers);
    }
    for (const int instances : {50, 200, 400}) {
        measureMembership(instances);
    }
    return 0;
}

}
