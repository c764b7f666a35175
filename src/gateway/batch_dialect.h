/// @file
/// Translation between the wire format of batch calls and internal types.
#pragma once

#include "batch/batch_client.h"
#include "gateway/opaque_call.h"
#include "kernel/error.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace shedshed {

/// A read or cancellation of a batch.
struct BatchCall {
  enum class Kind : std::uint8_t { Results, ItemBody, Cancel };
  Kind kind = Kind::Results;
  std::string clientKey;   ///< Id that the caller chose when it submitted the batch.
  std::uint64_t from = 0;  ///< Of `Results`: position of the first result to return.
  std::string itemName;    ///< Of `ItemBody`.
};

/// One submitted item. Stored as the body of a batch item, encoded by `encodeRecord`.
struct BatchItemCall {
  std::string name;
  std::string route;    ///< Name of the route on which the batch was submitted.
  std::string service;  ///< Empty; earlier versions stored a service of the route. Not read.
  std::string host;
  std::string target;
  std::vector<HeaderField> headers;
  std::string body;
  std::uint64_t tokens = 0;  ///< Prompt tokens plus maximum output tokens.
  MSGPACK_DEFINE(name, route, service, host, target, headers, body, tokens);
};

/// Translates between one wire format of batch calls and the internal types. Core thread only.
class BatchDialect {
 public:
  virtual ~BatchDialect() = default;

  /// Parses the request line of a batch call. Returns nullopt if it is not a batch call and an
  /// error if it is a malformed one.
  virtual Result<std::optional<BatchCall>> parseCall(std::string_view method,
                                                     std::string_view target) const = 0;

  /// Parses the items of a submitted batch. Sets `name`, `target`, `headers`, `body` and `tokens`
  /// of each, as the client sent them.
  virtual Result<std::vector<BatchItemCall>> parseItems(const std::string& body) const = 0;

  /// Formats a page of results of about @p maxBytes at most; it has at least one result if any is
  /// available.
  virtual std::string formatResults(const ResultPage& page, std::uint64_t from,
                                    std::size_t maxBytes) const = 0;
};

}  // namespace shedshed
