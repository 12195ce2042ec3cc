// Fold of the configuration stream. Comments name the steps of its model in spec/config.pml.

#include "core/chestnutgw.h"

#include <nlohmann/json.hpp>

namespace chestnut
{

namespace
{

using json = nlohmann::json;

json rowToJson(const config_row &row)
{
    return json{{"kind", row.kind},
                {"name", row.name},
                {"of", row.of},
                {"failure_domain", row.failureDomain},
                {"address", row.address},
                {"accelerator", row.accelerator},
                {"layers", row.layers},
                {"weight", row.weight},
                {"worth", row.worth},
                {"tokens_per_second", row.tokensPerSecond},
                {"deadline_ms", row.deadlineMs},
                {"key_sha256", row.keySha256},
                {"repeat", row.repeat},
                {"checks_fence", row.checksFence},
                {"state", row.state}};
}

config_row rowFromJson(const json &value)
{
    config_row row;
    value.at("kind").get_to(row.kind);
    value.at("name").get_to(row.name);
    value.at("of").get_to(row.of);
    value.at("failure_domain").get_to(row.failureDomain);
    value.at("address").get_to(row.address);
    value.at("accelerator").get_to(row.accelerator);
    value.at("layers").get_to(row.layers);
    value.at("weight").get_to(row.weight);
    value.at("worth").get_to(row.worth);
    value.at("tokens_per_second").get_to(row.tokensPerSecond);
    value.at("deadline_ms").get_to(row.deadlineMs);
    value.at("key_sha256").get_to(row.keySha256);
    value.at("repeat").get_to(row.repeat);
    value.at("checks_fence").get_to(row.checksFence);
    value.at("state").get_to(row.state);
    return row;
}

config_change changeFromJson(const json &value)
{
    config_change change;
    value.at("id").get_to(change.id);
    value.at("author").get_to(change.author);
    value.at("base").get_to(change.base.value);
    for (const json &one : value.at("rows")) {
        row_change row;
        one.at("key").get_to(row.key);
        if (one.contains("row")) {
            row.row = rowFromJson(one.at("row"));
        }
        change.rows.push_back(std::move(row));
    }
    return change;
}

change_outcome outcomeFromText(std::string_view text)
{
    for (const change_outcome one : {change_outcome::accepted, change_outcome::conflict, change_outcome::invalid, change_outcome::stale}) {
        if (toText(one) == text) {
            return one;
        }
    }
    throw std::invalid_argument("unknown change outcome '" + std::string(text) + "'");
}

// True for a snapshot record, whose state is as of the offset "as_of".
bool isSnapshot(const json &value)
{
    return value.is_object() && value.contains("type") && value["type"] == "snapshot" && value.contains("as_of") && value["as_of"].is_number_unsigned();
}

}

std::string_view toText(change_outcome outcome)
{
    static constexpr std::string_view NAMES[] = {"accepted", "conflict", "invalid", "stale"};
    return NAMES[static_cast<int>(outcome)];
}

std::string encodeChange(const config_change &change)
{
    json rows = json::array();
    for (const row_change &one : change.rows) {
        json row{{"key", one.key}};
        if (one.row) {
            row["row"] = rowToJson(*one.row);
        }
        rows.push_back(std::move(row));
    }
    return json{{"type", "change"}, {"id", change.id}, {"author", change.author}, {"base", change.base.value}, {"rows", std::move(rows)}}.dump();
}

void config_fold::startEmpty()
{
    if (!m_started && m_buffered.empty()) {
        m_started = true;
    }
}

fold_step config_fold::apply(log_offset offset, std::string_view record)
{
    if (m_started && offset <= m_applied) {
        return fold_step::ignored;
    }
    // A reader that receives the first record needs no snapshot.
    if (!m_started && offset.value == 1) {
        m_started = true;
    }
    const json value = json::parse(record, nullptr, false);
    if (!m_started) {
        m_buffered[offset] = record;
        if (!isSnapshot(value)) {
            return fold_step::buffered;
        }
        loadSnapshot(record);
        return m_started ? fold_step::applied : fold_step::buffered;
    }
    // A snapshot in the stream is older than its own offset. One that is not was sent by a peer in place of the records.
    if (isSnapshot(value) && value["as_of"].get<std::uint64_t>() >= offset.value) {
        return adoptSnapshot(record) ? fold_step::applied : fold_step::ignored;
    }
    m_applied = offset;
    if (!isSnapshot(value)) {
        try {
            applyChange(offset, changeFromJson(value));
        } catch (const std::exception &) {
            ++m_undecodable;
        }
    }
    pruneHistory();
    return fold_step::applied;
}

// Step LOAD_SNAPSHOT of spec/config.pml: takes over the state as of offset N, then folds the buffered records above N. Leaves
// the fold unchanged, apart from undecodable(), if the snapshot cannot be decoded or records above N are missing.
void config_fold::loadSnapshot(std::string_view record)
{
    try {
        const json value = json::parse(record);
        config_fold loaded;
        value.at("as_of").get_to(loaded.m_applied.value);
        if (!m_buffered.empty() && loaded.m_applied.value + 1 < m_buffered.begin()->first.value) {
            return; // records between the snapshot and the first buffered one are missing
        }
        for (const json &one : value.at("rows")) {
            config_row row = rowFromJson(one);
            const std::string key = row.key();
            loaded.m_rows.emplace(key, std::move(row));
        }
        for (const auto &[key, touched] : value.at("touched").items()) {
            loaded.m_touched[key] = log_offset{touched.get<std::uint64_t>()};
        }
        for (const json &one : value.at("results")) {
            const change_result result{log_offset{one.at("offset").get<std::uint64_t>()}, outcomeFromText(one.at("outcome").get<std::string>()),
                                       one.at("detail").get<std::string>()};
            loaded.m_results[one.at("id").get<std::string>()] = result;
            loaded.m_resultOrder.emplace_back(result.offset, one.at("id").get<std::string>());
        }
        loaded.m_journalStart = loaded.m_applied;
        loaded.m_started = true;
        loaded.m_undecodable = m_undecodable;
        const std::map<log_offset, std::string> buffered = std::move(m_buffered);
        *this = std::move(loaded);
        for (const auto &[at, text] : buffered) {
            apply(at, text);
        }
    } catch (const std::exception &) {
        ++m_undecodable;
    }
}

// Replaces the state by a newer snapshot of a peer. To a reader that lags far behind, a peer sends a snapshot of its own
// fold, under the offset that the snapshot is as of, instead of the records. Returns false if it is not newer or not decodable.
bool config_fold::adoptSnapshot(std::string_view record)
{
    config_fold ahead;
    ahead.loadSnapshot(record);
    if (!ahead.m_started || ahead.m_applied <= m_applied) {
        return false;
    }
    *this = std::move(ahead);
    return true;
}

// Step EVALUATE of spec/config.pml: decides whether a change at this offset is accepted. `detail` gets the reason of a rejection.
// The reason is stored in snapshots, so that its text is part of the state.
change_outcome config_fold::evaluateChange(const config_change &change, log_offset offset, std::string &detail) const
{
    if (change.base >= offset || change.base.value + HISTORY_RECORDS < offset.value) {
        detail = "base " + std::to_string(change.base.value);
        return change_outcome::stale;
    }
    for (const row_change &one : change.rows) {
        const auto touched = m_touched.find(one.key);
        if (touched != m_touched.end() && touched->second > change.base) {
            detail = one.key + " was changed at " + std::to_string(touched->second.value);
            return change_outcome::conflict;
        }
        if (one.row && one.row->key() != one.key) {
            detail = one.key + " carries another row";
            return change_outcome::invalid;
        }
    }
    config_rows merged = m_rows;
    for (const row_change &one : change.rows) {
        if (one.row) {
            merged[one.key] = *one.row;
        } else {
            merged.erase(one.key);
        }
    }
    const std::vector<sheet_problem> problems = checkReferences(merged);
    if (!problems.empty()) {
        detail = problems.front().message;
        return change_outcome::invalid;
    }
    return change_outcome::accepted;
}

// Evaluates a change, records its result and applies its rows if it is accepted.
void config_fold::applyChange(log_offset offset, const config_change &change)
{
    if (m_results.contains(change.id)) {
        return; // duplicate append: the first record with this id counts
    }
    change_result result;
    result.offset = offset;
    result.outcome = evaluateChange(change, offset, result.detail);
    m_results[change.id] = result;
    m_resultOrder.emplace_back(offset, change.id);
    if (result.outcome != change_outcome::accepted) {
        return;
    }
    for (const row_change &one : change.rows) {
        const auto found = m_rows.find(one.key);
        m_journal.push_back({offset, one.key, found == m_rows.end() ? std::nullopt : std::optional(found->second)});
        m_touched[one.key] = offset;
        if (one.row) {
            m_rows[one.key] = *one.row;
        } else {
            m_rows.erase(one.key);
        }
    }
}

// Drops history more than HISTORY_RECORDS offsets back. Every reader decides the same, whatever offset it started from,
// because evaluateChange() rejects older bases as stale before it looks at the history.
void config_fold::pruneHistory()
{
    if (m_applied.value <= HISTORY_RECORDS) {
        return;
    }
    const log_offset oldest{m_applied.value - HISTORY_RECORDS};
    while (!m_resultOrder.empty() && m_resultOrder.front().first < oldest) {
        m_results.erase(m_resultOrder.front().second);
        m_resultOrder.pop_front();
    }
    while (!m_journal.empty() && m_journal.front().offset < oldest) {
        const std::string &key = m_journal.front().key;
        const auto touched = m_touched.find(key);
        if (touched != m_touched.end() && touched->second < oldest) {
            m_touched.erase(touched);
        }
        m_journalStart = m_journal.front().offset;
        m_journal.pop_front();
    }
}

std::optional<config_rows> config_fold::rowsAt(log_offset offset) const
{
    if (!m_started || offset < m_journalStart || offset > m_applied) {
        return std::nullopt;
    }
    config_rows rows = m_rows;
    for (auto at = m_journal.rbegin(); at != m_journal.rend() && at->offset > offset; ++at) {
        if (at->before) {
            rows[at->key] = *at->before;
        } else {
            rows.erase(at->key);
        }
    }
    return rows;
}

std::optional<change_result> config_fold::resultOf(const std::string &id) const
{
    const auto found = m_results.find(id);
    return found == m_results.end() ? std::nullopt : std::optional(found->second);
}

std::string config_fold::encodeSnapshot() const
{
    json rows = json::array();
    for (const auto &[key, row] : m_rows) {
        rows.push_back(rowToJson(row));
    }
    json touched = json::object();
    for (const auto &[key, offset] : m_touched) {
        if (offset.value + HISTORY_RECORDS >= m_applied.value) {
            touched[key] = offset.value;
        }
    }
    json results = json::array();
    for (const auto &[offset, id] : m_resultOrder) {
        const change_result &result = m_results.at(id);
        results.push_back({{"id", id}, {"offset", offset.value}, {"outcome", toText(result.outcome)}, {"detail", result.detail}});
    }
    return json{{"type", "snapshot"}, {"as_of", m_applied.value}, {"rows", std::move(rows)}, {"touched", std::move(touched)}, {"results", std::move(results)}}
        .dump();
}

std::vector<row_change> diffRows(const config_rows &from, const config_rows &to)
{
    std::vector<row_change> changes;
    for (const auto &[key, row] : to) {
        const auto found = from.find(key);
        if (found == from.end() || found->second != row) {
            changes.push_back({key, row});
        }
    }
    for (const auto &[key, row] : from) {
        if (!to.contains(key)) {
            changes.push_back({key, std::nullopt});
        }
    }
    return changes;
}

}
