// What the engine holds of each open call, shard and attempt.
#ifndef JACINTHDECK_QUERY_CALL_STATE_H_
#define JACINTHDECK_QUERY_CALL_STATE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/query/answer.h"
#include "jacinthdeck/query/call.h"
#include "jacinthdeck/query/partition_map.h"
#include "jacinthdeck/query/service_state.h"
#include "jacinthdeck/query/shard_reply.h"
#include "jacinthdeck/query/waiting_attempts.h"
#include "jacinthdeck/routing/attempt.h"

namespace jacinthdeck::internal {

/*! \brief Where a shard of an open call stands. */
enum class ShardPhase { kOpen, kAnswered, kGivenUp };

/*! \brief One shard that a call asked for. */
struct ShardState {
  //! Lies in the map that the call pins.
  const Shard* shard = nullptr;
  ShardPhase phase = ShardPhase::kOpen;
  //! Why the shard is given up, or its last failure while it is open.
  AnswerReason reason = AnswerReason::kDeadline;
  std::vector<TargetId> tried;
  //! Attempts in flight; empty once the shard is settled.
  std::vector<AttemptId> in_flight;
  //! Set while the shard waits for a place on a target.
  std::optional<WaitingKey> waiting;
  //! The request is a suspect and waits for the end of a probe.
  bool held = false;
  //! When a hedge is due.
  std::optional<TimePoint> hedge_at;
  //! When a retry that pauses is due.
  std::optional<TimePoint> retry_at;
  std::uint32_t retries = 0;
  std::uint32_t hedges = 0;
  //! Hedges refused since the last attempt was sent.
  std::uint32_t refused_hedges = 0;
  ShardReply reply;
};

/*! \brief A call without an answer. */
struct OpenCall {
  Call call;
  //! Never null.
  ServiceState* service = nullptr;
  TimePoint started;
  //! Pinned for the whole answer; a restart replaces it and all shards.
  std::shared_ptr<const PartitionMap> map;
  //! Shards asked for, in the order of the map.
  std::vector<ShardState> shards;
  //! Number of shards in phase kOpen.
  std::size_t unsettled = 0;
  //! Counts the snapshots; an attempt of an earlier one is never merged.
  std::uint32_t epoch = 0;
  std::uint32_t attempts = 0;
  std::uint32_t hedges = 0;
  std::uint32_t retries = 0;
  std::uint32_t restarts = 0;
  //! Some ended attempt may have run on a target; never goes back to false.
  bool may_have_run = false;
  //! The timer that is set; never later than anything that is due.
  TimePoint timer_at;
  std::vector<IndexVersion> excluded_versions;
};

/*! \brief An attempt whose end is not reported yet; it outlives its call. */
struct OpenAttempt {
  CallId call;
  std::uint32_t epoch = 0;
  std::size_t shard = 0;
  TargetId target;
  //! Never null.
  ServiceState* service = nullptr;
  TimePoint sent;
  AttemptKind kind = AttemptKind::kFirst;
  IndexVersion version;
  KeyRange range;
  Fingerprint fingerprint;
  //! A cancel was sent; its reply is not wanted.
  bool cancelled = false;
  //! The request was a suspect when it was sent.
  bool probe = false;
};

}  // namespace jacinthdeck::internal

#endif  // JACINTHDECK_QUERY_CALL_STATE_H_
