// The history of a run with the indexes that several checks share.
#ifndef SOAK_HISTORY_INDEX_H_
#define SOAK_HISTORY_INDEX_H_

#include <string>
#include <unordered_map>
#include <vector>

#include "soak/bounds.h"
#include "soak/history.h"
#include "soak/promise.h"

namespace jacinthdeck::soak {

using Violations = std::vector<Violation>;

/*! \brief Index of a history; the history and the bounds must outlive it. */
struct HistoryIndex {
  HistoryIndex(const History& of, const Bounds& within);

  const History& history;
  const Bounds& bounds;
  std::unordered_map<std::string, std::vector<const Run*>> runs;
  //! When the store confirmed that a target is draining, by target.
  std::unordered_map<std::string, TimePoint> departures;
  //! Failure domain by target.
  std::unordered_map<std::string, std::string> domains;

  /*! \brief Returns the runs of a call, in the order of the log. */
  [[nodiscard]] const std::vector<const Run*>& RunsOf(const Call& call) const;

  /*! \brief Returns whether a fault with this effect may have affected a call:
   * it lasted at some time during the call, or ended at most `contact` before
   * the call was sent. */
  [[nodiscard]] bool IsAffected(const Call& call,
                                FaultEffect effect,
                                Duration contact) const;

  /*! \brief Returns whether changes may not have reached the entry of a call
   * because of a fault. */
  [[nodiscard]] bool MayLackChanges(const Call& call) const {
    return IsAffected(call, FaultEffect::kPropagation, bounds.contact);
  }
};

/*! \brief Names a call in a report, followed by what it violates. */
[[nodiscard]] std::string DescribeCall(const Call& call,
                                       const std::string& what);

}  // namespace jacinthdeck::soak

#endif  // SOAK_HISTORY_INDEX_H_
