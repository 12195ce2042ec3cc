#include "gateway/request_limits.h"

#include "core/prompt_parts.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace chestnut
{

namespace
{

constexpr milliseconds MAX_ANSWER_TIME{3'600'000}; // for a request that has no limit, or none that can be used
constexpr double MAX_TOKENS = 1e9;                 // in a client's headers; larger numbers are cut down to this
constexpr double DEFAULT_TOKENS = 800;             // of a generation without token counts in its headers

}

std::optional<double> parseLeadingNumber(std::string_view text)
{
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool usable = error == std::errc() && end != text.data() && std::isfinite(value);
    return usable ? std::optional(value) : std::nullopt;
}

void readTokenCounts(const client_message &message, const header_names &headerNames, request_facts &facts)
{
    const std::string_view counts = viewOf(message[headerNames.tokenCount]);
    const auto prompt = parseLeadingNumber(counts);
    const std::size_t comma = counts.find(',');
    if (!prompt || comma == std::string_view::npos) {
        facts.tokens = DEFAULT_TOKENS;
        return;
    }
    const double most = parseLeadingNumber(counts.substr(comma + 1)).value_or(0);
    const double hint = parseLeadingNumber(viewOf(message[headerNames.lengthHint])).value_or(most);
    facts.prompt.answerTokens = std::clamp(std::min(most, hint), 0.0, MAX_TOKENS);
    facts.tokens = std::clamp(*prompt, 0.0, MAX_TOKENS) + facts.prompt.answerTokens;
    facts.maxAnswerTokens = std::clamp(most, 0.0, MAX_TOKENS);
}

void readPromptParts(const client_message &message, const header_names &headerNames, request_facts &facts)
{
    std::string list;
    const auto [first, last] = message.equal_range(headerNames.promptParts);
    for (auto line = first; line != last; ++line) { // several lines of a header are one list
        list.append(list.empty() ? "" : ",").append(viewOf(line->value()));
    }
    facts.parts = sharedPromptParts(facts.service, list);
    facts.prompt.prefixes = promptPrefixes(facts.service, list, facts.tokens - facts.prompt.answerTokens);
}

milliseconds answerTime(std::optional<double> clientLimitMs, milliseconds routeLimit)
{
    const milliseconds most = routeLimit.count() > 0 ? routeLimit : MAX_ANSWER_TIME;
    if (!clientLimitMs) {
        return most;
    }
    const double bounded = std::clamp(*clientLimitMs, 0.0, static_cast<double>(most.count()));
    return milliseconds(static_cast<std::int64_t>(bounded));
}

namespace
{

const engine_profile *engineOf(const request_facts &facts)
{
    const auto service = facts.config->services.find(facts.service);
    const bool known = service != facts.config->services.end() && service->second.engine;
    return known ? &*service->second.engine : nullptr;
}

}

double expectedEvents(const request_facts &facts)
{
    const engine_profile *engine = engineOf(facts);
    const double usual = engine != nullptr ? engine->meanOutputTokens : 0;
    const double tokens = facts.prompt.answerTokens > 0 ? facts.prompt.answerTokens : usual;
    return tokens / (engine != nullptr ? std::max(1, engine->stride) : 1);
}

double maxEvents(const request_facts &facts)
{
    const engine_profile *engine = engineOf(facts);
    return facts.maxAnswerTokens / (engine != nullptr ? std::max(1, engine->stride) : 1);
}

}
