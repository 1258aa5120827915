// Sending with gossip and counters.
#include "jacinthdeck/cluster/peer_sender.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "jacinthdeck/cluster/message_size.h"

namespace jacinthdeck {

namespace internal {

[[nodiscard]] bool CarriesGossip(const PeerMessage& message) {
  return std::holds_alternative<Ping>(message) ||
         std::holds_alternative<PingAck>(message) ||
         std::holds_alternative<PingRequest>(message);
}

void AddOnce(std::vector<MemberUpdate>& gossip, const MemberUpdate& update) {
  if (std::ranges::find(gossip, update.node, &MemberUpdate::node) ==
      gossip.end()) {
    gossip.push_back(update);
  }
}

}  // namespace internal

void PeerSender::Send(const NodeId& to,
                      PeerMessage message,
                      ClusterEffects& effects) {
  const Member* member = m_table.Find(to);
  if (member != nullptr && to != m_table.self().node) {
    SendTo(to, member->latest.address, std::move(message), effects);
  }
}

void PeerSender::SendTo(const NodeId& to,
                        const MemberAddress& address,
                        PeerMessage message,
                        ClusterEffects& effects) {
  const SelfInfo& self = m_table.self();
  Envelope envelope{self.node, self.incarnation, to, std::move(message),
                    {},        m_revision};
  if (internal::CarriesGossip(envelope.message)) {
    envelope.gossip = m_gossip.Take(m_table.alive_count());
    AddForReceiver(to, envelope.gossip);
  }
  ++m_counters.messages_sent;
  m_counters.bytes_sent += EstimateSize(envelope);
  effects.sends.push_back(PeerSend{address, std::move(envelope)});
}

void PeerSender::AddForReceiver(const NodeId& to,
                                std::vector<MemberUpdate>& gossip) const {
  const Member* member = m_table.Find(to);
  const bool steady = member != nullptr && member->proven &&
                      member->latest.health == MemberHealth::kAlive;
  if (steady) {
    return;
  }
  // A node that does not know us cannot answer without our address.
  internal::AddOnce(gossip, m_table.SelfUpdate());
  // A member that is accused must hear of it from its accusers to refute it in
  // time; gossip alone may reach it last.
  if (member != nullptr && member->proven) {
    internal::AddOnce(gossip, member->latest);
  }
}

}  // namespace jacinthdeck
