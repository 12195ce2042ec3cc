#pragma once

// Model servers that hold a range of layers each and serve streams together, as the header X-Chestnutgw-Hop-Count lists them. The first one of a
// path streams the events; if a later one is down, it pauses, names it in its report and goes on after a `repath` order.

#include "standin.h"

namespace review
{

constexpr int MODEL_LAYERS = 8;

inline json stagedService(const std::string &name)
{
    return {{"Name", name},
            {"HealthPath", "/health"},
            {"MaxConns", 1000},
            {"Engine",
             {{"Layers", MODEL_LAYERS},
              {"LayerMb", 1750.0},
              {"KvBytes", 426000.0},
              {"step_ms", 4.0},
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

// Which of the fleet's servers are up, by address.
struct fleet_state
{
    std::mutex mutex;
    std::set<std::string> up;

    bool isUp(const std::string &address)
    {
        const std::lock_guard lock(mutex);
        return up.count(address) > 0;
    }
};

class stage_server
{
public:
    stage_server(store &platform, fleet_state &fleet, std::string id, std::string service, std::string zone, int from, int to, long eventMs)
        : m_store(platform)
        , m_fleet(fleet)
        , m_id(std::move(id))
        , m_service(std::move(service))
        , m_zone(std::move(zone))
        , m_from(from)
        , m_to(to)
        , m_eventMs(eventMs)
        , m_listener([this](connection &peer) { serve(peer); })
    {
        {
            const std::lock_guard lock(m_fleet.mutex);
            m_fleet.up.insert(address());
        }
        RECORD.line("model server %s with layers %d-%d at %s", m_id.c_str(), m_from, m_to, address().c_str());
        m_beats = std::thread([this] { beat(); });
    }
    ~stage_server()
    {
        m_beatsStopped = true;
        m_beats.join();
    }
    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_listener.port());
    }
    // The process ends at once; its entry stays until it has been silent for three check-in intervals.
    void crash()
    {
        m_beatsStopped = true;
        {
            const std::lock_guard lock(m_fleet.mutex);
            m_fleet.up.erase(address());
        }
        m_listener.stop();
        RECORD.line("model server %s has crashed", m_id.c_str());
    }
    int running() const
    {
        return m_running;
    }
    // Number of the streams with these ids that run here and go over another server.
    int streamsOver(const std::string &other, const std::set<std::string> &ids)
    {
        const std::lock_guard lock(m_mutex);
        int count = 0;
        for (const auto &[id, one] : m_streams) {
            count += ids.count(id) > 0 && one->path.find(other) != std::string::npos ? 1 : 0;
        }
        return count;
    }
    int moved() const
    {
        return m_moved;
    }

private:
    struct active
    {
        std::string path;
        std::string stalledAt;
    };

    json holding() const
    {
        return {{"Name", "m0"}, {"Version", 1}, {"Loras", json::array()}, {"RouteType", "a100s"}, {"Layers", {{"From", m_from}, {"Target", m_to}, {"Version", 1}}}};
    }
    void beat()
    {
        for (int sequence = 1; !m_beatsStopped; ++sequence) {
            m_store.put("keyed.servers", m_id,
                        json{{"Service", m_service},
                             {"Address", address()},
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
            return peer.send(answer("200 OK", report()));
        }
        if (in.path() == "/order") {
            return peer.send(order(in.body));
        }
        const std::string id = in.header("X-Chestnutgw-Request-Id");
        const std::string echo = "X-Chestnutgw-Request-Id: " + id + "\r\nX-Chestnutgw-Response-Signature: " + m_id + ".1\r\n";
        if (in.header("X-Chestnutgw-Target-Instance") != m_id) {
            return peer.send(answer("421 Misdirected Request", "", echo + "X-Chestnutgw-Not-Executed: 1\r\n"));
        }
        const std::string down = firstDown(in.header("X-Chestnutgw-Hop-Count"));
        if (!down.empty()) {
            return peer.send(answer("503 Service Unavailable", "", echo + "X-Chestnutgw-Not-Executed: 1\r\nAt-Server: " + down + "\r\n"));
        }
        return stream(peer, in, id, echo);
    }
    // The first server of a path that is not up; empty if all are.
    std::string firstDown(const std::string &path)
    {
        std::stringstream parts(path);
        for (std::string part; std::getline(parts, part, ',');) {
            const std::string at = part.substr(0, part.find('='));
            if (!m_fleet.isUp(at)) {
                return at;
            }
        }
        return {};
    }
    std::string report()
    {
        json stalled = json::array();
        {
            const std::lock_guard lock(m_mutex);
            for (const auto &[id, one] : m_streams) {
                if (!one->stalledAt.empty()) {
                    stalled.push_back({{"Id", id}, {"Address", one->stalledAt}});
                }
            }
        }
        const json body{{"Phase", "both"}, {"Models", {holding()}}, {"RouteType", "a100s"}, {"Busy", false}, {"Sequence", 0}, {"Queued", 0},
                        {"Running", m_running.load()}, {"KvUsed", 0}, {"KvTotal", 1000000}, {"Handles", 0}, {"pace", 1.0}, {"Stalled", stalled}};
        return body.dump(-1, ' ', false, json::error_handler_t::replace);
    }
    std::string order(const std::string &text)
    {
        const json body = json::parse(text, nullptr, false);
        if (!body.is_object() || body.value("Operation", "") != "repath") {
            return answer("409 Conflict", "{}");
        }
        const std::lock_guard lock(m_mutex);
        const auto found = m_streams.find(body.value("Id", ""));
        if (found == m_streams.end()) {
            return answer("404 Not Found", "{}");
        }
        found->second->path = body.value("Path", "");
        found->second->stalledAt.clear();
        ++m_moved;
        return answer("200 OK", "{}");
    }
    bool stream(connection &peer, const message &in, const std::string &id, const std::string &echo)
    {
        const std::string counts = in.header("X-Chestnutgw-Token-Count");
        const int events = std::atoi(counts.substr(counts.find(',') + 1).c_str());
        const int first = std::atoi(in.header("Last-Event-Id").c_str()) + 1;
        const auto one = std::make_shared<active>(active{in.header("X-Chestnutgw-Hop-Count"), ""});
        {
            const std::lock_guard lock(m_mutex);
            m_streams[id] = one;
        }
        ++m_running;
        bool open = peer.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" + echo + "\r\n");
        long stalledSince = 0;
        for (int event = first; event <= events && open;) {
            sleepMs(m_eventMs);
            std::string path;
            {
                const std::lock_guard lock(m_mutex);
                path = one->path;
            }
            const std::string down = firstDown(path);
            if (!down.empty()) {
                const std::lock_guard lock(m_mutex);
                one->stalledAt = down;
                stalledSince = stalledSince == 0 ? nowMs() : stalledSince;
                open = !peer.peerGone() && nowMs() - stalledSince < 3000; // stall_ms
                continue;
            }
            stalledSince = 0;
            const std::string text = "id: " + std::to_string(event++) + "\ndata: token\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            open = !peer.peerGone() && peer.send(size + text + "\r\n");
        }
        open = open && peer.send("0\r\n\r\n");
        --m_running;
        const std::lock_guard lock(m_mutex);
        m_streams.erase(id);
        return open;
    }

    store &m_store;
    fleet_state &m_fleet;
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    int m_from;
    int m_to;
    long m_eventMs;
    long m_born = wallMs();
    std::atomic<int> m_running = 0;
    std::atomic<int> m_moved = 0;
    std::mutex m_mutex; // guards m_streams and what they point to
    std::map<std::string, std::shared_ptr<active>> m_streams;
    std::atomic<bool> m_beatsStopped = false;
    listener m_listener;
    std::thread m_beats;
};

}
