// Table of errors of connections that could not be opened.
#include "jacinthdeck/http/check_opening.h"

#include <boost/asio/error.hpp>

namespace jacinthdeck {

TargetCheck CheckOpening(const SystemError& error) {
  if (!error) {
    return TargetCheck::kReachable;
  }
  if (error == asio::error::connection_refused) {
    return TargetCheck::kUnreachable;
  }
  if (error == asio::error::connection_reset) {
    return TargetCheck::kReset;
  }
  return error == asio::error::timed_out ||
                 error == asio::error::host_unreachable
             ? TargetCheck::kTimedOut
             : TargetCheck::kUnknown;
}

}  // namespace jacinthdeck
