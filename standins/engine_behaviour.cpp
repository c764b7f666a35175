#include "standins/engine_behaviour.h"

#include <cjson/cJSON.h>
#include <cstdio>
#include <memory>
#include <xxhash.h>

namespace shedshed::standin {
namespace {

constexpr std::size_t kBlockBytes = 64;

struct JsonDeleter {
  void operator()(cJSON* json) const { cJSON_Delete(json); }
};
using JsonPointer = std::unique_ptr<cJSON, JsonDeleter>;

std::string serialize(const cJSON* json) {
  char* text = cJSON_PrintUnformatted(json);
  std::string result = text;
  cJSON_free(text);
  return result;
}

std::string concatenateMessages(const cJSON* messages) {
  std::string prompt;
  const cJSON* message = nullptr;
  cJSON_ArrayForEach(message, messages) {
    const cJSON* content = cJSON_GetObjectItemCaseSensitive(message, "content");
    if (cJSON_IsString(content)) {
      prompt += content->valuestring;
      prompt += '\n';
    }
  }
  return prompt;
}

std::string concatenateTokens(const std::vector<std::string>& tokens) {
  std::string text;
  for (const std::string& token : tokens) {
    text += token;
  }
  return text;
}

}  // namespace

std::size_t PrefixCache::touch(const std::string& prompt, std::size_t* blockCount) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::size_t cached = 0;
  std::size_t blocks = 0;
  bool prefixCached = true;
  std::uint64_t chainHash = 0;
  for (std::size_t offset = 0; offset < prompt.size(); offset += kBlockBytes) {
    const std::size_t length = std::min(kBlockBytes, prompt.size() - offset);
    chainHash = XXH3_64bits_withSeed(prompt.data() + offset, length, chainHash);
    ++blocks;
    prefixCached = prefixCached && index_.count(chainHash) != 0;
    cached += prefixCached ? 1 : 0;
    insert(chainHash);
  }
  *blockCount = blocks;
  return cached;
}

void PrefixCache::insert(std::uint64_t blockHash) {
  const auto found = index_.find(blockHash);
  if (found != index_.end()) {
    recent_.splice(recent_.begin(), recent_, found->second);
    return;
  }
  recent_.push_front(blockHash);
  index_[blockHash] = recent_.begin();
  if (recent_.size() > capacity_) {
    index_.erase(recent_.back());
    recent_.pop_back();
  }
}

std::optional<EngineRequest> parseEngineRequest(const std::string& body) {
  const JsonPointer json(cJSON_ParseWithLength(body.data(), body.size()));
  const cJSON* messages = cJSON_GetObjectItemCaseSensitive(json.get(), "messages");
  if (!cJSON_IsArray(messages)) {
    return std::nullopt;
  }
  EngineRequest request;
  request.prompt = concatenateMessages(messages);
  request.stream = cJSON_IsTrue(cJSON_GetObjectItemCaseSensitive(json.get(), "stream")) != 0;
  const cJSON* maxTokens = cJSON_GetObjectItemCaseSensitive(json.get(), "max_tokens");
  if (cJSON_IsNumber(maxTokens) && maxTokens->valuedouble >= 1) {
    request.maxTokens = static_cast<std::uint32_t>(maxTokens->valuedouble);
  }
  return request;
}

std::vector<std::string> completionTokens(const std::string& prompt, std::uint32_t count) {
  char digest[32];
  std::snprintf(digest, sizeof(digest), "%016llx",
                static_cast<unsigned long long>(XXH3_64bits(prompt.data(), prompt.size())));
  std::vector<std::string> tokens{digest};
  for (std::uint32_t i = 1; i < count; ++i) {
    tokens.push_back(" t" + std::to_string(i));
  }
  return tokens;
}

std::string chunkJson(const std::string& id, const std::string& model, const std::string& token,
                      bool last) {
  const JsonPointer root(cJSON_CreateObject());
  cJSON_AddStringToObject(root.get(), "id", id.c_str());
  cJSON_AddStringToObject(root.get(), "object", "chat.completion.chunk");
  cJSON_AddStringToObject(root.get(), "model", model.c_str());
  cJSON* choices = cJSON_AddArrayToObject(root.get(), "choices");
  cJSON* choice = cJSON_CreateObject();
  cJSON_AddItemToArray(choices, choice);
  cJSON_AddNumberToObject(choice, "index", 0);
  cJSON* delta = cJSON_AddObjectToObject(choice, "delta");
  cJSON_AddStringToObject(delta, "content", token.c_str());
  if (last) {
    cJSON_AddStringToObject(choice, "finish_reason", "stop");
  } else {
    cJSON_AddNullToObject(choice, "finish_reason");
  }
  return serialize(root.get());
}

std::string completionJson(const std::string& id, const std::string& model,
                           const std::vector<std::string>& tokens) {
  const JsonPointer root(cJSON_CreateObject());
  cJSON_AddStringToObject(root.get(), "id", id.c_str());
  cJSON_AddStringToObject(root.get(), "object", "chat.completion");
  cJSON_AddStringToObject(root.get(), "model", model.c_str());
  cJSON* choices = cJSON_AddArrayToObject(root.get(), "choices");
  cJSON* choice = cJSON_CreateObject();
  cJSON_AddItemToArray(choices, choice);
  cJSON_AddNumberToObject(choice, "index", 0);
  cJSON* message = cJSON_AddObjectToObject(choice, "message");
  cJSON_AddStringToObject(message, "role", "assistant");
  cJSON_AddStringToObject(message, "content", concatenateTokens(tokens).c_str());
  cJSON_AddStringToObject(choice, "finish_reason", "stop");
  cJSON* usage = cJSON_AddObjectToObject(root.get(), "usage");
  cJSON_AddNumberToObject(usage, "completion_tokens", static_cast<double>(tokens.size()));
  return serialize(root.get());
}

}  // namespace shedshed::standin
