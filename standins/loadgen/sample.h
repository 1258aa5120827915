// What is known of one request at its end.
#ifndef JACINTHDECK_STANDINS_LOADGEN_SAMPLE_H_
#define JACINTHDECK_STANDINS_LOADGEN_SAMPLE_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "jacinthdeck/core/name_table.h"
#include "jacinthdeck/core/time.h"

namespace jacinthdeck::standins {

/*! \brief How a request ended for its caller. */
enum class LoadOutcome {
  kWhole,
  kPartial,
  kNotRun,
  kUnknown,
  //! Status 4xx.
  kRejected,
  //! No connection to any entry.
  kNotSent,
  //! The connection ended, or time ran out, without a reply.
  kLost,
  //! A reply that is no answer.
  kMalformed,
};

inline constexpr std::size_t kLoadOutcomeCount = 8;

//! Names of the ends in reports.
inline constexpr NameTable<LoadOutcome, kLoadOutcomeCount> kLoadOutcomeNames{
    {"whole", "partial", "not_run", "unknown", "rejected", "not_sent", "lost",
     "broken"}};

/*! \brief One request. */
struct Sample {
  std::uint64_t number = 0;
  //! Since the start.
  Duration due{};
  //! From due to the end.
  Duration latency{};
  LoadOutcome outcome = LoadOutcome::kNotSent;
  long status = 0;
  std::string reason;
  std::uint64_t version = 0;
  std::uint64_t hits = 0;
  std::uint64_t attempts = 0;
  std::uint64_t hedges = 0;
  std::uint64_t retries = 0;
  //! Share of the keys asked for, 0 to 1.
  double coverage = 0;
  //! Times that it moved to another entry.
  std::uint64_t resends = 0;
  //! Hits of another version than the answer's.
  std::uint64_t mixed_version_hits = 0;
  //! Hits whose id stands twice.
  std::uint64_t duplicate_hits = 0;
  //! When the entry asked to come back.
  Duration retry_after{};
};

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_LOADGEN_SAMPLE_H_
