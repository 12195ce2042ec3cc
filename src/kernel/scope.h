#pragma once

#include <unistd.h>
#include <utility>

namespace chestnut
{

// Calls a function at the end of the scope, unless dismiss() was called.
template <typename callable>
class scope_guard
{
public:
    explicit scope_guard(callable onExit)
        : m_onExit(std::move(onExit))
    {
    }
    ~scope_guard()
    {
        if (m_armed) {
            m_onExit();
        }
    }
    scope_guard(const scope_guard &) = delete;
    scope_guard &operator=(const scope_guard &) = delete;
    void dismiss()
    {
        m_armed = false;
    }

private:
    callable m_onExit;
    bool m_armed = true;
};

// Owns a file descriptor and closes it on destruction.
class unique_fd
{
public:
    explicit unique_fd(int fd = -1)
        : m_fd(fd)
    {
    }
    ~unique_fd()
    {
        if (m_fd >= 0) {
            ::close(m_fd);
        }
    }
    unique_fd(unique_fd &&other) noexcept
        : m_fd(std::exchange(other.m_fd, -1))
    {
    }
    unique_fd &operator=(unique_fd &&other) noexcept
    {
        std::swap(m_fd, other.m_fd);
        return *this;
    }
    int get() const
    {
        return m_fd;
    }

private:
    int m_fd;
};

}
