#pragma once

// Completion token of asynchronous operations in coroutines.

#include <utility> // which awaitable.hpp of Boost 1.74 does not include

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chestnut
{

// Stores the error code of an operation instead of throwing it.
inline auto into(boost::system::error_code &error)
{
    return boost::asio::redirect_error(boost::asio::use_awaitable, error);
}

}
