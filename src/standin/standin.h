#pragma once

// Small stand-ins for the systems that chestnutgw talks to, for tests, measurements and the demo. Each listens on
// its own port, implements the interface described in docs/PROTOCOLS.md and takes faults to inject by PUT /faults.

#include "core/chestnutgw.h"
#include "kernel/event_loop.h"
#include "kernel/http_server.h"

#include <deque>
#include <nlohmann/json.hpp>

namespace chestnut
{

// Faults that can be injected. PUT /faults with a JSON object changes the members that it names.
struct standin_faults
{
    int delayMs = 0;      // added before each answer
    int dropAnswers = 0;  // the next N requests take effect, but their connections are cut instead of answered
    bool refuse = false;  // requests get 503 with verdict not_run
    bool stall = false;   // requests are accepted and never answered
    bool silence = false; // connections open now stay open but send no further data; new ones work
    bool crash = false;   // connections are cut, new ones at their first request
    bool leaving = false; // engine: refuses new work
    double slow = 1;      // engine: factor of the service times
};

// Base of the stand-ins: HTTP server, event loop and fault injection.
class standin
{
public:
    standin(const std::string &name, std::uint16_t port);
    virtual ~standin() = default;
    standin(const standin &) = delete;
    standin &operator=(const standin &) = delete;

    std::uint16_t port() const;
    std::string url() const;
    std::string address() const;
    // Same effect as PUT /faults. Any thread.
    void setFaults(const nlohmann::json &change);

protected:
    using call_pointer = std::shared_ptr<http_call>;

    // Starts the HTTP server. Call it at the end of the derived constructor.
    void listen();
    // Stops the HTTP server and the loop. Call it first in the derived destructor.
    void stopServing();
    // Handles one request. Loop thread.
    virtual void handle(const call_pointer &call) = 0;
    // Called after each change of the faults. Loop thread.
    virtual void onFaultsChanged()
    {
    }
    // Answers, unless a fault delays, withholds or drops the answer. Loop thread.
    void answer(const call_pointer &call, http_response response);
    void answerJson(const call_pointer &call, const nlohmann::json &body, int status = 200);
    // True if the silence fault has stalled the call's connection.
    bool isConnectionStalled(const call_pointer &call) const;

    event_loop &loop()
    {
        return *m_loop;
    }
    const standin_faults &faults() const
    {
        return m_faults;
    }

private:
    void receive(const call_pointer &call);
    void changeFaults(const nlohmann::json &change);

    std::string m_name;
    std::uint16_t m_requestedPort;
    std::unique_ptr<event_loop> m_loop;
    std::unique_ptr<http_server> m_server;
    standin_faults m_faults;
    std::uint64_t m_lastConnection = 0;          // highest connection number seen
    std::uint64_t m_lastStalledConnection = 0;   // connections up to this number are stalled
    std::vector<call_pointer> m_unansweredCalls; // calls left open and unanswered by a fault
};

struct log_standin_options
{
    std::uint16_t port = 0;
    double appendsPerSecond = 400;     // appends above this rate get 429
    milliseconds retention{3'600'000}; // older records are dropped
};

// Append-only log with offsets, long polls, retention and a rate limit.
class log_standin : public standin
{
public:
    explicit log_standin(const log_standin_options &options);
    ~log_standin() override;

private:
    struct record
    {
        std::uint64_t offset;
        std::int64_t timeMs;
        std::string data;
    };
    struct stream
    {
        std::uint64_t next = 1;
        std::deque<record> records;
        std::vector<std::function<void()>> waiters; // long polls
    };

    void handle(const call_pointer &call) override;
    void append(const call_pointer &call, stream &target);
    void read(const call_pointer &call, const std::string &name, steady_time deadline);
    void trim(stream &target);

    log_standin_options m_options;
    std::map<std::string, stream> m_streams;
    double m_allowance;               // token bucket: appends that can be accepted now
    steady_time m_allowanceUpdatedAt; // last refill
    std::uint64_t m_appends = 0;
};

// Instance list whose readers see a change only after a lag.
class instances_standin : public standin
{
public:
    instances_standin(std::uint16_t port, milliseconds lag);
    ~instances_standin() override;

private:
    void handle(const call_pointer &call) override;

