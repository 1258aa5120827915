// Workload and deployment of one run of the forward model, and its results.
#ifndef JACINTHDECK_BENCH_SUPPORT_FORWARD_CASE_H_
#define JACINTHDECK_BENCH_SUPPORT_FORWARD_CASE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "jacinthdeck/core/name_table.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/forward/attempt_budget.h"
#include "jacinthdeck/forward/forward_options.h"

namespace jacinthdeck::bench {

/*! \brief Kinds of target fault. */
enum class TargetFault {
  //! Service times are multiplied by `strength`.
  kSlow,
  //! Connections are refused immediately; accepted requests are lost.
  kDown,
  //! Requests are never answered.
  kUnresponsive,
  //! The share `strength` of the requests is refused, even if slots are free.
  kShedding,
};

//! Names of the faults in tables.
inline constexpr NameTable<TargetFault, 4> kTargetFaultNames{
    {"slow", "down", "dark", "shedding"}};

/*! \brief A period in which one target has a fault. */
struct TargetFaultPeriod {
  std::size_t shard = 0;
  std::size_t replica = 0;
  TargetFault kind = TargetFault::kSlow;
  //! Slowdown factor or share of refused requests, depending on the kind.
  double strength = 1;
  //! Begin (inclusive) and end (exclusive), relative to the start of the run.
  Duration from{};
  Duration until{};
};

/*! \brief A class of calls with the same rate, limits and cost. */
struct CallClass {
  double calls_per_second = 0;
  //! Latency within which an answer counts as in time.
  Duration objective{};
  Duration timeout{};
  //! Mean service time of a target, without queueing.
  Duration service_time{};
  //! Smallest share of the shards that makes an answer.
  double min_share = 1;
  std::uint32_t priority = 1;
  //! The only shard that is queried, as in a call for one service; empty for a
  //! fan-out to all shards.
  std::optional<std::size_t> only_shard = std::nullopt;
};

/*! \brief The calls of one client account. */
struct FlowRate {
  //! Configured calls per second of the account.
  double configured = 1;
  //! Calls that it sends, relative to the other accounts.
  double sent = 1;
};

/*! \brief A deployment, its workload and its faults. */
struct ForwardCase {
  std::uint32_t hosts = 6;
  std::size_t shards = 10;
  std::size_t replicas = 3;
  //! Number of shards, counted from the first, that have only one target left.
  std::size_t single_target_shards = 0;
  std::uint32_t slots = 3;
  //! Capacity of a target's queue; a request that finds it full is refused.
  std::size_t queue_capacity = 18;
  //! Connections that a target accepts from all hosts.
  std::uint32_t connections = 30;
  //! Network delay between a host and a target, in one direction.
  Duration one_way_delay = std::chrono::microseconds(700);
  //! Processor time of a host to send an attempt, and again to process its
  //! reply. A host handles one message at a time.
  Duration host_cpu_time{};
  //! Length of the pause that each target makes once per period. The pauses of
  //! the targets start at different, random times.
  Duration pause = std::chrono::milliseconds(150);
  Duration pause_period = std::chrono::milliseconds(3600);
  AttemptBudgetOptions budget{0.2, 52, std::chrono::seconds(10)};
  std::vector<CallClass> call_classes;
  //! Client accounts; empty for a deployment without them.
  std::vector<FlowRate> flows;
  //! Whether a refused caller calls once more, after the retry time or a third
  //! of the time it has left.
  bool callers_retry = false;
  WaitRule wait_rule = WaitRule::kWithAccounts;
  std::vector<TargetFaultPeriod> faults;
  //! Calls that arrive in this first part are simulated but not counted, so
  //! that hosts can learn latencies first.
  Duration warm_up = std::chrono::seconds(4);
  //! Time after the warm-up in which calls arrive.
  Duration length = std::chrono::seconds(12);
};

/*! \brief Results of one class of calls. */
struct CallClassResult {
  std::uint64_t calls = 0;
  //! Calls that got an answer, in time or late.
  std::uint64_t served = 0;

  [[nodiscard]] double served_share() const noexcept {
    return calls == 0
               ? 0
               : static_cast<double>(served) / static_cast<double>(calls);
  }
};

/*! \brief Results of a run, or sums over several runs. */
struct ForwardResult {
  std::uint64_t calls = 0;
  //! Answers within the objective, complete or partial.
  std::uint64_t in_time = 0;
  std::uint64_t late = 0;
  //! Calls that were refused; no part of them was executed.
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  //! Sum, over the answers in time, of the squared share of shards in each.
  double coverage = 0;
  //! Attempts that reached a shard after the first one of the same call.
  std::uint64_t extra_attempts = 0;
  std::uint64_t attempts = 0;
  //! First attempts as counted by the hosts, and those of them that left the
  //! host's failure domain.
  std::uint64_t first_attempts = 0;
  std::uint64_t first_attempts_other_domains = 0;
  //! Largest ratio of a shard's extra attempts in a budget window to the limit
  //! of the budget for that window; at most 1 if the budget is kept.
  double budget_used = 0;
  //! Median latency of the answers, in time or late; in a sum over runs, the
  //! mean of their medians.
  double p50_ms = 0;
  //! In the order of ForwardCase::call_classes.
  std::vector<CallClassResult> call_classes;
  //! In the order of ForwardCase::flows.
  std::vector<CallClassResult> flows;

  //! Returns the share of the calls that were answered in time, each weighted
  //! by the square of the share of shards in its answer.
  [[nodiscard]] double value() const noexcept {
    return calls == 0 ? 0 : coverage / static_cast<double>(calls);
  }
  //! Returns the share of the first attempts that left the failure domain.
  [[nodiscard]] double other_domain_share() const noexcept {
    return first_attempts == 0
               ? 0
               : static_cast<double>(first_attempts_other_domains) /
                     static_cast<double>(first_attempts);
  }
};

}  // namespace jacinthdeck::bench

#endif  // JACINTHDECK_BENCH_SUPPORT_FORWARD_CASE_H_
