#include "gateway/item_request.h"

#include "gateway/http_syntax.h"

namespace shedshed {
namespace {

/// An engine echoes the name in a header, where blanks at both ends are lost.
bool isItemName(const std::string& name) {
  constexpr std::string_view kBlanks = " \t";
  return !name.empty() && isFieldValue(name) &&
         kBlanks.find(name.front()) == std::string_view::npos &&
         kBlanks.find(name.back()) == std::string_view::npos;
}

}  // namespace

Result<ForwardedHeaders> forwardedHeadersOf(const BatchItemCall& item, const HeaderNames& names) {
  if (!isItemName(item.name)) {
    return makeError(ErrorCode::InvalidArgument,
                     "the id of an item must be text without control characters");
  }
  if (!isOriginFormTarget(item.target)) {
    return makeError(ErrorCode::InvalidArgument,
                     "item " + item.name +
                         ": the path must begin with '/' and have no blanks or control characters");
  }
  ForwardedHeaders headers;
  for (const HeaderField& field : item.headers) {
    if (Status added = headers.add(field.name, field.value, names); !added) {
      return makeError(ErrorCode::InvalidArgument,
                       "item " + item.name + ": " + added.error().detail);
    }
  }
  return headers;
}

Status normalizeItem(BatchItemCall& item, const HeaderNames& names) {
  const Result<ForwardedHeaders> headers = forwardedHeadersOf(item, names);
  if (!headers) {
    return headers.error();
  }
  item.headers.assign(headers.value().begin(), headers.value().end());
  return okStatus();
}

}  // namespace shedshed
