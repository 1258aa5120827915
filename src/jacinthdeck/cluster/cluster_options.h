// Settings of the cluster core, with defaults for today's sizes.
#ifndef JACINTHDECK_CLUSTER_CLUSTER_OPTIONS_H_
#define JACINTHDECK_CLUSTER_CLUSTER_OPTIONS_H_

#include <cstddef>
#include <cstdint>

#include "jacinthdeck/cluster/member_update.h"
#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/*! \brief Who this node is. */
struct SelfInfo {
  NodeId node;
  //! Higher than in every former life of the node.
  Incarnation incarnation;
  FailureDomain domain;
  MemberAddress address;
};

/*! \brief Timing and bounds; all durations by the node's own clock. */
struct ClusterOptions {
  //! One proven member is probed in each.
  Duration probe_period = std::chrono::seconds(1);
  //! Wait for the direct answer before others are asked to probe.
  Duration probe_timeout = std::chrono::milliseconds(300);
  //! Members asked to probe in our place.
  std::size_t indirect_probes = 3;
  //! Members that are dead or unproven are tried once in this many periods.
  std::uint32_t revive_periods = 5;
  //! Between two exchanges of the whole member table with a random peer.
  Duration sync_period = std::chrono::seconds(60);
  //! The same while the last exchange brought much that was new, as when many
  //! nodes start together.
  Duration early_sync_period = std::chrono::seconds(2);
  //! Suspicion lasts this many periods, times log10 of the member count where
  //! that is above one.
  std::uint32_t suspicion_periods = 2;
  //! Estimated encoded bytes of gossip in one message.
  std::size_t gossip_bytes = 512;
  //! A longer gap between two timers means that the process was paused.
  Duration pause_gap = std::chrono::seconds(2);
  //! Time that a member which came back stays out of answers; doubles each
  //! time.
  Duration flap_hold = std::chrono::seconds(5);
  Duration flap_hold_limit = std::chrono::seconds(80);
  //! Dead members are forgotten after this.
  Duration forget_dead = std::chrono::minutes(10);

  //! The serving lease T: older proof of the revision does not count.
  Duration serving_lease = std::chrono::seconds(3);
  //! Added to the wait for T in thousandths, for clocks that run at
  //! different rates.
  std::uint32_t drift_permille = 20;
  //! Time after which a store call counts as lost.
  Duration store_timeout = std::chrono::milliseconds(700);
  //! Without a store reply for this long, peers are asked for their revision.
  Duration exchange_after = std::chrono::milliseconds(300);
  Duration exchange_period = std::chrono::seconds(1);
  Duration store_backoff = std::chrono::milliseconds(500);
  Duration store_backoff_limit = std::chrono::seconds(5);
  //! Voters beyond this many are not taken in.
  std::size_t max_voters = 15;
  //! A voter that has been dead this long is dropped from the voters.
  Duration voter_removal = std::chrono::seconds(60);
  //! Shortest wait between two looks at the voters; up to three times that.
  Duration voter_period = std::chrono::seconds(5);
  //! Members that are told at once of a new revision; they tell others.
  std::size_t announce_fan_out = 4;
  //! Between two requests for an acknowledgement to the same voter.
  Duration ack_period = std::chrono::milliseconds(200);
  //! An operator waits no longer for a change; then it is told kPending.
  Duration operator_timeout = std::chrono::seconds(10);
  //! Between two reads of all member records at the store.
  Duration record_period = std::chrono::seconds(60);

  //! How long callers keep an address answer.
  Duration entry_ttl = std::chrono::seconds(5);
  std::size_t entries_per_answer = 4;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CLUSTER_CLUSTER_OPTIONS_H_
