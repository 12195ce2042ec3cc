#pragma once

// What backend servers answer to a request, derived from its subject alone, so that a client can check an answer by itself.

#include "kernel/ids.h"

#include <string>

namespace chestnut::soak
{

constexpr int LAYERS = 4;            // of the model
constexpr const char *TENANT = "t1"; // that holds all keys

// Faults that a stand-in adds on purpose, one for each judge that must catch it.
enum class seeded_fault
{
    none,
    twice,         // a server runs a request that may run once twice
    drop_event,    // a server leaves out an event of a stream
    foreign,       // a server answers with the body of another request
    ran,           // a server turns a request away although it has run it
    keep_on,       // a server works on after its client has left
    break_off,     // a server breaks off a stream and calls itself sound
    lost_key,      // the operator says that a key is in force and never writes it
    late_drain,    // a server says that it drains without an entry in the store
    gap,           // a server reads a path as if a layer were missing
    no_quarantine, // gateways are set to quarantine no part of a prompt
    arrives_late,  // a server notes requests as if they had reached it later
    unsaid,        // a server leaves out of its answers that it leaves or wants quiet
};

// Parses the name of a seeded fault. Throws std::invalid_argument for an unknown one.
seeded_fault parseFault(const std::string &name);

// Header with the parts of a prompt; with the part that ends servers if `crashing`.
std::string partsHeader(const std::string &subject, bool crashing);
// True if the value of that header names the part that ends servers.
bool namesCrashingPart(const std::string &value);

// Time for which a refusal of this request asks the gateway to send nothing; 0 = it does not ask.
milliseconds quietTime(const std::string &id);

std::string requestBody(const std::string &subject);
int eventCount(const std::string &subject);
milliseconds eventGap(const std::string &subject);
std::string eventText(const std::string &subject, int number);
std::string plainBody(const std::string &subject);
milliseconds plainTime(const std::string &subject);

}
