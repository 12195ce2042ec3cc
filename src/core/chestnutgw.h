#pragma once

// Decision core of chestnutgw, a router for language-model pipelines. This header is its manual and reads from top to
// bottom.
//
// The core does no I/O. It opens no socket, starts no thread and reads no clock: the program passes in the time, random
// numbers come from a seeded generator, and effects (records to append, calls to send) are returned as values.
//
// Objects are not synchronized: use each from one thread at a time. The programs guard an object with the lock of its
// shard or keep it on one event loop.
//
// Terms
//   instance    one machine that runs chestnutgw; instances share no memory, only the log and the updates between peers
//   stream      an append-only sequence of records in the platform's log; a record is addressed by its offset, from 1
//   fold        state computed by applying the records of a stream in offset order; the same records give the same state
//   sheet       CSV file with the configuration, one object per row
//   chain       the backend servers that together run all layers of a model for one request
//   stage       one server of a chain with the contiguous range of layers it runs
//   verdict     whether a request has run, has not run or may have run at a backend server (kernel/verdict.h)
//
// Units and conventions
//   steady_time is monotonic and local to an instance. A std::int64_t whose name ends in Ms is a time of the log
//   service's clock in milliseconds. Other names ending in Ms are durations in milliseconds. Layer ranges are half-open.
//
// Sections
//   1. Sheet and configuration rows
//   2. Configuration fold
//   3. Fleet: backend servers as routing sees them
//   4. Routing
//   5. Pipeline session
//   6. Claims: calls that may not be repeated
//   7. Membership
//   8. Retries
//   9. Reasons
//  10. Leases
//  11. Placement
//  12. Admission

#include "kernel/ids.h"
#include "kernel/verdict.h"

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include <pcg_random.hpp>

namespace chestnut
{

//-----------------------------------------------------------------------------
// 1. Sheet and configuration rows
//-----------------------------------------------------------------------------

// One row of the sheet: a configured object. The column table in sheet.cpp defines which columns each kind requires or
// allows, and the range of each number.
struct config_row
{
    std::string kind;           // account, model, version, grant, server, service or replica
    std::string name;           // unique among the rows of the same kind and parent
    std::string of;             // parent: model of a version, model/version of a grant, service of a replica
    std::string failureDomain;  // server, replica: name of its failure domain
    std::string address;        // server, replica: IPv4 address and port, a.b.c.d:port
    std::string accelerator;    // server: kind of accelerator
    int layers = 0;             // model: number of layers
    double weight = 1;          // account: relative share under contention; server: maximum number of concurrent streams
    double worth = 1;           // account: worth of one request completed before its deadline
    double tokensPerSecond = 0; // account: rate limit over all instances, 0 = no limit
    int deadlineMs = 0;         // account, service: maximum time to answer a request, 0 = not set (the instance's default applies)
    std::string keySha256;      // account: SHA-256 of its bearer key, lower-case hexadecimal
    std::string repeat;         // service: repeatable, once or deduplicated (see repeat_policy)
    std::string checksFence;    // server: yes if its engine rejects stale fencing numbers, else no
    std::string state;          // active, suspended (account), retired (version) or draining (server, replica)

    bool operator==(const config_row &) const = default;
    // Identity of the row: "kind/of/name", with an empty `of` for rows without a parent ("model//m1").
    std::string key() const;
};

// An error in a sheet. Rows are numbered from 1 with the header as row 1, as in a spreadsheet.
struct sheet_problem
{
    int row = 0;         // 0 if the error concerns the whole sheet
    std::string column;  // name of the column, empty if the error concerns the whole row
    std::string message; // what was found and what is allowed
};

struct parsed_sheet
{
    std::vector<config_row> rows;        // in the order of the sheet; usable only if problems is empty
    std::vector<sheet_problem> problems; // all errors found, not just the first
};

// Parses a CSV sheet and checks every cell and the references between rows. Errors are returned in `problems`; throws
// std::runtime_error only if the CSV parser cannot be started.
parsed_sheet parseSheet(std::string_view csv);

// Formats rows as a CSV sheet with all columns. parseSheet() reads it back to the same rows.
std::string formatSheet(const std::vector<config_row> &rows);

using config_rows = std::map<std::string, config_row>; // by config_row::key()

// Returns one error for each row that refers to a row that does not exist. Row numbers are 0, since the rows have no order.
std::vector<sheet_problem> checkReferences(const config_rows &rows);

//-----------------------------------------------------------------------------
// 2. Configuration fold
//-----------------------------------------------------------------------------

// Sets a row (`row` has a value) or removes it (`row` is empty).
struct row_change
{
    std::string key;               // config_row::key()
    std::optional<config_row> row; // new content; its key() must equal `key`
};

// A proposed change of the configuration, as appended to the log. Whether it is accepted is decided by each reader's fold,
// with the same result at every reader.
struct config_change
{
    std::string id;               // unique; only the first record with this id counts, so an append may be retried
    std::string author;           // operator who made the change, for the audit trail
    log_offset base;              // offset of the configuration that the author's instance had applied
    std::vector<row_change> rows; // accepted or rejected as a whole
};

enum class change_outcome
{
    accepted, // applied
    conflict, // one of its rows was changed after the base by another change
    invalid,  // a row does not match its key, or a row of the merged configuration would refer to one that does not exist
    stale,    // the base is more than HISTORY_RECORDS offsets back, so that conflicts can no longer be detected; or not below the change itself
};

// Name of the outcome, as stored in snapshots and returned to operators.
std::string_view toText(change_outcome outcome);

struct change_result
{
    log_offset offset; // of the first record with the change's id
    change_outcome outcome = change_outcome::accepted;
    std::string detail; // reason of a rejection: the first row that failed, or the base if stale; empty if accepted
};

// Encodes a change as the JSON text that is appended to the log.
std::string encodeChange(const config_change &change);

// What config_fold::apply() did with a record.
enum class fold_step
{
    applied,  // applied() advanced, even if the record could not be decoded or its change was rejected
    buffered, // kept until the fold has loaded a snapshot to start from
    ignored,  // at or below applied(), or a peer's snapshot that is no further than the fold
};

// Folds the configuration stream into the rows in force. The result is a pure function of the records up to applied(),
// whether the reader started at the first record or at any snapshot.
class config_fold
{
public:
    // How far back, in offsets, conflicts can be detected and change results are kept. A change with an older base is stale.
    static constexpr std::uint64_t HISTORY_RECORDS = 20000;

