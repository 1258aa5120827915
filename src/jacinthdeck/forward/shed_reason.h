// Why a call that found its targets loaded was refused.
#ifndef JACINTHDECK_FORWARD_SHED_REASON_H_
#define JACINTHDECK_FORWARD_SHED_REASON_H_

#include "jacinthdeck/core/name_table.h"

namespace jacinthdeck {

/*! \brief Why a call was refused instead of started. */
enum class ShedReason {
  //! It was not expected to start early enough.
  kLongQueue,
  //! The queue was full, and its flow the largest.
  kFlowShare,
  //! It waited until it could no longer be answered by its deadline.
  kExpired,
  //! While it waited, its targets or its account went away.
  kLost,
};

//! Names of the reasons, for metrics.
inline constexpr NameTable<ShedReason, 4> kShedReasonNames{
    {"long_queue", "flow_share", "expired", "lost"}};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_SHED_REASON_H_
