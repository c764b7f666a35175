/// @file
/// What a stand-in engine does with a request: how long, which text, and which fault on command.
/// No I/O.
#pragma once

#include <cstdint>
#include <list>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace shedshed::standin {

/// Times and bounds of a stand-in engine.
struct EngineProfile {
  std::string model = "m";
  std::uint32_t maxRunning = 8;
  double prefillMsPerBlock = 4;  ///< For each prompt block that is not in the prefix cache.
  double decodeMsPerToken = 8;
  std::uint32_t defaultTokens = 16;  ///< When the request gives no `max_tokens`.
  std::size_t cacheBlocks = 4096;    ///< Prompt blocks kept by the prefix cache.
};

/// A fault that stays until `normal`.
enum class Fault { None, Late, Cut, Cross, Reset };

/// Prompt blocks seen lately; a hit saves prefill. Thread-safe.
class PrefixCache {
 public:
  explicit PrefixCache(std::size_t capacity) : capacity_(capacity) {}
  /// Returns how many leading blocks of @p prompt were cached, and caches all of them.
  std::size_t touch(const std::string& prompt, std::size_t* blockCount);

 private:
  void insert(std::uint64_t blockHash);
  const std::size_t capacity_;
  std::mutex mutex_;
  std::list<std::uint64_t> recent_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> index_;
};

/// A parsed chat completion request.
struct EngineRequest {
  std::string prompt;
  bool stream = false;
  std::uint32_t maxTokens = 0;
};

/// Parses the body; nullopt if it is not a chat completion request.
std::optional<EngineRequest> parseEngineRequest(const std::string& body);

/// The text of the answer, a word each token. The first word is a digest of the prompt, so that a
/// caller can tell whether an answer is its own.
std::vector<std::string> completionTokens(const std::string& prompt, std::uint32_t count);

/// One streamed chunk, as JSON.
std::string chunkJson(const std::string& id, const std::string& model, const std::string& token,
                      bool last);

/// A whole answer, as JSON.
std::string completionJson(const std::string& id, const std::string& model,
                           const std::vector<std::string>& tokens);

}  // namespace shedshed::standin
