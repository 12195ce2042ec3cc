#include "standin/oracle.h"

#include "kernel/hash.h"

#include <array>

namespace chestnut
{

namespace
{

constexpr std::uint64_t STOP_PERIOD = 211; // one token in STOP_PERIOD ends the answer, on average

}

std::uint64_t oracleContext(std::string_view model, std::string_view version, std::string_view prompt)
{
    const std::uint64_t seed = hashBytes(version, hashBytes(model));
    return hashBytes(prompt, seed);
}

std::uint64_t oracleNextContext(std::uint64_t context, std::string_view token)
{
    return mixHash(context, hashBytes(token));
}

std::uint64_t oracleLayer(std::uint64_t state, int layer)
{
    return mixHash(state, static_cast<std::uint64_t>(layer) + 1);
}

std::string oracleToken(std::uint64_t state)
{
    static constexpr std::array<const char *, 16> SYLLABLES{"ba", "ce", "di", "fo", "gu", "ha", "je", "ki", "lo", "mu", "na", "pe", "ri", "so", "tu", "va"};
    std::string word = " ";
    for (int shift = 0; shift < 12; shift += 4) {
        word += SYLLABLES[(state >> shift) & 15];
    }
    return word;
}

bool oracleStops(std::uint64_t state)
{
    return state % STOP_PERIOD == 0;
}

std::string oracle_answer::text() const
{
    std::string all;
    for (const std::string &token : tokens) {
        all += token;
    }
    return all;
}

oracle_answer oracleAnswer(std::string_view model, std::string_view version, int layers, std::string_view prompt, int maxTokens)
{
    oracle_answer answer;
    std::uint64_t context = oracleContext(model, version, prompt);
    while (static_cast<int>(answer.tokens.size()) < maxTokens) {
        std::uint64_t state = context;
        for (int layer = 0; layer < layers; ++layer) {
            state = oracleLayer(state, layer);
        }
        answer.tokens.push_back(oracleToken(state));
        context = oracleNextContext(context, answer.tokens.back());
        if (oracleStops(state)) {
            answer.reason = "stop";
            return answer;
        }
    }
    answer.reason = "length";
    return answer;
}

}
