// Reads, checks and writes the configuration sheet.
// Sections: column table, parsing, checks, writing.

#include "core/chestnutgw.h"

#include <charconv>
#include <csv.h>
#include <set>

namespace chestnut
{

namespace
{

//-----------------------------------------------------------------------------
// Column table
//-----------------------------------------------------------------------------

using cell_member = std::variant<std::string config_row::*, int config_row::*, double config_row::*>;

struct column
{
    const char *name;                 // text of the header cell
    cell_member member;               // member of config_row that holds the cell
    std::set<std::string> requiredBy; // kinds of rows in which the cell must not be empty
    std::set<std::string> allowedFor; // kinds of rows in which the cell may be filled
    double minValue;                  // numbers: minimum, inclusive
    double maxValue;                  // numbers: maximum, inclusive
    std::set<std::string> words;      // texts: allowed values, empty = any text
};

const std::set<std::string> KINDS{"account", "model", "version", "grant", "server", "service", "replica"};

const std::vector<column> &columns()
{
    static const std::vector<column> TABLE{
        {"kind", &config_row::kind, KINDS, KINDS, 0, 0, KINDS},
        {"name", &config_row::name, KINDS, KINDS, 0, 0, {}},
        {"of", &config_row::of, {"version", "grant", "replica"}, {"version", "grant", "replica"}, 0, 0, {}},
        {"failure_domain", &config_row::failureDomain, {"server", "replica"}, {"server", "replica"}, 0, 0, {}},
        {"address", &config_row::address, {"server", "replica"}, {"server", "replica"}, 0, 0, {}},
        {"accelerator", &config_row::accelerator, {"server"}, {"server"}, 0, 0, {}},
        {"layers", &config_row::layers, {"model"}, {"model"}, 1, 1000, {}},
        {"weight", &config_row::weight, {}, {"account", "server"}, 0.001, 1e6, {}},
        {"worth", &config_row::worth, {}, {"account"}, 0, 1e6, {}},
        {"tokens_per_second", &config_row::tokensPerSecond, {}, {"account"}, 0, 1e9, {}},
        {"deadline_ms", &config_row::deadlineMs, {}, {"account", "service"}, 1, 86'400'000, {}},
        {"key_sha256", &config_row::keySha256, {"account"}, {"account"}, 0, 0, {}},
        {"repeat", &config_row::repeat, {"service"}, {"service"}, 0, 0, {"repeatable", "once", "deduplicated"}},
        {"checks_fence", &config_row::checksFence, {"server"}, {"server"}, 0, 0, {"yes", "no"}},
        {"state", &config_row::state, {}, {"account", "version", "server", "replica"}, 0, 0, {"active", "suspended", "retired", "draining"}},
    };
    return TABLE;
}

const column *findColumn(std::string_view name)
{
    for (const column &one : columns()) {
        if (name == one.name) {
            return &one;
        }
    }
    return nullptr;
}

// Formats a set as a comma-separated list.
std::string joined(const std::set<std::string> &words)
{
    std::string text;
    for (const std::string &word : words) {
        text += (text.empty() ? "" : ", ") + word;
    }
    return text;
}

std::string formatNumber(double value)
{
    std::array<char, 64> buffer{};
    const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value).ptr;
    return {buffer.data(), end};
}

//-----------------------------------------------------------------------------
// Parsing
//-----------------------------------------------------------------------------

struct csv_state
{
    std::vector<std::vector<std::string>> rows; // cells of the complete rows, header first
    std::vector<std::string> current;           // cells of the row being read
};

std::string trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t\r");
    if (first == std::string_view::npos) {
        return {};
    }
    return std::string(text.substr(first, text.find_last_not_of(" \t\r") - first + 1));
}

// Callback of libcsv at the end of a cell.
void endCell(void *data, std::size_t size, void *user)
{
    static_cast<csv_state *>(user)->current.push_back(trimmed({static_cast<const char *>(data), size}));
}

// Callback of libcsv at the end of a row.
void endRow(int, void *user)
{
    auto *state = static_cast<csv_state *>(user);
    state->rows.push_back(std::move(state->current));
    state->current.clear();
}

// Checks a cell and stores it in the row. Returns an error message, empty on success.
std::string storeCell(config_row &row, const column &where, const std::string &text)
{
    if (const auto *member = std::get_if<std::string config_row::*>(&where.member)) {
        if (!where.words.empty() && !where.words.contains(text)) {
            return "'" + text + "' is not allowed (allowed: " + joined(where.words) + ")";
        }
        row.*(*member) = text;
        return {};
    }
    const std::string type = std::holds_alternative<int config_row::*>(where.member) ? "an integer" : "a number";
    const std::string allowed
        = "'" + text + "' is not allowed (allowed: " + type + " from " + formatNumber(where.minValue) + " to " + formatNumber(where.maxValue) + ")";
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || !(value >= where.minValue && value <= where.maxValue)) {
        return allowed;
    }
    if (const auto *member = std::get_if<int config_row::*>(&where.member)) {
        if (value != static_cast<int>(value)) {
            return allowed;
        }
        row.*(*member) = static_cast<int>(value);
    } else {
        row.*std::get<double config_row::*>(where.member) = value;
    }
    return {};
}

