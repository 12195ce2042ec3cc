#pragma once

// Starts a coroutine; an exception that leaves it is logged instead of being lost.

#include "kernel/log.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <exception>

namespace chestnut
{

inline void spawnLogged(boost::asio::io_context &context, const char *task, boost::asio::awaitable<void> work)
{
    boost::asio::co_spawn(context, std::move(work), [task](const std::exception_ptr &failure) {
        if (!failure) {
            return;
        }
        try {
            std::rethrow_exception(failure);
        } catch (const std::exception &problem) {
            logLine(log_level::error, "task_failed", {{"task", task}, {"reason", problem.what()}});
        }
    });
}

}
