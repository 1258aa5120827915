// Possible final outcomes of a call.
#ifndef JACINTHDECK_CORE_OUTCOME_H_
#define JACINTHDECK_CORE_OUTCOME_H_

#include "jacinthdeck/core/name_table.h"

namespace jacinthdeck {

/*! \brief Final outcome of a call as reported to the caller. */
enum class Outcome {
  //! The answer covers every requested key range.
  kWhole,
  //! Some requested key ranges are missing; the answer lists them.
  kPartial,
  //! The call was rejected, and no target can have executed any part of it.
  kNotRun,
  //! The call failed, and targets may or may not have executed it.
  kUnknown,
};

//! Names of the outcomes in answers, logs and metrics.
inline constexpr NameTable<Outcome, 4> kOutcomeNames{
    {"whole", "partial", "not_run", "unknown"}};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CORE_OUTCOME_H_
