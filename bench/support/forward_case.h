// A load on the forwarders of several hosts, and what came of it.
#ifndef JACINTHDECK_BENCH_SUPPORT_FORWARD_CASE_H_
#define JACINTHDECK_BENCH_SUPPORT_FORWARD_CASE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "jacinthdeck/core/name_table.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/forward/attempt_budget.h"

namespace jacinthdeck::bench {

/*! \brief How a target does badly. */
enum class Trouble {
  //! Work takes `strength` times as long.
  kSlow,
  //! Connections are refused at once; what it had is lost.
  kDown,
  //! Nothing is answered.
  kDark,
  //! It refuses the part `strength` of the requests although it is idle.
  kShedding,
};

//! Names of the troubles, for tables.
inline constexpr NameTable<Trouble, 4> kTroubleNames{
    {"slow", "down", "dark", "shedding"}};

/*! \brief A time in which one target does badly. */
struct TroubleSpan {
  std::size_t shard = 0;
  std::size_t replica = 0;
  Trouble kind = Trouble::kSlow;
  double strength = 1;
  //! From the start of the run.
  Duration from{};
  Duration until{};
};

/*! \brief A kind of call. */
struct CallMix {
  double per_second = 0;
  Duration objective{};
  Duration timeout{};
  //! Average work of one target, without queueing.
  Duration work{};
  //! Least share of the shards that makes an answer.
  double min_share = 1;
  std::uint32_t priority = 1;
  //! Asks this shard alone, as a call for one service; else all shards.
  std::optional<std::size_t> only_shard = std::nullopt;
};

/*! \brief A deployment and its load. */
struct ForwardCase {
  std::uint32_t hosts = 6;
  std::size_t shards = 10;
  std::size_t replicas = 3;
  //! Shards, from the first on, that have lost all targets but one.
  std::size_t lone_shards = 0;
  std::uint32_t slots = 3;
  //! Requests that a target lets wait; it refuses those beyond.
  std::size_t queue = 18;
  //! Connections that a target accepts from all hosts.
  std::uint32_t connections = 30;
  //! One way between a host and a target.
  Duration one_way = std::chrono::microseconds(700);
  //! Processor time of a host for each attempt it sends or takes back; a host
  //! does one after the other.
  Duration host_work{};
  //! Each target stands still for so long, once in each period, at its own
  //! time.
  Duration pause = std::chrono::milliseconds(150);
  Duration pause_period = std::chrono::milliseconds(3600);
  AttemptBudgetOptions budget{0.2, 52, std::chrono::seconds(10)};
  std::vector<CallMix> calls;
  std::vector<TroubleSpan> troubles;
  //! Calls of this first part are played and not counted: hosts learn.
  Duration warm_up = std::chrono::seconds(4);
  Duration length = std::chrono::seconds(12);
};

/*! \brief What the callers of one kind got. */
struct KindResult {
  std::uint64_t calls = 0;
  //! Answers, also late ones.
  std::uint64_t served = 0;

  [[nodiscard]] double served_share() const noexcept {
    return calls == 0
               ? 0
               : static_cast<double>(served) / static_cast<double>(calls);
  }
};

/*! \brief What the callers of one run got. */
struct ForwardResult {
  std::uint64_t calls = 0;
  //! Answers within the objective, whole or not.
  std::uint64_t in_time = 0;
  std::uint64_t late = 0;
  //! Told at once that nothing has run.
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  //! Sum over the answers in time of the squared share of shards in them.
  double coverage = 0;
  //! Attempts beyond the first at each shard.
  std::uint64_t extras = 0;
  std::uint64_t attempts = 0;
  //! First attempts as the hosts count them, and those of them that left the
  //! host's failure domain.
  std::uint64_t firsts = 0;
  std::uint64_t firsts_crossing = 0;
  //! Most extra attempts of a shard in one window, over the budget's bound.
  double budget_used = 0;
  //! Median time to the answers in time and late.
  double p50_ms = 0;
  //! By kind of call, as the case lists them.
  std::vector<KindResult> call_classes;

  //! Part of the calls that were answered in time, weighted by coverage.
  [[nodiscard]] double value() const noexcept {
    return calls == 0 ? 0 : coverage / static_cast<double>(calls);
  }
  [[nodiscard]] double other_domain_share() const noexcept {
    return firsts == 0 ? 0
                       : static_cast<double>(firsts_crossing) /
                             static_cast<double>(firsts);
  }
};

}  // namespace jacinthdeck::bench

#endif  // JACINTHDECK_BENCH_SUPPORT_FORWARD_CASE_H_
