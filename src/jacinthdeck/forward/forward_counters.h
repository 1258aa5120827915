// Counters of a forwarder.
#ifndef JACINTHDECK_FORWARD_FORWARD_COUNTERS_H_
#define JACINTHDECK_FORWARD_FORWARD_COUNTERS_H_

#include <array>
#include <cstdint>

namespace jacinthdeck {

/*! \brief Counts since the forwarder was created. */
struct ForwardCounters {
  std::uint64_t calls = 0;
  //! Calls whose callers disconnected.
  std::uint64_t abandoned = 0;
  //! Calls that waited before they started.
  std::uint64_t started_after_wait = 0;
  //! Calls refused because their targets were loaded, or while they waited,
  //! indexed by ShedReason. Only calls that may wait are counted.
  std::array<std::uint64_t, 4> shed{};
  //! Calls refused because the memory for calls was in use.
  std::uint64_t refused_for_memory = 0;
  //! Attempts sent, indexed by AttemptReason.
  std::array<std::uint64_t, 3> attempts{};
  //! Attempts sent to targets in other failure domains, indexed by
  //! AttemptReason.
  std::array<std::uint64_t, 3> attempts_other_domains{};
  //! Attempts ended, indexed by AttemptOutcome.
  std::array<std::uint64_t, 5> outcomes{};
  //! Attempts cancelled before they ended.
  std::uint64_t cancelled = 0;
  //! Extra attempts that were not sent because a budget was exhausted.
  std::uint64_t budget_refusals = 0;
  //! Attempts whose connection ended while a target had the request: before
  //! and after the end of their call.
  std::uint64_t lost_during_call = 0;
  std::uint64_t lost_after_call = 0;
  //! Targets that were found to refuse connections, and those of them that
  //! accepted one again, or had a new process in the registry.
  std::uint64_t became_unreachable = 0;
  std::uint64_t became_reachable = 0;
  //! Probes of targets that refuse connections.
  std::uint64_t target_probes = 0;
  //! Attempts that were sent alone after others of their call had broken.
  std::uint64_t canaries = 0;
  //! Requests that became suspect, as a target ended under them.
  std::uint64_t suspects = 0;
  //! Suspect requests that an answer cleared.
  std::uint64_t suspects_cleared = 0;
  //! Ends of targets that were no evidence, as their service answered the
  //! request before and afterwards; those that other hosts reported are counted
  //! as well.
  std::uint64_t crashes_ignored = 0;
  //! Requests that this host quarantined because they crash targets.
  std::uint64_t quarantines = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_FORWARD_COUNTERS_H_
