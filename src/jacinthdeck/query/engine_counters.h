// What the engine counted since it was made, for metrics.
#ifndef JACINTHDECK_QUERY_ENGINE_COUNTERS_H_
#define JACINTHDECK_QUERY_ENGINE_COUNTERS_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "jacinthdeck/core/outcome.h"
#include "jacinthdeck/query/answer.h"

namespace jacinthdeck {

/*! \brief Totals; none ever falls. */
struct EngineCounters {
  std::uint64_t calls = 0;
  //! Requests sent to targets, hedges and retries included.
  std::uint64_t attempts = 0;
  std::uint64_t hedges = 0;
  std::uint64_t retries = 0;
  //! Calls begun again on another index version.
  std::uint64_t restarts = 0;
  //! Answers by Outcome.
  std::array<std::uint64_t, kOutcomeNames.names.size()> outcomes{};
  //! Answers that are not whole, by AnswerReason.
  std::array<std::uint64_t, kAnswerReasonNames.names.size()> reasons{};
  //! Ends of attempts that no call waited for any more.
  std::uint64_t late_replies = 0;
  //! Replies for a version or range that was not asked for.
  std::uint64_t mismatched_replies = 0;
  //! Partition maps left out because they do not cover the key space once.
  std::uint64_t rejected_maps = 0;

  /*! \brief Gives the number of answers with an outcome. */
  [[nodiscard]] std::uint64_t Of(Outcome outcome) const noexcept {
    return outcomes[static_cast<std::size_t>(outcome)];
  }

  /*! \brief Gives the number of answers with a reason. */
  [[nodiscard]] std::uint64_t Of(AnswerReason reason) const noexcept {
    return reasons[static_cast<std::size_t>(reason)];
  }
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_QUERY_ENGINE_COUNTERS_H_
