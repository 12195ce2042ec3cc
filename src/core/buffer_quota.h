#pragma once

// Shares out the memory for bytes that an instance keeps until a message is complete. No I/O.
//
// Designed for many faulty servers or clients that send bytes without end at the same time: each exchange stays within its own limit, but
// all of them together exceed the memory of the instance, whose other requests would end with it.

#include <cstddef>

namespace chestnut
{

class buffer_quota
{
public:
    static constexpr std::size_t MAX_TOTAL = std::size_t(32) << 20; // bytes of all exchanges, unless setLimit() is called
    // Bytes that one exchange may keep although the total is exceeded. Most sound messages are smaller.
    static constexpr std::size_t SMALL = std::size_t(32) << 10;

    std::size_t total() const
    {
        return m_total;
    }
    std::size_t limit() const
    {
        return m_limit;
    }
    void setLimit(std::size_t bytes)
    {
        m_limit = bytes;
    }

private:
    friend class buffered_bytes;

    std::size_t m_total = 0;
    std::size_t m_limit = MAX_TOTAL;
};

// Bytes that one exchange keeps; counted in the quota until destroyed.
class buffered_bytes
{
public:
    explicit buffered_bytes(buffer_quota &quota)
        : m_quota(quota)
    {
    }
    ~buffered_bytes()
    {
        set(0);
    }
    buffered_bytes(const buffered_bytes &) = delete;
    buffered_bytes &operator=(const buffered_bytes &) = delete;

    std::size_t size() const
    {
        return m_bytes;
    }
    // The exchange keeps so many bytes from now on.
    void set(std::size_t bytes)
    {
        m_quota.m_total += bytes - m_bytes;
        m_bytes = bytes;
    }
    void grow(std::size_t bytes)
    {
        set(m_bytes + bytes);
    }
    // True if this exchange must be ended, so that the memory lasts for the others.
    bool exceeded() const
    {
        return m_quota.m_total > m_quota.m_limit && m_bytes > buffer_quota::SMALL;
    }

private:
    buffer_quota &m_quota;
    std::size_t m_bytes = 0;
};

}