    // Folds one record. Offsets must arrive in rising order, without gaps once started; those at or below applied() are
    // ignored. A record that cannot be decoded changes nothing but applied() and undecodable(), at every reader alike.
    fold_step apply(log_offset offset, std::string_view record);

    // True once rows() is complete: the fold has applied the first record or loaded a snapshot, or the stream is empty.
    bool started() const
    {
        return m_started;
    }
    // Starts with no rows. For a stream that has no record yet; no effect if a record was buffered or the fold has started.
    void startEmpty();
    // Offset of the last record that was folded.
    log_offset applied() const
    {
        return m_applied;
    }
    const config_rows &rows() const
    {
        return m_rows;
    }
    // Rows in force at an earlier offset; std::nullopt above applied() and before the kept history.
    std::optional<config_rows> rowsAt(log_offset offset) const;
    // Result of the change with this id; std::nullopt if it was not folded yet or lies more than HISTORY_RECORDS back.
    std::optional<change_result> resultOf(const std::string &id) const;
    // Encodes the state as of applied() as a record (JSON) from which another reader can start.
    std::string encodeSnapshot() const;
    // Number of records and snapshots that could not be decoded.
    std::uint64_t undecodable() const
    {
        return m_undecodable;
    }

private:
    struct journal_entry
    {
        log_offset offset;                // of the change
        std::string key;                  // row that was set or removed
        std::optional<config_row> before; // its content before the change, empty if it did not exist
    };

    void applyChange(log_offset offset, const config_change &change);
    void loadSnapshot(std::string_view record);
    bool adoptSnapshot(std::string_view record);
    change_outcome evaluateChange(const config_change &change, log_offset offset, std::string &detail) const;
    void pruneHistory();

    bool m_started = false;
    log_offset m_applied;
    config_rows m_rows;
    std::map<std::string, log_offset> m_touched;                  // offset of the last change of each row, removed rows included
    std::map<std::string, change_result> m_results;               // by change id
    std::deque<std::pair<log_offset, std::string>> m_resultOrder; // change ids by offset, oldest first, for pruning
    std::deque<journal_entry> m_journal;                          // undo log for rowsAt(), oldest first
    log_offset m_journalStart;                                    // lowest offset that rowsAt() can return
    std::map<log_offset, std::string> m_buffered;                 // records received before the fold started
    std::uint64_t m_undecodable = 0;
};

// Returns the changes that turn the rows `from` into the rows `to`.
std::vector<row_change> diffRows(const config_rows &from, const config_rows &to);

// Settings of a client account and the model versions it may use.
struct account_settings
{
    account_id id;
    double weight = 1;                                // relative share under contention
    double worth = 1;                                 // of one request completed before its deadline
    double tokensPerSecond = 0;                       // rate limit over all instances, 0 = no limit
    milliseconds deadline{0};                         // maximum time to answer a request, 0 = not set
    bool suspended = false;                           // its requests are refused
    std::map<model_id, std::set<std::string>> grants; // granted versions by model, retired ones excluded
};

enum class repeat_policy
{
    repeatable,   // idempotent: a call may be sent again
    once,         // a call must not run twice: its idempotency key is claimed before it is sent (section 6)
    deduplicated, // the service itself runs a call at most once per idempotency key
};

struct service_replica
{
    std::string name;
    std::string address;   // IPv4 address and port, a.b.c.d:port
    domain_id domain;      // failure domain
    bool draining = false; // set by the operator: gets no new calls
};

struct service_settings
{
    service_id id;
    repeat_policy repeat = repeat_policy::once;
    milliseconds deadline{0}; // maximum time to answer a call, 0 = not set
    std::vector<service_replica> replicas;
};

// The configuration, indexed for lookups by the request path. Immutable once built.
struct config_view
{
    log_offset offset;                                     // offset of the configuration stream that it was built from
    std::map<std::string, account_settings> accountsByKey; // by SHA-256 of the bearer key, lower-case hexadecimal
    std::map<model_id, int> layers;                        // number of layers of each model
    std::map<service_id, service_settings> services;
    config_rows rows; // all rows it was built from
};

// Builds the lookup tables. The rows must have passed checkReferences(). Grants of retired versions are left out.
config_view buildConfigView(const config_rows &rows, log_offset offset);

//-----------------------------------------------------------------------------
// 3. Fleet: backend servers as routing sees them
//-----------------------------------------------------------------------------

// A range of layers of a model version that a server has loaded.
struct holding
{
    model_id model;
    std::string version;
    layer_range range;

