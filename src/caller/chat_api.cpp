#include "caller/chat_api.h"

#include <nlohmann/json.hpp>

namespace chestnut
{

namespace
{

using json = nlohmann::json;

std::string dumpText(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

// Appends the messages to the prompt. Returns an error message, empty if all are valid.
std::string readMessages(const json &messages, std::string &prompt)
{
    if (!messages.is_array() || messages.empty()) {
        return "must be a list with at least one message";
    }
    for (const json &message : messages) {
        const bool valid
            = message.is_object() && message.contains("role") && message["role"].is_string() && message.contains("content") && message["content"].is_string();
        if (!valid) {
            return "each message must have a role and a content, both texts";
        }
        prompt += formatPromptLine(message["role"].get<std::string>(), message["content"].get<std::string>());
    }
    return {};
}

}

std::string formatPromptLine(std::string_view role, std::string_view content)
{
    return std::string(role) + ": " + std::string(content) + "\n";
}

std::variant<chat_request, field_error> parseChatRequest(std::string_view body)
{
    const json value = json::parse(body, nullptr, false);
    if (!value.is_object()) {
        return field_error{"body", "must be a JSON object"};
    }
    chat_request request;
    if (!value.contains("model") || !value["model"].is_string() || value["model"].get_ref<const std::string &>().empty()) {
        return field_error{"model", "must be a text"};
    }
    request.model = value["model"].get<std::string>();
    const auto at = request.model.find('@');
    request.modelName = model_id{request.model.substr(0, at)};
    request.version = at == std::string::npos ? std::string() : request.model.substr(at + 1);
    if (!value.contains("messages")) {
        return field_error{"messages", "must be given"};
    }
    const std::string errorMessage = readMessages(value["messages"], request.prompt);
    if (!errorMessage.empty()) {
        return field_error{"messages", errorMessage};
    }
    const char *limitField = value.contains("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
    if (value.contains(limitField)) {
        const json &given = value[limitField];
        if (!given.is_number_integer() || given.get<std::int64_t>() < 1 || given.get<std::int64_t>() > MAX_TOKENS) {
            return field_error{limitField, "must be a whole number from 1 to " + std::to_string(MAX_TOKENS)};
        }
        request.maxTokens = given.get<int>();
    }
    if (value.contains("stream")) {
        if (!value["stream"].is_boolean()) {
            return field_error{"stream", "must be true or false"};
        }
        request.stream = value["stream"].get<bool>();
    }
    if (value.contains("n") && value["n"] != 1) {
        return field_error{"n", "must be 1"};
    }
    return request;
}

std::string formatChunk(const request_id &id, const std::string &model, std::string_view text, std::string_view finishReason)
{
    json choice{{"index", 0}, {"delta", json::object()}, {"finish_reason", nullptr}};
    if (!text.empty()) {
        choice["delta"]["content"] = text;
    }
    if (!finishReason.empty()) {
        choice["finish_reason"] = finishReason;
    }
    return "data: " + dumpText(json{{"id", id.text}, {"object", "chat.completion.chunk"}, {"model", model}, {"choices", json::array({std::move(choice)})}})
        + "\n\n";
}

std::string formatCompletion(const request_id &id, const std::string &model, const std::vector<std::string> &tokens, const std::string &finishReason,
                             std::size_t promptWords)
{
    std::string text;
    for (const std::string &token : tokens) {
        text += token;
    }
    const json choice{{"index", 0}, {"message", {{"role", "assistant"}, {"content", text}}}, {"finish_reason", finishReason}};
    const json usage{{"prompt_tokens", promptWords}, {"completion_tokens", tokens.size()}, {"total_tokens", promptWords + tokens.size()}};
    return dumpText(json{{"id", id.text}, {"object", "chat.completion"}, {"model", model}, {"choices", json::array({choice})}, {"usage", usage}}) + "\n";
}

std::string formatStreamError(std::string_view code, std::string_view message, verdict ran)
{
    return "data: " + dumpText(json{{"error", {{"code", code}, {"message", message}, {"verdict", toText(ran)}}}}) + "\n\n";
}

std::string formatModels(const account_settings &account)
{
    json list = json::array();
    for (const auto &[model, versions] : account.grants) {
        list.push_back({{"id", model.text}, {"object", "model"}, {"owned_by", "chestnutgw"}});
        for (const std::string &version : versions) {
            list.push_back({{"id", model.text + "@" + version}, {"object", "model"}, {"owned_by", "chestnutgw"}});
        }
    }
    return dumpText(json{{"object", "list"}, {"data", std::move(list)}}) + "\n";
}

std::string bearerKey(const http_call &call)
{
    constexpr std::string_view SCHEME = "Bearer ";
    const std::string header = call.header("authorization");
    return header.starts_with(SCHEME) ? header.substr(SCHEME.size()) : std::string();
}

}
