#pragma once

// Answers of a server that nobody may rely on, and the result that a call to it passes to its callback.

#include "kernel/event_loop.h"
#include "scripted_server.h"

#include <functional>
#include <future>
#include <string>
#include <vector>

namespace chestnut::test
{

// An answer after which the server closes the connection.
struct broken_answer
{
    const char *name;
    std::string bytes;
    bool resets = false; // closes with a TCP reset
};

// Heads of a success that stop before their end.
extern const std::vector<broken_answer> CUT_HEADS;
// Whole answers whose status is none that a server may send.
extern const std::vector<broken_answer> INVALID_STATUSES;
std::vector<broken_answer> allBroken();

// Script of a server that gives each request this answer.
server_script sending(const broken_answer &answer);

// Runs a call on an event loop of its own, and returns the result that it passes to its callback.
template <typename result>
result callOnLoop(const std::function<void(event_loop &, std::function<void(result)>)> &call)
{
    event_loop loop("test");
    std::promise<result> done;
    loop.post([&] { call(loop, [&](result given) { done.set_value(std::move(given)); }); });
    result got = done.get_future().get();
    loop.stop();
    return got;
}

}
