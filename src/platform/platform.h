#pragma once

#include "core/chestnutgw.h"
#include "kernel/event_loop.h"

#include <functional>
#include <string>
#include <vector>

namespace chestnut
{

// A record read from the log.
struct log_entry
{
    log_offset offset;
    std::int64_t timeMs = 0; // time of the append by the clock of the log service, in ms
    std::string data;
};

struct append_result
{
    append_status status = append_status::unknown;
    log_offset first; // offset of the first appended record, 0 unless the status is appended
};

struct read_result
{
    bool ok = false;
    log_offset oldest;              // lowest offset that the log still holds
    log_offset next;                // offset of the next record to be appended
    std::vector<log_entry> entries; // in ascending order of their offsets
};

// Append-only log of the platform. All functions are called, and all callbacks run, on the loop passed to the factory.
class log_service
{
public:
    virtual ~log_service() = default;
    // Appends the records in order.
    virtual void append(const std::string &stream, std::vector<std::string> records, std::function<void(append_result)> done) = 0;
    // Reads up to `limit` records at or above `from`. Waits up to `wait` for the first one. Offset 0 reads from the oldest record.
    virtual void read(const std::string &stream, log_offset from, int limit, milliseconds wait, std::function<void(read_result)> done) = 0;
};

// Entry of the instance list of the platform. The list may lag behind the actual state.
struct listed_instance
{
    std::string name;
    std::string role;    // server, replica or entry
    std::string address; // IP:port
    domain_id domain;
    bool leaving = false;
};

// Alternative source of a stream, used while the log cannot be reached.
using stream_source = std::function<void(const std::string &stream, log_offset from, std::function<void(read_result)> done)>;

// Instance list of the platform. Functions and callbacks run on the loop passed to the factory.
class instance_list
{
public:
    virtual ~instance_list() = default;
    // Calls done with std::nullopt if the list cannot be read.
    virtual void fetch(std::function<void(std::optional<std::vector<listed_instance>>)> done) = 0;
};

// Factories take the loop and the base URL. Adapters register under the name that the settings refer to:
// plugin_registry<log_service, event_loop &, const std::string &>
// plugin_registry<instance_list, event_loop &, const std::string &>

}
