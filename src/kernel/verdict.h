#pragma once

#include <string_view>

namespace chestnut
{

// Whether a request may have taken effect at a backend server.
enum class verdict
{
    not_run,      // certain: no byte of the request reached a backend server, or the server said so
    ran,          // certain: the backend server answered
    may_have_run, // bytes may have left our socket and no answer settled the matter
};

// Wire name of a verdict, as used in the header Chestnutgw-Verdict.
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

// Parses a wire name; anything unknown counts as may_have_run, the only safe reading.
constexpr verdict parseVerdict(std::string_view text)
{
    if (text == "not_run") {
        return verdict::not_run;
    }
    return text == "ran" ? verdict::ran : verdict::may_have_run;
}

}
