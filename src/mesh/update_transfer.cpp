#include "mesh/update_transfer.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace chestnut
{

namespace
{

update_part cut(std::uint64_t transfer, const std::string &updates, std::uint64_t offset)
{
    return {transfer, updates.size(), updates.substr(offset, MAX_PART_BYTES)};
}

}

//-----------------------------------------------------------------------------
// Source
//-----------------------------------------------------------------------------

std::shared_ptr<const std::string> update_source::updates(const update_position &since, const update_position &until, steady_time now, const exporter &make)
{
    dropUnused(now);
    if (const kept_updates *kept = find(since, until, now)) {
        return kept->content;
    }
    auto content = std::make_shared<const std::string>(make());
    if (content->size() > MAX_PART_BYTES) {
        m_kept.push_front({since, until, ++m_lastTransfer, content, now});
        m_kept.resize(std::min(m_kept.size(), MAX_KEPT));
    }
    return content;
}

update_part update_source::firstPart(const update_position &since, const update_position &until, steady_time now, const exporter &make)
{
    const auto content = updates(since, until, now, make);
    const kept_updates *kept = find(since, until, now);
    return cut(kept != nullptr ? kept->transfer : ++m_lastTransfer, *content, 0);
}

std::optional<update_part> update_source::part(std::uint64_t transfer, std::uint64_t offset, steady_time now)
{
    const auto kept = std::find_if(m_kept.begin(), m_kept.end(), [transfer](const kept_updates &one) { return one.transfer == transfer; });
    if (kept == m_kept.end() || offset >= kept->content->size()) {
        return std::nullopt;
    }
    kept->lastUsed = now;
    m_kept.splice(m_kept.begin(), m_kept, kept);
    return cut(transfer, *kept->content, offset);
}

update_source::kept_updates *update_source::find(const update_position &since, const update_position &until, steady_time now)
{
    const auto kept = std::find_if(m_kept.begin(), m_kept.end(), [&](const kept_updates &one) { return one.since == since && one.until == until; });
    if (kept == m_kept.end()) {
        return nullptr;
    }
    kept->lastUsed = now;
    m_kept.splice(m_kept.begin(), m_kept, kept);
    return &m_kept.front();
}

void update_source::dropUnused(steady_time now)
{
    while (!m_kept.empty() && now - m_kept.back().lastUsed > KEPT_FOR) {
        m_kept.pop_back();
    }
}

//-----------------------------------------------------------------------------
// Reader
//-----------------------------------------------------------------------------

void update_reader::begin(const std::string &peer)
{
    if (m_peer != peer) {
        forget();
        m_peer = peer;
    }
    m_reading = true;
}

std::optional<std::string> update_reader::take(const update_part &part)
{
    if (part.transfer != m_transfer) { // the peer no longer has the earlier one
        forget();
        m_transfer = part.transfer;
    }
    const std::uint64_t size = m_content.size() + part.content.size();
    const bool stuck = part.content.empty() && part.total > 0;
    if (stuck || part.total > MAX_TOTAL || size > part.total) {
        forget();
        stop();
        throw std::invalid_argument("a part of " + std::to_string(part.content.size()) + " of " + std::to_string(part.total) + " bytes");
    }
    m_content += part.content;
    if (size < part.total) {
        return std::nullopt;
    }
    std::string updates = std::exchange(m_content, {});
    forget();
    stop();
    return updates;
}

void update_reader::forget()
{
    m_transfer = 0;
    m_content = {};
}

}
