#include "serving/message_framing.h"

#include <boost/beast/core/string.hpp>

namespace shedshed {

namespace http = boost::beast::http;

bool hasReadableTransferEncoding(const http::fields& fields) {
  const auto encodings = fields.count(http::field::transfer_encoding);
  if (encodings == 0) {
    return true;
  }
  return encodings == 1 && fields.count(http::field::content_length) == 0 &&
         boost::beast::iequals(fields[http::field::transfer_encoding], "chunked");
}

Status checkRequestFraming(const http::fields& fields) {
  if (!hasReadableTransferEncoding(fields)) {
    return makeError(
        ErrorCode::InvalidArgument,
        "the transfer encoding must be \"chunked\", given once and without a Content-Length");
  }
  if (fields.count(http::field::content_length) > 1) {
    return makeError(ErrorCode::InvalidArgument, "the request has more than one Content-Length");
  }
  return okStatus();
}

}  // namespace shedshed
