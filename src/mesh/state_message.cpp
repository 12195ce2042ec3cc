#include "mesh/state_message.h"

#include <algorithm>
#include <cmath>

namespace chestnut
{

namespace wire = chestnutgw::wire;

namespace
{

constexpr std::uint32_t MAX_RUNNING = 1'000'000; // requests of one peer at one server

// Clamps a received number to the range of an enumeration.
template <typename enumeration>
enumeration clampTo(std::uint32_t value, enumeration last)
{
    return static_cast<enumeration>(std::min(value, static_cast<std::uint32_t>(last)));
}

// A state and a request for updates have the same fields of a position.
template <typename message_type>
void fillPosition(const update_position &position, message_type *message)
{
    message->set_config_version(position.configVersion);
    message->set_config_epoch(position.config.epoch.number);
    message->set_config_offset(position.config.offset);
    message->set_fleet_epoch(position.fleet.epoch.number);
    message->set_fleet_offset(position.fleet.offset);
    message->set_member_epoch(position.members.epoch.number);
    message->set_member_offset(position.members.offset);
    message->set_wants_config(position.wantsConfig);
}

template <typename message_type>
update_position readPosition(const message_type &message)
{
    return {message.config_version(),
            {{message.config_epoch()}, message.config_offset()},
            {{message.fleet_epoch()}, message.fleet_offset()},
            {{message.member_epoch()}, message.member_offset()},
            message.wants_config()};
}

}

void toMessage(const peer_report &report, wire::gateway_state *message)
{
    message->set_instance(report.instance.text);
    message->set_failure_domain(report.domain.text);
    message->set_incarnation(report.incarnation);
    message->set_stopping_ms(static_cast<std::uint32_t>(report.stopping.count()));
    message->set_scope(static_cast<std::uint32_t>(report.scope));
    message->set_instances(static_cast<std::uint32_t>(report.instances));
    message->set_stopping(static_cast<std::uint32_t>(report.stoppingCount));
    for (const server_load &load : report.loads) {
        wire::server_load *entry = message->add_loads();
        entry->set_address(load.address);
        entry->set_running(static_cast<std::uint32_t>(load.running));
        entry->set_tokens(load.tokens);
        entry->set_avoid_ms(static_cast<std::uint32_t>(load.avoid.count()));
        entry->set_failure(static_cast<std::uint32_t>(load.failure));
    }
}

void toMessage(const confirmation &one, wire::confirmation *message)
{
    message->set_origin(one.origin);
    message->set_number(one.number);
    message->set_age_ms(static_cast<std::uint32_t>(one.age.count()));
}

confirmation toConfirmation(const wire::confirmation &message)
{
    return {message.origin(), message.number(), milliseconds(message.age_ms())};
}

void toMessage(const update_position &position, wire::gateway_state *message)
{
    fillPosition(position, message);
}

void toMessage(const update_position &position, wire::update_position *message)
{
    fillPosition(position, message);
}

update_position toUpdatePosition(const wire::gateway_state &message)
{
    return readPosition(message);
}

update_position toUpdatePosition(const wire::update_position &message)
{
    return readPosition(message);
}

peer_report toReport(const wire::gateway_state &message, steady_time now)
{
    peer_report report;
    report.instance = instance_id{message.instance()};
    report.domain = domain_id{message.failure_domain()};
    report.incarnation = message.incarnation();
    report.received = now;
    report.stopping = milliseconds(message.stopping_ms());
    report.scope = scopeOf(message);
    report.instances = static_cast<int>(message.instances());
    report.stoppingCount = static_cast<int>(message.stopping());
    for (const wire::server_load &entry : message.loads()) {
        if (!std::isfinite(entry.tokens()) || entry.running() > MAX_RUNNING) {
            continue;
        }
        report.loads.push_back({entry.address(), static_cast<int>(entry.running()), entry.tokens(), milliseconds(entry.avoid_ms()),
                                clampTo(entry.failure(), failure_kind::stage_refused)});
    }
    return report;
}

load_scope scopeOf(const wire::gateway_state &message)
{
    return clampTo(message.scope(), load_scope::total);
}

}
