/// @file
/// How batch calls look on the wire, and what they mean.
#pragma once

#include "batch/batch_client.h"
#include "gateway/opaque_call.h"
#include "kernel/error.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace shedshed {

/// A read or an end of a batch.
struct BatchCall {
  enum class Kind : std::uint8_t { Results, ItemBody, Cancel };
  Kind kind = Kind::Results;
  std::string clientKey;   ///< The id that the caller chose when it handed the batch in.
  std::uint64_t from = 0;  ///< First position wanted, of `Results`.
  std::string itemName;    ///< Of `ItemBody`.
};

/// One item as handed in. Stored as the body of a batch's item; `encodeRecord` is its form.
struct BatchItemCall {
  std::string name;
  std::string route;    ///< Name of the route under which the batch was handed in.
  std::string service;  ///< Service of that route at that time.
  std::string host;
  std::string target;
  std::vector<HeaderField> headers;
  std::string body;
  std::uint64_t tokens = 0;  ///< Of the prompt, and the most that can come out.
  MSGPACK_DEFINE(name, route, service, host, target, headers, body, tokens);
};

/// Translates between one wire form of batch calls and the product's. Core thread only.
class BatchDialect {
 public:
  virtual ~BatchDialect() = default;

  /// Returns the call that @p method and @p target stand for; nullopt if they are no batch call.
  /// A malformed batch call is an error.
  virtual Result<std::optional<BatchCall>> parseCall(std::string_view method,
                                                     std::string_view target) const = 0;

  /// Reads the items of a batch that is handed in. Sets `name`, `target`, `headers`, `body` and
  /// `tokens` of each.
  virtual Result<std::vector<BatchItemCall>> parseItems(const std::string& body) const = 0;

  /// Writes a page of results; at most about @p maxBytes of them, but one at least.
  virtual std::string formatResults(const ResultPage& page, std::uint64_t from,
                                    std::size_t maxBytes) const = 0;
};

}  // namespace shedshed
