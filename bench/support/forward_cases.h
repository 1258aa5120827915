// Loads under which hosts must decide well: each is a pattern that users met.
#ifndef JACINTHDECK_BENCH_SUPPORT_FORWARD_CASES_H_
#define JACINTHDECK_BENCH_SUPPORT_FORWARD_CASES_H_

#include <chrono>
#include <string_view>
#include <vector>

#include "support/forward_case.h"

namespace jacinthdeck::bench {

/*! \brief A load and its name in tables. */
struct NamedForwardCase {
  std::string_view name;
  ForwardCase load;
};

//! Part of the calls that are of the slower kind, the searches.
inline constexpr double kSearchShare = 0.75;

/**
 * \brief The search of visitor desks: two kinds of call over ten shards.
 *
 * Figures of a users' sheet: work of 15 and 5 ms, objectives of 120 and 60 ms,
 * nine and eight of ten shards needed, three targets a shard.
 */
[[nodiscard]] inline ForwardCase VisitorDeskWorkload(double calls_per_second) {
  using std::chrono::milliseconds;
  ForwardCase load;
  load.calls = {{calls_per_second * kSearchShare, milliseconds(120),
                 milliseconds(800), milliseconds(15), 0.89, 1},
                {calls_per_second * (1 - kSearchShare), milliseconds(60),
                 milliseconds(300), milliseconds(5), 0.75, 2}};
  return load;
}

/*! \brief Adds a trouble that lasts for the whole run. */
inline void AddTrouble(ForwardCase& load,
                       std::size_t shard,
                       std::size_t replica,
                       Trouble kind,
                       double strength = 1) {
  load.troubles.push_back({shard, replica, kind, strength, Duration::zero(),
                           load.warm_up + load.length});
}

/*! \brief Three shards have one sound target each; their work takes 90%
 * of its slots' time, so that it queues. */
[[nodiscard]] inline ForwardCase ShardsWithOneHealthyTarget() {
  ForwardCase load = VisitorDeskWorkload(216);
  for (std::size_t shard = 0; shard < 3; ++shard) {
    AddTrouble(load, shard, 0, Trouble::kDown);
    AddTrouble(load, shard, 1, Trouble::kSlow, 10);
  }
  return load;
}

/*! \brief All targets of a shard are silent, and one in each other shard is
 * slow: the answer can do without no further shard. */
[[nodiscard]] inline ForwardCase UnresponsiveShardAndSlowTargets() {
  ForwardCase load = VisitorDeskWorkload(200);
  for (std::size_t replica = 0; replica < load.replicas; ++replica) {
    AddTrouble(load, 0, replica, Trouble::kDark);
  }
  for (std::size_t shard = 1; shard < load.shards; ++shard) {
    AddTrouble(load, shard, shard % load.replicas, Trouble::kSlow, 9);
  }
  return load;
}

/*! \brief Two targets of half of the shards refuse three requests in five
 * although they are idle. */
[[nodiscard]] inline ForwardCase SheddingTargets() {
  ForwardCase load = VisitorDeskWorkload(200);
  for (std::size_t shard = 0; shard < load.shards; shard += 2) {
    AddTrouble(load, shard, 0, Trouble::kShedding, 0.6);
    AddTrouble(load, shard, 1, Trouble::kShedding, 0.6);
  }
  return load;
}

/*! \brief The search of counters: two kinds of call over all shards.
 *
 * Figures of a users' sheet: work of 20 and 6.7 ms, objectives of 150 and
 * 60 ms, pauses of 200 ms each 4.5 s.
 * \param sweep_share Least share of the shards for the slower kind.
 * \param lookup_share The same for the quicker one.
 */
[[nodiscard]] inline ForwardCase CounterDeskWorkload(double calls_per_second,
                                                     double sweep_share,
                                                     double lookup_share) {
  using std::chrono::microseconds;
  using std::chrono::milliseconds;
  ForwardCase load;
  load.pause = milliseconds(200);
  load.pause_period = milliseconds(4500);
  load.calls = {{calls_per_second * kSearchShare, milliseconds(150),
                 milliseconds(1500), milliseconds(20), sweep_share, 1},
                {calls_per_second * (1 - kSearchShare), milliseconds(60),
                 milliseconds(600), microseconds(6700), lookup_share, 2}};
  return load;
}

/*! \brief The first shard has one target left, whose slots the searches could
 * fill alone, and a few calls a second ask that shard's service by itself.
 *
 * The calls for one service are those of routes that were added a moment ago:
 * 1 ms of work, an objective of 1 s.
 */
[[nodiscard]] inline ForwardCase ShardWithOneTarget() {
  using std::chrono::milliseconds;
  ForwardCase load = CounterDeskWorkload(180, 0.89, 0.75);
  load.lone_shards = 1;
  load.calls.push_back(
      {4, milliseconds(1000), milliseconds(4000), milliseconds(1), 1, 2, 0});
  return load;
}

/*! \brief A search over 90 shards by 15 hosts: some four targets pause at any
 * moment, so that hardly a call meets none.
 *
 * Figures of a users' sheet: 0.95 and 0.85 of the shards needed, 7 slots and
 * 195 connections a target; half a core a host, on which an attempt takes 50 us
 * both ways.
 */
[[nodiscard]] inline ForwardCase ManyShards() {
  ForwardCase load = CounterDeskWorkload(60, 0.95, 0.85);
  load.hosts = 15;
  load.shards = 90;
  load.slots = 7;
  load.queue = 42;
  load.connections = 195;
  load.host_work = std::chrono::microseconds(50);
  load.budget.constant = 630;
  return load;
}

/*! \brief Searches and urgent checks over 54 shards, nearly as many of these as
 * of those, each shard with a target in each failure domain.
 *
 * Figures of a users' sheet: work of 15 and 5 ms, objectives of 120 and 60 ms,
 * pauses of 150 ms each 3.6 s, four slots.
 */
[[nodiscard]] inline ForwardCase SearchesAndChecks() {
  using std::chrono::milliseconds;
  ForwardCase load;
  load.shards = 54;
  load.slots = 4;
  load.queue = 24;
  load.connections = 67;
  load.budget.constant = 180;
  load.calls = {
      {72.4, milliseconds(120), milliseconds(1200), milliseconds(15), 0.95, 1},
      {41.8, milliseconds(60), milliseconds(600), milliseconds(5), 0.85, 2}};
  return load;
}

/*! \brief More calls than the slots can work on. */
[[nodiscard]] inline ForwardCase AboveCapacity() {
  return VisitorDeskWorkload(900);
}

/*! \brief All of them, the calm one first. */
[[nodiscard]] inline std::vector<NamedForwardCase> ForwardCases() {
  return {{"calm", VisitorDeskWorkload(180)},
          {"one sound target in three shards", ShardsWithOneHealthyTarget()},
          {"dark shard, slow targets", UnresponsiveShardAndSlowTargets()},
          {"shedding targets", SheddingTargets()},
          {"one target left of a shard", ShardWithOneTarget()},
          {"many shards", ManyShards()},
          {"searches and checks", SearchesAndChecks()},
          {"above capacity", AboveCapacity()}};
}

}  // namespace jacinthdeck::bench

#endif  // JACINTHDECK_BENCH_SUPPORT_FORWARD_CASES_H_
