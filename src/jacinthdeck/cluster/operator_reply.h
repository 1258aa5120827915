// Replies to operators about a change of the configuration.
#ifndef JACINTHDECK_CLUSTER_OPERATOR_REPLY_H_
#define JACINTHDECK_CLUSTER_OPERATOR_REPLY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "jacinthdeck/cluster/config_value.h"
#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/name_table.h"
#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief What is known of an operator's change. */
enum class ChangeState {
  //! In force on every node that serves, and never taken back but by a later
  //! revision.
  kAccepted,
  //! At the store, and not yet known to be in force everywhere.
  kPending,
  //! It may or may not have reached the store; ask again with the operation id.
  kUnknown,
  //! Not applied: the configuration has changed since the expected revision.
  kConflict,
  //! Not applied: the store cannot be reached.
  kUnavailable,
  //! Not applied: the value would be too large.
  kTooLarge,
  //! Not applied: the request itself is wrong.
  kInvalid,
};

//! Names of the change states, as they stand in operators' replies.
inline constexpr NameTable<ChangeState, 7> kChangeStateNames{
    {"accepted", "pending", "unknown", "conflict", "unavailable", "too_large",
     "invalid"}};

/*! \brief One waiting operator call inside one process. */
using OperatorCallId = StrongId<struct OperatorCallTag, std::uint64_t>;

/*! \brief An operator's change. */
struct ConfigChange {
  OperatorCallId call;
  //! Chosen by the operator; the same one on every resend.
  OperationId operation;
  //! Revision that the operator's change is based on; 0 for the first.
  Revision expected;
  ConfigContent content;
  //! Where set, the content of this former revision is taken instead.
  Revision rollback_to;
};

/*! \brief The reply to one operator call. */
struct OperatorReply {
  OperatorCallId call;
  OperationId operation;
  ChangeState state = ChangeState::kUnknown;
  //! Revision that the change made; on a conflict the present one.
  Revision revision;
  //! What was found, and what to do next.
  std::string message;
  //! Voters that have not acknowledged, for kPending.
  std::vector<NodeId> waiting_for;
  //! When asking again makes sense, where it does.
  Duration retry_after{};
};

/**
 * \brief Makes the reply to the call that a change came with.
 * \param change Change.
 * \param state What is known of it.
 * \param revision Revision that it made, or the present one.
 * \param message What was found, and what to do next.
 */
[[nodiscard]] OperatorReply MakeReply(const ConfigChange& change,
                                      ChangeState state,
                                      Revision revision,
                                      std::string message);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CLUSTER_OPERATOR_REPLY_H_
