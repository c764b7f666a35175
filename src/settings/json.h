/// @file
/// Bounded JSON documents on top of cJSON.
///
/// cJSON alone accepts what external input must not contain: duplicate keys, thousands of nested
/// levels, a NUL byte that truncates a string, numbers that overflow. `JsonDocument::parse`
/// rejects these, so that its callers may rely on the tree.
#pragma once

#include "kernel/error.h"

#include <cjson/cJSON.h>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace shedshed {

/// Limits of a document.
struct JsonBounds {
  std::size_t maxBytes = 1U << 20U;  ///< Bytes of text; more is `TooLarge`.
  std::size_t maxDepth = 16;         ///< Nested objects and arrays; more is `TooLarge`.
};

/// Owns a cJSON tree.
class JsonDocument {
 public:
  /// Takes ownership of @p root.
  explicit JsonDocument(cJSON* root) : root_(root) {}

  /// Parses @p text. Fails with `TooLarge` over @p bounds, else with `InvalidArgument`; the detail
  /// names the offset or the path.
  static Result<JsonDocument> parse(std::string_view text, JsonBounds bounds = {});

  static JsonDocument object() { return JsonDocument(cJSON_CreateObject()); }
  static JsonDocument array() { return JsonDocument(cJSON_CreateArray()); }

  cJSON* root() const { return root_.get(); }

  /// Releases the ownership of the tree.
  cJSON* release() { return root_.release(); }

  /// Returns the text without white space.
  std::string print() const { return printJson(root_.get(), false); }

  /// Returns the text of @p node; indented if @p indented.
  static std::string printJson(const cJSON* node, bool indented);

 private:
  struct Deleter {
    void operator()(cJSON* node) const { cJSON_Delete(node); }
  };
  std::unique_ptr<cJSON, Deleter> root_;
};

/// Returns the member @p name of @p object (case-sensitive), or nullptr.
const cJSON* jsonMember(const cJSON* object, const char* name);

/// Returns the string member @p name of @p object, or an `InvalidArgument` error naming
/// @p path + name.
Result<std::string> jsonString(const cJSON* object, const char* name, const std::string& path);

/// Returns the whole number member @p name of @p object within the range, or an
/// `InvalidArgument` error that names path, value and range.
Result<std::uint64_t> jsonUnsigned(const cJSON* object, const char* name, const std::string& path,
                                   std::uint64_t minimum, std::uint64_t maximum);

/// Adds a whole number to @p object without the rounding of a double.
void addUnsigned(cJSON* object, const char* name, std::uint64_t value);

/// Builds an `InvalidArgument` error that names the path, the value and what is allowed.
Error jsonError(const std::string& path, const cJSON* value, const std::string& allowed);

}  // namespace shedshed
