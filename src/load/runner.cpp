// Sections: operator API, arrivals, sending, capacity and faults, run.

#include "load/runner.h"

#include "backend/engine.h"
#include "backend/event_stream.h"
#include "caller/chat_api.h"
#include "kernel/registry.h"
#include "standin/oracle.h"

#include <atomic>
#include <cmath>
#include <future>
#include <pcg_random.hpp>

namespace chestnut
{

namespace
{

using json = nlohmann::json;

constexpr std::size_t SENDER_LOOPS = 2;             // event loops that send requests
constexpr milliseconds CAPACITY_POLL_INTERVAL{250}; // between two polls of the servers
constexpr milliseconds LATE_ANSWER_GRACE{10'000};   // wait beyond the deadline, so that late answers are still received

//-----------------------------------------------------------------------------
// Operator API
//-----------------------------------------------------------------------------

json operatorGet(const load_settings &settings, const std::string &path)
{
    http_request request;
    request.url = "http://" + splitText(settings.entries, ",").front() + path;
    request.totalTimeout = milliseconds(5000);
    request.headers = {"Authorization: Bearer " + settings.operatorKey};
    const http_result result = sendOnce(request);
    const json answer = json::parse(result.body, nullptr, false);
    if (!result.ok() || !answer.is_object()) {
        throw std::runtime_error("cannot read " + request.url + ": " + (result.error.empty() ? "HTTP status " + std::to_string(result.status) : result.error));
    }
    return answer;
}

//-----------------------------------------------------------------------------
// Arrivals
//-----------------------------------------------------------------------------

// Uniform in the open interval (0, 1), so that its logarithm is finite.
double uniform(pcg32 &random)
{
    return (static_cast<double>(random()) + 0.5) / (static_cast<double>(pcg32::max()) + 1);
}

std::string makePrompt(std::size_t number, int words, pcg32 &random)
{
    std::string prompt = "item " + std::to_string(number);
    for (int i = 2; i < words; ++i) {
        prompt += " w" + std::to_string(random(1000));
    }
    return prompt;
}

std::size_t pickAccount(const std::vector<load_account> &accounts, pcg32 &random)
{
    double total = 0;
    for (const load_account &one : accounts) {
        total += one.share;
    }
    double at = uniform(random) * total;
    for (std::size_t i = 0; i < accounts.size(); ++i) {
        at -= accounts[i].share;
        if (at <= 0) {
            return i;
        }
    }
    return accounts.size() - 1;
}

// Poisson arrivals: exponentially distributed gaps with a mean of 1/rate.
std::vector<load_record> planArrivals(const load_settings &settings, const std::vector<load_account> &accounts,
                                      const std::map<std::string, model_facts> &models)
{
    pcg32 random(static_cast<std::uint64_t>(settings.seed));
    std::vector<load_record> records;
    double atMs = 0;
    while (true) {
        atMs += -std::log(uniform(random)) * 1000 / settings.rate;
        if (atMs >= static_cast<double>(settings.duration.count())) {
            return records;
        }
        load_record record;
        record.arrivalMs = atMs;
        record.account = pickAccount(accounts, random);
        const load_account &account = accounts[record.account];
        record.prompt = makePrompt(records.size(), account.words, random);
        const auto model = models.find(account.model);
        if (model == models.end()) {
            throw std::runtime_error("model '" + account.model + "' is not in the active sheet");
        }
        const std::string name = account.model.substr(0, account.model.find('@'));
        const oracle_answer answer
            = oracleAnswer(name, model->second.version, model->second.layers, formatPromptLine("user", record.prompt), account.maxTokens);
        record.expectedTokens = static_cast<int>(answer.tokens.size());
        record.expectedText = answer.text();
        records.push_back(std::move(record));
    }
}

//-----------------------------------------------------------------------------
// Sending
//-----------------------------------------------------------------------------

class load_run
{
public:
    load_run(const load_settings &settings, run_result &result)
        : m_settings(settings)
        , m_result(result)
        , m_entries(splitText(settings.entries, ","))
        , m_pendingRequests(result.records.size())
        , m_start(std::chrono::steady_clock::now() + milliseconds(200))
    {
        for (std::size_t i = 0; i < SENDER_LOOPS; ++i) {
            m_loops.push_back(std::make_unique<event_loop>("load-" + std::to_string(i)));
            m_engines.push_back(plugin_registry<engine_adapter, event_loop &>::instance().make("stages", *m_loops.back()));
        }
    }

    void run()
    {
        for (std::size_t i = 0; i < m_result.records.size(); ++i) {
            event_loop &loop = *m_loops[i % SENDER_LOOPS];
            loop.post([this, &loop, i] {
                const auto wait = m_start + microseconds(static_cast<std::int64_t>(m_result.records[i].arrivalMs * 1000)) - std::chrono::steady_clock::now();
                loop.after(std::chrono::ceil<microseconds>(wait), [this, &loop, i] { send(loop, i); });
            });
        }
        if (m_result.records.empty()) {
            return;
        }
        m_done.get_future().wait();
    }

    void setModels(std::map<std::string, model_facts> models)
    {
        m_models = std::move(models);
    }

    double nowMs() const
    {
        return toSeconds(std::chrono::steady_clock::now() - m_start) * 1000;
    }

    steady_time start() const
    {
        return m_start;
    }

private:
    struct response_state
    {
        event_stream_decoder decoder;
        bool finished = false; // a finish reason was received
        bool ended = false;    // [DONE] was received
    };

    void send(event_loop &loop, std::size_t index)
    {
        load_record &record = m_result.records[index];
        const load_account &account = m_result.accounts[record.account];
        ++record.tries;
        record.text.clear();
        record.tokens = 0;
        if (!m_settings.direct.empty()) {
            sendDirect(index);
            return;
        }
        http_request request;
        request.method = "POST";
        request.url = "http://" + m_entries[(index + static_cast<std::size_t>(record.tries - 1)) % m_entries.size()] + "/v1/chat/completions";
        request.headers = {"Authorization: Bearer " + account.key, "Content-Type: application/json",
                           "Chestnutgw-Deadline-Ms: " + std::to_string(m_settings.deadline.count())};
        request.body = json{
            {"model", account.model},
            {"messages", {{{"role", "user"}, {"content", record.prompt}}}},
            {"max_tokens", account.maxTokens},
            {"stream",
             true}}.dump();
        request.totalTimeout = m_settings.deadline + LATE_ANSWER_GRACE;
        const auto state = std::make_shared<response_state>();
        loop.start(std::move(request),
                   {[this, index, state](int, std::string_view piece) { receive(index, *state, piece); },
                    [this, &loop, index, state](const http_result &result) { finish(loop, index, *state, result); }});
    }

    // Sends the request to the first engine of the fixed chain, without a router: the baseline for its overhead.
    void sendDirect(std::size_t index)
    {
        load_record &record = m_result.records[index];
        const load_account &account = m_result.accounts[record.account];
        const model_facts &facts = m_models.at(account.model);
        generate_request request;
        request.request = request_id{"direct-" + std::to_string(index)};
        request.attempt = attempt_number{1};
        request.model = model_id{account.model.substr(0, account.model.find('@'))};
        request.version = facts.version;
        request.chain = parseChain(m_settings.direct);
        request.prompt = formatPromptLine("user", record.prompt);
        request.maxTokens = account.maxTokens;
        const auto end = [this, index](bool whole, int status) {
            load_record &ended = m_result.records[index];
            ended.status = status;
            ended.whole = whole && ended.text == ended.expectedText;
            ended.endMs = nowMs() - ended.arrivalMs;
            if (--m_pendingRequests == 0) {
                m_done.set_value();
            }
        };
        m_engines[index % SENDER_LOOPS]->generate(
            request,
            {[this, index](const token_event &token, const std::vector<stage_timing> &) { onReceived(index, token.text); },
             [end](attempt_number, int, const std::string &) { end(true, 200); }, [end](const engine_failure &) { end(false, 0); }});
    }

    void onReceived(std::size_t index, const std::string &text)
    {
        load_record &record = m_result.records[index];
        if (record.tokens == 0) {
            record.firstTokenMs = nowMs() - record.arrivalMs;
        }
        ++record.tokens;
        record.text += text;
    }

    void receive(std::size_t index, response_state &state, std::string_view piece)
    {
        for (const std::string &event : state.decoder.feed(piece)) {
            if (event == "[DONE]") {
                state.ended = true;
                continue;
            }
            const json chunk = json::parse(event, nullptr, false);
            if (!chunk.is_object() || !chunk.contains("choices")) {
                continue;
            }
            const json &choice = chunk["choices"][0];
            if (choice["delta"].contains("content")) {
                onReceived(index, choice["delta"]["content"].get<std::string>());
            }
            state.finished = state.finished || choice["finish_reason"].is_string();
        }
    }

    void finish(event_loop &loop, std::size_t index, const response_state &state, const http_result &result)
    {
        load_record &record = m_result.records[index];
        record.status = result.status;
        record.verdictText = result.verdictHeader;
        record.retryAfterMs = static_cast<double>(result.retryAfter.count());
        const bool complete = result.ok() && state.finished && state.ended;
        record.whole = complete && record.text == record.expectedText;
        record.wrong = (complete && !record.whole) || !record.expectedText.starts_with(record.text);
        record.cut = !complete && record.tokens > 0;
        record.endMs = nowMs() - record.arrivalMs;
        const bool willRetry = m_settings.retryRefused && !complete && record.tokens == 0 && record.tries == 1 && record.retryAfterMs > 0
            && record.endMs + record.retryAfterMs < static_cast<double>(m_settings.deadline.count());
        if (willRetry) {
            loop.after(microseconds(static_cast<std::int64_t>(record.retryAfterMs * 1000)), [this, &loop, index] { send(loop, index); });
            return;
        }
        if (--m_pendingRequests == 0) {
            m_done.set_value();
        }
    }

    const load_settings &m_settings;
    run_result &m_result;
    std::vector<std::string> m_entries;
    std::atomic<std::size_t> m_pendingRequests;
    std::promise<void> m_done;
    steady_time m_start;
    std::map<std::string, model_facts> m_models;
    std::vector<std::unique_ptr<event_loop>> m_loops;
    std::vector<std::unique_ptr<engine_adapter>> m_engines; // one for each loop
};

//-----------------------------------------------------------------------------
// Capacity and faults
//-----------------------------------------------------------------------------

// Samples the capacity that the engines report and injects the planned faults.
class observer
{
public:
    observer(const load_settings &settings, run_result &result, const load_run &run, const std::map<std::string, model_facts> &models)
        : m_result(result)
        , m_run(run)
        , m_models(models)
        , m_loop("observer")
    {
        const json status = operatorGet(settings, "/operator/status");
        for (const json &server : status.at("servers")) {
            m_servers.push_back(server.at("address").get<std::string>());
        }
        m_loop.post([this] { pollServers(); });
        for (const fault_event &event : result.faults) {
            m_loop.post([this, event] {
                const auto wait = m_run.start() + event.at - std::chrono::steady_clock::now();
                m_loop.after(std::chrono::ceil<microseconds>(wait), [this, event] { make(event); });
            });
        }
    }

private:
    struct poll_round
    {
        capacity_sample sample;
        std::map<std::string, std::vector<server_capacity>> byModel;
        std::size_t pendingReports = 0;
    };

    void make(const fault_event &event)
    {
        http_request request;
        request.method = event.method;
        request.url = event.url;
        request.body = event.body;
        request.totalTimeout = milliseconds(2000);
        m_loop.start(std::move(request), {{}, [](const http_result &) {}});
    }

    void pollServers()
    {
        const auto current = std::make_shared<poll_round>();
        current->sample.atMs = m_run.nowMs();
        current->pendingReports = m_servers.size();
        for (const std::string &address : m_servers) {
            http_request request;
            request.url = "http://" + address + "/v1/report";
            request.totalTimeout = milliseconds(500);
            m_loop.start(std::move(request), {{}, [this, current](const http_result &result) { onReceived(current, result); }});
        }
    }

    void onReceived(const std::shared_ptr<poll_round> &current, const http_result &result)
    {
        const json report = json::parse(result.body, nullptr, false);
        if (result.ok() && report.is_object() && !report.value("leaving", false)) {
            ++current->sample.liveServers;
            for (const json &part : report["holds"]) {
                const layer_range range{part["first"].get<int>(), part["last"].get<int>()};
                const double perSecond = report["slots"].get<double>() * 1000 / (report["layer_ms"].get<double>() * range.count());
                current->byModel[part["model"].get<std::string>() + "@" + part["version"].get<std::string>()].push_back({range, perSecond});
            }
        }
        if (--current->pendingReports > 0) {
            return;
        }
        for (const auto &[name, facts] : m_models) {
            const std::string model = name.substr(0, name.find('@')) + "@" + facts.version;
            current->sample.tokensPerSecond[model] = pipelineCapacity(current->byModel[model], facts.layers);
        }
        m_result.capacity.push_back(std::move(current->sample));
        m_loop.after(CAPACITY_POLL_INTERVAL, [this] { pollServers(); });
    }

    run_result &m_result;
    const load_run &m_run;
    std::map<std::string, model_facts> m_models;
    std::vector<std::string> m_servers;
    event_loop m_loop; // last member: destroyed first, so no callback runs on destroyed members
};

}

//-----------------------------------------------------------------------------
// Run
//-----------------------------------------------------------------------------

http_result sendOnce(const http_request &request)
{
    event_loop loop("once");
    std::promise<http_result> done;
    loop.post([&] { loop.start(request, {{}, [&done](http_result result) { done.set_value(std::move(result)); }}); });
    return done.get_future().get();
}

std::map<std::string, model_facts> fetchModels(const load_settings &settings)
{
    const parsed_sheet sheet = parseSheet(operatorGet(settings, "/operator/sheet").at("sheet").get<std::string>());
    std::map<std::string, model_facts> models;
    for (const config_row &row : sheet.rows) {
        if (row.kind == "model") {
            models[row.name].layers = row.layers;
        }
    }
    std::map<std::string, model_facts> versionFacts;
    for (const config_row &row : sheet.rows) {
        if (row.kind == "version" && row.state != "retired") {
            model_facts &facts = models[row.of];
            facts.version = std::max(facts.version, row.name);
            versionFacts[row.of + "@" + row.name] = {row.name, facts.layers};
        }
    }
    models.insert(versionFacts.begin(), versionFacts.end());
    return models;
}

run_result runLoad(const load_settings &settings)
{
    const std::map<std::string, model_facts> models = fetchModels(settings);
    run_result result;
    result.accounts = parseAccounts(settings.accounts);
    result.faults = parseFaults(settings.faults);
    result.durationMs = static_cast<double>(settings.duration.count());
    result.warmupMs = static_cast<double>(settings.warmup.count());
    result.records = planArrivals(settings, result.accounts, models);
    load_run run(settings, result);
    run.setModels(models);
    {
        const observer runObserver(settings, result, run, models);
        run.run();
    }
    return result;
}

}
