#pragma once

#include "process.h"
#include "standin/standin.h"

#include <future>
#include <map>

namespace chestnut::test
{

// Entry instances over two or three failure domains before stand-ins, all on loopback with ports from the kernel.
// The stand-ins run inside the test process, the instances are processes of their own.
class cluster
{
public:
    struct options
    {
        int entries = 3;                        // instances, spread over the failure domains
        int domains = 3;                        // failure domains
        int stages = 2;                         // stages of the model
        int enginesPerStage = 2;                // engines that hold each range
        int layers = 12;                        // of model m1
        double layerMs = 0.5;                   // service time of a layer
        std::vector<std::string> entrySettings; // added for each instance
        milliseconds retention{3'600'000};      // of the log
        milliseconds serviceTime{0};            // of the plain service
        double appendsPerSecond = 400;          // log's rate limit
        bool links = false;                     // each instance reaches the log over a link of its own
        bool controllers = false;               // engines start empty and controllers place the model
        bool checksFence = true;                // engines refuse old fencing numbers
    };

    explicit cluster(const options &wanted);

    // Publishes the sheet and waits until every instance has it in force.
    void publish();
    std::string sheet() const;
    child_process &startEntry(const std::string &name, const std::vector<std::string> &extra = {});
    child_process &startController(const std::string &name);
    // Posts faults to an instance's /test/faults.
    void setEntryFaults(int entry, const nlohmann::json &faults) const;
    nlohmann::json status(int entry) const;
    // Sends a chat request through an instance.
    http_result chat(int entry, const std::string &prompt, int maxTokens, bool stream = false) const;
    http_request chatRequest(int entry, const std::string &prompt, int maxTokens, bool stream = false) const;
    http_request submission(int entry, const std::string &key, const std::string &body) const;
    std::string expected(const std::string &prompt, int maxTokens) const;
    std::string url(int entry) const
    {
        return "http://" + entries[static_cast<std::size_t>(entry)]->address();
    }
    // Runs of each idempotency key over all replicas.
    std::map<std::string, int> runs() const;
    engine_standin &engine(int stage, int number)
    {
        return *engines[static_cast<std::size_t>(stage * m_options.enginesPerStage + number)];
    }

    std::unique_ptr<log_standin> log;
    std::vector<std::unique_ptr<engine_standin>> engines; // stage by stage
    std::vector<std::unique_ptr<service_standin>> services;
    std::vector<std::unique_ptr<link_standin>> links; // to the log, by entry
    std::vector<std::unique_ptr<child_process>> entries;
    std::vector<std::unique_ptr<child_process>> controllers;

private:
    options m_options;
};

// Sends requests while the test goes on; get() waits for all answers.
std::future<std::vector<http_result>> sendInBackground(std::vector<http_request> requests);

// Text of an answer to a chat request, streamed or whole; empty unless it is complete.
std::string answerText(const http_result &result);

constexpr const char *TEST_KEY = "secret";

}
