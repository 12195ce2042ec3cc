#pragma once

#include "entry/config_service.h"
#include "entry/ledger.h"
#include "entry/pipeline_driver.h"
#include "entry/service_driver.h"
#include "entry/shared_state.h"

namespace chestnut
{

// The parts of the process that the HTTP requests use.
struct http_api_parts
{
    event_loop &control; // event loop of config, claims, members and peers
    config_service &config;
    ledger &claims;
    membership &members;
    peer_node &peers;
    std::vector<std::unique_ptr<pipeline_driver>> &pipelines; // one for each shard
    service_driver &services;
};

// Handles the HTTP requests of clients and operators: authorises each one and dispatches it to the part that serves it. Any thread.
class http_api
{
public:
    http_api(entry_shared &shared, http_api_parts parts);

    void handle(const std::shared_ptr<http_call> &call);

private:
    using call_pointer = std::shared_ptr<http_call>;
    using route_handler = void (http_api::*)(const call_pointer &);

    struct route
    {
        const char *method;
        const char *path; // whole path, or a prefix ending in '/'
        route_handler handler;
        bool operatorOnly; // needs the operator key, if one is set
    };

    std::optional<account_settings> authorise(const call_pointer &call);
    bool reserveCopies(const call_pointer &call, std::size_t copies);
    bool hasOperatorKey(const call_pointer &call) const;
    void chat(const call_pointer &call);
    void models(const call_pointer &call);
    void service(const call_pointer &call);
    void health(const call_pointer &call);
    void readiness(const call_pointer &call);
    void exposeMetrics(const call_pointer &call);
    void status(const call_pointer &call);
    void sheet(const call_pointer &call);
    void publishSheet(const call_pointer &call);
    void setServerState(const call_pointer &call);
    void explain(const call_pointer &call);
    void setLevel(const call_pointer &call);
    void setFaults(const call_pointer &call);
    void publish(const call_pointer &call, config_change change);
    void answerJson(const call_pointer &call, const std::string &body, int status = 200);

    static const route ROUTES[];

    entry_shared &m_shared;
    http_api_parts m_parts;
    std::atomic<std::size_t> m_nextShard = 0;
};

}
