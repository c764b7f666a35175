#include "partition/incoming_transfer.h"

namespace shedshed {

bool IncomingTransfer::beginOrContinue(const InstallRequest& request) {
  const bool newer =
      request.epoch > epoch_ || (request.epoch == epoch_ && request.transfer > number_);
  if (newer) {
    *this = IncomingTransfer();
    epoch_ = request.epoch;
    number_ = request.transfer;
  }
  return request.epoch == epoch_ && request.transfer == number_;
}

bool IncomingTransfer::isNext(const TablePage& page) const {
  const bool continues = page.fromStart == atStart_ && (atStart_ || page.afterKey == throughKey_);
  return continues && !complete_;
}

void IncomingTransfer::advance(const TablePage& page) {
  atStart_ = false;
  throughKey_ = page.throughKey;
  complete_ = page.last;
}

}  // namespace shedshed
