/// @file
/// Rejects messages whose body length is ambiguous (request and response smuggling).
#pragma once

#include "kernel/error.h"

#include <boost/beast/http/fields.hpp>

namespace shedshed {

/// True if @p fields have no transfer encoding, or exactly `chunked` and no `Content-Length`. With
/// any other coding the body differs from what its sender coded, or readers disagree on its end.
bool hasReadableTransferEncoding(const boost::beast::http::fields& fields);

/// Checks the framing headers of a request. Fails with `InvalidArgument` for more than one
/// `Content-Length`, for a transfer encoding other than `chunked`, for more than one, and for one
/// together with a `Content-Length`: two HTTP parsers could disagree on the end of the body, so
/// that one parses as a request what the other takes for body bytes. The connection must be closed
/// after a failure.
Status checkRequestFraming(const boost::beast::http::fields& fields);

}  // namespace shedshed
