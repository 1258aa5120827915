// Counts the lost answers of callers from the logs of many hosts.
#ifndef JACINTHDECK_DAEMONS_CTL_LOSS_SUMMARY_H_
#define JACINTHDECK_DAEMONS_CTL_LOSS_SUMMARY_H_

#include <jansson.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <ostream>
#include <string>

#include "jacinthdeck/core/name_table.h"

namespace jacinthdeck::ctl {

/*! \brief Ways in which a caller lost all or part of its answer. */
enum class Loss { kRefused, kFailed, kPartial, kSlow, kAbandoned };

inline constexpr std::size_t kLossCount = 5;

//! Log event of each kind of loss, in the order of the table columns.
inline constexpr NameTable<Loss, kLossCount> kLossNames{
    {"call_refused", "call_failed", "call_partial", "call_slow",
     "call_abandoned"}};

/**
 * \brief Counts losses by time window, by route and reason, and by the attempts
 * at missing shards; counts other events by time window.
 *
 * Logs hold only a sample of the successful calls, so the share of calls with a
 * loss must be taken from the metrics.
 */
class LossSummary {
 public:
  /*! \brief Counts one line of a host's log. */
  void Add(const json_t& line);

  /*! \brief Prints all tables. */
  void Print(std::ostream& out) const;

 private:
  using Losses = std::array<std::uint64_t, kLossCount>;

  void AddMissingShards(const json_t& line);

  //! Start of the earliest window with a line, in Unix milliseconds. The tables
  //! show times relative to it.
  std::optional<json_int_t> m_first_window;
  //! Losses by the start of the window in Unix milliseconds.
  std::map<json_int_t, Losses> m_losses_by_window;
  //! Losses by route, then by reason.
  std::map<std::string, std::map<std::string, Losses>> m_losses_by_route;
  //! Number of missing shards by the attempts at them, in the order of sending.
  std::map<std::string, std::uint64_t> m_missing_shards_by_attempts;
  //! Number of other events by event with status and problem, then by window.
  std::map<std::string, std::map<json_int_t, std::uint64_t>> m_other_events;
};

}  // namespace jacinthdeck::ctl

#endif  // JACINTHDECK_DAEMONS_CTL_LOSS_SUMMARY_H_
