// Workloads and faults for the forward model; each follows a pattern that users
// reported.
#ifndef JACINTHDECK_BENCH_SUPPORT_FORWARD_CASES_H_
#define JACINTHDECK_BENCH_SUPPORT_FORWARD_CASES_H_

#include <chrono>
#include <string_view>
#include <vector>

#include "support/forward_case.h"

namespace jacinthdeck::bench {

/*! \brief A case and its name in tables. */
struct NamedForwardCase {
  std::string_view name;
  ForwardCase load;
};

//! Share of the calls that are searches, the slower of the two classes of
//! calls.
inline constexpr double kSearchShare = 0.75;

/**
 * \brief Searches and lookups of visitor desks over ten shards.
 *
 * Figures reported by users, for searches and lookups: service times of 15 and
 * 5 ms, objectives of 120 and 60 ms, nine and eight of ten shards required.
 * Each shard has three targets.
 */
[[nodiscard]] inline ForwardCase VisitorDeskWorkload(double calls_per_second) {
  using std::chrono::milliseconds;
  ForwardCase load;
  load.call_classes = {{calls_per_second * kSearchShare, milliseconds(120),
                        milliseconds(800), milliseconds(15), 0.89, 1},
                       {calls_per_second * (1 - kSearchShare), milliseconds(60),
                        milliseconds(300), milliseconds(5), 0.75, 2}};
  return load;
}

/*! \brief Adds a target fault that lasts for the whole run. */
inline void AddFault(ForwardCase& load,
                     std::size_t shard,
                     std::size_t replica,
                     TargetFault kind,
                     double strength = 1) {
  load.faults.push_back({shard, replica, kind, strength, Duration::zero(),
                         load.warm_up + load.length});
}

/*! \brief Three shards have one healthy target each, whose slots are 90% busy,
 * so that requests queue. */
[[nodiscard]] inline ForwardCase ShardsWithOneHealthyTarget() {
  ForwardCase load = VisitorDeskWorkload(216);
  for (std::size_t shard = 0; shard < 3; ++shard) {
    AddFault(load, shard, 0, TargetFault::kDown);
    AddFault(load, shard, 1, TargetFault::kSlow, 10);
  }
  return load;
}

/*! \brief All targets of one shard are unresponsive, and one target of each
 * other shard is slow: an answer needs all other shards. */
[[nodiscard]] inline ForwardCase UnresponsiveShardAndSlowTargets() {
  ForwardCase load = VisitorDeskWorkload(200);
  for (std::size_t replica = 0; replica < load.replicas; ++replica) {
    AddFault(load, 0, replica, TargetFault::kUnresponsive);
  }
  for (std::size_t shard = 1; shard < load.shards; ++shard) {
    AddFault(load, shard, shard % load.replicas, TargetFault::kSlow, 9);
  }
  return load;
}

/*! \brief Two targets in half of the shards refuse 60% of their requests even
 * while they are idle. */
[[nodiscard]] inline ForwardCase SheddingTargets() {
  ForwardCase load = VisitorDeskWorkload(200);
  for (std::size_t shard = 0; shard < load.shards; shard += 2) {
    AddFault(load, shard, 0, TargetFault::kShedding, 0.6);
    AddFault(load, shard, 1, TargetFault::kShedding, 0.6);
  }
  return load;
}

/**
 * \brief Searches and lookups of counter desks over all shards.
 *
 * Figures reported by users, for searches and lookups: service times of 20 and
 * 6.7 ms, objectives of 150 and 60 ms. Each target pauses for 200 ms every
 * 4.5 s.
 * \param search_min_share Smallest share of the shards that answers a search.
 * \param lookup_min_share Smallest share of the shards that answers a lookup.
 */
[[nodiscard]] inline ForwardCase CounterDeskWorkload(double calls_per_second,
                                                     double search_min_share,
                                                     double lookup_min_share) {
  using std::chrono::microseconds;
  using std::chrono::milliseconds;
  ForwardCase load;
  load.pause = milliseconds(200);
  load.pause_period = milliseconds(4500);
  load.call_classes = {
      {calls_per_second * kSearchShare, milliseconds(150), milliseconds(1500),
       milliseconds(20), search_min_share, 1},
      {calls_per_second * (1 - kSearchShare), milliseconds(60),
       milliseconds(600), microseconds(6700), lookup_min_share, 2}};
  return load;
}

/**
 * \brief The first shard has one target left, whose slots the searches alone
 * could fill, and four calls per second go to the service of that shard only.
 *
 * The calls for one service belong to a route that was just added: a service
 * time of 1 ms and an objective of 1 s.
 */
[[nodiscard]] inline ForwardCase ShardWithOneTarget() {
  using std::chrono::milliseconds;
  ForwardCase load = CounterDeskWorkload(180, 0.89, 0.75);
  load.single_target_shards = 1;
  load.call_classes.push_back(
      {4, milliseconds(1000), milliseconds(4000), milliseconds(1), 1, 2, 0});
  return load;
}

/**
 * \brief Searches and lookups over 90 shards by 15 hosts. On average, four of
 * the 90 first targets of a call are paused, so that almost every call meets
 * one.
 *
 * Figures reported by users: 0.95 and 0.85 of the shards required, 7 slots and
 * 195 connections per target, and half a core per host, on which an attempt
 * takes 50 us each to send and to receive.
 */
[[nodiscard]] inline ForwardCase ManyShards() {
  ForwardCase load = CounterDeskWorkload(60, 0.95, 0.85);
  load.hosts = 15;
  load.shards = 90;
  load.slots = 7;
  load.queue_capacity = 42;
  load.connections = 195;
  load.host_cpu_time = std::chrono::microseconds(50);
  load.budget.constant = 630;
  return load;
}

/**
 * \brief Searches and urgent checks over 54 shards, 72.4 and 41.8 per second.
 * Each shard has a target in each failure domain.
 *
 * Figures reported by users: service times of 15 and 5 ms, objectives of 120
 * and 60 ms, four slots per target, and a pause of 150 ms every 3.6 s.
 */
[[nodiscard]] inline ForwardCase SearchesAndChecks() {
  using std::chrono::milliseconds;
  ForwardCase load;
  load.shards = 54;
  load.slots = 4;
  load.queue_capacity = 24;
  load.connections = 67;
  load.budget.constant = 180;
  load.call_classes = {
      {72.4, milliseconds(120), milliseconds(1200), milliseconds(15), 0.95, 1},
      {41.8, milliseconds(60), milliseconds(600), milliseconds(5), 0.85, 2}};
  return load;
}

/*! \brief More calls than the slots of the targets can serve. */
[[nodiscard]] inline ForwardCase AboveCapacity() {
  return VisitorDeskWorkload(900);
}

//! Calls per second at which the searches and lookups of visitor desks keep all
//! slots of the targets busy.
inline constexpr double kVisitorDeskCapacity = 650;

/**
 * \brief Calls of callers who wait for ten objectives and retry once, from
 * accounts of equal size.
 * \param load_factor Calls relative to the capacity of the targets.
 */
[[nodiscard]] inline ForwardCase PatientCallers(double load_factor,
                                                std::size_t accounts = 80) {
  constexpr int kObjectivesPerDeadline = 10;
  ForwardCase load = VisitorDeskWorkload(load_factor * kVisitorDeskCapacity);
  for (CallClass& call_class : load.call_classes) {
    call_class.timeout = kObjectivesPerDeadline * call_class.objective;
  }
  load.callers_retry = true;
  load.flows.resize(accounts);
  for (FlowRate& flow : load.flows) {
    flow.configured =
        load_factor * kVisitorDeskCapacity / static_cast<double>(accounts);
  }
  return load;
}

/*! \brief One account sends eight times its calls beside 79 others, which alone
 * use nine tenths of the capacity.
 * \param share Calls of that account at its usual rate, relative to those of
 * another account. */
[[nodiscard]] inline ForwardCase FloodingAccount(double share,
                                                 double flood_factor) {
  constexpr double kOthersLoad = 0.9;
  ForwardCase load = PatientCallers(kOthersLoad);
  const auto others = static_cast<double>(load.flows.size() - 1);
  load.flows.front().configured *= share;
  load.flows.front().sent = share * flood_factor;
  for (CallClass& call_class : load.call_classes) {
    call_class.calls_per_second *= (others + share * flood_factor) / others;
  }
  return load;
}

/*! \brief Returns all cases, normal load first. */
[[nodiscard]] inline std::vector<NamedForwardCase> ForwardCases() {
  return {{"calm", VisitorDeskWorkload(180)},
          {"one sound target in three shards", ShardsWithOneHealthyTarget()},
          {"dark shard, slow targets", UnresponsiveShardAndSlowTargets()},
          {"shedding targets", SheddingTargets()},
          {"one target left of a shard", ShardWithOneTarget()},
          {"many shards", ManyShards()},
          {"searches and checks", SearchesAndChecks()},
          {"above capacity", AboveCapacity()},
          {"patient callers, 1.0", PatientCallers(1.0)},
          {"patient callers, 1.5", PatientCallers(1.5)},
          {"patient callers, 3.0", PatientCallers(3.0)},
          {"79 of 80 accounts", FloodingAccount(1, 0)},
          {"one of 80 at 8 times its rate", FloodingAccount(1, 8)},
          {"one large of 80 at 8 times its rate", FloodingAccount(8, 8)}};
}

}  // namespace jacinthdeck::bench

#endif  // JACINTHDECK_BENCH_SUPPORT_FORWARD_CASES_H_
