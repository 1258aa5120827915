// Wraps messages in envelopes, lets gossip travel along and counts the cost.
#ifndef JACINTHDECK_CLUSTER_PEER_SENDER_H_
#define JACINTHDECK_CLUSTER_PEER_SENDER_H_

#include <vector>

#include "jacinthdeck/cluster/cluster_effects.h"
#include "jacinthdeck/cluster/gossip_queue.h"
#include "jacinthdeck/cluster/member_table.h"
#include "jacinthdeck/cluster/peer_counters.h"

namespace jacinthdeck {

/*! \brief The one way in which the parts of the core send to peers. */
class PeerSender {
 public:
  /*! \brief Makes a sender; what it refers to outlives it. */
  PeerSender(const MemberTable& table,
             GossipQueue& gossip,
             PeerCounters& counters) noexcept
      : m_table(table), m_gossip(gossip), m_counters(counters) {}

  /*! \brief Sets the revision that every message tells of. */
  void set_revision(Revision revision) noexcept { m_revision = revision; }

  /**
   * \brief Sends to a known member.
   * \param to Member; nothing is sent to an unknown one.
   * \param message Message.
   * \param effects Receives the send.
   */
  void Send(const NodeId& to, PeerMessage message, ClusterEffects& effects);

  /**
   * \brief Sends to a node that may not be a member yet.
   * \param to Node.
   * \param address Where it listens.
   * \param message Message.
   * \param effects Receives the send.
   */
  void SendTo(const NodeId& to,
              const MemberAddress& address,
              PeerMessage message,
              ClusterEffects& effects);

 private:
  void AddForReceiver(const NodeId& to,
                      std::vector<MemberUpdate>& gossip) const;

  const MemberTable& m_table;
  GossipQueue& m_gossip;
  PeerCounters& m_counters;
  Revision m_revision;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CLUSTER_PEER_SENDER_H_
