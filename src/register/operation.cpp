#include "register/operation.h"

namespace shedshed {

void Operation::onPrepareReply(const NodeId&, const PrepareReply&) {}

void Operation::onAcceptReply(const NodeId&, const AcceptReply&) {}

void Operation::onIdentityReply(const NodeId&, const IdentityReply&) {}

void Operation::onFormReply(const NodeId&, const FormReply&) {}

void Operation::onMembersAcknowledged(const NodeId&, const MembersAcknowledged&) {}

}  // namespace shedshed