std::string columnNames()
{
    std::string text;
    for (const column &one : columns()) {
        text += (text.empty() ? "" : ", ") + std::string(one.name);
    }
    return text;
}

// Returns the column of each header cell, nullptr for unknown ones.
std::vector<const column *> readHeader(const std::vector<std::string> &cells, std::vector<sheet_problem> &problems)
{
    std::vector<const column *> header;
    std::set<std::string> seen;
    for (const std::string &cell : cells) {
        header.push_back(findColumn(cell));
        if (header.back() == nullptr) {
            problems.push_back({1, cell, "unknown column (allowed: " + columnNames() + ")"});
        } else if (!seen.insert(cell).second) {
            problems.push_back({1, cell, "duplicate column"});
        }
    }
    for (const char *needed : {"kind", "name"}) {
        if (!seen.contains(needed)) {
            problems.push_back({1, needed, "required column is missing"});
        }
    }
    return header;
}

config_row readRow(const std::vector<const column *> &header, const std::vector<std::string> &cells, int number, std::vector<sheet_problem> &problems)
{
    config_row row;
    std::set<std::string> filled;
    if (cells.size() > header.size()) {
        problems.push_back(
            {number, "", "row has " + std::to_string(cells.size()) + " cells, but the header has " + std::to_string(header.size()) + " columns"});
    }
    for (std::size_t i = 0; i < cells.size() && i < header.size(); ++i) {
        if (header[i] == nullptr || cells[i].empty()) {
            continue;
        }
        filled.insert(header[i]->name);
        const std::string errorMessage = storeCell(row, *header[i], cells[i]);
        if (!errorMessage.empty()) {
            problems.push_back({number, header[i]->name, errorMessage});
        }
    }
    for (const column &one : columns()) {
        const bool present = filled.contains(one.name);
        if (!present && one.requiredBy.contains(row.kind)) {
            problems.push_back({number, one.name, "must not be empty for kind '" + row.kind + "'"});
        }
        if (present && !row.kind.empty() && !one.allowedFor.contains(row.kind)) {
            problems.push_back({number, one.name, "must be empty for kind '" + row.kind + "' (allowed for: " + joined(one.allowedFor) + ")"});
        }
    }
    if (row.state.empty() && findColumn("state")->allowedFor.contains(row.kind)) {
        row.state = "active";
    }
    return row;
}

//-----------------------------------------------------------------------------
// Checks
//-----------------------------------------------------------------------------

// Values of the column "state" allowed for each kind.
const std::map<std::string, std::set<std::string>> STATES{
    {"account", {"active", "suspended"}},
    {"version", {"active", "retired"}},
    {"server", {"active", "draining"}},
    {"replica", {"active", "draining"}},
};

// True for an IPv4 address with a port from 1 to 65535, a.b.c.d:port.
bool isAddress(const std::string &text)
{
    unsigned numbers[5] = {};
    char rest = 0;
    const int got = std::sscanf(text.c_str(), "%3u.%3u.%3u.%3u:%5u%c", &numbers[0], &numbers[1], &numbers[2], &numbers[3], &numbers[4], &rest);
    if (got != 5 || numbers[4] == 0 || numbers[4] > 65535) {
        return false;
    }
    return numbers[0] < 256 && numbers[1] < 256 && numbers[2] < 256 && numbers[3] < 256;
}

// Checks that need the whole row: address, key_sha256, state of the row's kind, name.
void checkRow(const config_row &row, int number, std::vector<sheet_problem> &problems)
{
    if (!row.address.empty() && !isAddress(row.address)) {
        problems.push_back({number, "address", "'" + row.address + "' is not an address (allowed: IP:port, that is a.b.c.d:port)"});
    }
    if (!row.keySha256.empty() && (row.keySha256.size() != 64 || row.keySha256.find_first_not_of("0123456789abcdef") != std::string::npos)) {
        problems.push_back({number, "key_sha256", "must be 64 lower-case hexadecimal digits, found " + std::to_string(row.keySha256.size()) + " characters"});
    }
    const auto states = STATES.find(row.kind);
    if (states != STATES.end() && !row.state.empty() && !states->second.contains(row.state)) {
        problems.push_back({number, "state", "'" + row.state + "' is not allowed for kind '" + row.kind + "' (allowed: " + joined(states->second) + ")"});
    }
    if (row.kind != "grant" && row.name.find('/') != std::string::npos) {
        problems.push_back({number, "name", "'" + row.name + "' must not contain '/'"});
    }
}

