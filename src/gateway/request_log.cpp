#include "gateway/request_log.h"

namespace chestnut
{

const char *toText(client_end end)
{
    static constexpr const char *NAMES[] = {"open", "closed", "reset", "not_reading"};
    return NAMES[static_cast<int>(end)];
}

void logIncompleteAnswer(traffic_state &state, const request_facts &facts, const request_outcome &outcome, const char *endedBy)
{
    state.counters.count("answers_incomplete", {{"ended_by", endedBy}, {"attempt", toText(outcome.lastEnd)}});
    if (!outcome.cut) {
        return;
    }
    const steady_time now = std::chrono::steady_clock::now();
    const auto age = [now](steady_time since) { return std::to_string(std::chrono::duration_cast<milliseconds>(now - since).count()); };
    logLine(log_level::warning, "answer_cut",
            {{"request", facts.id},
             {"route", facts.matched->name},
             {"reason", outcome.reason},
             {"attempt", toText(outcome.lastEnd)},
             {"silent_ms", std::to_string(outcome.silence.count())},
             {"ms", age(facts.accepted)},
             {"events", std::to_string(outcome.events)},
             {"runs", std::to_string(outcome.runs)},
             {"refused", std::to_string(outcome.refused)},
             {"servers", outcome.servers},
             {"repeats_left", std::to_string(static_cast<int>(state.budgetOf(facts.service).left(now)))},
             {"config", std::to_string(facts.config->version)},
             {"config_age_ms", age(state.configSince)},
             {"traffic_delay_ms", std::to_string(state.trafficDelay.count())},
             {"control_delay_ms", std::to_string(state.controlDelayAt(now).count())}});
}

void logOutcome(traffic_state &state, const request_facts &facts, const request_outcome &outcome, client_end end)
{
    const steady_time now = std::chrono::steady_clock::now();
    const auto took = std::chrono::duration_cast<milliseconds>(now - facts.accepted);
    const bool clientLeft = end != client_end::open;
    const std::string reason = clientLeft ? "client_left" : outcome.reason;
    const metric_labels labels{{"account", facts.account.text}, {"route", facts.matched->name}};
    state.counters.count("requests", {{"status", std::to_string(outcome.status)}, {"reason", reason}});
    state.counters.observe("request_seconds", toSeconds(took), labels);
    if (!state.logLimiter.take(now)) {
        return;
    }
    logLine(log_level::info, "request",
            {{"request", facts.id},
             {"account", facts.account.text},
             {"route", facts.matched->name},
             {"service", facts.service.text},
             {"config", std::to_string(facts.config->version)},
             {"fleet", std::to_string(state.fleet->version)},
             {"status", std::to_string(outcome.status)},
             {"reason", reason},
             {"cut", outcome.cut ? "yes" : "no"},
             {"attempt", toText(outcome.lastEnd)},
             {"client", clientLeft ? toText(end) : ""},
             {"ms", std::to_string(took.count())},
             {"first_ms", std::to_string(outcome.firstByte.count())},
             {"gap_ms", std::to_string(outcome.longestGap.count())},
             {"events", std::to_string(outcome.events)},
             {"runs", std::to_string(outcome.runs)},
             {"refused", std::to_string(outcome.refused)},
             {"repaths", std::to_string(outcome.repaths)},
             {"rank", std::to_string(facts.urgency.rank)},
             {"retry_after_ms", std::to_string(outcome.retryAfter.count())},
             {"servers", outcome.servers},
             {"prefix_tokens", outcome.prefixTokens ? std::to_string(static_cast<std::int64_t>(*outcome.prefixTokens)) : ""}});
}

}
