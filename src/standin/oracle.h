#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chestnut
{

// The deterministic model that engine stand-ins run. The context is a hash of model, version, prompt and the tokens so
// far; mixing in the number of each layer in order gives the state from which the next token is made. A layer that is
// skipped, repeated or out of order changes the text.

std::uint64_t oracleContext(std::string_view model, std::string_view version, std::string_view prompt);
std::uint64_t oracleNextContext(std::uint64_t context, std::string_view token);
std::uint64_t oracleLayer(std::uint64_t state, int layer);
std::string oracleToken(std::uint64_t state);
// True if the token of this state ends the answer.
bool oracleStops(std::uint64_t state);

struct oracle_answer
{
    std::vector<std::string> tokens; // in order
    std::string reason;              // stop or length

    std::string text() const;
};

// The answer that a correct chain of engines gives to a prompt.
oracle_answer oracleAnswer(std::string_view model, std::string_view version, int layers, std::string_view prompt, int maxTokens);

}
