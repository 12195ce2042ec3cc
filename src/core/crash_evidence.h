#pragma once

// Records which parts of prompts were being answered when processes of backend servers ended, and which parts were answered by servers
// that lived on. Every instance holds a copy. Copies are merged: a merge gives the same result in any order and when repeated.
//
// Designed for several instances that each see a few of the servers that end under the same part of a prompt: each process counts
// once, whoever saw it end.

#include "kernel/ids.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace chestnut
{

// One process of a backend server: from its start to its end.
struct server_process
{
    server_id server;
    std::uint64_t incarnation = 0; // start time in ms, 0 = unknown

    auto operator<=>(const server_process &) const = default;
};

// A process ended while it began to answer prompts with these parts.
struct server_end
{
    server_process process;
    steady_time at{};
    std::vector<part_id> parts;
};

// A prompt with this part was answered by a server that lived on.
struct part_survival
{
    part_id part;
    steady_time at{};
};

// A single request with a rejected part that is sent to a server, to find out whether the part still ends servers. An instance claims
// the trial first; of several claims of the same number one wins at all instances.
struct part_trial
{
    part_id part;
    std::uint32_t number = 0; // of the trial, from 1
    std::uint32_t round = 0;  // of the claims for this number, from 1
    instance_id instance;     // that claims it
    bool started = false;     // the request was sent
    steady_time at{};         // of the claim, or of the start
};

struct evidence_update
{
    std::vector<server_end> ends;
    std::vector<part_survival> survivals;
    std::vector<part_trial> trials;
    std::uint64_t revision = 0; // of the copy that it was read from

    bool empty() const
    {
        return ends.empty() && survivals.empty() && trials.empty();
    }
};

class crash_evidence
{
public:
    static constexpr std::chrono::hours MEMORY{1}; // after which an end is forgotten
    static constexpr std::size_t MAX_ENDS = 256;   // beyond it the oldest are forgotten, outlived ones first
    static constexpr std::size_t MAX_PARTS_PER_END = 64;

    // Each returns false if the copy did not change.
    bool noteEnd(const server_end &end);
    bool noteSurvival(const part_survival &survival);
    bool noteTrial(const part_trial &trial);
    bool merge(const evidence_update &update);
    // Forgets what is older than MEMORY.
    void dropExpired(steady_time now);

    // Increases with each change.
    std::uint64_t revision() const
    {
        return m_revision;
    }
    // What has changed after a revision of this copy.
    evidence_update since(std::uint64_t revision) const;
    // The ends and the trial of one part, without other parts.
    evidence_update about(const part_id &part) const;
    // All ends, oldest first.
    std::vector<server_end> ends() const;
    // The latest time at which a server was seen to live on under the part.
    std::optional<steady_time> survived(const part_id &part) const;
    // The latest trial of the part, or null.
    const part_trial *trial(const part_id &part) const;
    // When a process last ended under the part; nothing if none has.
    std::optional<steady_time> lastEnd(const part_id &part) const;

private:
    template <typename value>
    struct revised
    {
        value content;
        std::uint64_t revision = 0; // of the last change
    };
    struct end_record
    {
        steady_time at{};
        std::set<part_id> parts;
    };

    // True if every part of the end was later answered by a server that lived on.
    bool outlived(const end_record &end) const;
    // Forgets the oldest end, one that is outlived before any other.
    void evictOne();
    // Forgets survivals and trials of parts without an end.
    void dropUnreferenced();

    std::uint64_t m_revision = 0;
    std::map<server_process, revised<end_record>> m_ends;
    std::map<part_id, revised<steady_time>> m_survivals;
    std::map<part_id, revised<part_trial>> m_trials;
};

}
