// Event counters of the engine, for metrics.
#ifndef JACINTHDECK_QUERY_ENGINE_COUNTERS_H_
#define JACINTHDECK_QUERY_ENGINE_COUNTERS_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "jacinthdeck/core/outcome.h"
#include "jacinthdeck/query/answer.h"

namespace jacinthdeck {

/*! \brief Totals since the engine was constructed; they never decrease. */
struct EngineCounters {
  std::uint64_t calls = 0;
  //! Requests sent to targets, hedges and retries included.
  std::uint64_t attempts = 0;
  std::uint64_t hedges = 0;
  std::uint64_t retries = 0;
  //! Calls restarted on another index version.
  std::uint64_t restarts = 0;
  //! Number of answers, indexed by Outcome.
  std::array<std::uint64_t, kOutcomeNames.names.size()> outcomes{};
  //! Number of answers, indexed by AnswerReason; whole answers count as kNone.
  std::array<std::uint64_t, kAnswerReasonNames.names.size()> reasons{};
  //! Attempt ends that arrived after the call stopped waiting for them.
  std::uint64_t late_replies = 0;
  //! Replies for another index version or key range than requested.
  std::uint64_t mismatched_replies = 0;
  //! Partition maps ignored because their shards leave gaps or overlap.
  std::uint64_t rejected_maps = 0;

  /*! \brief Returns the number of answers with an outcome. */
  [[nodiscard]] std::uint64_t Of(Outcome outcome) const noexcept {
    return outcomes[static_cast<std::size_t>(outcome)];
  }

  /*! \brief Returns the number of answers with a reason. */
  [[nodiscard]] std::uint64_t Of(AnswerReason reason) const noexcept {
    return reasons[static_cast<std::size_t>(reason)];
  }
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_QUERY_ENGINE_COUNTERS_H_
