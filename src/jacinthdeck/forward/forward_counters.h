// Totals of a forwarder.
#ifndef JACINTHDECK_FORWARD_FORWARD_COUNTERS_H_
#define JACINTHDECK_FORWARD_FORWARD_COUNTERS_H_

#include <array>
#include <cstdint>

namespace jacinthdeck {

/*! \brief Counts since the start. */
struct ForwardCounters {
  std::uint64_t calls = 0;
  //! Calls that their callers left.
  std::uint64_t abandoned = 0;
  //! By AttemptReason.
  std::array<std::uint64_t, 3> attempts{};
  //! Those to targets of other failure domains, by AttemptReason.
  std::array<std::uint64_t, 3> attempts_other_domains{};
  //! By AttemptOutcome.
  std::array<std::uint64_t, 5> outcomes{};
  //! Attempts cancelled without an end.
  std::uint64_t cancelled = 0;
  //! Extra attempts that the budget refused.
  std::uint64_t budget_refusals = 0;
  //! Requests convicted of crashing targets.
  std::uint64_t quarantines = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_FORWARD_COUNTERS_H_
