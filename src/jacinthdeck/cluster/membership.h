// Failure detection among the entries: random probes, indirect probes,
// suspicion and refutation.
#ifndef JACINTHDECK_CLUSTER_MEMBERSHIP_H_
#define JACINTHDECK_CLUSTER_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "jacinthdeck/cluster/cluster_effects.h"
#include "jacinthdeck/cluster/cluster_options.h"
#include "jacinthdeck/cluster/gossip_queue.h"
#include "jacinthdeck/cluster/member_table.h"
#include "jacinthdeck/cluster/peer_sender.h"
#include "jacinthdeck/core/random.h"

namespace jacinthdeck {

/*! \brief Probes one member a period and keeps the member table true. */
class Membership {
 public:
  /*! \brief Makes a detector; what it refers to outlives it. */
  Membership(const ClusterOptions& options,
             std::uint64_t seed,
             MemberTable& table,
             GossipQueue& gossip,
             PeerSender& sender);

  /*! \brief Moment at which OnTimer() is due. */
  [[nodiscard]] TimePoint NextTimer() const;

  /*! \brief Acts on whatever is due: probes, their timeouts, suspicions. */
  void OnTimer(TimePoint now, ClusterEffects& effects);

  /*! \brief After a pause: accuses nobody for the time it did not listen. */
  void OnResume(Duration pause, TimePoint now);

  /**
   * \brief Takes the sender and the gossip of any message.
   * \return False if the message is of a former life and must be dropped.
   */
  bool OnEnvelope(const Envelope& envelope,
                  TimePoint now,
                  ClusterEffects& effects);

  void OnPing(const NodeId& from, const Ping& ping, ClusterEffects& effects);
  void OnPingRequest(const NodeId& from,
                     const PingRequest& request,
                     TimePoint now,
                     ClusterEffects& effects);
  void OnPingAck(const PingAck& ack, TimePoint now, ClusterEffects& effects);

  void OnSyncRequest(const NodeId& from, ClusterEffects& effects);
  void OnSync(const MemberSync& sync, TimePoint now, ClusterEffects& effects);

  /*! \brief Announces that this node leaves. */
  void Leave(ClusterEffects& effects);

 private:
  //! Whether news is passed on; what a MemberSync tells is news to this node
  //! alone.
  enum class Spread { kNo, kYes };

  struct Probe {
    NodeId subject;
    //! When the indirect probes start; nothing once they have.
    std::optional<TimePoint> indirect_at;
    //! When the subject is accused.
    TimePoint end;
    TimePoint start;
    //! Whose PingRequest this probe serves, and its sequence.
    std::optional<NodeId> on_behalf;
    std::uint64_t their_sequence = 0;
  };

  void StartPeriod(TimePoint now, ClusterEffects& effects);
  void ProbeNext(TimePoint now, ClusterEffects& effects);
  void Revive(TimePoint now, ClusterEffects& effects);
  void Sync(TimePoint now, ClusterEffects& effects);
  void SendProbe(const NodeId& subject, TimePoint now, ClusterEffects& effects);
  void AskOthers(const Probe& probe,
                 std::uint64_t sequence,
                 ClusterEffects& effects);
  void EndProbes(TimePoint now, ClusterEffects& effects);
  void Tell(const NodeId& accused, TimePoint heard_since);
  void Accuse(const Probe& probe, TimePoint now, ClusterEffects& effects);
  //! Tells whether the statement was news.
  bool Merge(const MemberUpdate& update,
             Spread spread,
             TimePoint now,
             ClusterEffects& effects);

  ClusterOptions m_options;
  Random m_random;
  MemberTable& m_table;
  GossipQueue& m_gossip;
  PeerSender& m_sender;
  std::uint64_t m_next_sequence = 1;
  std::optional<TimePoint> m_next_probe;
  //! Last message from any peer; nothing before the first.
  std::optional<TimePoint> m_last_heard;
  std::uint32_t m_period = 0;
  TimePoint m_next_sync{};
  //! Whether a MemberSync was received in this life.
  bool m_synced = false;
  //! Members still to be probed in this pass, in random order.
  std::vector<NodeId> m_order;
  //! Open probes by sequence; one of our own a period and one for each
  //! PingRequest, each for at most a period.
  std::map<std::uint64_t, Probe> m_probes;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CLUSTER_MEMBERSHIP_H_
