#pragma once

// Deployment for tests of chestnutgw-gateway: a store, gateway processes, and the messages that clients and scripted backend
// servers exchange with them.

#include "platform/standin/store_standin.h"
#include "process.h"
#include "scripted_server.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace chestnut::test
{

extern const std::string SIGNATURE; // header line that marks a response as a server's own

// A whole 200 response; `more` holds further header lines.
std::string answer(const raw_request &request, const std::string &body, const std::string &more = "");
// A refusal that states that the request was not executed.
std::string notRun(const raw_request &request);
// Head of a stream, whose events follow as HTTP chunks.
std::string streamHead(const raw_request &request);
// One event of a stream; its data is "piece" and the id.
std::string event(int id);
std::string chunk(const std::string &bytes);
// Events `first` to `last` of a stream, each as an HTTP chunk.
std::string events(int first, int last);
// Id of the first event that a stream request asks for: the one after its Last-Event-Id, else 0.
int firstEventOf(const raw_request &request);
// Answer to /report, with at most one stalled request and the address of the stage that it waits for.
std::string report(const raw_request &request, const std::string &stalledId = "", const std::string &stalledAddress = "");

// Script of a server that gives each request the same answer.
server_script answering(const std::string &body);
// Script of a server that sends each stream up to event `last`, from the event that is asked for on, and reports no stalled request.
server_script streaming(int last);

// Store, gateway processes and their configuration.
class deployment
{
public:
    explicit deployment(int endpoints = 1);

    // Writes a configuration with one plain and one engine service and a route of each kind; `changes` is a JSON merge patch.
    void publish(int version, const nlohmann::json &changes = nlohmann::json::object());
    // Lists a server; `to` > 0 gives it the layers from `from` to `to`, exclusive. It runs `slots` requests at a time.
    void addServer(const std::string &id, const std::string &service, const std::string &address, int from = 0, int to = 0, const std::string &state = "ready",
                   int slots = 6);
    child_process &startGateway(const std::string &name = "g1", int endpoint = 0, const std::vector<std::string> &moreSettings = {});
    std::string front(std::size_t gateway = 0) const;
    int readyStatus(std::size_t gateway = 0) const;
    // Metrics of a gateway in the Prometheus text format.
    std::string metricsText(std::size_t gateway = 0) const;
    // Publishes the configuration, starts a gateway and waits until it is ready. Settings are "key=value" and replace the defaults.
    void start(const std::vector<std::string> &moreSettings = {});

    platform::store_standin store;
    std::vector<std::unique_ptr<child_process>> gateways;
};

std::string makeRequest(const std::string &path, const std::string &id, const std::string &more = "", const std::string &body = "",
                        const std::string &key = "key1");
// Status of the first response in the bytes, 0 if there is none.
int statusOf(const std::string &bytes);
// Sends a request on a new connection and reads the response until the connection closes.
std::string exchange(const std::string &front, const std::string &bytes, int limitMs = 9000);
int countOf(const std::string &text, const std::string &part);
// True if the answer is a complete stream with the events 0 to `last`, each once.
bool isWholeStream(const std::string &got, int last);

}
