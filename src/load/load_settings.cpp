#include "load/load_settings.h"

namespace chestnut
{

const setting_row<load_settings> LOAD_SETTINGS[16] = {
    {"load.entries", &load_settings::entries, 9, 100000, "IP:port,...", "entry instances, used round robin"},
    {"load.accounts", &load_settings::accounts, 1, 100000, "name:key:share:worth:model:max_tokens:words;...", "mix of client accounts"},
    {"load.rate", &load_settings::rate, 0.01, 1e6, "1/s", "arrival rate, all accounts together"},
    {"load.duration", &load_settings::duration, 100, 3.6e6, "ms", "requests arrive for this long"},
    {"load.warmup", &load_settings::warmup, 0, 3.6e6, "ms", "requests that arrive in this first period are not counted"},
    {"load.deadline", &load_settings::deadline, 10, 3.6e6, "ms", "longest time to the full answer"},
    {"load.first_token_limit", &load_settings::firstTokenLimit, 0, 3.6e6, "ms", "longest time to the first token, 0 = no limit"},
    {"load.seed", &load_settings::seed, 0, 2e9, "number", "seed of arrivals and prompts"},
    {"load.prefill_share", &load_settings::prefillShare, 0, 10, "tokens", "cost of one prompt word relative to one output token; must match the engines"},
    {"load.faults", &load_settings::faults, 0, 1e6, "MS METHOD URL BODY;;...", "requests sent during the run to inject faults"},
    {"load.operator_key", &load_settings::operatorKey, 0, 1000, "text", "bearer key for operator paths"},
    {"load.csv", &load_settings::csv, 0, 4096, "file", "output file, one line per request"},
    {"load.json", &load_settings::json, 0, 4096, "file", "output file for the summary, read by the report command"},
    {"load.label", &load_settings::label, 1, 200, "text", "name of the run"},
    {"load.direct", &load_settings::direct, 0, 10000, "server@IP:port:first-last,...", "chain of engines to call without a router"},
    {"load.retry_refused", &load_settings::retryRefused, 0, 1, "yes/no", "clients retry a refused request once, after Retry-After"},
};

void checkSettings(const load_settings &settings)
{
    parseAccounts(settings.accounts);
    parseFaults(settings.faults);
    if (settings.warmup >= settings.duration) {
        throw settings_error("load.warmup: must be less than load.duration");
    }
}

std::vector<std::string> splitText(const std::string &text, const std::string &separator)
{
    std::vector<std::string> parts;
    std::size_t start = 0;
    while (start <= text.size()) {
        const std::size_t end = std::min(text.find(separator, start), text.size());
        if (end > start) {
            parts.push_back(text.substr(start, end - start));
        }
        start = end + separator.size();
    }
    return parts;
}

pipeline_chain parseChain(const std::string &text)
{
    pipeline_chain chain;
    for (const std::string &one : splitText(text, ",")) {
        const auto at = one.find('@');
        const auto colon = one.rfind(':');
        const auto dash = one.rfind('-');
        if (at == std::string::npos || colon == std::string::npos || colon < at || dash == std::string::npos || dash < colon) {
            throw settings_error("load.direct: '" + one + "' (allowed: server@IP:port:first-last)");
        }
        const int first = static_cast<int>(parseNumber(one.substr(colon + 1, dash - colon - 1), 0, 1000));
        const int last = static_cast<int>(parseNumber(one.substr(dash + 1), 1, 1000));
        chain.stages.push_back({server_id{one.substr(0, at)}, one.substr(at + 1, colon - at - 1), {first, last}});
    }
    return chain;
}

std::vector<load_account> parseAccounts(const std::string &text)
{
    std::vector<load_account> accounts;
    for (const std::string &one : splitText(text, ";")) {
        const std::vector<std::string> parts = splitText(one, ":");
        if (parts.size() != 7) {
            throw settings_error("load.accounts: '" + one + "' (allowed: name:key:share:worth:model:max_tokens:words)");
        }
        load_account account;
        account.name = parts[0];
        account.key = parts[1];
        account.model = parts[4];
        try {
            account.share = parseNumber(parts[2], 0, 1e6);
            account.worth = parseNumber(parts[3], 0, 1e6);
            account.maxTokens = static_cast<int>(parseNumber(parts[5], 1, 4096));
            account.words = static_cast<int>(parseNumber(parts[6], 1, 10000));
        } catch (const std::invalid_argument &problem) {
            throw settings_error("load.accounts: " + std::string(problem.what()));
        }
        accounts.push_back(std::move(account));
    }
    return accounts;
}

std::vector<fault_event> parseFaults(const std::string &text)
{
    std::vector<fault_event> events;
    for (const std::string &one : splitText(text, ";;")) {
        const std::vector<std::string> words = splitText(one, " ");
        if (words.size() < 3) {
            throw settings_error("load.faults: '" + one + "' (allowed: MS METHOD URL BODY)");
        }
        fault_event event;
        try {
            event.at = milliseconds(static_cast<std::int64_t>(parseNumber(words[0], 0, 3.6e6)));
        } catch (const std::invalid_argument &problem) {
            throw settings_error("load.faults: " + std::string(problem.what()));
        }
        event.method = words[1];
        event.url = words[2];
        for (std::size_t i = 3; i < words.size(); ++i) {
            event.body += (i > 3 ? " " : "") + words[i];
        }
        events.push_back(std::move(event));
    }
    return events;
}

}
