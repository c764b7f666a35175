/// @file
/// What a batch item may contribute to the request that an engine receives.
#pragma once

#include "gateway/batch_dialect.h"
#include "gateway/forwarded_headers.h"
#include "kernel/error.h"

namespace shedshed {

/// Returns the forwarded ones of an item's header fields. Fails with `InvalidArgument` if the
/// item's name, target or a header can't be part of a request head; the detail names it.
Result<ForwardedHeaders> forwardedHeadersOf(const BatchItemCall& item, const HeaderNames& names);

/// Checks a submitted item and removes the header fields that are not forwarded, so that the
/// client's credentials are neither stored nor part of the batch's content.
Status normalizeItem(BatchItemCall& item, const HeaderNames& names);

}  // namespace shedshed
