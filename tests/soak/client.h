#pragma once

// Client of the gateways: keeps its connection and goes on using it until it is closed, sends requests of all kinds, some
// pipelined, leaves some early, reads some slowly and retries as the platform's clients do.

#include "content.h"
#include "ledger.h"
#include "wire.h"

#include <functional>
#include <memory>
#include <pcg_random.hpp>

namespace chestnut::soak
{

// A gateway process that takes connections.
struct front
{
    std::string instance;
    int boot = 0;
    std::string address;
};

// What a client knows of the deployment.
struct client_environment
{
    ledger &book;
    std::function<front(std::uint64_t draw)> pickFront;
    std::function<std::string(std::uint64_t draw)> pickKey;
    std::function<milliseconds()> idleLimit; // of connections
    std::function<bool()> stopping;
    std::function<bool(std::uint64_t draw)> sendsCrashingPart; // whether a new stream's prompt ends servers
};

class client
{
public:
    client(client_environment &environment, int seed, int number);
    // Plays requests until the environment is stopping.
    void run();
    // The same for a client that leaves each time before all its answers are complete: at once, so that its requests may not have been
    // read, after a while, in mid-stream, or behind pipelined requests.
    void runLeaving();

private:
    // A request with the time and the attempts that are left.
    struct request
    {
        std::string subject;
        request_kind kind = request_kind::safe;
        int attempts = 0;
        int nextEvent = 0;
        steady_time deadline;
        bool crashing = false; // its prompt ends servers
    };
    enum class manner
    {
        usual,
        leaves,         // closes its connection before the answer is complete
        leaves_at_once, // closes it as soon as the requests are sent
        slow            // reads slowly
    };

    int draw(int count);
    void reconnect();
    request newRequest(request_kind kind);
    std::string encode(const request &one, const attempt &entry) const;
    // Sends the requests at once and reads their answers. Returns the attempts.
    std::vector<attempt> exchange(std::vector<request> &batch, manner how);
    void readAnswer(attempt &entry, request &one, manner how);
    void check(attempt &entry, const request &one, const http_message &answer) const;
    void retry(request one, attempt last);

    client_environment &m_environment;
    pcg32 m_random;
    std::string m_name;
    int m_requests = 0;
    front m_front;
    std::unique_ptr<wire_socket> m_wire;
    milliseconds m_retryAfter{0};
};

}
