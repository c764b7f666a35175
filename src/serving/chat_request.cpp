#include "serving/chat_request.h"

#include "serving/body_json.h"

namespace shedshed {
namespace {

/// Appends the role and the content of a message, so that conversations with a common prefix give
/// prompt texts with a common prefix.
void appendMessage(const cJSON* message, std::string& prompt) {
  const char* role = cJSON_GetStringValue(cJSON_GetObjectItemCaseSensitive(message, "role"));
  const cJSON* content = cJSON_GetObjectItemCaseSensitive(message, "content");
  prompt.append(role == nullptr ? "" : role);
  prompt.push_back('\n');
  if (cJSON_IsString(content)) {
    prompt.append(content->valuestring);
  } else if (content != nullptr) {
    prompt.append(JsonDocument::printJson(content, false));
  }
  prompt.push_back('\n');
}

Result<std::string> parsePrompt(const JsonDocument& document) {
  const cJSON* messages = jsonMember(document.root(), "messages");
  if (!cJSON_IsArray(messages) || cJSON_GetArraySize(messages) == 0) {
    return makeError(ErrorCode::InvalidArgument, "messages: a non-empty array is required");
  }
  std::string prompt;
  const cJSON* message = nullptr;
  cJSON_ArrayForEach(message, messages) {
    if (!cJSON_IsObject(message)) {
      return makeError(ErrorCode::InvalidArgument, "messages: every entry must be an object");
    }
    appendMessage(message, prompt);
  }
  return prompt;
}

}  // namespace

Result<ChatRequest> parseChatRequest(std::string_view body) {
  const Result<JsonDocument> document = parseBodyObject(body);
  if (!document) {
    return document.error();
  }
  ChatRequest request;
  request.model = textMember(document.value().root(), "model");
  if (request.model.empty()) {
    return makeError(ErrorCode::InvalidArgument, "model: a non-empty string is required");
  }
  const cJSON* stream = jsonMember(document.value().root(), "stream");
  if (stream != nullptr && !cJSON_IsBool(stream) && !cJSON_IsNull(stream)) {
    return makeError(ErrorCode::InvalidArgument, "stream: true or false is required");
  }
  request.stream = cJSON_IsTrue(stream) != 0;
  const Result<std::string> prompt = parsePrompt(document.value());
  if (!prompt) {
    return prompt.error();
  }
  request.prompt = hashPromptBlocks(request.model, prompt.value());
  return request;
}

Result<std::string> disableStreaming(std::string_view body) {
  Result<JsonDocument> document = parseBodyObject(body);
  if (!document) {
    return document.error();
  }
  cJSON_DeleteItemFromObjectCaseSensitive(document.value().root(), "stream");
  cJSON_AddFalseToObject(document.value().root(), "stream");
  return document.value().print();
}

}  // namespace shedshed
