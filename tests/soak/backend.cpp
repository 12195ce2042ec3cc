#include "backend.h"

#include "kernel/clock.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sys/socket.h>
#include <utility>

namespace chestnut::soak
{

namespace
{

using nlohmann::json;

constexpr int SLOTS = 12;                      // requests that a server works on at once
constexpr milliseconds STALL_LIMIT{3000};      // a stream whose stage is down for longer is broken off
constexpr milliseconds LOAD_TIME{200};         // of newly ordered layers
constexpr milliseconds STEP{10};               // between two checks of a waiting request
constexpr milliseconds PROMPT_CRASH_DELAY{50}; // from the first event of a prompt that ends the server
constexpr milliseconds CRASH_WAIT{10'000};     // longer than the rig takes to crash a server
constexpr milliseconds BYTE_INTERVAL{3};       // between two bytes of an answer that is sent byte by byte
constexpr milliseconds ENDLESS_TIME{3000};     // of an answer without end
constexpr milliseconds COPY_DELAY{40};         // from the end of an answer to its second copy
constexpr milliseconds KEPT_ON{1500};          // by the seeded faults keep_on and arrives_late
constexpr milliseconds ACCEPT_STEP{20};        // between two checks whether to go on listening
constexpr const char *SIGNATURE = "X-Chestnutgw-Response-Signature: s.1\r\n";

std::string jsonAnswer(const std::string &status, const json &body)
{
    const std::string text = body.dump();
    return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
}

// The last segment of a path.
std::string subjectOf(const std::string &target)
{
    return target.substr(target.rfind('/') + 1);
}

}

std::vector<stage> parsePath(const std::string &text)
{
    std::vector<stage> path;
    std::size_t start = 0;
    while (start < text.size()) {
        const std::size_t end = std::min(text.find(',', start), text.size());
        const std::string one = text.substr(start, end - start);
        const std::size_t equals = one.find('=');
        const std::size_t dash = one.find('-', equals);
        path.push_back({one.substr(0, equals), 0, {std::stoi(one.substr(equals + 1)), std::stoi(one.substr(dash + 1))}});
        start = end + 1;
    }
    return path;
}

bool coversLayers(const std::vector<stage> &path)
{
    int next = 0;
    for (const stage &one : path) {
        if (one.layers.from != next || one.layers.to <= one.layers.from) {
            return false;
        }
        next = one.layers.to;
    }
    return next == LAYERS;
}

const char *toText(answer_manner manner)
{
    static constexpr const char *NAMES[] = {"usual", "without length", "late copy", "byte by byte", "endless"};
    return NAMES[static_cast<int>(manner)];
}

backend_server::backend_server(fleet &all, server_plan plan)
    : m_all(all)
    , m_plan(std::move(plan))
    , m_held(m_plan.held)
{
    start();
    list("ready");
}

backend_server::~backend_server()
{
    {
        const std::lock_guard lock(m_all.mutex);
        m_up = false;
        for (const connection &one : m_connections) {
            one.wire.interrupt();
        }
    }
    if (m_acceptor.joinable()) {
        m_acceptor.join();
    }
    for (connection &one : m_connections) {
        one.worker.join();
    }
}

//-----------------------------------------------------------------------------
// States
//-----------------------------------------------------------------------------

std::string backend_server::idLocked() const
{
    return m_plan.name + "-" + std::to_string(m_boot);
}

bool backend_server::silentLocked() const
{
    return std::chrono::steady_clock::now() < m_silentUntil;
}

void backend_server::start()
{
    m_listener = listenOn(m_port);
    if (m_address.empty()) {
        const std::string own = "127.0.0.1:" + std::to_string(m_port);
        m_address = m_all.links == nullptr ? own : m_all.links->add(own);
    }
    const std::lock_guard lock(m_all.mutex);
    m_all.byAddress[m_address] = this;
    m_up = true;
    m_draining = false;
    m_crashWish = false;
    m_sequence = 0;
    m_born = wallClockMs();
    m_entries = 0;
    m_acceptor = std::thread([this, boot = ++m_boot] { accept(boot); });
}

void backend_server::list(const std::string &state)
{
    std::string id;
    json entry{{"Service", m_plan.service}, {"Address", m_address}, {"Zone", "a"}, {"BatchSlots", SLOTS}, {"State", state}, {"born", m_born}, {"Sequence", 0}};
    {
        const std::lock_guard lock(m_all.mutex);
        entry["Sequence"] = ++m_entries;
        id = idLocked();
        if (m_plan.held.to > 0) {
            entry["RouteType"] = "k";
            entry["Models"] = {{{"Name", "m"}}};
            if (m_held.to > 0) {
                entry["Models"][0]["Layers"] = {{"From", m_held.from}, {"Target", m_held.to}};
            }
        }
    }
    m_all.store.put("keyed.servers", id, entry.dump());
}

void backend_server::fallSilent(milliseconds length)
{
    const std::lock_guard lock(m_all.mutex);
    m_silentUntil = std::chrono::steady_clock::now() + length;
}

void backend_server::refuse(milliseconds length)
{
    const std::lock_guard lock(m_all.mutex);
    m_refusesUntil = std::chrono::steady_clock::now() + length;
}

void backend_server::answerIn(answer_manner manner, milliseconds length)
{
    const std::lock_guard lock(m_all.mutex);
    m_manner = manner;
    m_mannerUntil = std::chrono::steady_clock::now() + length;
}

void backend_server::crash()
{
    {
        const std::lock_guard lock(m_all.mutex);
        m_up = false;
        m_downSince = std::chrono::steady_clock::now();
        m_held = {};
        m_silentUntil = {};
        for (const connection &one : m_connections) {
            one.wire.resetOnClose();
            one.wire.interrupt();
        }
    }
    m_acceptor.join();
    m_listener = unique_fd();
}

bool backend_server::takeCrashWish()
{
    const std::lock_guard lock(m_all.mutex);
    return std::exchange(m_crashWish, false);
}

void backend_server::restart(bool loaded)
{
    std::string old;
    {
        const std::lock_guard lock(m_all.mutex);
        m_held = loaded ? m_plan.held : layer_span();
        old = idLocked();
    }
    m_all.store.put("keyed.servers", old, "");
    start();
    list("ready");
}

void backend_server::beginDrain()
{
    if (m_all.fault != seeded_fault::late_drain) {
        list("draining");
    }
    const milliseconds now = m_all.book.now();
    const std::lock_guard lock(m_all.mutex);
    m_draining = true;
    m_all.book.add(incident{now, NEVER, "draining", idLocked(), false});
}

void backend_server::leave()
{
    {
        const std::lock_guard lock(m_all.mutex);
        m_up = false;
        m_downSince = std::chrono::steady_clock::now();
        m_held = {};
        for (const connection &one : m_connections) {
            if (!one.busy) {
                one.wire.interrupt();
            }
        }
    }
    m_acceptor.join();
    m_listener = unique_fd();
}

//-----------------------------------------------------------------------------
// Connections
//-----------------------------------------------------------------------------

void backend_server::accept(int boot)
{
    while (true) {
        pollfd entry{m_listener.get(), POLLIN, 0};
        const int ready = ::poll(&entry, 1, static_cast<int>(ACCEPT_STEP.count()));
        const std::lock_guard lock(m_all.mutex);
        if (!m_up || m_boot != boot) {
            return;
        }
        m_connections.remove_if([](connection &one) {
            if (one.finished) {
                one.worker.join();
            }
            return one.finished.load();
        });
        if (ready > 0) {
            unique_fd socket(::accept4(m_listener.get(), nullptr, nullptr, SOCK_CLOEXEC));
            if (socket.get() >= 0) {
                connection &added = m_connections.emplace_back(std::move(socket));
                added.worker = std::thread([this, &added, boot] { serve(added, boot); });
            }
        }
    }
}

void backend_server::serve(connection &client, int boot)
{
    while (true) {
        http_message in;
        if (client.wire.read(in, false) != read_end::complete) {
            break;
        }
        {
            const std::lock_guard lock(m_all.mutex);
            if (!m_up || m_boot != boot) {
                break;
            }
            client.busy = true;
        }
        const bool keep = handle(client, boot, in);
        const std::lock_guard lock(m_all.mutex);
        client.busy = false;
        if (!keep || !m_up || m_boot != boot) {
            break;
        }
    }
    const std::lock_guard lock(m_all.mutex);
    client.wire.close();
    client.finished = true;
}

bool backend_server::handle(connection &client, int boot, const http_message &in)
{
    const milliseconds arrived = m_all.book.now();
    const std::string target = in.target();
    running_request request{0, client, boot, steady_time::max(), nullptr};
    if (target == "/report" || target == "/order" || target == "/health") {
        if (pause(request, milliseconds(0)) != waited::over) {
            return false;
        }
        std::optional<layer_span> load;
        client.wire.send(target == "/order" ? order(in, load) : report(target == "/health"));
        if (load && pause(request, LOAD_TIME) == waited::over) {
            {
                const std::lock_guard lock(m_all.mutex);
                m_held = *load;
            }
            list("ready");
        }
        return target != "/order";
    }
    const std::string id = in.header("x-chestnutgw-request-id");
    const std::string given = in.header("x-chestnutgw-deadline-ms");
    if (!given.empty()) {
        request.deadline = std::chrono::steady_clock::now() + milliseconds(std::stoll(given));
    }
    run entry;
    entry.id = id;
    entry.service = m_plan.service;
    entry.arrived = arrived + (m_all.fault == seeded_fault::arrives_late ? KEPT_ON : milliseconds(0));
    entry.crashing = namesCrashingPart(in.header("x-chestnutgw-prefix-hash"));
    std::vector<stage> path = m_plan.held.to > 0 ? parsePath(in.header("x-chestnutgw-hop-count")) : std::vector<stage>();
    if (m_plan.held.to > 0 && (!coversLayers(path) || m_all.fault == seeded_fault::gap)) {
        entry.flaw = "LAYERS path " + in.header("x-chestnutgw-hop-count");
    } else if (in.body != requestBody(subjectOf(target)) || in.header("x-chestnutgw-tenant-id") != TENANT || !in.header("authorization").empty()) {
        entry.flaw = "UNASKED " + in.start + " with body '" + in.body + "'";
    }
    std::string problem;
    {
        const std::lock_guard lock(m_all.mutex);
        entry.server = idLocked();
        problem = obstacle(in, path);
        entry.executed = problem.empty() || m_all.fault == seeded_fault::ran;
        entry.leaving = m_draining;
        const bool ownRefusal = problem == "503 Service Unavailable\n";
        entry.quiet = ownRefusal && std::chrono::steady_clock::now() < m_refusesUntil ? quietTime(id) : milliseconds(0);
        if (problem.empty()) {
            ++m_running;
        }
        if (problem.empty() && !path.empty()) {
            request.stream = std::make_shared<active_stream>(active_stream{path, ""});
            m_streams[id] = request.stream;
        }
        request.manner = std::chrono::steady_clock::now() < m_mannerUntil ? m_manner : answer_manner::usual;
    }
    request.entry = m_all.book.begin(entry);
    if (problem.empty() && m_all.fault == seeded_fault::twice) {
        m_all.book.end(m_all.book.begin(entry), run_end::completed, 0, false);
    }
    const bool says = m_all.fault != seeded_fault::unsaid;
    std::string head = SIGNATURE + ("X-Chestnutgw-Request-Id: " + id + "\r\n");
    head += says && entry.leaving ? "Server-Leaving: 1\r\n" : "";
    head += says && entry.quiet.count() > 0 ? "Retry-After: " + std::to_string(toSeconds(entry.quiet)) + "\r\n" : "";
    if (!problem.empty()) {
        const std::size_t split = problem.find('\n');
        const std::string at = problem.size() > split + 1 ? "At-Server: " + problem.substr(split + 1) + "\r\n" : "";
        const bool answered = pause(request, milliseconds(0)) == waited::over;
        if (answered) {
            client.wire.send("HTTP/1.1 " + problem.substr(0, split) + "\r\nX-Chestnutgw-Not-Executed: 1\r\n" + head + at + "Content-Length: 0\r\n\r\n");
            request.end = run_end::completed;
        }
        m_all.book.end(request.entry, request.end, 0, false);
        return answered;
    }
    if (m_plan.held.to > 0) {
        serveStream(request, in, subjectOf(target), head);
    } else {
        servePlain(request, subjectOf(target), head);
    }
    m_all.book.end(request.entry, request.end, request.events, request.disturbed);
    const std::lock_guard lock(m_all.mutex);
    --m_running;
    m_streams.erase(id);
    const bool whole = request.end == run_end::completed;
    if (!whole && request.manner == answer_manner::without_length) {
        client.wire.resetOnClose(); // a usual close would make the answer look complete
    }
    return whole && request.manner != answer_manner::without_length;
}

//-----------------------------------------------------------------------------
// Requests
//-----------------------------------------------------------------------------

std::string backend_server::stageProblem(stage &one, bool first)
{
    const auto found = m_all.byAddress.find(one.address);
    if (found == m_all.byAddress.end() || !found->second->m_up) {
        return "503 Service Unavailable\n" + one.address;
    }
    const backend_server &server = *found->second;
    one.boot = server.m_boot;
    if (one.layers.from < server.m_held.from || one.layers.to > server.m_held.to) {
        return "421 Misdirected Request\n" + one.address;
    }
    return server.m_draining && !first ? "503 Service Unavailable\n" + one.address : "";
}

std::string backend_server::obstacle(const http_message &in, std::vector<stage> &path)
{
    if (in.header("x-chestnutgw-target-instance") != idLocked()) {
        return "421 Misdirected Request\n";
    }
    if (std::chrono::steady_clock::now() < m_refusesUntil || m_running >= SLOTS) {
        return "503 Service Unavailable\n";
    }
    for (stage &one : path) {
        const std::string problem = stageProblem(one, &one == path.data());
        if (!problem.empty()) {
            return problem;
        }
    }
    return "";
}

bool backend_server::checkStages(running_request &request)
{
    const std::lock_guard lock(m_all.mutex);
    request.stream->stalledAt.clear();
    for (const stage &one : request.stream->path) {
        const backend_server &server = *m_all.byAddress.at(one.address);
        const bool down = server.m_boot != one.boot || !server.m_up;
        const bool leaving = server.m_draining && server.m_boot == one.boot; // finishes what it has begun
        if (down && !leaving) {
            request.disturbed = true;
            request.stream->stalledAt = one.address;
            return std::chrono::steady_clock::now() - server.m_downSince < STALL_LIMIT;
        }
        if (server.silentLocked()) {
            request.stream->stalledAt = one.address;
        }
    }
    return true;
}

backend_server::waited backend_server::pause(running_request &request, milliseconds length)
{
    const steady_time until = std::chrono::steady_clock::now() + length;
    while (true) {
        const steady_time now = std::chrono::steady_clock::now();
        bool silent = false;
        {
            const std::lock_guard lock(m_all.mutex);
            const bool leaving = m_draining && m_boot == request.boot;
            if (m_boot != request.boot || (!m_up && !leaving)) {
                request.end = run_end::broke_off;
                return waited::ended;
            }
            silent = silentLocked();
        }
        if (request.stream && !checkStages(request)) {
            request.end = run_end::broke_off;
            return waited::ended;
        }
        const bool stalled = request.stream && !request.stream->stalledAt.empty();
        if (now >= until && !silent && !stalled) {
            return waited::over;
        }
        if (now >= request.deadline) {
            request.end = run_end::late;
            return waited::ended;
        }
        const auto left = std::chrono::ceil<milliseconds>(until - now);
        if (request.client.wire.closedWithin(std::clamp(left, milliseconds(1), STEP))) {
            const std::lock_guard lock(m_all.mutex);
            const bool crashed = m_boot != request.boot || (!m_up && !m_draining);
            request.end = crashed ? run_end::broke_off : run_end::released;
            break;
        }
    }
    if (m_all.fault == seeded_fault::keep_on) {
        std::this_thread::sleep_for(KEPT_ON);
    }
    return waited::ended;
}

bool backend_server::sendPart(running_request &request, const std::string &bytes)
{
    const std::size_t size = request.manner == answer_manner::byte_by_byte ? 1 : bytes.size();
    bool sent = true;
    for (std::size_t from = 0; sent && from < bytes.size(); from += size) {
        sent = request.client.wire.send(bytes.substr(from, size));
        if (size < bytes.size()) {
            std::this_thread::sleep_for(BYTE_INTERVAL);
        }
    }
    if (!sent) {
        const std::lock_guard lock(m_all.mutex);
        request.end = m_up || m_draining ? run_end::released : run_end::broke_off;
        return false;
    }
    return true;
}

void backend_server::serveStream(running_request &request, const http_message &in, const std::string &subject, const std::string &head)
{
    const std::string last = in.header("last-event-id");
    const int first = last.empty() ? 0 : std::stoi(last) + 1;
    const int count = eventCount(subject);
    const milliseconds gap = eventGap(subject);
    if (pause(request, gap) != waited::over) {
        return;
    }
    const bool chunked = request.manner != answer_manner::without_length;
    const auto piece = [chunked](const std::string &bytes) { return chunked ? chunk(bytes) : bytes; };
    const std::string wholeHead
        = "HTTP/1.1 200 OK\r\n" + head + "Content-Type: text/event-stream\r\n" + (chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n");
    if (!sendPart(request, wholeHead)) {
        return;
    }
    for (int number = first; number < count; ++number) {
        if (pause(request, gap / 2) != waited::over) {
            return;
        }
        if (m_all.fault == seeded_fault::drop_event && number == 2) {
            continue;
        }
        if (m_all.fault == seeded_fault::break_off && number == 3) {
            request.end = run_end::released; // what this server claims
            return;
        }
        const std::string text = eventText(subject, number);
        const std::size_t cut = text.size() / 2; // falls silent within events too
        if (request.manner == answer_manner::endless && number > first) {
            return sendEndlessly(request, piece("data: without end "));
        }
        if (!sendPart(request, piece(text.substr(0, cut))) || pause(request, gap / 2) != waited::over || !sendPart(request, piece(text.substr(cut)))) {
            return;
        }
        ++request.events;
        if (namesCrashingPart(in.header("x-chestnutgw-prefix-hash"))) {
            return crashByPrompt(request);
        }
    }
    if (!chunked || sendPart(request, "0\r\n\r\n")) {
        finishAnswer(request, wholeHead + chunk(eventText(subject, 0)) + "0\r\n\r\n");
    }
}

void backend_server::crashByPrompt(running_request &request)
{
    if (pause(request, PROMPT_CRASH_DELAY) != waited::over) {
        return;
    }
    {
        const std::lock_guard lock(m_all.mutex);
        m_crashWish = !m_draining; // a draining server breaks off this stream only
        request.end = run_end::broke_off;
        if (m_draining) {
            return;
        }
    }
    pause(request, CRASH_WAIT); // until the rig crashes the server
}

void backend_server::servePlain(running_request &request, const std::string &subject, const std::string &head)
{
    if (pause(request, plainTime(subject)) != waited::over) {
        return;
    }
    const std::string body = plainBody(m_all.fault == seeded_fault::foreign ? subject + "x" : subject);
    const std::size_t cut = body.size() / 2;
    const bool hasLength = request.manner != answer_manner::without_length;
    const std::string length = hasLength ? "Content-Length: " + std::to_string(body.size()) + "\r\n" : "";
    if (request.manner == answer_manner::endless) {
        sendPart(request, "HTTP/1.1 200 OK\r\n" + head);
        return sendEndlessly(request, "X-Padding: " + std::string(200, 'x') + "\r\n");
    }
    const std::string wholeHead = "HTTP/1.1 200 OK\r\n" + head + length + "\r\n";
    if (!sendPart(request, wholeHead + body.substr(0, cut)) || pause(request, milliseconds(1)) != waited::over || !sendPart(request, body.substr(cut))) {
        return;
    }
    finishAnswer(request, wholeHead + body);
}

void backend_server::sendEndlessly(running_request &request, const std::string &bytes)
{
    const steady_time until = std::chrono::steady_clock::now() + ENDLESS_TIME;
    while (std::chrono::steady_clock::now() < until && request.client.wire.send(bytes)) { }
    request.end = run_end::broke_off;
}

void backend_server::finishAnswer(running_request &request, const std::string &copy)
{
    if (request.manner == answer_manner::late_copy) {
        request.client.wire.closedWithin(COPY_DELAY);
        request.client.wire.send(copy);
    }
    request.end = run_end::completed;
}

//-----------------------------------------------------------------------------
// Reports and orders
//-----------------------------------------------------------------------------

std::string backend_server::report(bool health)
{
    const std::lock_guard lock(m_all.mutex);
    json body{{"Phase", "both"},         {"Busy", false}, {"Sequence", m_sequence}, {"Queued", 0}, {"Running", m_running}, {"Models", {{{"Name", "m"}}}},
              {"Stalled", json::array()}};
    if (m_held.to > 0) {
        body["Models"][0]["Layers"] = {{"From", m_held.from}, {"Target", m_held.to}};
    }
    for (const auto &[id, stream] : m_streams) {
        if (!stream->stalledAt.empty()) {
            body["Stalled"].push_back({{"Id", id}, {"Address", stream->stalledAt}});
        }
    }
    return jsonAnswer(health && m_draining ? "503 Service Unavailable" : "200 OK", body);
}

std::string backend_server::order(const http_message &in, std::optional<layer_span> &load)
{
    const std::lock_guard lock(m_all.mutex);
    const json body = json::parse(in.body, nullptr, false);
    if (in.header("x-chestnutgw-target-instance") != idLocked()) {
        return jsonAnswer("421 Misdirected Request", json::object());
    }
    const std::string operation = body.value("Operation", "");
    if (operation == "repath") {
        return repath(body.value("Id", ""), body.value("Path", ""));
    }
    if (operation != "place") {
        return jsonAnswer("400 Bad Request", json::object());
    }
    if (body.value("Expected", m_sequence) != m_sequence) {
        return jsonAnswer("409 Conflict", json::object());
    }
    ++m_sequence;
    load = layer_span{body.value("From", 0), body.value("Target", 0)};
    return jsonAnswer("202 Accepted", json::object());
}

std::string backend_server::repath(const std::string &id, const std::string &path)
{
    const auto found = m_streams.find(id);
    if (found == m_streams.end()) {
        return jsonAnswer("404 Not Found", json::object());
    }
    std::vector<stage> stages = parsePath(path);
    for (stage &one : stages) {
        const std::vector<stage> &kept = found->second->path;
        const auto same = std::find_if(kept.begin(), kept.end(), [&](const stage &old) { return old.address == one.address; });
        if (same != kept.end()) {
            one.boot = same->boot;
        } else if (!stageProblem(one, false).empty()) {
            return jsonAnswer("409 Conflict", {{"Address", one.address}});
        }
    }
    found->second->path = stages;
    return jsonAnswer("200 OK", json::object());
}

}
