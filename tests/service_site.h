#pragma once

#include "cluster.h"
#include "scripted_server.h"

#include <stdexcept>
#include <string>
#include <vector>

namespace chestnut::test
{

// One instance of chestnutgw-entry whose sheet names a service with these replicas; `repeat` is the sheet's field.
class service_site
{
public:
    service_site(const std::vector<const scripted_server *> &replicas, int deadlineMs, const std::string &repeat = "repeatable")
        : m_cluster(makeOptions())
    {
        m_cluster.publish();
        config_row service;
        service.kind = "service";
        service.name = "lookup";
        service.repeat = repeat;
        service.deadlineMs = deadlineMs;
        std::vector<config_row> rows{service};
        for (std::size_t i = 0; i < replicas.size(); ++i) {
            config_row replica;
            replica.kind = "replica";
            replica.name = "l" + std::to_string(i);
            replica.of = "lookup";
            replica.failureDomain = "domain-a";
            replica.address = replicas[i]->address();
            replica.state = "active";
            rows.push_back(replica);
        }
        const std::string added = formatSheet(rows);
        if (!request("POST", m_cluster.url(0) + "/operator/sheets", m_cluster.sheet() + added.substr(added.find('\n') + 1)).ok()) {
            throw std::runtime_error("the sheet was not accepted");
        }
    }

    // The idempotency key is left out if it is empty.
    http_result call(const std::string &body = "body", const std::string &key = "") const
    {
        std::vector<std::string> headers{std::string("Authorization: Bearer ") + TEST_KEY};
        if (!key.empty()) {
            headers.push_back("Idempotency-Key: " + key);
        }
        return request("POST", m_cluster.url(0) + "/services/lookup/x", body, headers);
    }

private:
    static cluster::options makeOptions()
    {
        cluster::options options;
        options.entries = 1;
        options.enginesPerStage = 0;
        return options;
    }

    cluster m_cluster;
};

}
