#pragma once

// A server of a plain service: registers itself in the store, answers each request after its work time and records what it ran.

#include "standin.h"

namespace review
{

struct arrival
{
    long at = 0; // ms since the start
    std::string id;
    std::string target;
    std::string body;
    bool finished = false; // its answer was sent
};

class plain_server
{
public:
    plain_server(store &platform, std::string id, std::string service, std::string zone, long workMs, int slots = 16, bool recordsRuns = true)
        : m_store(platform)
        , m_id(std::move(id))
        , m_service(std::move(service))
        , m_zone(std::move(zone))
        , m_workMs(workMs)
        , m_slots(slots)
        , m_recordsRuns(recordsRuns)
        , m_listener([this](connection &peer) { serve(peer); })
        , m_beats([this] { beat(); })
    {
        RECORD.line("server %s of %s at 127.0.0.1:%d", m_id.c_str(), m_service.c_str(), m_listener.port());
    }
    ~plain_server()
    {
        stopBeats();
    }
    // Reports that it is about to leave. It goes on serving.
    void beginDrain()
    {
        stopBeats();
        m_leaving = true;
        report("draining");
        RECORD.line("server %s is draining", m_id.c_str());
    }
    // Leaves without having reported `draining`: its entry is removed. Returns when the store accepted that. It goes on serving.
    long removeEntry()
    {
        stopBeats();
        m_leaving = true;
        const long at = m_store.put("keyed.servers", m_id, "");
        RECORD.line("server %s: its entry is removed, acknowledged by the store", m_id.c_str());
        return at;
    }
    // The process ends.
    void exit()
    {
        m_listener.stop();
        m_store.put("keyed.servers", m_id, "");
        RECORD.line("server %s has ended", m_id.c_str());
    }
    std::vector<arrival> arrivals() const
    {
        const std::lock_guard lock(m_mutex);
        std::vector<arrival> all;
        for (const auto &one : m_arrivals) {
            all.push_back(*one);
        }
        return all;
    }
    const std::string &id() const
    {
        return m_id;
    }

private:
    void report(const std::string &state)
    {
        m_store.put("keyed.servers", m_id,
                    json{{"Service", m_service},
                         {"Address", "127.0.0.1:" + std::to_string(m_listener.port())},
                         {"Zone", m_zone},
                         {"Version", 1},
                         {"BatchSlots", m_slots},
                         {"State", state},
                         {"ColdLeftMs", 0},
                         {"born", m_born},
                         {"Sequence", ++m_sequence}}
                        .dump());
    }
    void beat()
    {
        while (!m_beatsStopped) {
            report("ready");
            for (int i = 0; i < 60 && !m_beatsStopped; ++i) { // HeartbeatMs 1200
                sleepMs(20);
            }
        }
    }
    void stopBeats()
    {
        m_beatsStopped = true;
        if (m_beats.joinable()) {
            m_beats.join();
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
        const std::string id = in.header("X-Chestnutgw-Request-Id");
        const auto echo = [&] { // a server that leaves says so in all its answers
            return "X-Chestnutgw-Request-Id: " + id + "\r\nX-Chestnutgw-Response-Signature: " + m_id + "." + id + "\r\n"
                + (m_leaving ? "Server-Leaving: 1\r\nConnection: close\r\n" : "");
        };
        if (in.header("X-Chestnutgw-Target-Instance") != m_id) {
            return peer.send(answer("421 Misdirected Request", "", echo() + "X-Chestnutgw-Not-Executed: 1\r\n"));
        }
        const auto one = std::make_shared<arrival>(arrival{nowMs(), id, in.target(), in.body, false});
        {
            const std::lock_guard lock(m_mutex);
            m_arrivals.push_back(one);
        }
        if (m_recordsRuns) {
            RECORD.line("server %s runs %s", m_id.c_str(), id.c_str());
        }
        sleepMs(m_workMs);
        if (m_listener.stopping()) {
            return false;
        }
        const std::string headers = echo();
        const bool sent = peer.send(answer("200 OK", "done " + id, headers));
        const std::lock_guard lock(m_mutex);
        one->finished = sent;
        return sent && headers.find("Connection: close") == std::string::npos;
    }

    store &m_store;
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    long m_workMs;
    int m_slots;
    bool m_recordsRuns;
    int m_sequence = 0;
    long m_born = wallMs();
    mutable std::mutex m_mutex; // guards m_arrivals
    std::vector<std::shared_ptr<arrival>> m_arrivals;
    std::atomic<bool> m_leaving = false;
    std::atomic<bool> m_beatsStopped = false;
    listener m_listener;
    std::thread m_beats;
};

}
