// Replies to operators.
#include "jacinthdeck/cluster/operator_reply.h"

#include <utility>

namespace jacinthdeck {

namespace internal {

//! When an operator may ask again after a reply that settles nothing.
constexpr Duration kAskAgain = std::chrono::seconds(1);

[[nodiscard]] bool IsSettled(ChangeState state) {
  return state != ChangeState::kPending && state != ChangeState::kUnknown &&
         state != ChangeState::kUnavailable;
}

}  // namespace internal

OperatorReply MakeReply(const ConfigChange& change,
                        ChangeState state,
                        Revision revision,
                        std::string message) {
  OperatorReply reply;
  reply.call = change.call;
  reply.operation = change.operation;
  reply.state = state;
  reply.revision = revision;
  reply.message = std::move(message);
  reply.retry_after =
      internal::IsSettled(state) ? Duration::zero() : internal::kAskAgain;
  return reply;
}

}  // namespace jacinthdeck
