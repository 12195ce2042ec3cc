#include "mesh/evidence_message.h"

#include <algorithm>

namespace chestnut
{

namespace wire = chestnutgw::wire;

namespace
{

constexpr std::size_t MAX_NAME_LENGTH = 400; // of a part, a server or an instance

std::uint32_t ageOf(steady_time at, steady_time now)
{
    const milliseconds age = std::chrono::duration_cast<milliseconds>(now - at);
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age.count(), 0, milliseconds(crash_evidence::MEMORY).count()));
}

bool isName(const std::string &text)
{
    return !text.empty() && text.size() <= MAX_NAME_LENGTH;
}

server_end toEnd(const wire::server_end &message, steady_time now)
{
    server_end end{{server_id{message.server()}, message.incarnation()}, now - milliseconds(message.age_ms()), {}};
    for (const std::string &part : message.parts()) {
        if (isName(part) && end.parts.size() < crash_evidence::MAX_PARTS_PER_END) {
            end.parts.push_back(part_id{part});
        }
    }
    return end;
}

}

void toMessage(const evidence_update &update, wire::crash_evidence *message, steady_time now)
{
    message->set_revision(update.revision);
    for (const server_end &end : update.ends) {
        wire::server_end *entry = message->add_ends();
        entry->set_server(end.process.server.text);
        entry->set_incarnation(end.process.incarnation);
        entry->set_age_ms(ageOf(end.at, now));
        for (const part_id &part : end.parts) {
            entry->add_parts(part.text);
        }
    }
    for (const part_survival &survival : update.survivals) {
        wire::part_survival *entry = message->add_survivals();
        entry->set_part(survival.part.text);
        entry->set_age_ms(ageOf(survival.at, now));
    }
    for (const part_trial &trial : update.trials) {
        wire::part_trial *entry = message->add_trials();
        entry->set_part(trial.part.text);
        entry->set_number(trial.number);
        entry->set_round(trial.round);
        entry->set_instance(trial.instance.text);
        entry->set_started(trial.started);
        entry->set_age_ms(ageOf(trial.at, now));
    }
}

evidence_update toEvidence(const wire::crash_evidence &message, steady_time now)
{
    evidence_update update;
    update.revision = message.revision();
    for (const wire::server_end &entry : message.ends()) {
        if (isName(entry.server()) && update.ends.size() < crash_evidence::MAX_ENDS) {
            update.ends.push_back(toEnd(entry, now));
        }
    }
    for (const wire::part_survival &entry : message.survivals()) {
        if (isName(entry.part())) {
            update.survivals.push_back({part_id{entry.part()}, now - milliseconds(entry.age_ms())});
        }
    }
    for (const wire::part_trial &entry : message.trials()) {
        if (isName(entry.part()) && isName(entry.instance()) && entry.number() > 0) {
            update.trials.push_back(
                {part_id{entry.part()}, entry.number(), entry.round(), instance_id{entry.instance()}, entry.started(), now - milliseconds(entry.age_ms())});
        }
    }
    return update;
}

}
