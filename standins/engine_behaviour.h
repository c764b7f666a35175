/// @file
/// Simulated inference: timing profile, prefix cache, generated text and injectable faults of the
/// stand-in engine. No I/O.
#pragma once

#include <cstdint>
#include <list>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace shedshed::standin {

/// Timing and capacity of a stand-in engine.
struct EngineProfile {
  std::string model = "m";
  std::uint32_t maxRunning = 8;
  double prefillMsPerBlock = 4;  ///< Per prompt block missing from the prefix cache.
  double decodeMsPerToken = 8;
  std::uint32_t defaultTokens = 16;  ///< Used if the request sets no `max_tokens`.
  std::size_t cacheBlocks = 4096;    ///< Capacity of the prefix cache, in prompt blocks.
};

/// Injected fault of a share of the requests. Stays in force until another one or the control
/// action `normal` replaces it.
enum class Fault {
  None,
  Late,      ///< Delays the response after prefill.
  Cut,       ///< Ends the connection in the middle of the response.
  Cross,     ///< Answers with a request ID that is not the caller's.
  Reset,     ///< Resets the connection before any response.
  Error,     ///< Answers with status 500.
  Twice,     ///< Sends the response again when the next request arrives on the connection.
  Malformed  ///< Answers with a head that HTTP does not allow, with the caller's request ID.
};

/// LRU cache of prompt block hashes; leading blocks that hit need no prefill. Thread-safe.
class PrefixCache {
 public:
  explicit PrefixCache(std::size_t capacity) : capacity_(capacity) {}
  /// Returns how many leading blocks of @p prompt were cached, and caches all of them. Stores the
  /// total number of blocks in @p blockCount.
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

/// Returns nullopt if @p body is not a chat completion request.
std::optional<EngineRequest> parseEngineRequest(const std::string& body);

/// Returns the tokens of the completion, one word per token. The first word is a digest of the
/// prompt, so that a caller can check that the completion belongs to its request.
std::vector<std::string> completionTokens(const std::string& prompt, std::uint32_t count);

/// Returns one `chat.completion.chunk` object as JSON.
std::string chunkJson(const std::string& id, const std::string& model, const std::string& token,
                      bool last);

/// Returns a `chat.completion` object as JSON.
std::string completionJson(const std::string& id, const std::string& model,
                           const std::vector<std::string>& tokens);

}  // namespace shedshed::standin
