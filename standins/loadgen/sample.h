// Measurements of one request of a load run.
#ifndef JACINTHDECK_STANDINS_LOADGEN_SAMPLE_H_
#define JACINTHDECK_STANDINS_LOADGEN_SAMPLE_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "jacinthdeck/core/name_table.h"
#include "jacinthdeck/core/time.h"

namespace jacinthdeck::standins {

/*! \brief Outcome of a request as its caller sees it. */
enum class LoadOutcome {
  kWhole,
  kPartial,
  kNotRun,
  kUnknown,
  //! Reply with status 4xx that is not whole, partial or not run.
  kRejected,
  //! No connection could be opened.
  kNotSent,
  //! The connection ended or the time ran out without a reply.
  kLost,
  //! The body of the reply is not JSON, or it has no outcome and the status is
  //! not 4xx.
  kMalformed,
};

inline constexpr std::size_t kLoadOutcomeCount = 8;

//! Names of the outcomes in reports.
inline constexpr NameTable<LoadOutcome, kLoadOutcomeCount> kLoadOutcomeNames{
    {"whole", "partial", "not_run", "unknown", "rejected", "not_sent", "lost",
     "broken"}};

/*! \brief Measurements of one request. */
struct Sample {
  std::uint64_t number = 0;
  //! Time at which the request was due, since the start of the run.
  Duration due{};
  //! Time from `due` to the end of the request, resends included.
  Duration latency{};
  LoadOutcome outcome = LoadOutcome::kNotSent;
  long status = 0;
  std::string reason;
  std::uint64_t version = 0;
  std::uint64_t hits = 0;
  std::uint64_t attempts = 0;
  std::uint64_t hedges = 0;
  std::uint64_t retries = 0;
  //! Covered share of the requested keys, 0 to 1.
  double coverage = 0;
  //! Number of times that the request was resent to another entry.
  std::uint64_t resends = 0;
  //! Hits whose version differs from that of the answer.
  std::uint64_t mixed_version_hits = 0;
  //! Hits whose id occurred before in the same answer.
  std::uint64_t duplicate_hits = 0;
  //! Time after which the entry allows a retry.
  Duration retry_after{};
};

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_LOADGEN_SAMPLE_H_
