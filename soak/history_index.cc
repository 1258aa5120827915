// Finds runs by request and faults by entry.
#include "soak/history_index.h"

#include <algorithm>

namespace jacinthdeck::soak {

HistoryIndex::HistoryIndex(const History& of, const Bounds& within)
    : history(of), bounds(within) {
  for (const Run& run : history.runs) {
    runs[run.request].push_back(&run);
  }
  for (const TargetDeparture& departure : history.departures) {
    departures.emplace(departure.target, departure.confirmed);
  }
  for (const Placement& placement : history.placements) {
    domains.emplace(placement.target, placement.domain);
  }
}

const std::vector<const Run*>& HistoryIndex::RunsOf(const Call& call) const {
  static const std::vector<const Run*> none;
  const auto found = runs.find(call.id);
  return found == runs.end() ? none : found->second;
}

bool HistoryIndex::IsAffected(const Call& call,
                              FaultEffect effect,
                              Duration contact) const {
  return std::ranges::any_of(
      history.fault_periods, [&](const FaultPeriod& period) {
        const bool before = period.from > call.ended;
        const bool after =
            period.to != TimePoint::max() && period.to + contact < call.sent;
        return period.entry == call.entry && period.effect == effect &&
               !before && !after;
      });
}

std::string DescribeCall(const Call& call, const std::string& what) {
  return "request " + call.id + " at entry " + std::to_string(call.entry) +
         ", sent " + std::to_string(call.sent.time_since_epoch().count()) +
         " us: " + what;
}

}  // namespace jacinthdeck::soak
