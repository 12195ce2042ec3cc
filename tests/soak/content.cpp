#include "content.h"

#include "kernel/hash.h"

#include <algorithm>
#include <iterator>
#include <stdexcept>

namespace chestnut::soak
{

namespace
{

constexpr const char *FAULT_NAMES[]
    = {"none", "twice", "drop_event", "foreign", "ran", "keep_on", "break_off", "lost_key", "late_drain", "gap", "no_quarantine", "arrives_late", "unsaid"};
constexpr const char *CRASHING_PART = "bad0:50,";

// A number from 0 to count - 1, drawn by a subject and a purpose.
int drawn(const std::string &subject, const char *purpose, int count)
{
    return static_cast<int>(hashBytes(subject + purpose) % static_cast<std::uint64_t>(count));
}

}

seeded_fault parseFault(const std::string &name)
{
    const auto *const found = std::find(std::begin(FAULT_NAMES), std::end(FAULT_NAMES), name);
    if (found == std::end(FAULT_NAMES)) {
        throw std::invalid_argument("unknown fault " + name);
    }
    return static_cast<seeded_fault>(found - std::begin(FAULT_NAMES));
}

std::string partsHeader(const std::string &subject, bool crashing)
{
    constexpr std::size_t FIRST_PARTS = 3;
    const std::size_t number = std::hash<std::string>()(subject);
    const std::string first = "f" + std::to_string(number % FIRST_PARTS);
    return "X-Chestnutgw-Prefix-Hash: " + first + ":40," + (crashing ? CRASHING_PART : "") + std::to_string(number) + ":10\r\n";
}

bool namesCrashingPart(const std::string &value)
{
    return value.find(CRASHING_PART) != std::string::npos;
}

milliseconds quietTime(const std::string &id)
{
    return milliseconds(drawn(id, "asks", 3) == 0 ? 600 + 100 * drawn(id, "quiet", 10) : 0);
}

std::string requestBody(const std::string &subject)
{
    return "for " + subject;
}

int eventCount(const std::string &subject)
{
    return 3 + drawn(subject, "count", 30);
}

milliseconds eventGap(const std::string &subject)
{
    return milliseconds(5 + drawn(subject, "gap", 60));
}

std::string eventText(const std::string &subject, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + subject + "/" + std::to_string(number) + "\n\n";
}

std::string plainBody(const std::string &subject)
{
    const int repeats = drawn(subject, "large", 10) == 0 ? 20000 : 1 + drawn(subject, "size", 200);
    std::string body;
    for (int i = 0; i < repeats; ++i) {
        body += subject + ";";
    }
    return body;
}

milliseconds plainTime(const std::string &subject)
{
    return milliseconds(2 + drawn(subject, "time", 120));
}

}