    auto operator<=>(const holding &) const = default;
};

// Load report of a server about itself; up to one polling interval old.
struct server_report
{
    std::vector<holding> holdings; // loaded layer ranges as stated by the engine; routing relies on no other source
    int active = 0;                // activations being processed
    int queued = 0;                // activations waiting
    int slots = 1;                 // activations processed concurrently
    double layerMs = 1;            // service time of one layer for one token, in ms
    int streams = 0;               // streams that pass through the server
    int maxLayers = 0;             // layers that fit into its memory, 0 = not reported
    bool loading = false;          // weights are being loaded
    bool leaving = false;          // the server asks for no new work
};

// State of one backend server in the view of one chestnutgw instance.
struct fleet_server
{
    server_id id;
    std::string address;                 // IP:port
    domain_id domain;                    // failure domain
    bool draining = false;               // set by the operator
    bool listed = true;                  // false: marked as leaving in the platform's instance list
    std::optional<server_report> report; // latest; empty: none received yet
    steady_time reportedAt;              // when the latest report was received
    int inFlight = 0;                    // streams of this instance through the server
    int startedSinceReport = 0;          // streams of this instance started after the report
    int endedSinceReport = 0;            // streams of this instance ended after the report
    double delayFactor = 1;              // ratio of measured service time to the time predicted from reports, smoothed
    int failures = 0;                    // consecutive failed attempts of this instance
    int missedReports = 0;               // consecutive load reports that did not arrive
    steady_time ejectedUntil;            // no new work before this time
    bool ejectedForReports = false;      // ejected for missed reports only; the next report ends that
    int probes = 0;                      // streams of this instance sent since the ejection ended

    // Reason why the server gets no new work at this time; empty if it is usable.
    std::string_view unusableReason(steady_time now) const;
};

// Delay of a link between two servers, or from this instance to a first stage, estimated from traffic.
struct link_estimate
{
    double delayMs = 0; // smoothed one-way delay in ms
    int samples = 0;    // number of measurements
};

// All backend servers with their reports, failure state and link estimates.
class fleet
{
public:
    std::map<server_id, fleet_server> servers;

    // Applies the server rows of a configuration. A server that keeps its address keeps its state; others are added or removed.
    void configure(const config_rows &rows);
    // Stores a load report and resets the counts since the previous one. Unknown servers are ignored.
    void recordReport(const server_id &id, server_report report, steady_time now);
    // A stream of this instance starts or ends on a server; call once for each stage of its chain.
    void recordStart(const server_id &id);
    void recordEnd(const server_id &id);
    // Counts a failed attempt. Repeated failures eject the server, unless too large a share of the fleet is ejected already.
    void recordFailure(const server_id &id, steady_time now);
    // Counts a load report that did not arrive. Like recordFailure(), but the next report clears it.
    void recordMissedReport(const server_id &id, steady_time now);
    // Clears the failure count and the ejection.
    void recordSuccess(const server_id &id);
    // Adds a measured one-way delay in ms; an empty `from` means the link from this instance.
    void recordLink(const server_id &from, const server_id &to, double delayMs);
    // Expected one-way delay in ms. For a pair without samples: the smoothed delay of all links into `to`, or a default.
    double linkMs(const server_id &from, const server_id &to) const;
    // Number of servers ejected at this time.
    int ejectedCount(steady_time now) const;

private:
    bool eject(fleet_server &server, int failures, steady_time now);

    std::map<std::pair<server_id, server_id>, link_estimate> m_links;
    std::map<server_id, link_estimate> m_inbound; // by target, over all sources
};

//-----------------------------------------------------------------------------
// 4. Routing
//-----------------------------------------------------------------------------

// A server of a chain and the layers that it runs.
struct chain_stage
{
    server_id server;
    std::string address; // IP:port
    layer_range range;

    bool operator==(const chain_stage &) const = default;
};

// Servers whose ranges cover each layer of a model exactly once, in layer order.
struct pipeline_chain
{
    std::vector<chain_stage> stages;
    double cost = 0; // in the unit of the policy
};

// Input of chooseChain().
struct route_query
{
    model_id model;
    std::string version;       // of the model; fixed for the whole answer
    int layers = 0;            // of the model
    std::set<server_id> avoid; // servers on which this request failed already
    steady_time now;
};

// Cost function for the stages of a chain. Implementations register by name in plugin_registry<routing_policy>; a new policy needs
// only a new source file.
class routing_policy
{
public:
    virtual ~routing_policy() = default;
    // Cost of running a layer range on the candidate, lower is better; the cost of a chain is the sum over its stages.
    // previous: server of the stage before, nullptr for the first stage.
    virtual double stageCost(const fleet &servers, const fleet_server *previous, const fleet_server &candidate, const layer_range &range, pcg32 &random) = 0;
    // Called with each chain that chooseChain() returns.
    virtual void onChainChosen(const pipeline_chain &)
    {
    }
};

// Predicted time per token at one stage in ms, including queueing and the link from the previous stage. The candidate must have a
// report.
double predictStageMs(const fleet &servers, const fleet_server *previous, const fleet_server &candidate, const layer_range &range);

// Chain with the lowest cost under the policy; empty if no chain of usable servers covers all layers.
std::optional<pipeline_chain> chooseChain(const fleet &servers, const route_query &query, routing_policy &policy, pcg32 &random);

//-----------------------------------------------------------------------------
// 5. Pipeline session
//-----------------------------------------------------------------------------

// One token returned by a chain.
struct token_event
{
    attempt_number attempt;
    int index = 0; // position in the answer, from 0
    std::string text;
    std::string version;             // model version that the stages ran
    std::vector<layer_range> ranges; // layer ranges that ran for this token, in order
};

enum class token_verdict
{
    deliver,   // next token of the answer
    stale,     // from an ended attempt or after the end: drop
    violation, // out of order, wrong layers or wrong version: abort the attempt
};

// One generation request across its attempts. Assembles a single token stream without gaps or duplicates for the client.
class pipeline_session
{
public:
    pipeline_session(request_id id, int layers, std::string version, int maxTokens);

