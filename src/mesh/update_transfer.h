#pragma once

// Transfers updates between instances in parts, apart from their states: update_source keeps those that peers read, update_reader holds
// what has arrived of those that this instance reads. Does no I/O.
//
// Designed for many instances on slow links that all lack the same large configuration. Carried by states, it would exceed their time
// limit, and every partner would send it anew from its first byte, for as long as it is missing. Here the reader asks one peer at a time,
// for the next part once it has the one before. So no byte is sent twice, a link carries at most one part for each reader, and states
// pass between the parts.

#include "kernel/ids.h"
#include "mesh/update_position.h"

#include <list>
#include <memory>
#include <optional>

namespace chestnut
{

constexpr std::size_t MAX_PART_BYTES = 8 * 1024; // a state that covers a hundred servers is about as large

struct update_part
{
    std::uint64_t transfer = 0; // id, unique among all processes of the sender; 0 = none
    std::uint64_t total = 0;    // bytes of all parts together; 0 = the reader lacks nothing
    std::string content;
};

// Updates that peers read from this instance.
class update_source
{
public:
    using exporter = std::function<std::string()>; // serializes updates

    // `incarnation` is the start time of the process in ms.
    explicit update_source(std::uint64_t incarnation)
        : m_lastTransfer(incarnation << PROCESS_SHIFT)
    {
    }
    // Updates that lead from one position to another. If they do not fit into one part they are kept, and exported once for all peers.
    std::shared_ptr<const std::string> updates(const update_position &since, const update_position &until, steady_time now, const exporter &make);
    // First part of such updates.
    update_part firstPart(const update_position &since, const update_position &until, steady_time now, const exporter &make);
    // The part of a transfer that begins at an offset; nothing if the updates are not kept any more or end before it.
    std::optional<update_part> part(std::uint64_t transfer, std::uint64_t offset, steady_time now);

private:
    struct kept_updates
    {
        update_position since;
        update_position until;
        std::uint64_t transfer = 0;
        std::shared_ptr<const std::string> content;
        steady_time lastUsed;
    };
    static constexpr int PROCESS_SHIFT = 20; // leaves room for the transfers of one process
    static constexpr std::size_t MAX_KEPT = 32;
    static constexpr milliseconds KEPT_FOR{5000}; // since they were last used

    kept_updates *find(const update_position &since, const update_position &until, steady_time now);
    void dropUnused(steady_time now);

    std::uint64_t m_lastTransfer;
    std::list<kept_updates> m_kept; // the last used first
};

// Updates that this instance reads, from one peer at a time.
class update_reader
{
public:
    bool reading() const
    {
        return m_reading;
    }
    // Begins to read from a peer, or goes on where an earlier transfer from the same peer has stopped.
    void begin(const std::string &peer);
    const std::string &peer() const
    {
        return m_peer;
    }
    // Transfer to ask for, 0 = begin one.
    std::uint64_t transfer() const
    {
        return m_transfer;
    }
    // Offset of the next part.
    std::uint64_t offset() const
    {
        return m_content.size();
    }
    // Takes the part that was asked for, or the first one of another transfer. Returns the updates once they are complete, and then stops.
    // Throws std::invalid_argument if the part is malformed.
    std::optional<std::string> take(const update_part &part);
    // Stops reading. What has been read is kept for a further begin().
    void stop()
    {
        m_reading = false;
    }

private:
    static constexpr std::uint64_t MAX_TOTAL = std::uint64_t(16) << 20; // bytes; several times the largest record of the store

    void forget();

    bool m_reading = false;
    std::string m_peer;
    std::uint64_t m_transfer = 0;
    std::string m_content;
};

}
