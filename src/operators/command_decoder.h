/// @file
/// Decodes operators' HTTP calls into commands.
#pragma once

#include "operators/operator_call.h"
#include "operators/operator_command.h"

#include <memory>

namespace shedshed {

/// Decodes @p call. Fails with `NotFound` for an unknown call, or with the error of its headers or
/// body. New calls are added to the table in the source file.
Result<std::unique_ptr<OperatorCommand>> decodeCommand(const OperatorCall& call);

}  // namespace shedshed
