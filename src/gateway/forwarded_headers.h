/// @file
/// The header fields of a client's request that reach the engine.
#pragma once

#include "gateway/header_names.h"
#include "kernel/error.h"

#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace shedshed {

/// An HTTP header field.
struct HeaderField {
  std::string name;
  std::string value;
  MSGPACK_DEFINE(name, value);
};

/// Compares header names, ignoring case.
bool sameHeaderName(std::string_view left, std::string_view right);

/// Returns true for hop-by-hop headers (RFC 9110, 7.6.1) and for `Content-Length`.
bool isConnectionHeader(std::string_view name);

/// Header fields that are forwarded unchanged.
///
/// An engine trusts what the gateway says about a request: who its tenant is, which id it has, and
/// where it ends. Fields of the client that could say the same are therefore never forwarded, and a
/// list can't hold them: hop-by-hop fields, the client's credentials (`Authorization`), `Host`,
/// `Expect`, and all fields that the gateway sets itself.
class ForwardedHeaders {
 public:
  /// True if a client's field @p name is forwarded.
  static bool isForwarded(std::string_view name, const HeaderNames& names);

  /// Adds a field, or ignores it if it is not forwarded. Fails with `InvalidArgument` if @p name or
  /// @p value can't be part of a request head.
  Status add(std::string_view name, std::string_view value, const HeaderNames& names);

  /// Returns the value of the first field @p name; empty if there is none.
  std::string_view value(std::string_view name) const;

  std::vector<HeaderField>::const_iterator begin() const { return fields_.begin(); }
  std::vector<HeaderField>::const_iterator end() const { return fields_.end(); }

 private:
  std::vector<HeaderField> fields_;
};

}  // namespace shedshed
