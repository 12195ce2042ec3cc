#pragma once

#include "core/chestnutgw.h"
#include "kernel/event_loop.h"

#include <functional>

namespace chestnut
{

// One attempt to generate tokens over a chain of backend servers.
struct generate_request
{
    request_id request;
    attempt_number attempt;
    model_id model;
    std::string version; // fixed for all attempts of the request
    pipeline_chain chain;
    std::string prompt;
    std::vector<std::string> tokens; // from earlier attempts; generation continues after them
    int maxTokens = 0;
    int priority = 0; // higher is served first
};

// Time spent at one stage for one token.
struct stage_timing
{
    server_id server;
    double stageMs = 0; // queueing plus service time
    double linkMs = 0;  // one-way network delay from the previous stage
};

// How an attempt failed.
struct engine_failure
{
    verdict ran = verdict::may_have_run;
    std::string code;       // connect, silent, leaving, not_held, stage_lost, protocol, ...
    server_id failedServer; // server of the failed stage, empty if unknown
    std::string message;
};

// Called on the thread of the event loop. A generation ends with exactly one onDone or onFailure, unless it is cancelled.
struct generate_handler
{
    std::function<void(token_event, std::vector<stage_timing>)> onToken;
    std::function<void(attempt_number attempt, int tokens, std::string reason)> onDone;
    std::function<void(engine_failure)> onFailure;
};

// The layers a backend server must hold. Idempotent. The fencing number lets an engine refuse orders of an older lease holder.
struct engine_order
{
    std::uint64_t fence = 0;       // fencing number: offset of the lease record
    std::vector<holding> holdings; // complete target state; what is not listed is dropped
};

enum class order_status
{
    done,   // accepted
    fenced, // refused, the engine has seen a higher fencing number
    failed, // refused or no answer; the next load report shows the actual state
};

// Client for model engines. Used on the thread of its event loop only.
class engine_adapter
{
public:
    virtual ~engine_adapter() = default;
    // Starts a generation at the first stage of the chain. Returns the id for cancel().
    virtual transfer_id generate(const generate_request &request, generate_handler handler) = 0;
    // Stops a generation without further callbacks and closes its connection.
    virtual void cancel(transfer_id generation) = 0;
    // Fetches a load report; no value on failure or an invalid answer.
    virtual void report(const std::string &address, std::function<void(std::optional<server_report>)> done) = 0;
    // Sends the target state to the engine.
    virtual void order(const std::string &address, const engine_order &order, std::function<void(order_status)> done) = 0;
};

// Adapters register in plugin_registry<engine_adapter, event_loop &>.

}
