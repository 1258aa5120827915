// Each promise is checked by one function.
#include "soak/checks.h"

#include <sys/wait.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <map>
#include <set>
#include <unordered_set>

#include "jacinthdeck/http/status.h"
#include "soak/account_checks.h"
#include "soak/account_timeline.h"
#include "soak/history_index.h"

namespace jacinthdeck::soak {

namespace {

[[nodiscard]] bool IsNotExecutedStatus(int status) {
  return status == http_status::kTooManyRequests ||
         status == http_status::kUnavailable ||
         status == http_status::kRequestTimeout ||
         status == http_status::kMisdirected;
}

[[nodiscard]] bool MustRunOnce(const Call& call) {
  return call.kind == CallKind::kClaim || call.kind == CallKind::kSlow;
}

void CheckRunsOnce(const HistoryIndex& index, Violations& found) {
  for (const Call& call : index.history.calls) {
    const std::size_t runs = index.RunsOf(call).size();
    if (MustRunOnce(call) && runs > 1) {
      found.push_back(
          {Promise::kRunsOnce,
           DescribeCall(call, "ran " + std::to_string(runs) + " times")});
    }
  }
}

void CheckNotRunIsTrue(const HistoryIndex& index, Violations& found) {
  for (const Call& call : index.history.calls) {
    if (MustRunOnce(call) && IsNotExecutedStatus(call.status) &&
        !index.RunsOf(call).empty()) {
      found.push_back(
          {Promise::kNotRunIsTrue,
           DescribeCall(call, "was told " + std::to_string(call.status) +
                                  " and ran at " +
                                  index.RunsOf(call).front()->target)});
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
    if (call.records.empty() || index.MayLackChanges(call)) {
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
    if (index.MayLackChanges(call)) {
      continue;
    }
    for (const Run* run : index.RunsOf(call)) {
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

//! Returns whether a call was sent when the platform would have killed its
//! entry after SIGTERM. Calls sent before have no excuse, also those that end
//! later: an entry that leaves them open until it is killed cuts them off.
[[nodiscard]] bool IsSentToOverdueEntry(const HistoryIndex& index,
                                        const Call& call) {
  return std::ranges::any_of(
      index.history.fault_periods, [&](const FaultPeriod& period) {
        return period.entry == call.entry &&
               period.effect == FaultEffect::kStopOverdue &&
               period.from <= call.sent;
      });
}

void CheckNoRequestIsCut(const HistoryIndex& index, Violations& found) {
  for (const Call& call : index.history.calls) {
    if (call.end == CallEnd::kClosed && !index.RunsOf(call).empty() &&
        !index.IsAffected(call, FaultEffect::kConnections, Duration::zero()) &&
        !IsSentToOverdueEntry(index, call)) {
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

void CheckStopIsHeeded(const HistoryIndex& index, Violations& found) {
  for (const std::string& entry : index.history.unheeded_stops) {
    found.push_back({Promise::kStopIsHeeded, entry + " runs on after SIGTERM"});
  }
  for (const std::string& entry : index.history.overdue_stops) {
    found.push_back({Promise::kStopIsHeeded,
                     entry + " was killed at the end of its grace period"});
  }
}

//! Describes an end of an entry that the plan did not cause; empty if it did.
[[nodiscard]] std::string DescribeUnplannedEnd(const EntryOutcome& outcome) {
  if (!outcome.wait_status) {
    return "";
  }
  const int status = *outcome.wait_status;
  if (WIFSIGNALED(status)) {
    const bool is_planned = outcome.kill_sent && WTERMSIG(status) == SIGKILL;
    return is_planned ? ""
                      : "ended by signal " + std::to_string(WTERMSIG(status));
  }
  const bool is_planned = outcome.stop_sent && WEXITSTATUS(status) == 0;
  return is_planned
             ? ""
             : "ended with status " + std::to_string(WEXITSTATUS(status)) +
                   (outcome.stop_sent ? " after SIGTERM" : " without SIGTERM");
}

void CheckEntryLives(const HistoryIndex& index, Violations& found) {
  for (const EntryOutcome& outcome : index.history.entry_outcomes) {
    std::string fault = DescribeUnplannedEnd(outcome);
    if (!outcome.sanitizer_report.empty()) {
      fault += (fault.empty() ? "" : ": ") + outcome.sanitizer_report;
    }
    if (!fault.empty()) {
      found.push_back({Promise::kEntryLives, outcome.entry + " " + fault});
    }
  }
}

}  // namespace

CalmCalls CountCalmCalls(const History& history) {
  CalmCalls calm;
  const AccountTimeline accounts(history, Bounds{});
  for (const Call& call : history.calls) {
    if (call.sent > history.calm_since && accounts.MustBeServed(call)) {
      ++calm.sent;
      calm.answered += call.status == http_status::kOk ? 1U : 0U;
    }
  }
  return calm;
}

std::vector<Violation> FindViolations(const History& history,
                                      const Bounds& bounds) {
  constexpr std::array kChecks{
      &CheckRunsOnce,    &CheckNotRunIsTrue,     &CheckOnlyAskedRuns,
      &CheckOneLayout,   &CheckConfigInTime,     &CheckConfigNeverReverts,
      &CheckLeftTargets, &CheckEvacuatedDomains, &CheckNoRequestIsCut,
      &CheckRecovery,    &CheckStopIsHeeded,     &CheckEntryLives};
  const HistoryIndex index(history, bounds);
  Violations found;
  for (const auto check : kChecks) {
    check(index, found);
  }
  CheckAccounts(index, found);
  return found;
}

}  // namespace jacinthdeck::soak