    // Starts a new attempt on a chain; from then on, events of earlier attempts are stale. Throws std::invalid_argument if the
    // chain does not cover the layers of the model once, in order.
    attempt_number begin(const pipeline_chain &chain);
    // Starts a second attempt beside the current one. The first of the two that delivers a token or the end of the answer is the
    // current attempt from then on, and the other one's events are stale. Throws like begin().
    attempt_number beginSecond(const pipeline_chain &chain);
    // Makes the second attempt the current one, whose chain has failed. Without a second attempt nothing changes.
    void promoteSecond();
    // Ends the second attempt.
    void withdrawSecond();
    // Checks a token and appends it to the answer if the verdict is deliver.
    token_verdict accept(const token_event &event);
    // Records the end of the answer. Returns false and changes nothing if the attempt is neither the current nor the second one, the
    // answer is complete already, the token count differs, or the reason is neither "stop" nor "length" at the token limit.
    bool complete(attempt_number attempt, int tokens, const std::string &reason);

    const request_id &id() const
    {
        return m_id;
    }
    const std::vector<std::string> &tokens() const
    {
        return m_tokens;
    }
    const std::string &version() const
    {
        return m_version;
    }
    const std::string &finishReason() const
    {
        return m_finishReason;
    }
    int maxTokens() const
    {
        return m_maxTokens;
    }
    attempt_number attempt() const
    {
        return m_attempt;
    }
    bool isComplete() const
    {
        return !m_finishReason.empty();
    }

private:
    request_id m_id;
    int m_layers;
    std::string m_version;
    int m_maxTokens;
    attempt_number m_attempt; // the current one
    pipeline_chain m_chain;   // of the current attempt
    attempt_number m_second;  // the second attempt, 0 = none
    pipeline_chain m_secondChain;
    attempt_number m_lastAttempt; // highest number given
    std::vector<std::string> m_tokens;
    std::string m_finishReason;
};

//-----------------------------------------------------------------------------
// 6. Claims: calls that may not be repeated
//-----------------------------------------------------------------------------

// A call to a service with repeat_policy::once must run at most once per idempotency key, whichever instances its retries
// reach. An instance therefore appends a claim of the key to the claims stream before it sends the call. The first claim of
// a key in offset order wins and only its instance may send. Later it appends the outcome, with which repeated calls are
// answered. An instance learns whether it won from the fold alone, never from the answer to its append, which may be lost.
// spec/claims.pml is a model of this protocol.

// One record of the claims stream.
struct claim_record
{
    enum class kind
    {
        claim,   // an attempt to acquire the key
        outcome, // how the winner's call ended; verdict not_run frees the key
    };
    kind type = kind::claim;
    std::string key;                // account/service/idempotency key
    std::string attempt;            // id of the attempt: instance.incarnation.counter, never used twice
    std::string fingerprint;        // claim: hash of the request, to detect a key reused for a different request
    verdict ran = verdict::not_run; // outcome: whether the call ran
    int status = 0;                 // outcome: HTTP status of the response
    std::string contentType;        // outcome: content type of the body
    std::string body;               // outcome: response body; empty if bodyOmitted or if the call has not run
    bool bodyOmitted = false;       // outcome: the body exceeded the size limit and was left out
};

// Encodes a record as the JSON text that is appended to the claims stream. Invalid UTF-8 is replaced.
std::string encodeClaim(const claim_record &record);
// Decodes a record. Throws std::invalid_argument if the text is not a claim record.
claim_record decodeClaim(std::string_view text);

// State of one claimed key.
struct claim_state
{
    std::string winner;                  // the attempt that may send the call
    std::string fingerprint;             // of the winner's request
    std::int64_t claimedAtMs = 0;        // append time of the winning claim, log service's clock
    std::optional<claim_record> outcome; // set once, never changed afterwards
};

// Fold of the claims stream: a pure function of the records and their append times.
class claim_table
{
public:
    // window: how long a key is kept after its claim was appended, measured by the log service's clock.
    explicit claim_table(milliseconds window)
        : m_window(window)
    {
    }

    // Folds one record; records at or below applied() are ignored. timeMs is its append time by the log service's clock.
    // Returns the key if its state may have changed or a claim for it was read, else an empty text.
    std::string apply(log_offset offset, std::int64_t timeMs, const claim_record &record);
    // Advances applied() past a record that could not be decoded.
    void skip(log_offset offset);
    // State of a key; nullptr if it is free. The pointer is valid until the next change of the table.
    const claim_state *find(const std::string &key) const;
    log_offset applied() const
    {
        return m_applied;
    }
    std::size_t size() const
    {
        return m_keys.size();
    }
    // Drops all keys and continues at offset `next`. For use when the log has pruned the records that follow applied().
    void reset(log_offset next);

private:
    void expire(std::int64_t nowMs);

