#pragma once

#include "core/chestnutgw.h"
#include "kernel/event_loop.h"

#include <functional>
#include <string>
#include <vector>

namespace chestnut
{

// One record as read from the log.
struct log_entry
{
    log_offset offset;
    std::int64_t timeMs = 0; // append time by the log service's clock
    std::string data;
};

struct append_result
{
    append_status status = append_status::unknown;
    log_offset first; // offset of the first record, if appended
};

struct read_result
{
    bool ok = false;
    log_offset oldest;              // lowest offset still kept
    log_offset next;                // offset of the next record to be appended
    std::vector<log_entry> entries; // in order
};

// The platform's append-only log. All functions and callbacks run on the loop given to the factory.
class log_service
{
public:
    virtual ~log_service() = default;
    virtual void append(const std::string &stream, std::vector<std::string> records, std::function<void(append_result)> done) = 0;
    // Waits up to `wait` for a record at or above `from`. Offset 0 reads from the oldest record.
    virtual void read(const std::string &stream, log_offset from, int limit, milliseconds wait, std::function<void(read_result)> done) = 0;
};

// One line of the platform's instance list. The list lags.
struct listed_instance
{
    std::string name;
    std::string role;    // server, replica or entry
    std::string address; // IP:port
    domain_id domain;
    bool leaving = false;
};

// Another place to read a stream from, used while the log cannot be reached.
using stream_source = std::function<void(const std::string &stream, log_offset from, std::function<void(read_result)> done)>;

class instance_list
{
public:
    virtual ~instance_list() = default;
    // Calls done with no value if the list cannot be reached.
    virtual void fetch(std::function<void(std::optional<std::vector<listed_instance>>)> done) = 0;
};

// Factories take the loop and the base URL. Adapters register under a name given in the settings.
// plugin_registry<log_service, event_loop &, const std::string &>
// plugin_registry<instance_list, event_loop &, const std::string &>

}
