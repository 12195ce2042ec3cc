#include "rig.h"

#include <csignal>
#include <iostream>
#include <nlohmann/json.hpp>

namespace chestnut::soak
{

namespace
{

using nlohmann::json;

constexpr int LEAVING_CLIENTS = 4; // beside those that are drawn
constexpr milliseconds STEP{10};
constexpr milliseconds LATE{200};               // a rig that is later than this cannot judge times
constexpr milliseconds READY_INTERVAL{1000};    // between two readiness checks
constexpr milliseconds READY_LIMIT{400};        // for the answer to a readiness check
constexpr int MAX_MISSES = 2;                   // in a row, until a gateway takes no new connections
constexpr milliseconds GRACE{5000};             // from SIGTERM to SIGKILL
constexpr milliseconds DRAIN_LENGTH{3500};      // from the entry of a draining server until it leaves
constexpr milliseconds MAX_REWRITE_DELAY{1200}; // until the operator and the servers write again what a restored store forgot
constexpr std::uint64_t CRASHING_SHARE = 6;     // one in so many streams has a prompt that ends servers
constexpr milliseconds RESTART_DELAY{900};      // of a server that a prompt has ended
constexpr int MANY_ROUTES = 1500;               // added by one configuration
constexpr int MAX_EXTRA_ROUTES = 6000;
constexpr double SLOW_READ_RATE = 200'000;            // bytes per second, of all instances together
constexpr const char *UNKNOWN_TARGET = "127.0.0.1:1"; // of a link, until its gateway has started

json plainRoute(const std::string &name, const char *kind, int timeoutMs, int attempts, int weight)
{
    return {{"Name", name},
            {"Hostname", "h.example"},
            {"PathPrefix", "/" + name + "/"},
            {"RouteType", kind},
            {"TimeoutMs", timeoutMs},
            {"LatencyGoalMs", 100},
            {"MaxAttempts", attempts},
            {"TrafficSplit", {{{"Service", "app"}, {"Weight", 2 - weight}}, {{"Service", "app2"}, {"Weight", weight}}}}};
}

json streamRoute(const std::string &name, bool resumable)
{
    return {{"Name", name},
            {"Hostname", "h.example"},
            {"PathPrefix", "/" + name + "/"},
            {"RouteType", "streaming"},
            {"TimeoutMs", 8000},
            {"LatencyGoalMs", 500},
            {"GapAimMs", 200},
            {"Service", "lm"},
            {"MaxAttempts", 2},
            {"Affinity", true},
            {"StreamResume", resumable}};
}

}

rig::rig(rig_settings settings, timeline drawn, int seed)
    : m_settings(std::move(settings))
    , m_drawn(std::move(drawn))
    , m_links(m_drawn.links ? std::make_unique<link_network>() : nullptr)
    , m_fleet{m_book, m_store, m_links.get(), m_settings.fault, {}, {}}
    , m_environment{m_book,
                    [this](std::uint64_t draw) { return pickFront(draw); },
                    [this](std::uint64_t draw) { return pickKey(draw); },
                    [this] { return milliseconds(m_idleMs.load()); },
                    [this] { return m_stopping.load(); },
                    [this](std::uint64_t draw) { return m_book.now() < milliseconds(m_crashingUntilMs.load()) && draw % CRASHING_SHARE == 0; }}
    , m_seed(seed)
{
    m_keys.emplace_back("key0", milliseconds(0));
    publish();
    for (const server_plan &plan : m_drawn.servers) {
        m_servers.push_back(std::make_unique<backend_server>(m_fleet, plan));
    }
    m_gateways.resize(static_cast<std::size_t>(m_drawn.gateways));
    for (std::size_t i = 0; i < m_gateways.size(); ++i) {
        m_gateways[i].name = "g" + std::to_string(i);
        if (m_links) {
            m_gateways[i].clientLink = m_links->add(UNKNOWN_TARGET);
            m_gateways[i].storeLink = m_links->add(m_store.url().substr(std::string("http://").size()));
        }
        beginStart(m_gateways[i]);
    }
    for (gateway &one : m_gateways) {
        endStart(one);
        one.rotation = test::eventually([&] { return isReady(one.ready); });
    }
    m_balancer = std::thread([this] { runBalancer(); });
}

rig::~rig()
{
    m_stopping = true;
    for (std::thread &one : m_clients) {
        one.join();
    }
    m_balancing = false;
    m_balancer.join();
    m_gateways.clear();
}

void rig::beginStart(gateway &one)
{
    const std::string log = m_settings.folder + "/" + one.name + "." + std::to_string(++one.boot) + ".log";
    const std::vector<std::string> settings{
        "instance.name=" + one.name,
        "instance.failure_domain=a",
        "instance.front=127.0.0.1:0",
        "instance.ready=127.0.0.1:0",
        "instance.peer=127.0.0.1:0",
        "instance.metrics=127.0.0.1:0",
        "instance.grace=" + std::to_string(GRACE.count() / 1000),
        "platform.url=" + (one.storeLink.empty() ? m_store.url() : "http://" + one.storeLink),
        "repeats.extra=200",
        "repeats.instances=" + std::to_string(m_drawn.gateways),
        "log.lines_per_second=100000",
        std::string("quarantine.ends=") + (m_settings.fault == seeded_fault::no_quarantine ? "0" : "3"),
    };
    one.startBegan = m_book.now();
    one.starting = std::async(std::launch::async,
                              [program = m_settings.gateway, settings, log] { return std::make_unique<test::child_process>(program, settings, log); });
}

void rig::endStart(gateway &one)
{
    one.process = one.starting.get();
    one.terminated = NEVER;
    m_book.add(incident{one.startBegan, m_book.now(), "start", one.name, false});
    const std::lock_guard lock(m_mutex);
    const std::string own = one.process->listening().at("front").get<std::string>();
    if (!one.clientLink.empty()) {
        m_links->retarget(one.clientLink, own);
    }
    one.address = {one.name, one.boot, one.clientLink.empty() ? own : one.clientLink};
    one.ready = one.process->listening().at("ready").get<std::string>();
    one.rotation = false;
    one.misses = 0;
}

void rig::publish()
{
    json config{
        {"Version", ++m_version},
        {"Routes",
         {plainRoute("safe", "safe", m_timeoutMs, 2, m_weight), plainRoute("once", "non_idempotent", m_timeoutMs, 1, m_weight), streamRoute("stream", true),
          streamRoute("single", false)}},
        {"Services",
         {{{"Name", "app"}, {"MaxConns", 100}},
          {{"Name", "app2"}, {"MaxConns", 100}},
          {{"Name", "lm"},
           {"MaxConns", 100},
           {"Engine",
            {{"KvBytes", 1000}, {"Layers", LAYERS}, {"LayerMb", 1.0}, {"step_ms", 1.0}, {"Kinds", {{{"Name", "k"}, {"SizeMb", 100.0}, {"pace", 1.0}}}}}}}}},
        {"Limits", {{"HeaderBytes", 2000}, {"MaxBodyBytes", 5000}, {"HeaderTimeoutMs", 700}, {"IdleTimeoutMs", m_idleMs.load()}}},
        {"Tenants", {{{"Name", TENANT}, {"ApiKeys", json::array()}}}}};
    for (int i = 0; i < m_extraRoutes; ++i) {
        config["Routes"].push_back(plainRoute("extra" + std::to_string(i), "safe", m_timeoutMs, 2, m_weight));
    }
    for (const auto &[key, acknowledged] : m_keys) {
        if (m_settings.fault != seeded_fault::lost_key || key == "key0") {
            config["Tenants"][0]["ApiKeys"].push_back(key);
        }
    }
    config_record record{m_book.now(), {}};
    if (m_weight < 2) {
        record.services.insert("app");
    }
    if (m_weight > 0) {
        record.services.insert("app2");
    }
    m_configs.push_back(record);
    m_store.put("keyed.op", "config", config.dump());
    m_book.add(incident{record.acknowledged, m_book.now(), "configuration " + std::to_string(m_version), "operator", true});
}

//-----------------------------------------------------------------------------
// Playing
//-----------------------------------------------------------------------------

void rig::play(milliseconds length)
{
    const milliseconds start = m_book.now();
    for (const event &one : m_drawn.events) {
        schedule(start + one.at - m_book.now(), [this, &one] {
            std::cout << "  at " << m_book.now().count() << ": " << describe(m_drawn, one) << std::endl;
            apply(one);
        });
    }
    const int all = m_drawn.clients + LEAVING_CLIENTS;
    m_playing = all;
    for (int i = 0; i < all; ++i) {
        m_clients.emplace_back([this, i] {
            client one(m_environment, m_seed, i);
            i < m_drawn.clients ? one.run() : one.runLeaving();
            --m_playing;
        });
    }
    while (m_playing > 0) {
        m_stopping = m_book.now() >= start + length;
        const milliseconds before = m_book.now();
        std::this_thread::sleep_for(STEP);
        if (const milliseconds after = m_book.now(); after > before + STEP + LATE) {
            m_book.add(incident{before, after, "late", "rig", false});
        }
        runDue();
        for (gateway &one : m_gateways) {
            checkGateway(one);
        }
        crashByPrompts();
    }
    for (std::thread &one : m_clients) {
        one.join();
    }
    m_clients.clear();
    std::this_thread::sleep_for(milliseconds(700)); // servers are released by then
}

void rig::schedule(milliseconds delay, std::function<void()> task)
{
    m_tasks.emplace(m_book.now() + delay, std::move(task));
}

void rig::runDue()
{
    while (!m_tasks.empty() && m_tasks.begin()->first <= m_book.now()) {
        const std::function<void()> task = std::move(m_tasks.begin()->second);
        m_tasks.erase(m_tasks.begin());
        task();
    }
}

void rig::apply(const event &one)
{
    switch (one.what) {
    case action::silence:
    case action::refuse:
    case action::crash:
    case action::drain:
        return applyToServer(one);
    case action::reconfigure:
        return reconfigure(one);
    case action::store:
        return disturbStore(one);
    case action::crashing_part:
        m_crashingUntilMs = (m_book.now() + one.length).count();
        return;
    case action::restore:
        return restoreStore(one);
    case action::answers:
        return m_servers[static_cast<std::size_t>(one.target)]->answerIn(mannerOf(one), one.length);
    case action::drop_history:
        return dropHistory();
    case action::slow_store:
        return slowStore(one);
    case action::server_link:
    case action::store_link:
    case action::client_link:
        return disturbLink(one);
    default:
        applyToGateway(one);
    }
}

void rig::crashByPrompts()
{
    for (const auto &one : m_servers) {
        backend_server &server = *one;
        if (!server.takeCrashWish() || !m_away.insert(&server).second) {
            continue;
        }
        m_book.add(incident{m_book.now(), m_book.now() + RESTART_DELAY, CRASH_BY_PROMPT, server.plan().name, false});
        server.crash();
        schedule(RESTART_DELAY, [this, &server] { comeBack(server, true); });
    }
}

void rig::comeBack(backend_server &server, bool loaded)
{
    server.restart(loaded);
    m_away.erase(&server);
}

void rig::applyToServer(const event &one)
{
    backend_server &server = *m_servers[static_cast<std::size_t>(one.target)];
    const milliseconds now = m_book.now();
    const bool leaves = one.what == action::crash || one.what == action::drain;
    if (leaves && !m_away.insert(&server).second) {
        return; // it is away or leaving already
    }
    if (one.what != action::drain) {
        m_book.add(incident{now, now + one.length, toText(one.what), server.plan().name, false});
    }
    switch (one.what) {
    case action::silence:
        return server.fallSilent(one.length);
    case action::refuse:
        return server.refuse(one.length);
    case action::crash:
        server.crash();
        return schedule(one.length, [this, &server] { comeBack(server); });
    default:
        server.beginDrain();
        schedule(DRAIN_LENGTH, [this, &server, length = one.length] {
            server.leave();
            schedule(length, [this, &server] { comeBack(server); });
        });
    }
}

void rig::applyToGateway(const event &one)
{
    gateway &target = m_gateways[static_cast<std::size_t>(one.target)];
    const milliseconds now = m_book.now();
    if (!target.process) {
        return; // still starting
    }
    switch (one.what) {
    case action::hangup:
        m_book.add(incident{now, now, "hangup", target.name, true});
        return target.process->signal(SIGHUP);
    case action::terminate:
        target.terminated = now;
        target.absence = one.length;
        m_book.add(incident{now, now + GRACE + milliseconds(1000), "terminate", target.name, true});
        return target.process->signal(SIGTERM);
    case action::freeze:
        m_book.add(incident{now, now + one.length, "freeze", target.name, false});
        target.process->signal(SIGSTOP);
        return schedule(one.length, [&target] {
            if (target.process) {
                target.process->signal(SIGCONT);
            }
        });
    default:
        m_book.add(incident{now, now + one.length, "kill", target.name, false});
        target.terminated = now;
        target.absence = one.length;
        target.process->signal(SIGKILL);
    }
}

void rig::checkGateway(gateway &one)
{
    if (one.starting.valid() && one.starting.wait_for(milliseconds(0)) == std::future_status::ready) {
        endStart(one);
    }
    if (!one.process) {
        return;
    }
    if (one.terminated != NEVER && m_book.now() > one.terminated + GRACE) {
        one.process->signal(SIGKILL);
    }
    if (!one.process->hasEnded()) {
        return;
    }
    if (one.terminated == NEVER) {
        m_ended.push_back(one.name + "." + std::to_string(one.boot) + " ended by itself at " + std::to_string(m_book.now().count()) + " with status "
                          + std::to_string(one.process->endStatus()));
        m_book.add(incident{m_book.now(), m_book.now(), "ended by itself", one.name, true});
    }
    one.process.reset();
    schedule(one.absence, [this, &one] { beginStart(one); });
}

void rig::disturbLink(const event &one)
{
    const link_fault fault = faultOfLink(one);
    const auto target = static_cast<std::size_t>(one.target);
    const std::string &name = one.what == action::server_link ? m_servers[target]->plan().name : m_gateways[target].name;
    const std::string &address = one.what == action::server_link ? m_servers[target]->address()
        : one.what == action::store_link                         ? m_gateways[target].storeLink
                                                                 : m_gateways[target].clientLink;
    const char *party = one.what == action::server_link ? SERVER_LINK : one.what == action::store_link ? STORE_LINK : CLIENT_LINK;
    m_book.add(incident{m_book.now(), m_book.now() + one.length, toText(fault), name + party, fault == link_fault::delay});
    m_links->disturb(address, fault, one.length);
}

void rig::reconfigure(const event &one)
{
    const auto what = static_cast<config_change>(one.variant % 5);
    switch (what) {
    case config_change::weight:
        m_weight = one.variant / 5 % 3;
        break;
    case config_change::timeout:
        m_timeoutMs = m_timeoutMs == 1500 ? 2500 : 1500;
        break;
    case config_change::idle_limit:
        m_idleMs = m_idleMs == 5000 ? 3000 : 5000;
        break;
    case config_change::new_key: {
        const std::lock_guard lock(m_mutex);
        m_keys.emplace_back("key" + std::to_string(m_keys.size()), m_book.now());
        break;
    }
    case config_change::many_routes:
        m_extraRoutes = m_extraRoutes >= MAX_EXTRA_ROUTES ? 0 : m_extraRoutes + MANY_ROUTES;
        break;
    }
    publish();
}

void rig::disturbStore(const event &one)
{
    constexpr platform::store_fault FAULTS[] = {platform::store_fault::busy, platform::store_fault::unresponsive, platform::store_fault::reset,
                                                platform::store_fault::rate_limited, platform::store_fault::lost_answer};
    const platform::store_fault fault = FAULTS[one.variant % 5];
    m_book.add(incident{m_book.now(), m_book.now() + one.length, "fault " + std::to_string(static_cast<int>(fault)), "store", false});
    m_store.setFault(0, fault);
    schedule(one.length, [this] { m_store.setFault(0, platform::store_fault::none); });
}

// Readers that are behind must list the topics anew. It excuses nothing.
void rig::dropHistory()
{
    for (const char *topic : {"keyed.op", "keyed.servers", "keyed.chestnutgw.members", "chestnutgw.lease"}) {
        m_store.dropHistory(topic);
    }
}

void rig::slowStore(const event &one)
{
    m_book.add(incident{m_book.now(), m_book.now() + one.length, "slow reads", "store", false});
    m_store.setReadRate(SLOW_READ_RATE);
    schedule(one.length, [this] { m_store.setReadRate(0); });
}

void rig::restoreStore(const event &one)
{
    const milliseconds rewrites(MAX_REWRITE_DELAY.count() * one.variant / 1000);
    m_store.keepCopy();
    schedule(one.copyAge, [this, one, rewrites] {
        const milliseconds now = m_book.now();
        m_book.add(incident{now, now + one.length + rewrites, "restore", "store", false});
        m_store.setFault(0, platform::store_fault::reset);
    });
    schedule(one.copyAge + one.length, [this, rewrites] {
        const std::vector<platform::written_record> forgotten = m_store.restore();
        m_store.setFault(0, platform::store_fault::none);
        schedule(rewrites, [this, forgotten] { writeAgain(forgotten); });
    });
}

// The operator and the servers write what the store has forgotten, unless they have written something newer meanwhile.
void rig::writeAgain(const std::vector<platform::written_record> &forgotten)
{
    for (const platform::written_record &record : forgotten) {
        if (!m_store.writtenSinceRestore(record.topic, record.key)) {
            m_store.put(record.topic, record.key, record.value);
        }
    }
}

//-----------------------------------------------------------------------------
// What clients see
//-----------------------------------------------------------------------------

bool rig::isReady(const std::string &address) const
{
    wire_socket socket = wire_socket::connect(address);
    http_message answer;
    read_limits limits;
    limits.gap = READY_LIMIT;
    return socket.connected() && socket.send("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n") && socket.read(answer, true, limits) == read_end::complete
        && answer.status() == 200;
}

void rig::runBalancer()
{
    steady_time next = std::chrono::steady_clock::now();
    while (m_balancing) {
        std::this_thread::sleep_for(STEP);
        if (std::chrono::steady_clock::now() < next) {
            continue;
        }
        next += READY_INTERVAL;
        for (gateway &one : m_gateways) {
            std::string address;
            {
                const std::lock_guard lock(m_mutex);
                address = one.ready;
            }
            const bool ready = isReady(address);
            const std::lock_guard lock(m_mutex);
            one.misses = ready ? 0 : one.misses + 1;
            one.rotation = ready || (one.rotation && one.misses < MAX_MISSES);
        }
    }
}

front rig::pickFront(std::uint64_t draw)
{
    const std::lock_guard lock(m_mutex);
    std::vector<const gateway *> ready;
    for (const gateway &one : m_gateways) {
        if (one.rotation) {
            ready.push_back(&one);
        }
    }
    if (ready.size() * 2 < m_gateways.size()) {
        ready.clear();
        for (const gateway &one : m_gateways) {
            ready.push_back(&one);
        }
    }
    return ready[draw % ready.size()]->address;
}

std::string rig::pickKey(std::uint64_t draw)
{
    const std::lock_guard lock(m_mutex);
    return m_keys[draw % m_keys.size()].first;
}

evidence rig::takeEvidence() const
{
    evidence seen{m_book.attempts(), m_book.runs(), m_book.incidents(), m_configs, {}, GRACE};
    const std::lock_guard lock(m_mutex);
    seen.keys.insert(m_keys.begin(), m_keys.end());
    return seen;
}

}
