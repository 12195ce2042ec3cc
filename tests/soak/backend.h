#pragma once

// Stand-ins of backend servers: engines that hold layers and stream events, and plain servers. The rig makes them fall silent,
// refuse, crash, restart and drain.

#include "content.h"
#include "ledger.h"
#include "link.h"
#include "wire.h"

#include "platform/standin/store_standin.h"

#include <list>
#include <memory>
#include <optional>
#include <thread>

namespace chestnut::soak
{

struct layer_span
{
    int from = 0;
    int to = 0; // exclusive
};

struct server_plan
{
    std::string name;
    std::string service;
    layer_span held; // empty for a plain server
};

// How a server sends its answers.
enum class answer_manner
{
    usual,
    without_length, // neither a length nor chunks: the answer ends with its connection
    late_copy,      // a second copy a little later, on the same connection
    byte_by_byte,
    endless // bytes without end, of which no answer comes
};

const char *toText(answer_manner manner);

// A stage of the path of a stream.
struct stage
{
    std::string address;
    int boot = 0; // of the server when the stream began there
    layer_span layers;
};

class backend_server;

// All backend servers of a deployment. Its mutex guards the state of each of them.
struct fleet
{
    ledger &book;
    platform::store_standin &store;
    link_network *links = nullptr; // through which servers are reached; null = directly
    seeded_fault fault = seeded_fault::none;
    std::mutex mutex;
    std::map<std::string, backend_server *> byAddress;
};

class backend_server
{
public:
    backend_server(fleet &all, server_plan plan);
    ~backend_server();
    backend_server(const backend_server &) = delete;
    backend_server &operator=(const backend_server &) = delete;

    const server_plan &plan() const
    {
        return m_plan;
    }
    // Address at which gateways reach the server.
    const std::string &address() const
    {
        return m_address;
    }
    // Sends no byte for a while and then goes on.
    void fallSilent(milliseconds length);
    // Turns new requests away for a while.
    void refuse(milliseconds length);
    // Sends answers in another manner for a while.
    void answerIn(answer_manner manner, milliseconds length);
    // Resets all connections and stops listening.
    void crash();
    // True if a prompt has ended this server, once: the rig has to crash it.
    bool takeCrashWish();
    // Starts listening again, under a new id; with the planned layers if `loaded`, else without any.
    void restart(bool loaded = false);
    // Registers as draining.
    void beginDrain();
    // Stops listening and closes idle connections; requests in flight are finished.
    void leave();

private:
    struct connection
    {
        explicit connection(unique_fd socket)
            : wire(std::move(socket))
        {
        }
        wire_socket wire;
        std::thread worker;
        bool busy = false; // with a request
        std::atomic<bool> finished = false;
    };
    struct active_stream
    {
        std::vector<stage> path;
        std::string stalledAt; // address of the stage that it waits for
    };
    struct running_request // one that this server works on
    {
        std::size_t entry = 0; // in the ledger
        connection &client;
        int boot = 0;
        steady_time deadline;
        std::shared_ptr<active_stream> stream; // null for plain requests
        answer_manner manner = answer_manner::usual;
        int events = 0;
        bool disturbed = false;
        run_end end = run_end::running;
    };
    enum class waited
    {
        over,
        ended // running_request::end says why
    };

    void start();
    void accept(int boot);
    void serve(connection &client, int boot);
    bool handle(connection &client, int boot, const http_message &in);
    // Waits for a time during which this server and those on the path work.
    waited pause(running_request &request, milliseconds length);
    // Updates the stage that a stream waits for. Returns false if that has been down for too long.
    bool checkStages(running_request &request);
    bool sendPart(running_request &request, const std::string &bytes);
    // Sends bytes until the gateway closes the connection, or for some time.
    void sendEndlessly(running_request &request, const std::string &bytes);
    // The answer was sent whole. `copy` is what follows late if the server sends second copies.
    void finishAnswer(running_request &request, const std::string &copy);
    // A prompt ends the server shortly after the first event.
    void crashByPrompt(running_request &request);
    void serveStream(running_request &request, const http_message &in, const std::string &subject, const std::string &head);
    void servePlain(running_request &request, const std::string &subject, const std::string &head);
    std::string report(bool health);
    std::string order(const http_message &in, std::optional<layer_span> &load);
    std::string repath(const std::string &id, const std::string &path);
    // Reason to turn a request away as "status\naddress at fault"; empty if there is none. Fills the path.
    std::string obstacle(const http_message &in, std::vector<stage> &path);
    std::string stageProblem(stage &one, bool first);
    void list(const std::string &state);
    std::string idLocked() const;
    bool silentLocked() const;

    fleet &m_all;
    server_plan m_plan;
    int m_port = 0;
    std::string m_address;
    // Guarded by the fleet's mutex.
    bool m_up = false;
    bool m_draining = false;
    bool m_crashWish = false;
    int m_boot = 0;
    int m_sequence = 0;      // orders begun since the start
    std::int64_t m_born = 0; // time of the start
    int m_entries = 0;       // written to the store since the start
    int m_running = 0;
    layer_span m_held;
    steady_time m_silentUntil{};
    steady_time m_refusesUntil{};
    answer_manner m_manner = answer_manner::usual;
    steady_time m_mannerUntil{}; // of the manner
    steady_time m_downSince{};
    std::map<std::string, std::shared_ptr<active_stream>> m_streams;
    std::list<connection> m_connections;
    unique_fd m_listener;
    std::thread m_acceptor;
};

// Parses "IP:PORT=FROM-TO,...".
std::vector<stage> parsePath(const std::string &text);
// True if the stages run each layer once and in order.
bool coversLayers(const std::vector<stage> &path);

}
