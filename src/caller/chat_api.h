#pragma once

#include "core/chestnutgw.h"
#include "kernel/http_server.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace chestnut
{

// A valid request to POST /v1/chat/completions.
struct chat_request
{
    std::string model;   // as written: model or model@version
    model_id modelName;  // part before '@'
    std::string version; // part after '@', empty = newest granted
    std::string prompt;  // messages joined as role: content lines
    int maxTokens = 16;  // from max_tokens or max_completion_tokens
    bool stream = false; // server-sent events
};

// A field that makes a request invalid.
struct field_error
{
    std::string field;
    std::string message;
};

// Longest answer a caller may ask for, in tokens.
constexpr int MAX_TOKENS = 4096;

std::variant<chat_request, field_error> parseChatRequest(std::string_view body);

// Joins messages to the prompt that the model gets.
std::string joinMessage(std::string_view role, std::string_view content);

// One streamed event with a piece of text; an empty finish reason means that more follows.
std::string formatChunk(const request_id &id, const std::string &model, std::string_view text, std::string_view finishReason);
std::string formatWhole(const request_id &id, const std::string &model, const std::vector<std::string> &tokens, const std::string &finishReason,
                        std::size_t promptWords);
std::string formatStreamError(std::string_view code, std::string_view message, verdict ran);
// Ends a streamed answer.
constexpr std::string_view STREAM_END = "data: [DONE]\n\n";

std::string formatModels(const account_settings &account);

// The caller's bearer key, empty if there is none.
std::string bearerKey(const http_call &call);

}
