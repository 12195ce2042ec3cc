#pragma once

// What clients and backend servers saw, and what was done to the deployment, for the judges.

#include "kernel/ids.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace chestnut::soak
{

constexpr milliseconds NEVER{1'000'000'000};

// The routes by what may be repeated.
enum class request_kind
{
    safe,
    once,   // at most once
    stream, // may be resumed
    single  // a stream that may not be resumed
};

const char *toText(request_kind kind);

// One attempt of a client. Times are since the start of the soak.
struct attempt
{
    std::string id;
    std::string subject; // determines the answer's content; the same for all attempts of a request
    request_kind kind = request_kind::safe;
    std::string gateway; // name of the instance
    int boot = 0;        // of its process
    std::string key;
    milliseconds written{0}; // the last byte of the request was written, maybe behind other requests on its connection
    milliseconds sent{0};    // it was written, and the answers to the requests before it were read
    milliseconds ended{0};   // the answer was complete, or reading ended
    milliseconds allowed{0}; // the client's and the route's limit, whichever is shorter
    int status = 0;
    bool isSigned = false; // the answer bears a server's signature
    bool complete = false; // the answer is complete
    bool left = false;     // the client closed the connection
    bool crossed = false;  // an answer before it on the connection announced its close
    std::string how;       // how reading ended
    std::string mixed;     // what is wrong with the content
    std::string disorder;  // what is wrong with the order of events
    int events = 0;
};

enum class run_end
{
    running,
    completed,
    broke_off, // the server crashed or broke off
    released,  // the gateway closed the connection
    late       // the deadline passed
};

const char *toText(run_end end);

// One request that reached a server.
struct run
{
    std::string id;
    std::string server;
    std::string service;
    milliseconds arrived{0};
    milliseconds ended{NEVER};
    run_end end = run_end::running;
    bool executed = true;   // false: turned away
    bool disturbed = false; // a server on its path was down
    bool crashing = false;  // its prompt ends servers
    bool leaving = false;   // the answer says that the server is about to leave
    milliseconds quiet{0};  // for which the refusal asks to be left alone
    std::string flaw;       // rule that the request itself breaks, and how
    int events = 0;
};

constexpr const char *CRASH_BY_PROMPT = "crash by a prompt"; // kind of incident
// Links as parties: the name of a server or gateway with one of these behind it.
constexpr const char *SERVER_LINK = " link";
constexpr const char *STORE_LINK = " store link";
constexpr const char *CLIENT_LINK = " client link";

// What happened to one party, from its beginning to its end.
struct incident
{
    milliseconds from{0};
    milliseconds to{0};
    std::string what;
    std::string party;
    bool planned = false; // planned work (SIGTERM, SIGHUP, configuration), or a delay that a link adds: excuses nothing
};

class ledger
{
public:
    ledger();
    milliseconds now() const;

    void add(attempt one);
    // Returns the index of the run.
    std::size_t begin(run one);
    void end(std::size_t index, run_end how, int events, bool disturbed);
    void add(incident one);

    std::vector<attempt> attempts() const;
    // Runs by request id, in order of arrival.
    std::map<std::string, std::vector<run>> runs() const;
    std::vector<incident> incidents() const;

private:
    steady_time m_start;
    mutable std::mutex m_mutex;
    std::vector<attempt> m_attempts;
    std::vector<run> m_runs;
    std::vector<incident> m_incidents;
};

}
