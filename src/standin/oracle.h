#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chestnut
{

// The model that engine stand-ins run: a hash of the prompt and the tokens so far, mixed with each layer's number in
// turn, gives the next token. A layer skipped, doubled or out of order changes the text.

std::uint64_t oracleContext(std::string_view model, std::string_view version, std::string_view prompt);
std::uint64_t oracleNextContext(std::uint64_t context, std::string_view token);
std::uint64_t oracleLayer(std::uint64_t state, int layer);
std::string oracleToken(std::uint64_t state);
// True if the answer ends with the token of this state.
bool oracleStops(std::uint64_t state);

struct oracle_answer
{
    std::vector<std::string> tokens; // in order
    std::string reason;              // stop or length

    std::string text() const;
};

// The right answer to a prompt.
oracle_answer oracleAnswer(std::string_view model, std::string_view version, int layers, std::string_view prompt, int maxTokens);

}
