// The closed set of ways in which a call can end.
#ifndef JACINTHDECK_CORE_OUTCOME_H_
#define JACINTHDECK_CORE_OUTCOME_H_

#include "jacinthdeck/core/name_table.h"

namespace jacinthdeck {

/*! \brief Final outcome of a call, as its caller sees it. */
enum class Outcome {
  //! Every key range asked for is covered.
  kWhole,
  //! Some key ranges are missing; the answer names them.
  kPartial,
  //! Refused, and no target can have run any part of it.
  kNotRun,
  //! Failed, and it may or may not have run.
  kUnknown,
};

//! Names of the outcomes, as they stand in answers, logs and metrics.
inline constexpr NameTable<Outcome, 4> kOutcomeNames{
    {"whole", "partial", "not_run", "unknown"}};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CORE_OUTCOME_H_
