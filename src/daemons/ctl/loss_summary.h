// Counts what callers lost, from the logs of many hosts.
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

/*! \brief How a caller lost all or a part of its answer. */
enum class Loss { kRefused, kFailed, kPartial, kSlow, kAbandoned };

inline constexpr std::size_t kLossCount = 5;

//! Log events of the losses, in the order of the columns.
inline constexpr NameTable<Loss, kLossCount> kLossNames{
    {"call_refused", "call_failed", "call_partial", "call_slow",
     "call_abandoned"}};

/**
 * \brief Losses by window, by route and reason, and by the attempts that
 * missing shards had; other events by window.
 *
 * Good calls are sampled in logs, so shares of all calls come from the metrics.
 */
class LossSummary {
 public:
  /*! \brief Takes a line of a host's log. */
  void Add(const json_t& line);

  /*! \brief Prints the tables. */
  void Print(std::ostream& out) const;

 private:
  using Losses = std::array<std::uint64_t, kLossCount>;

  void AddMissingShards(const json_t& line);

  //! First window that a line falls in; the tables count from it.
  std::optional<json_int_t> m_first;
  //! By the window's first moment in Unix milliseconds.
  std::map<json_int_t, Losses> m_by_window;
  //! By route, then by reason.
  std::map<std::string, std::map<std::string, Losses>> m_by_route;
  //! Missing shards by the attempts they had, in the order of sending.
  std::map<std::string, std::uint64_t> m_by_attempts;
  //! Other events with their status or problem, by window.
  std::map<std::string, std::map<json_int_t, std::uint64_t>> m_events;
};

}  // namespace jacinthdeck::ctl

#endif  // JACINTHDECK_DAEMONS_CTL_LOSS_SUMMARY_H_
