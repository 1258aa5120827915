// Engine state of each running call, its shards and its attempts.
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

/*! \brief Progress of a shard of a running call. */
enum class ShardPhase { kOpen, kAnswered, kGivenUp };

/*! \brief State of a shard that a call asked for. */
struct ShardState {
  //! Points into OpenCall::map.
  const Shard* shard = nullptr;
  ShardPhase phase = ShardPhase::kOpen;
  //! Why the shard was given up, or its last failure while it is open.
  AnswerReason reason = AnswerReason::kDeadline;
  std::vector<TargetId> tried;
  //! Attempts in flight; cleared when the shard is answered or cancelled.
  std::vector<AttemptId> in_flight;
  //! Set while an attempt of the shard waits for capacity on a target.
  std::optional<WaitingKey> waiting;
  //! Whether the next attempt is held until a probe ends, since the request is
  //! a suspect.
  bool held = false;
  //! Time at which a hedge is due.
  std::optional<TimePoint> hedge_at;
  //! Time at which a delayed retry is due.
  std::optional<TimePoint> retry_at;
  std::uint32_t retries = 0;
  std::uint32_t hedges = 0;
  //! Hedges refused by the router since the last attempt was sent.
  std::uint32_t refused_hedges = 0;
  ShardReply reply;
};

/*! \brief Running call: it does not wait in the queue and has no answer yet. */
struct OpenCall {
  Call call;
  //! Never null.
  ServiceState* service = nullptr;
  TimePoint started;
  //! Map of the one index version that the whole answer comes from; a restart
  //! replaces it and all shards.
  std::shared_ptr<const PartitionMap> map;
  //! Shards that the call asks, in the order of the map.
  std::vector<ShardState> shards;
  //! Number of shards in phase kOpen.
  std::size_t unsettled = 0;
  //! Number of times the call was begun on a map. A reply to an attempt of an
  //! earlier epoch is not merged, since it may be of another index version.
  std::uint32_t epoch = 0;
  std::uint32_t attempts = 0;
  std::uint32_t hedges = 0;
  std::uint32_t retries = 0;
  std::uint32_t restarts = 0;
  //! Whether an ended attempt may have run on a target; never reset.
  bool may_have_run = false;
  //! Time that the call's timer is set to; never later than the next action
  //! that is due for the call.
  TimePoint timer_at;
  std::vector<IndexVersion> excluded_versions;
};

/*! \brief Attempt whose end is not reported yet; it may outlive its call. */
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
  //! Whether a cancellation was requested; the reply is then not merged.
  bool cancelled = false;
  //! Whether the request was already a suspect when the attempt was sent.
  bool probe = false;
};

}  // namespace jacinthdeck::internal

#endif  // JACINTHDECK_QUERY_CALL_STATE_H_
