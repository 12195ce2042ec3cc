#pragma once

#include <string_view>

namespace chestnut
{

// Whether a request may have been executed by a backend server.
enum class verdict
{
    not_run,      // certain: no byte of the request reached a backend server, or the server reported that it did not run
    ran,          // certain: the backend server responded
    may_have_run, // unknown: bytes may have been sent and no response tells whether it ran
};

// Name of a verdict on the wire, as in the header Chestnutgw-Verdict.
constexpr std::string_view toText(verdict value)
{
    switch (value) {
    case verdict::not_run:
        return "not_run";
    case verdict::ran:
        return "ran";
    case verdict::may_have_run:
        return "may_have_run";
    }
    return "may_have_run";
}

// Parses the name of a verdict. An unknown name counts as may_have_run, since the request must not be repeated by mistake.
constexpr verdict parseVerdict(std::string_view text)
{
    if (text == "not_run") {
        return verdict::not_run;
    }
    return text == "ran" ? verdict::ran : verdict::may_have_run;
}

}
