#pragma once

#include "core/chestnutgw.h"
#include "kernel/event_loop.h"

#include <functional>

namespace chestnut
{

// A request for tokens over one chain.
struct generate_request
{
    request_id request;
    attempt_number attempt;
    model_id model;
    std::string version; // pinned
    pipeline_chain chain;
    std::string prompt;
    std::vector<std::string> tokens; // delivered by earlier attempts; the chain goes on after them
    int maxTokens = 0;
    int priority = 0; // higher goes first
};

// Time spent at one stage for one token.
struct stage_timing
{
    server_id server;
    double stageMs = 0; // waiting and service at the stage
    double linkMs = 0;  // one-way delay of the hop to the stage
};

// How an attempt failed.
struct engine_failure
{
    verdict ran = verdict::may_have_run;
    std::string code;  // connect, silent, leaving, not_held, stage_lost, protocol, ...
    server_id culprit; // stage to blame, empty if unknown
    std::string message;
};

// Callbacks on the loop's thread. Exactly one of onDone and onFailure ends a generation.
struct generate_handler
{
    std::function<void(token_event, std::vector<stage_timing>)> onToken;
    std::function<void(attempt_number attempt, int tokens, std::string reason)> onDone;
    std::function<void(engine_failure)> onFailure;
};

// What a server should hold. Idempotent; carries the lease's fencing number.
struct engine_order
{
    std::uint64_t fence = 0;       // offset of the lease record
    std::vector<holding> holdings; // whole wanted state
};

enum class order_status
{
    done,   // accepted
    fenced, // refused: the engine has seen a higher number
    failed, // refused, or no answer: the report will tell
};

// Talks to model engines. Loop thread only.
class engine_adapter
{
public:
    virtual ~engine_adapter() = default;
    // Starts a generation at the first stage. The id serves for cancel().
    virtual transfer_id generate(const generate_request &request, generate_handler handler) = 0;
    // Stops a generation without further callbacks and closes its connection.
    virtual void cancel(transfer_id generation) = 0;
    // Fetches a load report; no value if there was no valid answer.
    virtual void report(const std::string &address, std::function<void(std::optional<server_report>)> done) = 0;
    virtual void order(const std::string &address, const engine_order &order, std::function<void(order_status)> done) = 0;
};

// plugin_registry<engine_adapter, event_loop &>

}
