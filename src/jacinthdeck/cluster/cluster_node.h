// The whole cluster core of one node: the runtime carries events in and effects
// out.
#ifndef JACINTHDECK_CLUSTER_CLUSTER_NODE_H_
#define JACINTHDECK_CLUSTER_CLUSTER_NODE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "jacinthdeck/cluster/cluster_effects.h"
#include "jacinthdeck/cluster/cluster_options.h"
#include "jacinthdeck/cluster/config_coordinator.h"
#include "jacinthdeck/cluster/config_replica.h"
#include "jacinthdeck/cluster/entry_directory.h"
#include "jacinthdeck/cluster/gossip_queue.h"
#include "jacinthdeck/cluster/member_records.h"
#include "jacinthdeck/cluster/member_table.h"
#include "jacinthdeck/cluster/membership.h"
#include "jacinthdeck/cluster/once_registry.h"
#include "jacinthdeck/cluster/peer_counters.h"
#include "jacinthdeck/cluster/peer_sender.h"
#include "jacinthdeck/cluster/store_caller.h"
#include "jacinthdeck/cluster/voter_keeper.h"
#include "jacinthdeck/core/random.h"

namespace jacinthdeck {

/*!
 * \brief Membership, configuration, entry directory and at-most-once registry
 * of one entry.
 *
 * Holds no socket, thread or clock and is not copied. The runtime calls it from
 * one thread, with moments that never go back.
 */
class ClusterNode {
 public:
  /**
   * \brief Makes a node that knows nobody.
   * \param self Who this node is; its incarnation is higher than any before.
   * \param options Timing and bounds.
   * \param seed Seed of every random choice.
   */
  ClusterNode(SelfInfo self, const ClusterOptions& options, std::uint64_t seed);
  ClusterNode(const ClusterNode&) = delete;
  ClusterNode& operator=(const ClusterNode&) = delete;

  [[nodiscard]] const MemberTable& members() const noexcept { return m_table; }
  [[nodiscard]] const ConfigReplica& config() const noexcept {
    return m_replica;
  }
  [[nodiscard]] const ConfigCoordinator& coordinator() const noexcept {
    return m_coordinator;
  }
  [[nodiscard]] const PeerCounters& counters() const noexcept {
    return m_counters;
  }
  [[nodiscard]] OnceRegistry& once() noexcept { return m_once; }
  [[nodiscard]] bool leaving() const noexcept { return m_leaving; }

  /*! \brief Tells whether callers may be answered at this very moment. */
  [[nodiscard]] ServeState StateAt(TimePoint now) const {
    return m_replica.StateAt(now);
  }

  /*! \brief Answers a caller's question for entry addresses. */
  [[nodiscard]] EntryAnswer Entries(TimePoint now);

  /*! \brief Moment at which OnTimer() is due next. */
  [[nodiscard]] TimePoint NextTimer() const;

  /*! \brief Acts on whatever is due; a long gap since the last call is taken as
   * a pause of the process. */
  void OnTimer(TimePoint now, ClusterEffects& effects);

  /*! \brief Takes a message from a peer. */
  void OnPeer(const Envelope& envelope, TimePoint now, ClusterEffects& effects);

  /*! \brief Takes the end of a store call; every StoreRequest gets one. */
  void OnStoreReply(const StoreReply& reply,
                    TimePoint now,
                    ClusterEffects& effects);

  /*! \brief Takes hints from the settings or the host list. */
  void OnSeeds(SeedSource source,
               const std::vector<MemberSeed>& seeds,
               ClusterEffects& effects);

  /*! \brief Starts an operator's change; its reply comes as an effect. */
  void Submit(const ConfigChange& change,
              TimePoint now,
              ClusterEffects& effects);

  /*! \brief Sends a runtime message (ForwardRequest and its like) to a peer. */
  void SendToPeer(const NodeId& to,
                  PeerMessage message,
                  ClusterEffects& effects);

  /*! \brief Begins the graceful shutdown: tells peers, takes no new ids. */
  void Leave(ClusterEffects& effects);

 private:
  void Wake(TimePoint now);
  void Dispatch(const Envelope& envelope,
                TimePoint now,
                ClusterEffects& effects);

  ClusterOptions m_options;
  Random m_random;
  PeerCounters m_counters;
  MemberTable m_table;
  GossipQueue m_gossip;
  PeerSender m_sender;
  StoreCaller m_store;
  Membership m_membership;
  MemberRecords m_records;
  ConfigReplica m_replica;
  ConfigCoordinator m_coordinator;
  VoterKeeper m_voters;
  EntryDirectory m_entries;
  OnceRegistry m_once;
  bool m_leaving = false;
  //! Last event of any kind; a longer gap than pause_gap to the next one means
  //! a pause.
  std::optional<TimePoint> m_last_event;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CLUSTER_CLUSTER_NODE_H_
