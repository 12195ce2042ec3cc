// Sections: findings, requests, evidence.

#include "core/part_quarantine.h"

#include <algorithm>
#include <utility>

namespace chestnut
{

namespace
{

constexpr milliseconds SAME_MOMENT{30};            // servers that end within this time of each other have one cause
constexpr milliseconds NEAR_MOMENT{200};           // those that end within this time may have one
constexpr seconds SOUND_MEMORY{60};                // a part that a server survived so shortly before counts as known to be sound
constexpr int MORE_ENDS_IF_SOUND = 2;              // further ends needed against a part that is known to be sound
constexpr milliseconds SUSPECT_RETRY{1000};        // Retry-After while another request with a suspected part is at a server
constexpr milliseconds QUARANTINE_RETRY{30'000};   // longest Retry-After of a quarantined part
constexpr milliseconds TRIAL_SETTLE{1200};         // from a claim to the trial: all instances know of the claim by then
constexpr seconds CLAIM_LIFETIME{10};              // a claim whose trial has not started is void after this time
constexpr milliseconds FIRST_TRIAL_AMBIGUOUS{800}; // from the last end to the first trial if the finding is ambiguous
constexpr std::chrono::seconds TRIAL_DELAYS[part_quarantine::MAX_TRIALS]
    = {seconds(30), seconds(120), seconds(600)}; // by the number of trials so far: from the last end or trial to the next one
constexpr std::size_t MAX_SURVIVALS = 4096;      // parts known to be sound

using end_list = std::vector<const server_end *>; // oldest first

// Ends under one part since a server last lived on with it.
struct suspect
{
    part_id part;
    end_list ends;
    int needed = 0;          // ends until it is quarantined
    bool knownSound = false; // shortly before the first of the ends

    int margin() const
    {
        return static_cast<int>(ends.size()) - needed;
    }
};

bool holds(const server_end &end, const part_id &part)
{
    return std::find(end.parts.begin(), end.parts.end(), part) != end.parts.end();
}

// True if a server ended at about the same time without the part.
bool hasOtherCause(const server_end &end, const part_id &part, const end_list &all)
{
    return std::any_of(all.begin(), all.end(), [&](const server_end *other) {
        const auto apart = other->at > end.at ? other->at - end.at : end.at - other->at;
        return apart <= NEAR_MOMENT && !holds(*other, part);
    });
}

// Number of the ends, where those at one moment count once; those near it too if servers ended without the part as well.
int countSeparate(const end_list &ends, const part_id &part, const end_list &all)
{
    int count = 0;
    const server_end *previous = nullptr;
    for (const server_end *end : ends) {
        const bool same = previous != nullptr && end->at - previous->at <= SAME_MOMENT;
        const bool near = previous != nullptr && end->at - previous->at <= NEAR_MOMENT;
        if (!same && !(near && hasOtherCause(*end, part, all))) {
            ++count;
        }
        previous = end;
    }
    return count;
}

std::vector<suspect> collectSuspects(const crash_evidence &evidence, const end_list &all, const quarantine_limits &limits)
{
    std::map<part_id, suspect> found;
    for (const server_end *end : all) {
        for (const part_id &part : end->parts) {
            const auto survived = evidence.survived(part);
            if (survived && *survived >= end->at) {
                continue;
            }
            suspect &one = found[part];
            if (one.ends.empty()) {
                one.part = part;
                one.knownSound = survived && end->at - *survived <= SOUND_MEMORY;
                one.needed = limits.ends + (one.knownSound ? MORE_ENDS_IF_SOUND : 0);
            }
            one.ends.push_back(end);
        }
    }
    std::vector<suspect> suspects;
    for (auto &[part, one] : found) {
        suspects.push_back(std::move(one));
    }
    std::stable_sort(suspects.begin(), suspects.end(), [](const suspect &left, const suspect &right) { return left.margin() > right.margin(); });
    return suspects;
}

part_finding judge(const suspect &one, const end_list &all, const std::set<const server_end *> &explained)
{
    end_list own;
    std::copy_if(one.ends.begin(), one.ends.end(), std::back_inserter(own), [&](const server_end *end) { return !explained.contains(end); });
    end_list unexplained;
    std::copy_if(all.begin(), all.end(), std::back_inserter(unexplained), [&](const server_end *end) { return !explained.contains(end); });
    part_finding finding;
    finding.part = one.part;
    if (own.empty()) {
        return finding;
    }
    finding.ends = countSeparate(own, one.part, unexplained);
    finding.ambiguous = one.knownSound;
    finding.firstEnd = own.front()->at;
    finding.lastEnd = own.back()->at;
    if (finding.ends >= one.needed) {
        finding.status = part_status::quarantined;
    } else if (finding.ends >= one.needed - 1) {
        finding.status = part_status::suspected;
    }
    return finding;
}

}

const char *toText(part_status status)
{
    static constexpr const char *NAMES[] = {"clear", "suspected", "quarantined"};
    return NAMES[static_cast<int>(status)];
}

//-----------------------------------------------------------------------------
// Findings
//-----------------------------------------------------------------------------

// Parts are judged from the strongest to the weakest. What a quarantined part explains is no evidence against weaker ones: sound
// requests share servers, and their other parts, with those that end them. Equally strong parts are judged alike.
std::map<part_id, part_finding> findCrashingParts(const crash_evidence &evidence, const quarantine_limits &limits)
{
    std::map<part_id, part_finding> findings;
    if (limits.ends <= 0) {
        return findings;
    }
    const std::vector<server_end> ends = evidence.ends();
    end_list all;
    for (const server_end &end : ends) {
        all.push_back(&end);
    }
    const std::vector<suspect> suspects = collectSuspects(evidence, all, limits);
    std::set<const server_end *> explained;
    for (auto first = suspects.begin(); first != suspects.end();) {
        const auto last = std::find_if(first, suspects.end(), [&](const suspect &one) { return one.margin() < first->margin(); });
        std::vector<part_id> quarantined;
        std::set<const server_end *> newlyExplained;
        for (auto one = first; one != last; ++one) {
            const part_finding finding = judge(*one, all, explained);
            if (finding.status == part_status::clear) {
                continue;
            }
            findings[finding.part] = finding;
            if (finding.status == part_status::quarantined) {
                quarantined.push_back(finding.part);
                newlyExplained.insert(one->ends.begin(), one->ends.end());
            }
        }
        for (const part_id &part : quarantined) {
            findings[part].ambiguous = findings[part].ambiguous || quarantined.size() > 1;
        }
        explained.merge(newlyExplained);
        first = last;
    }
    return findings;
}

part_quarantine::part_quarantine(instance_id self, const quarantine_limits &limits)
    : m_self(std::move(self))
    , m_limits(limits)
{
}

void part_quarantine::evaluate()
{
    if (m_evaluated != m_evidence.revision()) {
        m_evaluated = m_evidence.revision();
        m_findings = findCrashingParts(m_evidence, m_limits);
    }
}

const std::map<part_id, part_finding> &part_quarantine::findings()
{
    evaluate();
    return m_findings;
}

std::vector<part_finding> part_quarantine::takeChanges()
{
    evaluate();
    std::vector<part_finding> changes;
    for (const auto &[part, finding] : m_findings) {
        const auto before = m_reported.find(part);
        if (before == m_reported.end() || before->second.status != finding.status) {
            changes.push_back(finding);
        }
    }
    for (auto &[part, finding] : m_reported) {
        if (!m_findings.contains(part)) {
            finding.status = part_status::clear;
            changes.push_back(finding);
        }
    }
    m_reported = m_findings;
    return changes;
}

//-----------------------------------------------------------------------------
// Requests
//-----------------------------------------------------------------------------

part_admission part_quarantine::admit(const std::vector<part_id> &parts, steady_time now)
{
    evaluate();
    part_admission admission;
    const part_finding *worst = nullptr;
    int quarantined = 0;
    bool occupied = false; // a suspected part is at a server already
    for (const part_id &part : parts) {
        const auto found = m_findings.find(part);
        if (found == m_findings.end()) {
            continue;
        }
        const part_finding &finding = found->second;
        quarantined += finding.status == part_status::quarantined ? 1 : 0;
        occupied = occupied || m_unproven.contains(part);
        worst = worst == nullptr || finding.status > worst->status ? &finding : worst;
    }
    if (worst == nullptr) {
        return admission;
    }
    if (quarantined == 1) {
        return admitTrial(*worst, now);
    }
    admission.status = worst->status;
    admission.part = worst->part;
    admission.accepted = quarantined == 0 && !occupied;
    admission.retryAfter = quarantined > 0 ? QUARANTINE_RETRY : SUSPECT_RETRY;
    return admission;
}

// A trial answers for one part only, so it is a request of which no other part is quarantined.
part_admission part_quarantine::admitTrial(const part_finding &finding, steady_time now)
{
    part_admission rejected{part_status::quarantined, finding.part, false, false, QUARANTINE_RETRY};
    const auto due = nextTrial(finding);
    if (!due) {
        return rejected;
    }
    if (now < *due) {
        rejected.retryAfter = std::min(QUARANTINE_RETRY, std::chrono::ceil<milliseconds>(*due - now) + TRIAL_SETTLE);
        return rejected;
    }
    rejected.retryAfter = TRIAL_SETTLE;
    const part_trial *known = m_evidence.trial(finding.part);
    const bool claimed = known != nullptr && !known->started && known->at >= *due;
    if (!claimed || now - known->at > CLAIM_LIFETIME) {
        const std::uint32_t started = known == nullptr ? 0 : known->number - (known->started ? 0 : 1);
        const std::uint32_t round = known == nullptr || known->started ? 1 : known->round + 1;
        m_evidence.noteTrial({finding.part, started + 1, round, m_self, false, now});
        return rejected;
    }
    if (known->instance != m_self || now - known->at < TRIAL_SETTLE) {
        return rejected;
    }
    part_trial trial = *known;
    trial.started = true;
    trial.at = now;
    m_evidence.noteTrial(trial);
    m_witnessed.insert(finding.part);
    return {part_status::quarantined, finding.part, true, true, milliseconds(0)};
}

std::optional<steady_time> part_quarantine::nextTrial(const part_finding &finding) const
{
    const part_trial *last = m_evidence.trial(finding.part);
    const std::uint32_t started = last == nullptr ? 0 : last->number - (last->started ? 0 : 1);
    if (started >= MAX_TRIALS) {
        return std::nullopt;
    }
    if (started == 0 && finding.ambiguous) {
        return finding.lastEnd + FIRST_TRIAL_AMBIGUOUS;
    }
    const bool trialRan = last != nullptr && last->started;
    return std::max(finding.lastEnd, trialRan ? last->at : finding.lastEnd) + TRIAL_DELAYS[started];
}

bool part_quarantine::mayRepeat(const std::vector<part_id> &parts)
{
    evaluate();
    return std::none_of(parts.begin(), parts.end(), [&](const part_id &part) { return m_findings.contains(part); });
}

void part_quarantine::addUnproven(const std::vector<part_id> &parts)
{
    for (const part_id &part : parts) {
        ++m_unproven[part];
    }
}

void part_quarantine::removeUnproven(const std::vector<part_id> &parts)
{
    for (const part_id &part : parts) {
        const auto found = m_unproven.find(part);
        if (found != m_unproven.end() && --found->second <= 0) {
            m_unproven.erase(found);
        }
    }
}

//-----------------------------------------------------------------------------
// Evidence
//-----------------------------------------------------------------------------

void part_quarantine::noteEnd(const server_end &end)
{
    m_evidence.noteEnd(end);
    for (const part_id &part : end.parts) {
        m_witnessed.insert(part);
        publishSurvival(part);
    }
}

void part_quarantine::merge(const evidence_update &update)
{
    m_evidence.merge(update);
    for (const server_end &end : update.ends) {
        for (const part_id &part : end.parts) {
            publishSurvival(part);
        }
    }
}

void part_quarantine::noteSurvival(const std::vector<part_id> &parts, steady_time now)
{
    for (const part_id &part : parts) {
        m_survivals[part] = now;
        publishSurvival(part);
    }
    if (m_survivals.size() > MAX_SURVIVALS) {
        trimSurvivals();
    }
}

void part_quarantine::release(const part_id &part, steady_time now)
{
    m_evidence.noteSurvival({part, now});
}

void part_quarantine::dropExpired(steady_time now)
{
    m_evidence.dropExpired(now);
    std::erase_if(m_witnessed, [this](const part_id &part) { return !m_evidence.lastEnd(part); });
}

// A survival is news only if it is later than an end that nothing has outlived yet, or the first that is known.
void part_quarantine::publishSurvival(const part_id &part)
{
    const auto own = m_survivals.find(part);
    const auto ended = m_evidence.lastEnd(part);
    if (own == m_survivals.end() || !ended) {
        return;
    }
    const auto known = m_evidence.survived(part);
    if (!known || *known < *ended) {
        m_evidence.noteSurvival({part, own->second});
    }
}

// Forgets the older half.
void part_quarantine::trimSurvivals()
{
    std::vector<steady_time> times;
    for (const auto &[part, at] : m_survivals) {
        times.push_back(at);
    }
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    const steady_time limit = *middle;
    std::erase_if(m_survivals, [limit](const auto &entry) { return entry.second <= limit; });
}

}
