#include "core/crash_evidence.h"

#include <algorithm>
#include <tuple>

namespace chestnut
{

namespace
{

// Times of peers are only as exact as a message is fast. A smaller difference is no change, or copies would correct each other forever.
constexpr milliseconds TIME_TOLERANCE{50};

// Later trials win; of claims for the same trial the one that has started, then the later round, then the smaller name.
bool supersedes(const part_trial &left, const part_trial &right)
{
    const auto rank = [](const part_trial &one) { return std::tuple(one.number, one.started, one.round); };
    return rank(left) != rank(right) ? rank(left) > rank(right) : left.instance < right.instance;
}

}

bool crash_evidence::noteEnd(const server_end &end)
{
    const auto [entry, added] = m_ends.try_emplace(end.process);
    end_record &known = entry->second.content;
    bool changed = added;
    if (added || end.at + TIME_TOLERANCE < known.at) {
        known.at = end.at;
        changed = true;
    }
    for (const part_id &part : end.parts) {
        if (known.parts.size() < MAX_PARTS_PER_END) {
            changed = known.parts.insert(part).second || changed;
        }
    }
    if (changed) {
        entry->second.revision = ++m_revision;
        if (m_ends.size() > MAX_ENDS) {
            evictOne();
        }
    }
    return changed;
}

bool crash_evidence::noteSurvival(const part_survival &survival)
{
    if (!lastEnd(survival.part)) {
        return false;
    }
    const auto [entry, added] = m_survivals.try_emplace(survival.part);
    if (!added && survival.at <= entry->second.content + TIME_TOLERANCE) {
        return false;
    }
    entry->second = {survival.at, ++m_revision};
    return true;
}

bool crash_evidence::noteTrial(const part_trial &trial)
{
    const auto [entry, added] = m_trials.try_emplace(trial.part);
    if (!added && !supersedes(trial, entry->second.content)) {
        return false;
    }
    entry->second = {trial, ++m_revision};
    return true;
}

bool crash_evidence::merge(const evidence_update &update)
{
    bool changed = false;
    for (const server_end &end : update.ends) { // first, since survivals are kept only for parts under which a process ended
        changed = noteEnd(end) || changed;
    }
    for (const part_survival &survival : update.survivals) {
        changed = noteSurvival(survival) || changed;
    }
    for (const part_trial &trial : update.trials) {
        changed = (lastEnd(trial.part) && noteTrial(trial)) || changed;
    }
    return changed;
}

void crash_evidence::dropExpired(steady_time now)
{
    const std::size_t dropped = std::erase_if(m_ends, [now](const auto &entry) { return now - entry.second.content.at > MEMORY; });
    if (dropped > 0) {
        dropUnreferenced();
        ++m_revision;
    }
}

evidence_update crash_evidence::since(std::uint64_t revision) const
{
    evidence_update update;
    update.revision = m_revision;
    for (const auto &[process, end] : m_ends) {
        if (end.revision > revision) {
            update.ends.push_back({process, end.content.at, {end.content.parts.begin(), end.content.parts.end()}});
        }
    }
    for (const auto &[part, survival] : m_survivals) {
        if (survival.revision > revision) {
            update.survivals.push_back({part, survival.content});
        }
    }
    for (const auto &[part, trial] : m_trials) {
        if (trial.revision > revision) {
            update.trials.push_back(trial.content);
        }
    }
    return update;
}

evidence_update crash_evidence::about(const part_id &part) const
{
    evidence_update update;
    update.revision = m_revision;
    for (const auto &[process, end] : m_ends) {
        if (end.content.parts.contains(part)) {
            update.ends.push_back({process, end.content.at, {part}});
        }
    }
    if (const part_trial *known = trial(part)) {
        update.trials.push_back(*known);
    }
    return update;
}

std::vector<server_end> crash_evidence::ends() const
{
    std::vector<server_end> all = since(0).ends;
    std::sort(all.begin(), all.end(), [](const server_end &left, const server_end &right) { return left.at < right.at; });
    return all;
}

std::optional<steady_time> crash_evidence::survived(const part_id &part) const
{
    const auto found = m_survivals.find(part);
    return found == m_survivals.end() ? std::nullopt : std::optional(found->second.content);
}

const part_trial *crash_evidence::trial(const part_id &part) const
{
    const auto found = m_trials.find(part);
    return found == m_trials.end() ? nullptr : &found->second.content;
}

std::optional<steady_time> crash_evidence::lastEnd(const part_id &part) const
{
    std::optional<steady_time> last;
    for (const auto &[process, end] : m_ends) {
        if (end.content.parts.contains(part)) {
            last = std::max(last.value_or(end.content.at), end.content.at);
        }
    }
    return last;
}

bool crash_evidence::outlived(const end_record &end) const
{
    return std::all_of(end.parts.begin(), end.parts.end(), [&](const part_id &part) {
        const auto survival = m_survivals.find(part);
        return survival != m_survivals.end() && survival->second.content >= end.at;
    });
}

void crash_evidence::evictOne()
{
    const auto least = std::min_element(m_ends.begin(), m_ends.end(), [&](const auto &left, const auto &right) {
        const auto rank = [&](const end_record &end) { return std::pair(!outlived(end), end.at); };
        return rank(left.second.content) < rank(right.second.content);
    });
    m_ends.erase(least);
    dropUnreferenced();
}

void crash_evidence::dropUnreferenced()
{
    std::erase_if(m_survivals, [&](const auto &entry) { return !lastEnd(entry.first); });
    std::erase_if(m_trials, [&](const auto &entry) { return !lastEnd(entry.first); });
}

}
