/// @file
/// Refuses requests whose body length could be understood in two ways.
#pragma once

#include "kernel/error.h"

#include <boost/beast/http/fields.hpp>

namespace shedshed {

/// Checks the framing headers of a request. Fails with `InvalidArgument` for a transfer encoding
/// other than `chunked`, for more than one, and for one together with a length: two readers could
/// see different ends of the body, and what one takes for the body another could take for a
/// request. The connection must be closed after a failure.
Status checkRequestFraming(const boost::beast::http::fields& fields);

}  // namespace shedshed
