// Each promise is checked by one function.
#include "soak/checks.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <unordered_map>
#include <unordered_set>

#include "jacinthdeck/http/status.h"

namespace jacinthdeck::soak {

namespace {

using Violations = std::vector<Violation>;
using RunsByRequest = std::unordered_map<std::string, std::vector<const Run*>>;

//! The history with the indexes that several checks share.
struct HistoryIndex {
  const History& history;
  const Bounds& bounds;
  RunsByRequest runs;
  //! When the store confirmed that a target is draining, by target.
  std::unordered_map<std::string, TimePoint> departures;
  //! Failure domain by target.
  std::unordered_map<std::string, std::string> domains;
};

[[nodiscard]] HistoryIndex MakeHistoryIndex(const History& history,
                                            const Bounds& bounds) {
  HistoryIndex index{history, bounds, {}, {}, {}};
  for (const Run& run : history.runs) {
    index.runs[run.request].push_back(&run);
  }
  for (const TargetDeparture& departure : history.departures) {
    index.departures.emplace(departure.target, departure.confirmed);
  }
  for (const Placement& placement : history.placements) {
    index.domains.emplace(placement.target, placement.domain);
  }
  return index;
}

//! Whether a fault with this effect may have affected a call: it lasted at some
//! time during the call, or ended at most `contact` before the call was sent.
[[nodiscard]] bool IsAffected(const History& history,
                              const Call& call,
                              FaultEffect effect,
                              Duration contact) {
  return std::ranges::any_of(
      history.fault_periods, [&](const FaultPeriod& period) {
        const bool before = period.from > call.ended;
        const bool after =
            period.to != TimePoint::max() && period.to + contact < call.sent;
        return period.entry == call.entry && period.effect == effect &&
               !before && !after;
      });
}

[[nodiscard]] bool IsNotExecutedStatus(int status) {
  return status == http_status::kTooManyRequests ||
         status == http_status::kUnavailable ||
         status == http_status::kRequestTimeout ||
         status == http_status::kMisdirected;
}

[[nodiscard]] const std::vector<const Run*>& RunsOf(const HistoryIndex& index,
                                                    const Call& call) {
  static const std::vector<const Run*> none;
  const auto found = index.runs.find(call.id);
  return found == index.runs.end() ? none : found->second;
}

[[nodiscard]] std::string DescribeCall(const Call& call,
                                       const std::string& what) {
  return "request " + call.id + " at entry " + std::to_string(call.entry) +
         ", sent " + std::to_string(call.sent.time_since_epoch().count()) +
         " us: " + what;
}

void CheckRunsOnce(const HistoryIndex& index, Violations& found) {
  for (const Call& call : index.history.calls) {
    const std::size_t runs = RunsOf(index, call).size();
    if (call.kind == CallKind::kClaim && runs > 1) {
      found.push_back(
          {Promise::kRunsOnce,
           DescribeCall(call, "ran " + std::to_string(runs) + " times")});
    }
  }
}

void CheckNotRunIsTrue(const HistoryIndex& index, Violations& found) {
  for (const Call& call : index.history.calls) {
    if (call.kind == CallKind::kClaim && IsNotExecutedStatus(call.status) &&
        !RunsOf(index, call).empty()) {
      found.push_back(
          {Promise::kNotRunIsTrue,
           DescribeCall(call, "was told " + std::to_string(call.status) +
                                  " and ran at " +
                                  RunsOf(index, call).front()->target)});
    }
  }
}

void CheckOnlyAskedRuns(const HistoryIndex& index, Violations& found) {
  std::unordered_set<std::string> asked;
  for (const Call& call : index.history.calls) {
    asked.insert(call.id);
  }
  for (const Run& run : index.history.runs) {
    if (!asked.contains(run.request)) {
      found.push_back(
          {Promise::kOnlyAskedRuns, run.request + " ran at " + run.target});
    }
  }
}

//! Describes what is wrong with the records of a successful call; empty if they
//! are valid.
[[nodiscard]] std::string DescribeRecordsFault(const Call& call) {
  if (call.records.empty()) {
    return "success without a record";
  }
  std::set<std::uint32_t> shards;
  for (const Record& record : call.records) {
    if (record.request != HashOf(call.id)) {
      return "holds the answer to another request";
    }
    if (record.layout != call.records.front().layout) {
      return "holds shards of two layouts";
    }
    if (!shards.insert(record.shard).second) {
      return "holds shard " + std::to_string(record.shard) + " twice";
    }
  }
  return "";
}

void CheckOneLayout(const HistoryIndex& index, Violations& found) {
  for (const Call& call : index.history.calls) {
    if (call.status != http_status::kOk) {
      continue;
    }
    if (const std::string fault = DescribeRecordsFault(call); !fault.empty()) {
      found.push_back({Promise::kOneLayout, DescribeCall(call, fault)});
    }
  }
}

//! Returns the lowest layout that a call sent at this time may be served by.
//! Layout numbers only increase.
[[nodiscard]] std::uint32_t MinLayout(const HistoryIndex& index,
                                      TimePoint sent) {
  std::uint32_t min_layout = 0;
  for (const LayoutChange& change : index.history.layouts) {
    if (change.confirmed + index.bounds.apply < sent) {
      min_layout = std::max(min_layout, change.layout);
    }
  }
  return min_layout;
}

void CheckConfigInTime(const HistoryIndex& index, Violations& found) {
  for (const Call& call : index.history.calls) {
    if (call.records.empty() ||
        IsAffected(index.history, call, FaultEffect::kPropagation,
                   index.bounds.contact)) {
      continue;
    }
    const std::uint32_t min_layout = MinLayout(index, call.sent);
    if (call.records.front().layout < min_layout) {
      found.push_back(
          {Promise::kConfigInTime,
           DescribeCall(call, "served by layout " +
                                  std::to_string(call.records.front().layout) +
                                  ", due " + std::to_string(min_layout))});
    }
  }
}

void CheckConfigNeverReverts(const HistoryIndex& index, Violations& found) {
  std::map<std::size_t, std::vector<const Call*>> by_entry;
  for (const Call& call : index.history.calls) {
    if (!call.records.empty()) {
      by_entry[call.entry].push_back(&call);
    }
  }
  for (auto& [entry, calls] : by_entry) {
    std::ranges::sort(calls, {}, &Call::ended);
    for (const Call* call : calls) {
      const auto newer = std::ranges::find_if(calls, [&](const Call* seen) {
        return seen->ended + index.bounds.rollback < call->sent &&
               seen->records.front().layout > call->records.front().layout;
      });
      if (newer != calls.end()) {
        found.push_back({Promise::kConfigNeverReverts,
                         DescribeCall(*call, "older than what " + (*newer)->id +
                                                 " had seen")});
      }
    }
  }
}

//! Visits the runs of all calls, except calls whose entry may not have received
//! changes because of a fault.
template <typename Visitor>
void ForEachUnaffectedRun(const HistoryIndex& index, Visitor visit) {
  for (const Call& call : index.history.calls) {
    if (IsAffected(index.history, call, FaultEffect::kPropagation,
                   index.bounds.contact)) {
      continue;
    }
    for (const Run* run : RunsOf(index, call)) {
      visit(call, *run);
    }
  }
}

void CheckLeftTargets(const HistoryIndex& index, Violations& found) {
  ForEachUnaffectedRun(index, [&](const Call& call, const Run& run) {
    const auto departure = index.departures.find(run.target);
    if (departure != index.departures.end() &&
        departure->second + index.bounds.drain < call.sent) {
      found.push_back(
          {Promise::kLeftTargetGetsNothing,
           DescribeCall(call, "ran at " + run.target + ", which had left")});
    }
  });
}

//! Whether the whole call took place while the domain was evacuated, later than
//! the time bound within which an evacuation must take effect.
[[nodiscard]] bool IsEvacuated(const HistoryIndex& index,
                               const std::string& domain,
                               const Call& call) {
  return std::ranges::any_of(
      index.history.evacuations, [&](const EvacuationPeriod& period) {
        return period.domain == domain &&
               period.confirmed + index.bounds.evacuate < call.sent &&
               call.ended < period.ended;
      });
}

void CheckEvacuatedDomains(const HistoryIndex& index, Violations& found) {
  ForEachUnaffectedRun(index, [&](const Call& call, const Run& run) {
    const auto domain = index.domains.find(run.target);
    if (domain != index.domains.end() &&
        IsEvacuated(index, domain->second, call)) {
      found.push_back({Promise::kEvacuatedGetsNothing,
                       DescribeCall(call, "ran at " + run.target +
                                              ", whose domain is evacuated")});
    }
  });
}

void CheckNoRequestIsCut(const HistoryIndex& index, Violations& found) {
  for (const Call& call : index.history.calls) {
    if (call.end == CallEnd::kClosed && !RunsOf(index, call).empty() &&
        !IsAffected(index.history, call, FaultEffect::kConnections,
                    Duration::zero())) {
      found.push_back({Promise::kNoRequestIsCut,
                       DescribeCall(call, "ran, and its connection ended")});
    }
  }
}

void CheckRecovery(const HistoryIndex& index, Violations& found) {
  const CalmCalls calm = CountCalmCalls(index.history);
  if (static_cast<double>(calm.answered) <
      static_cast<double>(calm.sent) * index.bounds.recovered_share) {
    found.push_back({Promise::kRecovers, std::to_string(calm.answered) +
                                             " of " +
                                             std::to_string(calm.sent) +
                                             " answered in calm times"});
  }
}

}  // namespace

CalmCalls CountCalmCalls(const History& history) {
  CalmCalls calm;
  for (const Call& call : history.calls) {
    if (call.sent > history.calm_since) {
      ++calm.sent;
      calm.answered += call.status == http_status::kOk ? 1U : 0U;
    }
  }
  return calm;
}

std::vector<Violation> FindViolations(const History& history,
                                      const Bounds& bounds) {
  constexpr std::array kChecks{&CheckRunsOnce,       &CheckNotRunIsTrue,
                               &CheckOnlyAskedRuns,  &CheckOneLayout,
                               &CheckConfigInTime,   &CheckConfigNeverReverts,
                               &CheckLeftTargets,    &CheckEvacuatedDomains,
                               &CheckNoRequestIsCut, &CheckRecovery};
  const HistoryIndex index = MakeHistoryIndex(history, bounds);
  Violations found;
  for (const auto check : kChecks) {
    check(index, found);
  }
  return found;
}

}  // namespace jacinthdeck::soak
