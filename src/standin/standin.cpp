#include "standin/standin.h"

namespace chestnut
{

namespace
{

// Sets target to the member of that name, if there is one.
template <typename value>
void readMember(const nlohmann::json &change, const char *name, value &target)
{
    if (change.contains(name)) {
        change.at(name).get_to(target);
    }
}

}

standin::standin(const std::string &name, std::uint16_t port)
    : m_name(name)
    , m_requestedPort(port)
    , m_loop(std::make_unique<event_loop>(name))
{
}

std::uint16_t standin::port() const
{
    return m_server->port();
}

std::string standin::url() const
{
    return "http://" + address();
}

std::string standin::address() const
{
    return "127.0.0.1:" + std::to_string(port());
}

void standin::listen()
{
    http_server_options options;
    options.port = m_requestedPort;
    options.maxBodyBytes = 64 << 20;
    m_server = std::make_unique<http_server>(options, [this](const call_pointer &call) { m_loop->post([this, call] { receive(call); }); });
}

void standin::stopServing()
{
    m_server.reset(); // before the loop, because the server's threads post to it
    m_loop.reset();
    m_unansweredCalls.clear();
}

void standin::receive(const call_pointer &call)
{
    m_lastConnection = std::max(m_lastConnection, call->connection());
    if (call->path() == "/faults") {
        if (call->method() == "PUT") {
            const auto change = nlohmann::json::parse(call->body(), nullptr, false);
            if (!change.is_object()) {
                call->respond(errorResponse(400, "bad_faults", "the body must be a JSON object", verdict::not_run));
                return;
            }
            changeFaults(change);
        }
        call->respond({200, "{}\n", "application/json", {}});
        return;
    }
    if (m_faults.crash) {
        call->cut();
        return;
    }
    if (m_faults.stall || isConnectionStalled(call)) {
        m_unansweredCalls.push_back(call);
        return;
    }
    if (m_faults.refuse) {
        call->respond(errorResponse(503, "refused", "refused by a fault", verdict::not_run, milliseconds(1000)));
        return;
    }
    handle(call);
}

void standin::setFaults(const nlohmann::json &change)
{
    m_loop->run([&] { changeFaults(change); });
}

void standin::changeFaults(const nlohmann::json &change)
{
    readMember(change, "delay_ms", m_faults.delayMs);
    readMember(change, "drop_answers", m_faults.dropAnswers);
    readMember(change, "refuse", m_faults.refuse);
    readMember(change, "stall", m_faults.stall);
    readMember(change, "silence", m_faults.silence);
    readMember(change, "crash", m_faults.crash);
    readMember(change, "leaving", m_faults.leaving);
    readMember(change, "slow", m_faults.slow);
    if (m_faults.silence) {
        m_lastStalledConnection = m_lastConnection;
        m_faults.silence = false;
    }
    if (m_faults.crash || !m_faults.stall) {
        for (const call_pointer &call : m_unansweredCalls) {
            call->cut();
        }
        m_unansweredCalls.clear();
    }
    onFaultsChanged();
}

bool standin::isConnectionStalled(const call_pointer &call) const
{
    return call->connection() <= m_lastStalledConnection;
}

void standin::answer(const call_pointer &call, http_response response)
{
    if (isConnectionStalled(call) || m_faults.stall) {
        m_unansweredCalls.push_back(call);
        return;
    }
    if (m_faults.crash) {
        call->cut();
        return;
    }
    if (m_faults.dropAnswers > 0) {
        --m_faults.dropAnswers;
        call->cut();
        return;
    }
    if (m_faults.delayMs > 0) {
        m_loop->after(milliseconds(m_faults.delayMs), [call, response = std::move(response)] { call->respond(response); });
        return;
    }
    call->respond(std::move(response));
}

void standin::answerJson(const call_pointer &call, const nlohmann::json &body, int status)
{
    answer(call, {status, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n", "application/json", {}});
}

}
