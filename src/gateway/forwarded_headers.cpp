#include "gateway/forwarded_headers.h"

#include "gateway/http_syntax.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace shedshed {
namespace {

constexpr std::array<std::string_view, 9> kConnectionHeaders = {
    "connection", "keep-alive",        "proxy-connection", "proxy-authorization", "te",
    "trailer",    "transfer-encoding", "upgrade",          "content-length"};

}  // namespace

bool sameHeaderName(std::string_view left, std::string_view right) {
  const auto same = [](char a, char b) {
    return std::tolower(static_cast<unsigned char>(a)) ==
           std::tolower(static_cast<unsigned char>(b));
  };
  return std::equal(left.begin(), left.end(), right.begin(), right.end(), same);
}

bool isConnectionHeader(std::string_view name) {
  return std::any_of(kConnectionHeaders.begin(), kConnectionHeaders.end(),
                     [name](std::string_view known) { return sameHeaderName(name, known); });
}

bool ForwardedHeaders::isForwarded(std::string_view name, const HeaderNames& names) {
  const std::array<std::string_view, 8> reserved = {
      "Authorization",      "Host",           "Expect",
      names.requestId,      names.deadline,   names.tenant,
      names.expectedEngine, names.resumeAfter};
  const bool isReserved =
      std::any_of(reserved.begin(), reserved.end(),
                  [name](std::string_view known) { return sameHeaderName(name, known); });
  return !isReserved && !isConnectionHeader(name);
}

Status ForwardedHeaders::add(std::string_view name, std::string_view value,
                             const HeaderNames& names) {
  if (!isFieldName(name)) {
    return makeError(ErrorCode::InvalidArgument, "a header name must be a token");
  }
  if (!isFieldValue(value)) {
    return makeError(ErrorCode::InvalidArgument,
                     "the value of a header must not have control characters");
  }
  if (isForwarded(name, names)) {
    fields_.push_back({std::string(name), std::string(value)});
  }
  return okStatus();
}

std::string_view ForwardedHeaders::value(std::string_view name) const {
  const auto found = std::find_if(fields_.begin(), fields_.end(), [name](const HeaderField& field) {
    return sameHeaderName(field.name, name);
  });
  return found == fields_.end() ? std::string_view() : std::string_view(found->value);
}

}  // namespace shedshed
