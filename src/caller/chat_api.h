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
    std::string model;   // as sent by the client: model or model@version
    model_id modelName;  // part before '@'
    std::string version; // part after '@', empty = newest granted
    std::string prompt;  // messages, each as a line "role: content"
    int maxTokens = 16;  // from max_tokens or max_completion_tokens
    bool stream = false; // answer as server-sent events
};

// A field that makes a request invalid.
struct field_error
{
    std::string field;
    std::string message;
};

// Upper bound of max_tokens.
constexpr int MAX_TOKENS = 4096;

std::variant<chat_request, field_error> parseChatRequest(std::string_view body);

// One message as a line of the prompt.
std::string formatPromptLine(std::string_view role, std::string_view content);

// One event of a streamed answer: a piece of text, or the finish reason in the last event (empty before).
std::string formatChunk(const request_id &id, const std::string &model, std::string_view text, std::string_view finishReason);
// Body of an answer that is not streamed.
std::string formatCompletion(const request_id &id, const std::string &model, const std::vector<std::string> &tokens, const std::string &finishReason,
                             std::size_t promptWords);
// Event that reports an error after the stream has begun.
std::string formatStreamError(std::string_view code, std::string_view message, verdict ran);
// Last event of a streamed answer.
constexpr std::string_view STREAM_END = "data: [DONE]\n\n";

// Body of GET /v1/models: the models and versions granted to the client account.
std::string formatModels(const account_settings &account);

// The bearer key of the request, empty if there is none.
std::string bearerKey(const http_call &call);

}
