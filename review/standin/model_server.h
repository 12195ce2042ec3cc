#pragma once

// A model server that holds all layers of its model and streams events at a fixed pace.

#include "standin.h"

namespace review
{

struct stream_run
{
    long began = 0;
    long ended = 0;
    std::string id;
    int events = 0;
    bool complete = false;
    bool callerLeft = false; // the gateway closed the connection
    std::string resumedAt;   // Last-Event-Id of the request, empty if it has none
};

constexpr int LAYERS = 8;

// The service as the configuration names it.
inline json modelService(const std::string &name, double stepMs)
{
    return {{"Name", name},
            {"HealthPath", "/health"},
            {"MaxConns", 1000},
            {"Engine",
             {{"Layers", LAYERS},
              {"LayerMb", 1750.0},
              {"KvBytes", 426000.0},
              {"step_ms", stepMs},
              {"per_seq_ms", 0.003},
              {"context_per_k", 0.004},
              {"read_per_s", 272000.0},
              {"pairs_per_m", 0.12},
              {"chunk", 512},
              {"Stride", 1},
              {"ActivationBytes", 21300.0},
              {"PipeMbps", 9300.0},
              {"LinkMbps", 480000.0},
              {"report_lag_ms", 200.0},
              {"usual", {{"prompt", 40.0}, {"answer", 40.0}}},
              {"Kinds", {{{"Name", "a100s"}, {"SizeMb", 80000.0}, {"pace", 1.0}, {"ReadX", 1.0}}}}}}};
}

class model_server
{
public:
    // While it reads a prompt, for `readMs`, it sends comment lines, which are no events, so that the stream is not silent.
    model_server(store &platform, std::string id, std::string service, std::string zone, long eventMs, long readMs = 0)
        : m_store(platform)
        , m_id(std::move(id))
        , m_service(std::move(service))
        , m_zone(std::move(zone))
        , m_eventMs(eventMs)
        , m_readMs(readMs)
        , m_listener([this](connection &peer) { serve(peer); })
        , m_beats([this] { beat(); })
    {
        RECORD.line("model server %s of %s at 127.0.0.1:%d, an event each %ld ms", m_id.c_str(), m_service.c_str(), m_listener.port(), m_eventMs.load());
    }
    ~model_server()
    {
        m_beatsStopped = true;
        m_beats.join();
    }
    // The process ends at once; its entry stays until it has been silent for three check-in intervals.
    void crash()
    {
        m_beatsStopped = true;
        RECORD.line("model server %s crashes", m_id.c_str());
        m_listener.stop();
    }
    // Number of resumed streams whose prompts it is reading.
    int readingResumed() const
    {
        return m_readingResumed;
    }
    int running() const
    {
        return m_running;
    }
    const std::string &id() const
    {
        return m_id;
    }
    std::vector<stream_run> runs() const
    {
        const std::lock_guard lock(m_mutex);
        std::vector<stream_run> all;
        for (const auto &one : m_runs) {
            all.push_back(*one);
        }
        return all;
    }
    // Pause between two events, from now on.
    void setPace(long eventMs)
    {
        m_eventMs = eventMs;
    }

private:
    json holding() const
    {
        return {{"Name", "m0"}, {"Version", 1}, {"Loras", json::array()}, {"RouteType", "a100s"}, {"Layers", {{"From", 0}, {"Target", LAYERS}, {"Version", 1}}}};
    }
    void beat()
    {
        for (int sequence = 1; !m_beatsStopped; ++sequence) {
            m_store.put("keyed.servers", m_id,
                        json{{"Service", m_service},
                             {"Address", "127.0.0.1:" + std::to_string(m_listener.port())},
                             {"Zone", m_zone},
                             {"Version", 1},
                             {"BatchSlots", 192},
                             {"State", "ready"},
                             {"ColdLeftMs", 0},
                             {"born", m_born},
                             {"Phase", "both"},
                             {"Models", {holding()}},
                             {"RouteType", "a100s"},
                             {"Sequence", sequence}}
                            .dump());
            for (int i = 0; i < 60 && !m_beatsStopped; ++i) { // HeartbeatMs 1200
                sleepMs(20);
            }
        }
    }
    void serve(connection &peer)
    {
        message in;
        while (peer.read(in, 30'000)) {
            if (!answerOne(peer, in)) {
                return;
            }
        }
    }
    bool answerOne(connection &peer, const message &in)
    {
        if (in.path() == "/health") {
            return peer.send(answer("200 OK", "", "X-Chestnutgw-Instance-Id: " + m_id + "\r\n"));
        }
        if (in.path() == "/report") {
            const json report{{"Phase", "both"}, {"Models", {holding()}}, {"RouteType", "a100s"}, {"Busy", false}, {"Sequence", 0}, {"Queued", 0},
                              {"Running", m_running.load()}, {"KvUsed", 0}, {"KvTotal", 1000000}, {"Handles", 0}, {"pace", 1.0}, {"Stalled", json::array()}};
            return peer.send(answer("200 OK", report.dump()));
        }
        if (in.path() == "/order") {
            const bool repath = in.body.find("repath") != std::string::npos;
            return peer.send(answer(repath ? "404 Not Found" : "409 Conflict", "{}"));
        }
        const std::string id = in.header("X-Chestnutgw-Request-Id");
        const std::string echo = "X-Chestnutgw-Request-Id: " + id + "\r\nX-Chestnutgw-Response-Signature: " + m_id + "." + id + "\r\n";
        if (in.header("X-Chestnutgw-Target-Instance") != m_id) {
            return peer.send(answer("421 Misdirected Request", "", echo + "X-Chestnutgw-Not-Executed: 1\r\n"));
        }
        return stream(peer, in, id, echo);
    }
    bool read(connection &peer, bool resumed)
    {
        constexpr long COMMENT_MS = 200;
        static const std::string COMMENT = "b\r\n: reading\n\n\r\n";
        m_readingResumed += resumed ? 1 : 0;
        bool open = true;
        for (const long until = nowMs() + m_readMs; nowMs() < until && open;) {
            open = !peer.peerGone() && peer.send(COMMENT);
            sleepMs(std::min(COMMENT_MS, until - nowMs()));
        }
        m_readingResumed -= resumed ? 1 : 0;
        return open;
    }
    // The number of events is the client's limit of output tokens, or what is left of them behind Last-Event-Id.
    bool stream(connection &peer, const message &in, const std::string &id, const std::string &echo)
    {
        const std::string counts = in.header("X-Chestnutgw-Token-Count");
        const int events = std::atoi(counts.substr(counts.find(',') + 1).c_str());
        const int first = std::atoi(in.header("Last-Event-Id").c_str()) + 1;
        const auto run = std::make_shared<stream_run>();
        run->began = nowMs();
        run->id = id;
        run->resumedAt = in.header("Last-Event-Id");
        {
            const std::lock_guard lock(m_mutex);
            m_runs.push_back(run);
        }
        ++m_running;
        bool open = peer.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" + echo + "\r\n");
        open = open && read(peer, !run->resumedAt.empty());
        for (int event = first; event <= events && open; ++event) {
            const long until = nowMs() + m_eventMs;
            while (nowMs() < until && !peer.peerGone()) {
                sleepMs(std::min<long>(10, until - nowMs()));
            }
            const std::string text = "id: " + std::to_string(event) + "\ndata: token\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            open = !peer.peerGone() && peer.send(size + text + "\r\n");
            const std::lock_guard lock(m_mutex);
            run->events = open ? event : run->events;
        }
        open = open && peer.send("0\r\n\r\n");
        --m_running;
        const std::lock_guard lock(m_mutex);
        run->ended = nowMs();
        run->complete = open;
        run->callerLeft = !open;
        return open;
    }

    store &m_store;
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    std::atomic<long> m_eventMs;
    long m_readMs;
    std::atomic<int> m_readingResumed = 0;
    long m_born = wallMs();
    std::atomic<int> m_running = 0;
    mutable std::mutex m_mutex; // guards m_runs
    std::vector<std::shared_ptr<stream_run>> m_runs;
    std::atomic<bool> m_beatsStopped = false;
    listener m_listener;
    std::thread m_beats;
};

}
