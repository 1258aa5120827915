// Rounds of acknowledgements; steps 5 to 8 of docs/design/configuration.md.
#include "jacinthdeck/cluster/ack_collector.h"

#include <algorithm>

#include "jacinthdeck/cluster/quorum.h"

namespace jacinthdeck {

namespace internal {

//! A second round that has no majority by then starts over.
constexpr Duration kSecondRoundLimit = std::chrono::seconds(1);

}  // namespace internal

AckCollector::AckCollector(const ClusterOptions& options,
                           const MemberTable& table,
                           PeerSender& sender,
                           const ConfigReplica& replica,
                           Revision revision)
    : m_options(options),
      m_table(table),
      m_sender(sender),
      m_replica(replica),
      m_revision(revision) {}

bool AckCollector::Accepted(TimePoint now) const {
  if (!m_confirmed) {
    return false;
  }
  // The clocks of the nodes that serve by their leases may be slower than ours.
  const Duration lease = m_options.serving_lease;
  return now >= *m_confirmed + lease + lease * m_options.drift_permille / 1000;
}

std::vector<NodeId> AckCollector::WaitingFor() const {
  std::vector<NodeId> waiting;
  for (const NodeId& voter : AllVoters(*m_replica.value())) {
    if (!m_heard.contains(voter)) {
      waiting.push_back(voter);
    }
  }
  return waiting;
}

TimePoint AckCollector::NextTimer() const {
  return m_next_send;
}

void AckCollector::OnTimer(TimePoint now, ClusterEffects& effects) {
  if (second_round() && !m_confirmed && now >= m_round_end) {
    StartFirstRound();
  }
  CountSelf(now);
  if (now < m_next_send) {
    return;
  }
  m_next_send = now + m_options.ack_period;
  for (const NodeId& voter : AllVoters(*m_replica.value())) {
    if (NeedsAsking(voter)) {
      m_sender.Send(voter, AckRequest{m_revision, m_round}, effects);
    }
  }
}

void AckCollector::OnAck(const Envelope& envelope,
                         const RevisionAck& ack,
                         TimePoint now) {
  if (ack.revision != m_revision) {
    return;
  }
  m_heard.insert(envelope.from);
  if (ack.round == m_round) {
    Take(envelope.from, envelope.incarnation, now);
  }
}

void AckCollector::StartFirstRound() {
  m_round += second_round() ? 1 : 2;
  m_first.clear();
  m_second.clear();
  m_next_send = TimePoint{};
}

void AckCollector::StartSecondRound(TimePoint now) {
  ++m_round;
  m_round_end = now + internal::kSecondRoundLimit;
  m_next_send = TimePoint{};
}

void AckCollector::Take(const NodeId& node,
                        Incarnation incarnation,
                        TimePoint now) {
  if (m_confirmed) {
    return;
  }
  if (second_round()) {
    TakeSecond(node, incarnation, now);
  } else {
    TakeFirst(node, incarnation, now);
  }
}

void AckCollector::TakeFirst(const NodeId& node,
                             Incarnation incarnation,
                             TimePoint now) {
  m_first[node] = incarnation;
  if (HasQuorum(m_first)) {
    StartSecondRound(now);
  }
}

void AckCollector::TakeSecond(const NodeId& node,
                              Incarnation incarnation,
                              TimePoint now) {
  const auto first = m_first.find(node);
  if (first == m_first.end()) {
    return;
  }
  if (first->second != incarnation) {
    StartFirstRound();
    return;
  }
  m_second[node] = incarnation;
  if (HasQuorum(m_second)) {
    m_confirmed = now;
  }
}

void AckCollector::CountSelf(TimePoint now) {
  const SelfInfo& self = m_table.self();
  if (!m_replica.recovered() || m_replica.revision() < m_revision) {
    return;
  }
  m_heard.insert(self.node);
  Take(self.node, self.incarnation, now);
  if (second_round()) {
    Take(self.node, self.incarnation, now);
  }
}

bool AckCollector::HasQuorum(const Lives& lives) const {
  return IsQuorum(*m_replica.value(),
                  [&](const NodeId& voter) { return lives.contains(voter); });
}

bool AckCollector::NeedsAsking(const NodeId& voter) const {
  if (!m_heard.contains(voter)) {
    return true;
  }
  if (m_confirmed) {
    return false;
  }
  return second_round() ? m_first.contains(voter) && !m_second.contains(voter)
                        : !m_first.contains(voter);
}

}  // namespace jacinthdeck
