// Tests chestnutgw-entry with sound partners that fall silent for about a second and then go on. Sections: services, operators.

#include "cluster.h"
#include "scripted_server.h"

#include <atomic>
#include <catch2/catch.hpp>

using namespace chestnut;
using namespace chestnut::test;

namespace
{

constexpr int SILENCE_MS = 1300;

std::string plainAnswer(const std::string &statusLine, const std::string &body, const std::string &headers = {})
{
    return "HTTP/1.1 " + statusLine + "\r\n" + headers + "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}

//-----------------------------------------------------------------------------
// Services
//-----------------------------------------------------------------------------

namespace
{

// One instance whose sheet names a repeatable service with these replicas.
class service_site
{
public:
    service_site(const std::vector<const scripted_server *> &replicas, int deadlineMs)
        : m_cluster(makeOptions())
    {
        m_cluster.publish();
        config_row service;
        service.kind = "service";
        service.name = "lookup";
        service.repeat = "repeatable";
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

    http_result call() const
    {
        return request("POST", m_cluster.url(0) + "/services/lookup/x", "body", {std::string("Authorization: Bearer ") + TEST_KEY});
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

TEST_CASE("a repeatable call that a silent replica may have run is not reported as not_run", "[failure]")
{
    const bool refusesNext = GENERATE(false, true);
    std::atomic<int> calls = 0;
    // The first replica asked takes the call and breaks off or stays silent; the other one refuses.
    const server_script script = [&](raw_connection &out, const raw_request &) {
        if (calls++ > 0) {
            out.write(plainAnswer("503 Service Unavailable", "{}", "Chestnutgw-Verdict: not_run\r\n"));
            return true;
        }
        if (!refusesNext) {
            out.waitForClose(SILENCE_MS);
        }
        return false;
    };
    const scripted_server first(script);
    const scripted_server second(script);
    const service_site site({&first, &second}, 600);
    const http_result result = site.call();
    CHECK(result.status >= 500);
    CHECK(result.verdictHeader == "may_have_run");
    CHECK(calls == (refusesNext ? 2 : 1));
}

TEST_CASE("a repeatable call that every replica refused is reported as not_run", "[failure]")
{
    const server_script script = [](raw_connection &out, const raw_request &) {
        out.write(plainAnswer("503 Service Unavailable", "{}", "Chestnutgw-Verdict: not_run\r\n"));
        return true;
    };
    const scripted_server first(script);
    const scripted_server second(script);
    const service_site site({&first, &second}, 600);
    CHECK(site.call().verdictHeader == "not_run");
}

//-----------------------------------------------------------------------------
// Operators
//-----------------------------------------------------------------------------

TEST_CASE("two requests with the id of one change are both answered while the log is silent", "[failure]")
{
    cluster::options options;
    options.entries = 1;
    options.enginesPerStage = 0;
    cluster all(options);
    all.publish();
    all.log->setFaults({{"stall", true}});
    http_request change;
    change.method = "POST";
    change.url = all.url(0) + "/operator/sheets?id=same&wait_ms=30000";
    change.body = all.sheet() + "model,m2,,,,,8,,,,,,,,\n";
    change.totalTimeout = milliseconds(20'000);
    auto answers = sendInBackground({change, change});
    CHECK(eventually([&] { return all.status(0)["log_reachable"] == false; }));
    all.log->setFaults({{"stall", false}});
    for (const http_result &one : answers.get()) {
        INFO(one.error << " " << one.body);
        CHECK(one.status == 200);
    }
}
