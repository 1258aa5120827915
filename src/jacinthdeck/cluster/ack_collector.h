// Decides when a revision may be called accepted.
#ifndef JACINTHDECK_CLUSTER_ACK_COLLECTOR_H_
#define JACINTHDECK_CLUSTER_ACK_COLLECTOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "jacinthdeck/cluster/cluster_options.h"
#include "jacinthdeck/cluster/config_replica.h"
#include "jacinthdeck/cluster/peer_sender.h"

namespace jacinthdeck {

/*!
 * \brief Two rounds of acknowledgements, then the wait for the lease.
 *
 * Round one: a majority of the voters says that it has the revision. Round two:
 * a majority of the same incarnations says so again. Without the second round
 * one voter may acknowledge, restart and learn the old revision before the next
 * acknowledges, so that at no moment a majority has it. Then the lease is
 * waited out: whoever still serves by then has met the store or one of that
 * majority since.
 */
class AckCollector {
 public:
  /*! \brief Starts round one; what it refers to outlives it. */
  AckCollector(const ClusterOptions& options,
               const MemberTable& table,
               PeerSender& sender,
               const ConfigReplica& replica,
               Revision revision);

  [[nodiscard]] Revision revision() const noexcept { return m_revision; }
  /*! \brief Whether the lease has been waited out since round two. */
  [[nodiscard]] bool Accepted(TimePoint now) const;
  /*! \brief Voters that never acknowledged. */
  [[nodiscard]] std::vector<NodeId> WaitingFor() const;
  [[nodiscard]] TimePoint NextTimer() const;

  /*! \brief Sends what the present round still needs. */
  void OnTimer(TimePoint now, ClusterEffects& effects);

  void OnAck(const Envelope& envelope, const RevisionAck& ack, TimePoint now);

 private:
  using Lives = std::map<NodeId, Incarnation>;

  [[nodiscard]] bool second_round() const noexcept { return m_round % 2 == 0; }
  void StartFirstRound();
  void StartSecondRound(TimePoint now);
  void Take(const NodeId& node, Incarnation incarnation, TimePoint now);
  void TakeFirst(const NodeId& node, Incarnation incarnation, TimePoint now);
  void TakeSecond(const NodeId& node, Incarnation incarnation, TimePoint now);
  void CountSelf(TimePoint now);
  [[nodiscard]] bool HasQuorum(const Lives& lives) const;
  [[nodiscard]] bool NeedsAsking(const NodeId& voter) const;

  ClusterOptions m_options;
  const MemberTable& m_table;
  PeerSender& m_sender;
  const ConfigReplica& m_replica;
  Revision m_revision;
  //! Odd: a first round; even: the second round after it.
  std::uint64_t m_round = 1;
  //! Lives that acknowledged in the first round; fixed during the second.
  Lives m_first;
  //! Of these, who confirmed in the second round.
  Lives m_second;
  //! Every voter that ever acknowledged, for the status.
  std::set<NodeId> m_heard;
  //! When the second round is given up for a new first one.
  TimePoint m_round_end{};
  //! When the second round had its majority.
  std::optional<TimePoint> m_confirmed;
  TimePoint m_next_send{};
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CLUSTER_ACK_COLLECTOR_H_
