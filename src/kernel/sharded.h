#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <mutex>

namespace chestnut
{

// State split into shards by the hash of a key, each shard with its own lock. A key always maps to the same shard.
template <typename state, std::size_t count = 16>
class sharded
{
public:
    // Locks the shard of the key, calls use(state &) and returns its result.
    template <typename key_type, typename callable>
    auto with(const key_type &key, callable use)
    {
        shard &chosen = m_shards[std::hash<key_type>()(key) % count];
        const std::lock_guard lock(chosen.mutex);
        return use(chosen.value);
    }

    // Calls use(state &) for each shard in turn. Only one shard is locked at a time.
    template <typename callable>
    void each(callable use)
    {
        for (shard &one : m_shards) {
            const std::lock_guard lock(one.mutex);
            use(one.value);
        }
    }

private:
    struct shard
    {
        std::mutex mutex;
        state value;
    };
    std::array<shard, count> m_shards;
};

}
