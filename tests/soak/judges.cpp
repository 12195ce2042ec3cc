#include "judges.h"

#include <algorithm>

namespace chestnut::soak
{

namespace
{

constexpr milliseconds CONTACT{3000};       // a machine that was disturbed is in touch again after this time
constexpr milliseconds CONFIG_APPLY{2000};  // from an acknowledgement until a configuration is in force
constexpr milliseconds ROLLBACK_SLACK{250}; // from a configuration's first effect until all requests get it
constexpr milliseconds DRAIN_TIME{2000};    // from an acknowledgement until a draining server gets no request
constexpr milliseconds RELEASE_TIME{500};   // from a client's leaving until its server is released
constexpr milliseconds LOSS_SLACK{200};     // a request that crosses the close of its connection ends sooner
constexpr milliseconds DEADLINE_SLACK{100};
constexpr milliseconds ARRIVAL_SLACK{100};
constexpr milliseconds QUIET_SLACK{500}; // from a refusal until the gateway sends that server nothing
constexpr std::size_t MAX_IN_QUIET = 2;  // requests on their way by then
constexpr std::size_t MAX_LATE_RELEASES = 2;
constexpr std::size_t MAX_LATE_SHARE = 4; // nor more than one in this many of the runs whose client left
constexpr std::size_t MAX_LATE_ARRIVALS = 2;
constexpr std::size_t ENDS_UNTIL_KNOWN = 5;   // of servers under one part of a prompt
constexpr std::size_t MAX_LATER_ARRIVALS = 3; // of requests with that part

bool isIdempotent(request_kind kind)
{
    return kind == request_kind::safe || kind == request_kind::stream;
}

bool isPlain(request_kind kind)
{
    return kind == request_kind::safe || kind == request_kind::once;
}

bool isPromise(int status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

class judging
{
public:
    explicit judging(const evidence &seen)
        : m_seen(seen)
    {
    }

    verdicts all()
    {
        for (const attempt &one : m_seen.attempts) {
            judgeContent(one);
            judgeLost(one);
            countEarlyFailure(one);
            judgeRuns(one);
            judgeArrival(one);
            judgeReleased(one);
            judgeConfig(one);
            judgeDrain(one);
        }
        judgeCrashingPart();
        judgeSaid();
        if (m_late.size() > MAX_LATE_RELEASES || m_late.size() * MAX_LATE_SHARE > m_left) {
            m_result.broken.insert(m_result.broken.end(), m_late.begin(), m_late.end());
        }
        if (m_lateArrivals.size() > MAX_LATE_ARRIVALS) {
            m_result.broken.insert(m_result.broken.end(), m_lateArrivals.begin(), m_lateArrivals.end());
        }
        std::stable_sort(m_result.broken.begin(), m_result.broken.end(), [](const finding &left, const finding &right) { return left.to < right.to; });
        return m_result;
    }

private:
    void report(const char *rule, const attempt &one, const std::string &text)
    {
        m_result.broken.push_back({rule, one.id, one.sent, one.ended, text});
    }

    const std::vector<run> &runsOf(const attempt &one) const
    {
        static const std::vector<run> NONE;
        const auto found = m_seen.runs.find(one.id);
        return found == m_seen.runs.end() ? NONE : found->second;
    }

    // True if a party was disturbed, other than by planned work, in a span of time.
    bool disturbed(const std::string &party, milliseconds from, milliseconds to) const
    {
        return std::any_of(m_seen.incidents.begin(), m_seen.incidents.end(),
                           [&](const incident &one) { return one.party == party && !one.planned && one.from <= to && one.to >= from; });
    }

    bool inTouch(const attempt &one) const
    {
        return !disturbed(one.gateway, one.sent - CONTACT, one.ended) && !disturbed(one.gateway + CLIENT_LINK, one.sent - CONTACT, one.ended)
            && !disturbed("rig", one.sent, one.ended);
    }

    bool storeCalm(const attempt &one, milliseconds from, milliseconds to) const
    {
        return !disturbed("store", from - CONTACT, to) && !disturbed(one.gateway + STORE_LINK, from - CONTACT, to);
    }

    // Of the link to the server; a run names the server with the number of its boot behind it.
    bool linkDisturbed(const run &seen, milliseconds from, milliseconds to) const
    {
        return disturbed(seen.server.substr(0, seen.server.rfind('-')) + SERVER_LINK, from, to);
    }

    void judgeContent(const attempt &one)
    {
        if (!one.mixed.empty()) {
            report("MIXED", one, one.mixed);
        }
        if (!one.disorder.empty()) {
            report("ORDER", one, one.disorder);
        }
    }

    // True if the process that served the attempt came to the end of its grace period.
    bool graceOver(const attempt &one) const
    {
        return std::any_of(m_seen.incidents.begin(), m_seen.incidents.end(), [&](const incident &term) {
            return term.party == one.gateway && term.what == "terminate" && one.sent <= term.from + CONTACT && one.ended >= term.from + m_seen.grace * 5 / 6
                && one.ended <= term.to;
        });
    }

    // Reason for which an incomplete answer is not counted, empty if there is none.
    std::string excuse(const attempt &one) const
    {
        const milliseconds lasted = one.ended - one.sent;
        const std::vector<run> &runs = runsOf(one);
        const auto ended = [&](run_end end) { return std::any_of(runs.begin(), runs.end(), [end](const run &seen) { return seen.end == end; }); };
        if (one.crossed || (runs.empty() && lasted <= LOSS_SLACK)) {
            return "not read";
        }
        if (!inTouch(one)) {
            return "gateway disturbed";
        }
        if (graceOver(one)) {
            return "grace period over";
        }
        if (ended(run_end::broke_off)) {
            return "server broke off";
        }
        if (std::any_of(runs.begin(), runs.end(), [](const run &seen) { return seen.disturbed; })) {
            return "stage down";
        }
        if (std::any_of(runs.begin(), runs.end(), [&](const run &seen) { return linkDisturbed(seen, one.sent, one.ended); })) {
            return "link to the server";
        }
        return ended(run_end::late) || lasted + DEADLINE_SLACK >= one.allowed ? "deadline" : "";
    }

    void judgeLost(const attempt &one)
    {
        if (one.complete || one.left) {
            return;
        }
        if (const std::string reason = excuse(one); !reason.empty()) {
            ++m_result.excused[reason];
            return;
        }
        std::string text = std::string(toText(one.kind)) + " ended by " + one.how + " after " + std::to_string(one.events) + " events;";
        for (const run &seen : runsOf(one)) {
            text += " " + seen.server + " at " + std::to_string(seen.arrived.count()) + (seen.executed ? " " : " turned away, ") + toText(seen.end) + " at "
                + std::to_string(seen.ended.count()) + ";";
        }
        report("LOST", one, text);
    }

    // Counts failures that the gateway answered although its servers were sound and time was left. They break no rule.
    void countEarlyFailure(const attempt &one)
    {
        const bool failed = one.complete && !one.isSigned && (one.status == 502 || one.status == 504);
        if (failed && excuse(one).empty()) {
            m_result.earlyFailures[std::string(toText(one.kind)) + " " + std::to_string(one.status)].push_back(one.id);
        }
    }

    void judgeRuns(const attempt &one)
    {
        const std::vector<run> &runs = runsOf(one);
        const auto executed = std::count_if(runs.begin(), runs.end(), [](const run &seen) { return seen.executed; });
        if (!isIdempotent(one.kind) && executed > 1) {
            report("TWICE", one, std::to_string(executed) + " runs");
        }
        if (!isIdempotent(one.kind) && isPromise(one.status) && executed > 0) {
            report("REFUSED", one, "answered " + std::to_string(one.status) + " and run at " + runs.front().server);
        }
        for (const run &seen : runs) {
            if (!seen.flaw.empty()) {
                report(seen.flaw.substr(0, seen.flaw.find(' ')).c_str(), one, seen.flaw.substr(seen.flaw.find(' ') + 1));
            }
        }
    }

    // A request whose client has left reaches no server later, also if its gateway was paused meanwhile: the close arrives in any case.
    void judgeArrival(const attempt &one)
    {
        if (!one.left) {
            return;
        }
        for (const run &seen : runsOf(one)) {
            const bool excused = disturbed("rig", one.ended, seen.arrived) || linkDisturbed(seen, one.sent, seen.arrived)
                || disturbed(one.gateway + CLIENT_LINK, one.sent, seen.arrived);
            if (seen.arrived > one.ended + RELEASE_TIME && !excused) {
                m_lateArrivals.push_back({"GONE", one.id, one.sent, one.ended,
                                          seen.server + " got it at " + std::to_string(seen.arrived.count()) + ", "
                                              + std::to_string((seen.arrived - one.ended).count()) + " ms after the client left"});
            }
        }
    }

    // The servers of a client that left are released, of those that would have worked on.
    void judgeReleased(const attempt &one)
    {
        if (!one.left || one.kind == request_kind::once || !inTouch(one)) {
            return;
        }
        for (const run &seen : runsOf(one)) {
            const bool excused = disturbed("rig", one.ended, one.ended + RELEASE_TIME) || linkDisturbed(seen, one.sent, one.ended + RELEASE_TIME);
            m_left += seen.executed && seen.ended > one.ended && !excused ? 1 : 0;
            if (seen.executed && seen.ended > one.ended + RELEASE_TIME && !excused) {
                m_late.push_back({"GONE", one.id, one.sent, one.ended,
                                  seen.server + " worked until " + std::to_string(seen.ended.count()) + ", " + std::to_string((seen.ended - one.ended).count())
                                      + " ms after the client left"});
            }
        }
    }

    // A pipelined request may be answered long before the client has read the answers before that one, so its time is when it was written.
    void judgeConfig(const attempt &one)
    {
        const std::string process = one.gateway + "." + std::to_string(one.boot) + " " + one.key;
        if (one.status == 200 && m_seen.keys.contains(one.key)) {
            const auto [known, added] = m_accepted.try_emplace(process, one.ended);
            known->second = std::min(known->second, one.ended);
        }
        if (one.isSigned || (one.status != 401 && one.status != 403 && one.status != 404)) {
            judgeRoute(one);
            return;
        }
        const milliseconds since = m_seen.keys.at(one.key);
        const auto accepted = m_accepted.find(process);
        const bool regressed = accepted != m_accepted.end() && one.written > accepted->second + ROLLBACK_SLACK;
        const bool late = one.written > since + CONFIG_APPLY && inTouch(one) && storeCalm(one, one.written, one.written);
        if (regressed || late) {
            report("CONFIG", one,
                   std::to_string(one.status) + " for key " + one.key + " in force since " + std::to_string(since.count())
                       + (regressed ? ", accepted before" : ""));
        }
    }

    // A plain request runs at a service that some configuration which may be in force allows.
    void judgeRoute(const attempt &one)
    {
        if (!isPlain(one.kind) || !inTouch(one) || !storeCalm(one, one.sent, one.ended)) {
            return;
        }
        for (const run &seen : runsOf(one)) {
            bool allowed = false;
            for (std::size_t i = 0; i < m_seen.configs.size(); ++i) {
                const bool replaced = i + 1 < m_seen.configs.size() && m_seen.configs[i + 1].acknowledged + CONFIG_APPLY < one.written;
                allowed = allowed || (!replaced && m_seen.configs[i].acknowledged <= seen.arrived && m_seen.configs[i].services.contains(seen.service));
            }
            if (seen.executed && !allowed) {
                report("CONFIG", one, "run by " + seen.service + " at " + std::to_string(seen.arrived.count()));
            }
        }
    }

    void judgeDrain(const attempt &one)
    {
        for (const run &seen : runsOf(one)) {
            for (const incident &drain : m_seen.incidents) {
                const bool after = drain.what == "draining" && drain.party == seen.server && seen.arrived > drain.from + DRAIN_TIME + ARRIVAL_SLACK;
                if (after && inTouch(one) && storeCalm(one, drain.from, seen.arrived) && !linkDisturbed(seen, one.sent, seen.arrived)) {
                    report("DRAIN", one,
                           seen.server + " got it at " + std::to_string(seen.arrived.count()) + ", draining since " + std::to_string(drain.from.count()));
                }
            }
        }
    }

    // What a server says of itself in an answer holds for the instance that has read it, whatever the store says: no request sent by a
    // client later than the drain time after "leaving", and few from half a second after a refusal that asks for quiet until its end.
    void judgeSaid()
    {
        std::map<std::string, std::vector<std::pair<const attempt *, const run *>>> byPair; // gateway process and server
        for (const attempt &one : m_seen.attempts) {
            for (const run &seen : runsOf(one)) {
                byPair[one.gateway + "." + std::to_string(one.boot) + " " + seen.server].emplace_back(&one, &seen);
            }
        }
        for (const auto &[pair, all] : byPair) {
            for (const auto &[said, answer] : all) {
                if (answer->leaving && answer->end == run_end::completed) {
                    judgeLeaving(*answer, all);
                }
                if (answer->quiet.count() > 0 && answer->end == run_end::completed) {
                    judgeQuiet(*answer, all);
                }
            }
        }
    }

    void judgeLeaving(const run &answer, const std::vector<std::pair<const attempt *, const run *>> &all)
    {
        for (const auto &[sent, seen] : all) {
            const bool excused = disturbed("rig", sent->sent, seen->arrived) || linkDisturbed(answer, answer.arrived, seen->arrived);
            if (sent->sent > answer.ended + DRAIN_TIME + ARRIVAL_SLACK && !excused) {
                report("DRAIN", *sent,
                       seen->server + " got it at " + std::to_string(seen->arrived.count()) + ", had said at " + std::to_string(answer.ended.count())
                           + " that it leaves");
            }
        }
    }

    void judgeQuiet(const run &answer, const std::vector<std::pair<const attempt *, const run *>> &all)
    {
        std::size_t count = 0;
        for (const auto &[sent, seen] : all) {
            const bool within = seen->arrived > answer.ended + QUIET_SLACK && seen->arrived < answer.ended + answer.quiet;
            const bool excused = disturbed(sent->gateway, answer.ended, seen->arrived) || linkDisturbed(answer, answer.arrived, seen->arrived);
            if (within && ++count > MAX_IN_QUIET && !excused) {
                report("QUIET", *sent,
                       seen->server + " got it at " + std::to_string(seen->arrived.count()) + ", asked at " + std::to_string(answer.ended.count()) + " for "
                           + std::to_string(answer.quiet.count()) + " ms without requests");
            }
        }
    }

    // Once five servers have ended under a part, few requests with it reach servers.
    void judgeCrashingPart()
    {
        std::vector<milliseconds> ends;
        for (const incident &one : m_seen.incidents) {
            if (one.what == CRASH_BY_PROMPT) {
                ends.push_back(one.from);
            }
        }
        if (ends.size() < ENDS_UNTIL_KNOWN) {
            return;
        }
        std::sort(ends.begin(), ends.end());
        const milliseconds known = ends[ENDS_UNTIL_KNOWN - 1] + CONTACT;
        std::size_t later = 0;
        for (const attempt &one : m_seen.attempts) {
            for (const run &seen : runsOf(one)) {
                const bool counts = seen.crashing && seen.executed && seen.arrived > known && inTouch(one) && !linkDisturbed(seen, one.sent, seen.arrived);
                if (counts && ++later > MAX_LATER_ARRIVALS) {
                    report("BUDGET", one,
                           seen.server + " got it at " + std::to_string(seen.arrived.count()) + ", five servers had ended by "
                               + std::to_string((known - CONTACT).count()));
                }
            }
        }
    }

    const evidence &m_seen;
    verdicts m_result;
    std::vector<finding> m_late;                    // released too late
    std::size_t m_left = 0;                         // runs that were going on when their client left
    std::vector<finding> m_lateArrivals;            // reached a server after their client had left
    std::map<std::string, milliseconds> m_accepted; // process and key -> first answer
};

}

verdicts judge(const evidence &seen)
{
    return judging(seen).all();
}

}
