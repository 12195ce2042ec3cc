#pragma once

// Small stand-ins for the systems around chestnutgw. Each listens on its own port, speaks the published interface of
// docs/PROTOCOLS.md and has its faults switched by PUT /faults.

#include "core/chestnutgw.h"
#include "kernel/event_loop.h"
#include "kernel/http_server.h"

#include <deque>
#include <nlohmann/json.hpp>

namespace chestnut
{

// Faults that every stand-in knows. A PUT /faults with a JSON object changes the members it names.
struct standin_faults
{
    int delayMs = 0;      // added before each answer
    int dropAnswers = 0;  // so many answers are dropped after their effect
    bool refuse = false;  // 503 with verdict not_run
    bool stall = false;   // requests are taken and never answered
    bool silence = false; // connections that stand now never carry another byte, new ones work
    bool crash = false;   // connections are cut, new ones are cut at once
    bool leaving = false; // engine: asks for no new work
    double slow = 1;      // engine: service times are multiplied by this
};

// What is common to the stand-ins: server, loop and faults.
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
    // Changes faults as PUT /faults does. Any thread.
    void setFaults(const nlohmann::json &change);

protected:
    using call_pointer = std::shared_ptr<http_call>;

    // Starts to serve; called at the end of the derived constructor.
    void listen();
    // Stops serving and the loop; called first in the derived destructor.
    void stopServing();
    // Handles one request. Loop thread.
    virtual void handle(const call_pointer &call) = 0;
    // Called after a change of faults. Loop thread.
    virtual void faultsChanged()
    {
    }
    // Answers, unless a fault swallows the answer. Loop thread.
    void answer(const call_pointer &call, http_response response);
    void answerJson(const call_pointer &call, const nlohmann::json &body, int status = 200);
    // True if the call's connection has gone silent by a fault.
    bool silenced(const call_pointer &call) const;

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
    std::uint16_t m_wantedPort;
    std::unique_ptr<event_loop> m_loop;
    std::unique_ptr<http_server> m_server;
    standin_faults m_faults;
    std::uint64_t m_lastConnection = 0; // highest number seen
    std::uint64_t m_silentUpTo = 0;     // connections up to this number are silent
    std::vector<call_pointer> m_held;   // calls kept unanswered by a fault
};

struct log_standin_options
{
    std::uint16_t port = 0;
    double appendsPerSecond = 400;     // further appends get 429
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
    double m_allowance; // appends that may be taken now
    steady_time m_allowanceAt;
    std::uint64_t m_appends = 0;
};

// Instance list that shows changes only after a lag.
class instances_standin : public standin
{
public:
    instances_standin(std::uint16_t port, milliseconds lag);
    ~instances_standin() override;

private:
    void handle(const call_pointer &call) override;

    milliseconds m_lag;
    nlohmann::json m_shown = nlohmann::json::array();
};

// Weight store that hands out so many layers a second.
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

// Plain service that counts the runs of each idempotency key.
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

// Link to another stand-in that can be cut, stalled or silenced by the common faults while the target stays up.
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
    int slots = 4;                 // activations served at once
    int maxLayers = 16;            // layers that fit into memory
    double layerMs = 0.2;          // service time of one layer for one token
    double linkMs = 0;             // one-way delay of the link to this engine
    double prefillShare = 0.02;    // service time of one prompt word as a share of one token's
    bool checksFence = true;       // refuses orders with an old fencing number
    milliseconds hopTimeout{400};  // longest wait for the next stage beyond its expected time
    std::string weightsUrl;        // weight store, empty = loads take no time
    std::vector<holding> holdings; // held at the start
};

// Parses "model@version:first-last;...". Throws std::invalid_argument.
std::vector<holding> parseHoldings(const std::string &text);

// Model engine that holds a range of layers.
class engine_standin : public standin
{
public:
    explicit engine_standin(engine_standin_options options);
    ~engine_standin() override;

    // True while streams pass through. Any thread.
    bool busy();

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
    // Runs this stage and those after it; done gets the token or an error object.
    void runStages(const nlohmann::json &work, std::function<void(nlohmann::json)> done);
    void forward(nlohmann::json work, std::function<void(nlohmann::json)> done);
    void takeOrder(const call_pointer &call);
    void loadMissing(std::uint64_t fence, std::vector<holding> wanted);
    nlohmann::json report();
    bool holds(const std::string &model, const std::string &version, const layer_range &range) const;
    void enqueue(int priority, job work);
    void pump();
    void faultsChanged() override;
    int countStreams();

    engine_standin_options m_options;
    std::map<int, std::deque<job>, std::greater<>> m_queue; // by priority
    int m_running = 0;
    std::vector<double> m_slotFreeMs; // when each slot is free, in ms since m_start
    steady_time m_start;
    std::map<std::string, steady_time> m_streams; // request/attempt by last activation
    std::uint64_t m_fence = 0;                    // highest fencing number seen
    int m_orders = 0;                             // orders that had an effect
    int m_staleOrders = 0;                        // of these, with a number below one seen before
    bool m_loading = false;
    std::uint64_t m_tokens = 0;
    std::map<std::string, int> m_generationOf; // runs by request/attempt
};

}