    milliseconds m_window;
    log_offset m_applied;
    std::int64_t m_latestMs = 0;
    std::unordered_map<std::string, claim_state> m_keys;
    std::deque<std::pair<std::int64_t, std::string>> m_order;        // claim time and key, oldest first, for expiry
    std::unordered_map<std::string, std::int64_t> m_seenAttempts;    // a duplicate append must not count, even after the key was freed
    std::deque<std::pair<std::int64_t, std::string>> m_attemptOrder; // time and attempt, oldest first, for expiry
};

struct claim_limits
{
    milliseconds window{600'000};       // how long keys are kept; must be shorter than the log's retention
    milliseconds dispatchLimit{5'000};  // a winner sends within this time after its claim was created, or never; must be far shorter than the window
    milliseconds appendRetryDelay{300}; // delay before appending again after a failed append, and between probes while the log is down
    std::size_t maxBatch = 128;         // maximum number of records in one append
    std::size_t maxTickets = 4096;      // maximum number of open tickets; further calls are refused at once
};

using claim_ticket = std::uint64_t; // handle of one submitted call, unique within a claim_manager

// What claim_manager decided for a ticket.
struct claim_decision
{
    enum class kind
    {
        dispatch,        // the claim won: send the call now, once, then report with finished()
        recorded,        // an earlier call with this key ended: answer with its outcome
        outcome_timeout, // another attempt holds the key and recorded no outcome before the deadline: may_have_run
        mismatch,        // the key was used for a different request: not_run
        refused,         // the log is unreachable, the fold is not ready or too many tickets are open: not_run
        expired,         // the deadline or the dispatch limit passed before the claim was settled: not_run
    };
    claim_ticket ticket = 0;
    kind type = kind::refused;
    std::string attempt;    // dispatch: the winning attempt
    steady_time sendBefore; // dispatch: latest time to send the call
    claim_record outcome;   // recorded: outcome of the earlier call
};

// Result of an append as seen by the writer.
enum class append_status
{
    appended,  // the records are in the log
    refused,   // certain: the records are not in the log
    throttled, // certain: the records are not in the log, because of its rate limit
    unknown,   // no answer: the records may be in the log, now or later
};

// Settles the claims of one instance's clients. Its inputs are submitted calls, append results, records of the claims stream
// and the time; its outputs are records to append (takeBatch()) and decisions (takeDecisions()).
class claim_manager
{
public:
    // instance and incarnation make attempt ids unique; the incarnation must differ after each restart of the instance.
    claim_manager(instance_id instance, std::uint64_t incarnation, claim_limits limits);

    // Submits a client's call. Its decision is returned by takeDecisions(), possibly at once.
    claim_ticket submit(const std::string &key, const std::string &fingerprint, steady_time now, steady_time deadline);
    // Gives up a ticket; if its claim wins later, the key is freed. No effect on a dispatched call, which must be finished.
    void abandon(claim_ticket ticket);
    // True if the dispatched call may still be sent. Check this right before sending.
    bool mayDispatch(claim_ticket ticket, steady_time now) const;
    // Reports how a dispatched call ended and queues its outcome record. key and attempt of `outcome` are filled in here.
    void finished(claim_ticket ticket, claim_record outcome);

    // Records for the next append, at most claim_limits::maxBatch; empty if none are due or an append is in flight.
    std::vector<std::string> takeBatch(steady_time now);
    // Reports the result of appending the batch from takeBatch().
    void appendEnded(append_status status, steady_time now);
    // Folds one record of the claims stream, in offset order. timeMs is its append time by the log service's clock.
    void fold(log_offset offset, std::int64_t timeMs, std::string_view record, steady_time now);
    // Reports that the log has pruned the records between the fold and offset `next`. Not ready() until set again.
    void foldReset(log_offset next);
    // Decides the tickets whose deadline has passed.
    void tick(steady_time now);
    // Returns the decisions made since the last call, in order, and clears them.
    std::vector<claim_decision> takeDecisions();

    // Calls are refused until a whole window of the stream has been folded: before that, a claimed key could be missed.
    bool ready() const
    {
        return m_ready;
    }
    void setReady(bool ready)
    {
        m_ready = ready;
    }
    const claim_table &table() const
    {
        return m_table;
    }
    // Number of dispatched calls that have not ended plus outcome records whose append is not confirmed.
    std::size_t unsettled() const;
    // Number of records of the stream that could not be decoded.
    std::uint64_t undecodable() const
    {
        return m_undecodable;
    }
    // True if the latest append was refused or got no answer.
    bool logDown() const
    {
        return m_logDown;
    }

private:
    enum class ticket_state
    {
        queued,          // the claim waits for the next append
        appending,       // the claim is part of the append in flight
        appended,        // the claim is in the log but not folded yet
        unknown,         // the append got no answer; the claim is appended again at retryAt
        waiting_outcome, // another attempt holds the key
        dispatched,      // the claim won and the call was handed out for sending
    };
    // An open ticket.
    struct waiting
    {
        std::string key;                             // key to claim
        std::string fingerprint;                     // of the request
        steady_time deadline;                        // of the client's call
        ticket_state at = ticket_state::queued;      // progress of the ticket
        std::map<std::string, steady_time> attempts; // creation time of every attempt made for this ticket
        std::string winner;                          // dispatched: the attempt that won
        steady_time retryAt;                         // unknown: time of the next attempt
    };

    void decide(claim_ticket ticket, claim_decision::kind type, const claim_record *outcome = nullptr);
    void settleFromTable(claim_ticket ticket, steady_time now);
    void queueClaim(claim_ticket ticket);
    void closeTicket(claim_ticket ticket);
    void freeKey(const std::string &key, const std::string &attempt);
    steady_time sendBefore(const waiting &entry) const;
    bool ownAttempt(const std::string &attempt) const;
    bool hasLiveTicket(const std::string &key, const std::string &attempt) const;

    std::string m_prefix; // of the attempt ids of this instance and incarnation
    claim_limits m_limits;
    claim_table m_table;
    bool m_ready = false;
    bool m_logDown = false;
    std::uint64_t m_nextTicket = 1;
    std::uint64_t m_nextAttempt = 1;
    std::map<claim_ticket, waiting> m_waiting;
    std::unordered_map<std::string, std::set<claim_ticket>> m_ticketsOfKey;
    std::deque<claim_ticket> m_queue;           // tickets whose claim is to be appended
    std::deque<std::string> m_outcomes;         // encoded outcome records to append
    std::vector<claim_ticket> m_batchTickets;   // tickets whose claim is in the append in flight
    std::vector<std::string> m_batchOutcomes;   // outcome records in the append in flight
    std::vector<std::string> m_batch;           // all records of the append in flight, encoded
    std::set<std::string> m_dispatchedAttempts; // own attempts handed out for sending; only finished() may record them as not_run
    steady_time m_probeAt;                      // while the log is down: no claim is submitted before this time
    steady_time m_retryAppendAt;                // no append before this time
    std::uint64_t m_undecodable = 0;
    std::vector<claim_decision> m_decisions;
};

//-----------------------------------------------------------------------------
// 7. Membership
//-----------------------------------------------------------------------------

// Recent load of a client account on one instance.
struct account_demand
{
    account_id account;
    double offered = 0; // tokens per second requested, smoothed
    double used = 0;    // tokens per second admitted, smoothed
};

// State of one chestnutgw instance as published by that instance. Other instances forward the row unchanged.
struct member
{
    instance_id id;
    domain_id domain;                   // failure domain
    std::string address;                // IP:port of its peer service
    std::uint64_t incarnation = 0;      // start time of the process, ms since the epoch
    std::uint64_t sequence = 0;         // incremented by each heartbeat
    log_offset configOffset;            // offset of the configuration in force
    log_offset claimsOffset;            // offset up to which claims are folded
    bool leaving = false;               // shutting down
    int streams = 0;                    // requests in flight
    std::vector<account_demand> demand; // accounts with recent traffic
};

enum class member_state
{
    alive,
    suspect, // no update for longer than its usual heartbeat interval explains
    dead,    // no update for deadAfter: does not count in the shares of limits
};

struct membership_limits
{
    milliseconds heartbeat{500};       // interval of own heartbeats
    milliseconds remoteInterval{4000}; // minimum interval for forwarding an unchanged row of another failure domain
    double suspectFactor = 4;          // a member is suspect after this many mean intervals without an update
    milliseconds suspectFloor{1500};   // minimum time without an update before a member is suspect
    milliseconds deadAfter{8000};      // a member is dead after this time without an update
    milliseconds pruneAfter{60'000};   // a member is removed after this time without an update
    int relays = 2;                    // instances of a failure domain that exchange rows with each other domain
};

// Membership view of one instance, built from rows that instances exchange with each other. An exchange makes both sides known to
// each other.
class membership
{
public:
    membership(member self, membership_limits limits);

    member &self()
    {
        return m_self;
    }
    // Increments the own sequence if a heartbeat is due. Returns true if it did.
    bool advanceHeartbeat(steady_time now);
    // Adds a peer address from the settings or the instance list; used as a target until a member with this address is known.
    void addSeed(const std::string &address);
    // Addresses to exchange rows with in this round: all members of the own failure domain, one member of each other domain for
    // which this instance is a relay, and seeds that are not known as members.
    std::vector<std::string> targets(steady_time now) const;
    // Rows of live members that are due to be sent to the peer at this address; marks them as sent.
    std::vector<member> rowsFor(const std::string &address, steady_time now);
    // The exchange with this peer failed: clears what was marked as sent, so that all rows are sent again.
    void exchangeFailed(const std::string &address);
    // Merges rows received from a peer; rows that are not newer than the known ones are ignored. Removes expired members.
    void merge(const std::vector<member> &rows, steady_time now);
    // State of a member; unknown instances count as dead.
    member_state state(const instance_id &id, steady_time now) const;
    // Rows of live members, including this instance.
    std::vector<member> alive(steady_time now) const;
    // Rows and states of all known members, including this instance.
    std::vector<std::pair<member, member_state>> all(steady_time now) const;
    // Returns the members whose state changed since the last call; for logging.
    std::vector<std::pair<member, member_state>> takeChanges(steady_time now);

private:
    struct known_member
    {
        member row;
        steady_time lastUpdateAt;                    // when the latest new row was received
        double meanIntervalMs = 0;                   // mean time between new rows, smoothed
        member_state reported = member_state::alive; // last state returned by takeChanges()
    };
    struct sent_row
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        std::uint64_t content = 0; // contentHash() of the row
        steady_time at;
    };

    bool isUpdateDue(const member &row, const sent_row &sent, bool sameDomain, steady_time now) const;
    bool isRelay(const domain_id &other, steady_time now) const;

    member m_self;
    membership_limits m_limits;
    steady_time m_nextHeartbeatAt;
    std::set<std::string> m_seeds;
    std::map<instance_id, known_member> m_members;
    std::map<std::string, std::map<instance_id, sent_row>> m_sent; // by peer address
};

//-----------------------------------------------------------------------------
// 8. Retries
//-----------------------------------------------------------------------------

// Limits retries to a share of recent first attempts, so that an outage does not cause a retry storm.
class retry_budget
{
public:
    // share: retries earned per first attempt; reserve: retries available at the start.
    retry_budget(double share, double reserve)
        : m_share(share)
        , m_reserve(reserve)
        , m_tokens(reserve)
    {
    }
    // Adds the share of one retry to the budget, up to a limit.
    void recordFirstAttempt();
    // Takes one retry from the budget. Returns false if the budget is used up.
    bool take();

private:
    double m_share;
    double m_reserve;
    double m_tokens;
};

// Delay before the n-th retry, counted from 1: zero for the first, then exponential backoff with jitter.
milliseconds retryDelay(int retry, pcg32 &random);

//-----------------------------------------------------------------------------
// 9. Reasons
//-----------------------------------------------------------------------------

// Reason of a decision on a request. Counted in the metric chestnutgw_decisions_total and shown by `chestnutctl explain`.
enum class decision_reason
{
    admitted,
    completed,
    refused_account_unknown,
    refused_account_suspended,
    refused_not_granted,
    refused_rate,
    refused_overload,
    refused_deadline,
    refused_no_chain,
    refused_log_down,
    refused_shutdown,
    stage_failed,
    stage_silent,
    stage_left,
    token_rejected,
    resumed,
    retry_budget_empty,
    gave_up,
    caller_gone,
    claim_won,
    claim_recorded,
    claim_lost,
    claim_mismatch,
    claim_expired,
    dispatched,
    dispatch_failed,
    outcome_recorded,
};

std::string_view toText(decision_reason reason);

//-----------------------------------------------------------------------------
// 10. Leases
//-----------------------------------------------------------------------------

// One entry of the leases stream.
struct lease_record
{
    enum class kind
    {
        acquire, // requests a lease; takes effect only if the lease is free
        renew,   // the holder extends its term; carries its fencing number
        release, // the holder gives the lease up; carries its fencing number
        note,    // a decision made under the lease, shown by explain
    };
    kind type = kind::acquire;
    std::string name;   // of the lease
    std::string holder; // instance and incarnation
    log_offset fence;   // renew, release, note: offset of the acquire record
    std::string text;   // note: the decision; acquire, renew, release: tag by which the sender recognises its own record
};

std::string encodeLease(const lease_record &record);
// Throws std::invalid_argument on text that is no lease record.
lease_record decodeLease(std::string_view text);

struct lease_limits
{
    milliseconds term{4'000};          // validity after the latest renewal
    milliseconds renewEvery{1'000};    // interval between renewals
    milliseconds orderLifetime{3'000}; // time after which an order sent under the lease no longer takes effect
};

// Fold of the leases stream: a pure function of the records and their append times.
class lease_table
{
public:
    explicit lease_table(lease_limits limits)
        : m_limits(limits)
    {
    }

    struct held_lease
    {
        std::string holder;
        log_offset fence;           // fencing number: offset of the acquire record
        std::int64_t renewedMs = 0; // time of the latest renewal by the clock of the log service
        bool released = false;
        std::string renewalTag; // tag of the latest acquire, renew or release record
    };

    // Folds one record; timeMs: append time by the clock of the log service. Records at or below applied() are ignored.
    void apply(log_offset offset, std::int64_t timeMs, const lease_record &record);
    // Latest lease of this name, possibly lapsed or released; nullptr if it was never held.
    const held_lease *find(const std::string &name) const;
    log_offset applied() const
    {
        return m_applied;
    }
    // Latest notes up to a limit, oldest first.
    const std::deque<lease_record> &notes() const
    {
        return m_notes;
    }

private:
    lease_limits m_limits;
    log_offset m_applied;
    std::map<std::string, held_lease> m_leases;
    std::deque<lease_record> m_notes;
};

// Acquires and renews one lease on behalf of one holder. Driven by folded records and time.
class lease_keeper
{
public:
    lease_keeper(std::string name, std::string holder, lease_limits limits);

    // Record to append now, if one is due. The holder counts the term of the lease from the time of this call.
    std::optional<lease_record> dueRecord(steady_time now);
    // Updates the state from the table; call after each folded record.
    void observe(const lease_table &table, steady_time now);
    // Fencing number while the lease is certainly held, else empty. Query it directly before each send.
    std::optional<log_offset> fence(steady_time now) const;
    // Gives the lease up with the next record from dueRecord(); from then on fence() is empty.
    void release()
    {
        m_releasing = true;
    }

private:
    std::string newRenewalTag(steady_time now);

    std::string m_name;
    std::string m_holder;
    lease_limits m_limits;
    std::optional<log_offset> m_fence;         // fencing number of the lease held by this holder, according to the fold
    steady_time m_validUntil;                  // end of the term granted by the latest own renewal that was folded
    std::map<std::string, steady_time> m_sent; // send times of own records, by tag
    std::int64_t m_nextRenewalTag = 0;
    steady_time m_changedAt; // when the fold last showed a change of the lease
    std::int64_t m_lastRenewedMs = -1;
    steady_time m_nextTry;
    bool m_releasing = false;
};

//-----------------------------------------------------------------------------
// 11. Placement
//-----------------------------------------------------------------------------

// Input of the planner about one server.
struct placement_server
{
    server_id id;
    domain_id domain;              // failure domain
    double layerMs = 1;            // service time of one layer for one token, in ms
    int slots = 1;                 // activations processed concurrently
    int maxLayers = 1;             // layers that fit into its memory
    bool available = true;         // reachable, neither leaving nor draining
    bool loading = false;          // an order to load layers is in progress
    std::vector<holding> holdings; // according to its latest report
};

// A model version that must be served.
struct placement_target
{
    model_id model;
    std::string version;
    int layers = 0;
    double demand = 1; // relative share of the fleet's capacity that it should get
};

// New set of layers for one server.
struct placement_reassignment
{
    server_id server;
    std::vector<holding> holdings; // complete set that replaces the present one
    std::string reason;            // free text for logs and explain
};

// Maximum token rate of the available servers that hold ranges of a model version, in tokens per second.
double pipelineRate(const std::vector<placement_server> &servers, const model_id &model, const std::string &version, int layers);

// Splits layers over servers in the given order so that the time of the slowest stage is minimal. Returns one range per server,
// empty for servers that are not needed; an empty list if the layers do not fit.
std::vector<layer_range> splitLayers(const std::vector<placement_server> &servers, int layers);

// Next reassignments towards a placement in which each target has a complete pipeline, spread over failure domains. Servers on a
// complete pipeline of a target are reassigned only while another target has no pipeline at all, and never if that breaks the last
// pipeline of their own target. At most maxReassignments servers load at the same time, those that are loading already included.
std::vector<placement_reassignment> planPlacement(const std::vector<placement_server> &servers, const std::vector<placement_target> &targets,
                                                  int maxReassignments);

// Capacity that one available server contributes to a model.
struct server_capacity
{
    layer_range range;          // loaded layers
    double tokensPerSecond = 0; // maximum rate at which it processes tokens through these layers
};

// Maximum token rate through a model, in tokens per second: the maximum flow from layer 0 to the last layer in a network in which
// each server is an edge from its first layer to the one after its last.
double pipelineCapacity(const std::vector<server_capacity> &servers, int layers);

//-----------------------------------------------------------------------------
// 12. Admission
//-----------------------------------------------------------------------------

using admission_ticket = std::uint64_t; // identifies a request, unique within a queue; lower for earlier requests

// Input of admission about one generation request.
struct admission_request
{
    admission_ticket ticket = 0;
    account_id account;
    double weight = 1;    // of the account
    double worth = 1;     // of the whole answer if it is completed in time
    double tokens = 1;    // expected cost in tokens
    steady_time deadline; // of the whole answer
};

// Share of the capacity of a model's servers that this instance may use.
struct admission_capacity
{
    double tokensPerSecond = 0; // 0 = unknown: every request is admitted
    double streams = 0;         // concurrent requests that saturate the servers
};

// Decides which requests for one model run now, wait or are refused. Under overload, requests with the highest worth per token run
// first; among equals, those of the account with the lowest recent use in relation to its weight. A request that cannot meet its
// deadline behind the requests ahead of it is refused as soon as that is known.
class admission_queue
{
public:
    void setCapacity(const admission_capacity &capacity)
    {
        m_capacity = capacity;
    }
    // Adds a request. takeAdmitted() or takeRefused() returns its ticket, immediately or later.
    void submit(const admission_request &request, steady_time now);
    // The client of a waiting request has gone: removes the request.
    void abandon(admission_ticket ticket);
    // An admitted request ended: frees its slot.
    void ended(admission_ticket ticket, steady_time now);
    // Tickets admitted since the last call.
    std::vector<admission_ticket> takeAdmitted();
    // Tickets refused since the last call.
    std::vector<admission_ticket> takeRefused();
    // Estimated time to complete all running and waiting requests; 0 while the capacity is unknown.
    milliseconds backlog() const;
    std::size_t waiting() const
    {
        return m_waiting.size();
    }
    std::size_t running() const
    {
        return m_running.size();
    }

private:
    double answerSeconds(const admission_request &request) const;
    bool hasPriority(const admission_request &left, const admission_request &right) const;
    void scheduleWaiting(steady_time now);
    void charge(const admission_request &request, steady_time now);

    admission_capacity m_capacity;
    std::vector<admission_request> m_waiting; // by priority as of the latest scheduleWaiting()
    std::map<admission_ticket, admission_request> m_running;
    std::map<account_id, double> m_recentUse; // tokens admitted recently divided by the weight of the account, decaying
    steady_time m_decayedAt;                  // time of the latest decay of m_recentUse
    std::vector<admission_ticket> m_admitted;
    std::vector<admission_ticket> m_refused;
};

// Share of one of `instances` equal instances in the capacity of the usable servers for a model version.
admission_capacity admissionShare(const fleet &servers, const model_id &model, const std::string &version, int layers, int instances, steady_time now);

// Enforces the tokens per second of accounts over all instances. Each live instance grants an equal share of the limit. In a network
// partition each side divides the whole limit among its own instances, so the total is at most the limit times the number of sides.
class account_limiter
{
public:
    // Takes the tokens of a request from the account's share. Returns zero if the request may run, else the time after which to retry.
    milliseconds take(const account_id &account, double tokensPerSecond, double tokens, int instances, steady_time now);

private:
    struct bucket
    {
        double tokens = 0; // available; negative after a request that took more than was left
        steady_time at;    // time of the latest refill
    };

    std::map<account_id, bucket> m_buckets;
};

}