// Returns a message if the row refers to a row that does not exist, else an empty text. Messages are stored in snapshots as
// change_result::detail; a reworded one makes the snapshots of instances of different releases differ.
std::string findUnresolvedReference(const config_rows &rows, const config_row &row)
{
    if (row.kind == "version" && !rows.contains("model//" + row.of)) {
        return "version '" + row.name + "' is of model '" + row.of + "', which does not exist";
    }
    if (row.kind == "replica" && !rows.contains("service//" + row.of)) {
        return "replica '" + row.name + "' is of service '" + row.of + "', which does not exist";
    }
    if (row.kind != "grant") {
        return {};
    }
    const std::string grant = "grant of '" + row.of + "' to '" + row.name + "'";
    if (!rows.contains("account//" + row.name)) {
        return grant + ": the account does not exist";
    }
    const auto slash = row.of.find('/');
    if (slash == std::string::npos || !rows.contains("version/" + row.of)) {
        return grant + ": there is no such model/version";
    }
    return {};
}

// Quotes a cell if it contains a separator, a quote or a line break.
std::string quotedCell(const std::string &text)
{
    if (text.find_first_of(",\"\n\r") == std::string::npos) {
        return text;
    }
    std::string quoted = "\"";
    for (const char letter : text) {
        quoted += letter == '"' ? "\"\"" : std::string(1, letter);
    }
    return quoted + "\"";
}

// Text of a cell; empty if the column is not allowed for the row's kind.
std::string formatCell(const config_row &row, const column &one)
{
    if (!one.allowedFor.contains(row.kind)) {
        return {};
    }
    if (const auto *member = std::get_if<std::string config_row::*>(&one.member)) {
        return quotedCell(row.*(*member));
    }
    if (const auto *member = std::get_if<int config_row::*>(&one.member)) {
        return row.*(*member) == 0 ? std::string() : std::to_string(row.*(*member));
    }
    return formatNumber(row.*std::get<double config_row::*>(one.member));
}

}

std::string config_row::key() const
{
    return kind + "/" + of + "/" + name;
}

parsed_sheet parseSheet(std::string_view csv)
{
    parsed_sheet sheet;
    csv_state state;
    csv_parser parser{};
    if (csv_init(&parser, CSV_STRICT | CSV_STRICT_FINI | CSV_APPEND_NULL) != 0) {
        throw std::runtime_error("cannot start the CSV parser: csv_init() failed");
    }
    const bool parsed = csv_parse(&parser, csv.data(), csv.size(), endCell, endRow, &state) == csv.size() && csv_fini(&parser, endCell, endRow, &state) == 0;
    csv_free(&parser);
    if (!parsed) {
        sheet.problems.push_back({static_cast<int>(state.rows.size()) + 1, "", "not valid CSV: a quote is out of place in or near this row"});
        return sheet;
    }
    if (state.rows.empty()) {
        sheet.problems.push_back({0, "", "the sheet is empty (a header row is required)"});
        return sheet;
    }
    const std::vector<const column *> header = readHeader(state.rows.front(), sheet.problems);
    config_rows byKey;
    std::map<std::string, int> numbers; // number of the first row with each key
    for (std::size_t i = 1; i < state.rows.size(); ++i) {
        const int number = static_cast<int>(i) + 1;
        config_row row = readRow(header, state.rows[i], number, sheet.problems);
        checkRow(row, number, sheet.problems);
        const auto [at, added] = numbers.emplace(row.key(), number);
        if (!added) {
            sheet.problems.push_back({number, "name", "same object as row " + std::to_string(at->second) + " (same kind, parent and name)"});
        }
        byKey.emplace(row.key(), row);
        sheet.rows.push_back(std::move(row));
    }
    for (const auto &[key, row] : byKey) {
        const std::string errorMessage = findUnresolvedReference(byKey, row);
        if (!errorMessage.empty()) {
            sheet.problems.push_back({numbers[key], "of", errorMessage});
        }
    }
    return sheet;
}

std::string formatSheet(const std::vector<config_row> &rows)
{
    std::string csv;
    for (const column &one : columns()) {
        csv += (csv.empty() ? "" : ",") + std::string(one.name);
    }
    csv += "\n";
    for (const config_row &row : rows) {
        std::string line;
        for (const column &one : columns()) {
            line += (&one == &columns().front() ? "" : ",") + formatCell(row, one);
        }
        csv += line + "\n";
    }
    return csv;
}

std::vector<sheet_problem> checkReferences(const config_rows &rows)
{
    std::vector<sheet_problem> problems;
    for (const auto &[key, row] : rows) {
        const std::string errorMessage = findUnresolvedReference(rows, row);
        if (!errorMessage.empty()) {
            problems.push_back({0, "of", errorMessage});
        }
    }
    return problems;
}

}
