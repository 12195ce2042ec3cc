#pragma once

// Decides which parts of prompts end the processes of backend servers, and keeps requests with such a part away from servers.
//
// Designed for requests that share one part, arrive at any instance and end each server that begins to answer them ("queries of
// death"), beside sound requests that share their other parts with them, and beside servers that end for other reasons. Evidence
// against a part: distinct processes that ended while they began to answer it, since it was last answered by a server that lived on.

#include "core/crash_evidence.h"

#include <unordered_map>

namespace chestnut
{

enum class part_status
{
    clear,
    suspected,   // one request at a time at each instance, and no repeats
    quarantined, // rejected but for a few trials
};

const char *toText(part_status status);

struct part_finding
{
    part_id part;
    part_status status = part_status::clear;
    int ends = 0;           // processes that ended under it and have no better explanation
    bool ambiguous = false; // other parts explain the same ends equally well, or it was known as sound before
    steady_time firstEnd{};
    steady_time lastEnd{};
};

// Answer to the question whether a request may be sent to a server.
struct part_admission
{
    part_status status = part_status::clear; // of the worst part
    part_id part;                            // the worst one, if it is not clear
    bool accepted = true;
    bool trial = false;         // accepted as the trial of a quarantined part
    milliseconds retryAfter{0}; // if it is not accepted
};

struct quarantine_limits
{
    int ends = 3; // processes that end under a part until it is quarantined, 0 = no part ever is
};

class part_quarantine
{
public:
    // A server that has answered for so long is not ended by the request.
    static constexpr milliseconds PROVING_TIME{500};
    static constexpr int MAX_TRIALS = 3; // of one part, over all instances

    part_quarantine(instance_id self, const quarantine_limits &limits);

    // Whether a request with these parts may be sent to a server now. Claims a trial, or counts it as started.
    part_admission admit(const std::vector<part_id> &parts, steady_time now);
    // Whether a request that was sent before may be sent to a further server.
    bool mayRepeat(const std::vector<part_id> &parts);
    // Counts requests with these parts at servers that have not lived on with them for PROVING_TIME yet.
    void addUnproven(const std::vector<part_id> &parts);
    void removeUnproven(const std::vector<part_id> &parts);

    void noteEnd(const server_end &end);
    // A server lives on with a request of these parts.
    void noteSurvival(const std::vector<part_id> &parts, steady_time now);
    void merge(const evidence_update &update);
    // Operator's order: all that speaks against the part so far is void.
    void release(const part_id &part, steady_time now);
    // Forgets what is old.
    void dropExpired(steady_time now);

    // True if this instance itself saw a server end under the part, or sent a trial.
    bool witnessed(const part_id &part) const
    {
        return m_witnessed.contains(part);
    }
    const crash_evidence &evidence() const
    {
        return m_evidence;
    }
    // Parts that are not clear.
    const std::map<part_id, part_finding> &findings();
    // Findings that have changed their status since the last call, in their new status.
    std::vector<part_finding> takeChanges();

private:
    void evaluate();
    part_admission admitTrial(const part_finding &finding, steady_time now);
    // Earliest start of the next trial; nothing if there is none.
    std::optional<steady_time> nextTrial(const part_finding &finding) const;
    // Adds the latest survival of the part to the evidence if that speaks against an end.
    void publishSurvival(const part_id &part);
    void trimSurvivals();

    instance_id m_self;
    quarantine_limits m_limits;
    crash_evidence m_evidence;
    std::map<part_id, part_finding> m_findings; // of revision m_evaluated
    std::map<part_id, part_finding> m_reported; // as of the last takeChanges()
    std::uint64_t m_evaluated = 0;
    std::map<part_id, int> m_unproven;
    std::set<part_id> m_witnessed;
    std::unordered_map<part_id, steady_time> m_survivals; // of this instance's requests
};

// Finds the parts that explain the ends of server processes best. Pure; exposed for tests.
std::map<part_id, part_finding> findCrashingParts(const crash_evidence &evidence, const quarantine_limits &limits);

}