    milliseconds m_lag;
    nlohmann::json m_visibleList = nlohmann::json::array();
};

// Weight store with a limited rate of layers per second. Loads queue up to a limit.
class weights_standin : public standin
{
public:
    weights_standin(std::uint16_t port, double layersPerSecond);
    ~weights_standin() override;

private:
    void handle(const call_pointer &call) override;

    double m_layersPerSecond;
    steady_time m_busyUntil;
    int m_loads = 0;
    int m_refused = 0;
};

// Plain HTTP service that counts the runs of each idempotency key.
class service_standin : public standin
{
public:
    service_standin(std::uint16_t port, bool deduplicates, milliseconds serviceTime = milliseconds(0));
    ~service_standin() override;

private:
    void handle(const call_pointer &call) override;

    bool m_deduplicates;
    milliseconds m_serviceTime;
    std::map<std::string, int> m_runs; // by key
    std::uint64_t m_total = 0;
};

// Proxy in front of another stand-in: the common faults then hit the link while the target stays up.
class link_standin : public standin
{
public:
    explicit link_standin(std::string targetUrl, std::uint16_t port = 0);
    ~link_standin() override;

private:
    void handle(const call_pointer &call) override;

    std::string m_targetUrl;
};

struct engine_standin_options
{
    std::string name = "engine"; // server name as in the sheet
    std::uint16_t port = 0;
    int slots = 4;                 // activations served concurrently
    int maxLayers = 16;            // layers that fit into memory
    double layerMs = 0.2;          // service time of one layer for one token
    double linkMs = 0;             // one-way delay of the link to this engine
    double prefillShare = 0.02;    // service time of one prompt word relative to one output token
    bool checksFence = true;       // refuses orders with a fencing number below the highest seen
    milliseconds hopTimeout{400};  // timeout of the call to the next stage, per remaining stage
    std::string weightsUrl;        // weight store, empty = layers load instantly
    std::vector<holding> holdings; // held at the start
};

// Parses "model@version:first-last;...". Throws std::invalid_argument.
std::vector<holding> parseHoldings(const std::string &text);

// Model engine that holds ranges of layers and runs the oracle on them.
class engine_standin : public standin
{
public:
    explicit engine_standin(engine_standin_options options);
    ~engine_standin() override;

    // True while streams run through this engine. Any thread.
    bool hasStreams();

private:
    struct job
    {
        double durationMs;
        std::function<void()> done;
    };
    struct generation;
    using generation_pointer = std::shared_ptr<generation>;

    void handle(const call_pointer &call) override;
    void startGeneration(const call_pointer &call);
    void nextToken(const generation_pointer &self);
    void tokenDone(const generation_pointer &self, const nlohmann::json &result);
    void fail(const generation_pointer &self, const std::string &code, const std::string &server, const std::string &message);
    void activate(const call_pointer &call);
    // Runs this stage and all later ones. done gets the token or an error object.
    void runStages(const nlohmann::json &work, std::function<void(nlohmann::json)> done);
    void forward(nlohmann::json work, std::function<void(nlohmann::json)> done);
    void handleOrder(const call_pointer &call);
    void loadMissingLayers(std::uint64_t fence, std::vector<holding> targetHoldings);
    nlohmann::json report();
    bool holds(const std::string &model, const std::string &version, const layer_range &range) const;
    void enqueue(int priority, job work);
    void runQueuedJobs();
    void onFaultsChanged() override;
    int countStreams();

    engine_standin_options m_options;
    std::map<int, std::deque<job>, std::greater<>> m_queue; // by priority
    int m_running = 0;
    std::vector<double> m_slotFreeMs; // when each slot becomes free, in ms after m_start
    steady_time m_start;
    std::map<std::string, steady_time> m_streams; // time of the last activation by request/attempt
    std::uint64_t m_fence = 0;                    // highest fencing number seen
    int m_orders = 0;                             // orders that started a change of the holdings
    int m_staleOrders = 0;                        // orders accepted with a fencing number below the highest seen
    bool m_loading = false;
    std::uint64_t m_tokens = 0;
    std::map<std::string, int> m_generationOf; // runs by request/attempt
};

}
