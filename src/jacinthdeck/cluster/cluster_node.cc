// Routing of events to the parts of the cluster core.
#include "jacinthdeck/cluster/cluster_node.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "jacinthdeck/cluster/message_size.h"

namespace jacinthdeck {

namespace internal {

template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace internal

ClusterNode::ClusterNode(SelfInfo self,
                         const ClusterOptions& options,
                         std::uint64_t seed)
    : m_options(options),
      m_random(seed),
      m_table(self, options),
      m_gossip(options.gossip_bytes),
      m_sender(m_table, m_gossip, m_counters),
      m_store(options.store_timeout, m_counters),
      m_membership(options, m_random.Fork(), m_table, m_gossip, m_sender),
      m_records(options, m_random.Fork(), m_table, m_store),
      m_replica(options, m_random.Fork(), m_table, m_sender, m_store),
      m_coordinator(options,
                    m_random.Fork(),
                    m_table,
                    m_sender,
                    m_store,
                    m_replica),
      m_voters(options, m_random.Fork(), m_table, m_sender, m_store, m_replica),
      m_entries(options, m_random.Fork(), m_table),
      m_once(std::move(self), OnceOptions{}, m_table) {}

EntryAnswer ClusterNode::Entries(TimePoint now) {
  return m_entries.Answer(m_once.MakeToken(now), now);
}

TimePoint ClusterNode::NextTimer() const {
  const TimePoint next =
      std::min({m_membership.NextTimer(), m_records.NextTimer(),
                m_replica.NextTimer(), m_voters.NextTimer()});
  return std::min(next, m_coordinator.NextTimer().value_or(next));
}

// A stopped process that wakes would act on what lapsed meanwhile: accuse peers
// whose answers it never read, and serve by a lease that is over.
void ClusterNode::Wake(TimePoint now) {
  if (m_last_event && now - *m_last_event > m_options.pause_gap) {
    m_replica.OnResume();
    m_membership.OnResume(now - *m_last_event, now);
  }
  m_last_event = now;
}

void ClusterNode::OnTimer(TimePoint now, ClusterEffects& effects) {
  Wake(now);
  m_membership.OnTimer(now, effects);
  m_records.OnTimer(now, effects);
  m_replica.OnTimer(now, effects);
  m_coordinator.OnTimer(now, effects);
  m_voters.OnTimer(now, effects);
}

void ClusterNode::OnPeer(const Envelope& envelope,
                         TimePoint now,
                         ClusterEffects& effects) {
  Wake(now);
  ++m_counters.messages_received;
  m_counters.bytes_received += EstimateSize(envelope);
  if (envelope.to != m_table.self().node ||
      envelope.from == m_table.self().node) {
    return;
  }
  if (!m_membership.OnEnvelope(envelope, now, effects)) {
    ++m_counters.fenced;
    return;
  }
  m_replica.HearOf(envelope.revision, envelope.from, now, effects);
  Dispatch(envelope, now, effects);
}

void ClusterNode::Dispatch(const Envelope& envelope,
                           TimePoint now,
                           ClusterEffects& effects) {
  const NodeId& from = envelope.from;
  std::visit(
      internal::Overloaded{
          [&](const Ping& ping) { m_membership.OnPing(from, ping, effects); },
          [&](const PingAck& ack) {
            m_membership.OnPingAck(ack, now, effects);
          },
          [&](const PingRequest& request) {
            m_membership.OnPingRequest(from, request, now, effects);
          },
          [&](const SyncRequest&) {
            m_membership.OnSyncRequest(from, effects);
          },
          [&](const MemberSync& sync) {
            m_membership.OnSync(sync, now, effects);
          },
          [&](const RevisionQuery& query) {
            m_replica.OnQuery(from, query, effects);
          },
          [&](const RevisionReport& report) {
            m_replica.OnReport(envelope, report, now, effects);
          },
          [&](const AckRequest& request) {
            m_replica.OnAckRequest(from, request, now, effects);
          },
          [&](const RevisionAck& ack) {
            m_coordinator.OnAck(envelope, ack, now, effects);
            m_voters.OnAck(envelope, ack, now);
          },
          [&](const RevisionAnnounce& announce) {
            m_replica.OnAnnounce(from, announce, now, effects);
          },
          [&](const ConfigFetch& fetch) {
            m_replica.OnFetch(from, fetch, effects);
          },
          [&](const ConfigTransfer& transfer) {
            m_replica.OnTransfer(transfer, now, effects);
          },
          [&](const auto&) { effects.deliveries.push_back(envelope); },
      },
      envelope.message);
}

void ClusterNode::OnStoreReply(const StoreReply& reply,
                               TimePoint now,
                               ClusterEffects& effects) {
  Wake(now);
  if (!m_store.OnReply(reply)) {
    return;
  }
  const bool taken = m_replica.OnStoreReply(reply, now, effects) ||
                     m_coordinator.OnStoreReply(reply, now, effects) ||
                     m_voters.OnStoreReply(reply, now, effects);
  if (!taken) {
    (void)m_records.OnStoreReply(reply, now, effects);
  }
}

void ClusterNode::OnSeeds(SeedSource source,
                          const std::vector<MemberSeed>& seeds,
                          ClusterEffects& effects) {
  for (const MemberSeed& seed : seeds) {
    const bool changed = m_table.AddSeed(source, seed);
    effects.members_changed = effects.members_changed || changed;
  }
}

void ClusterNode::Submit(const ConfigChange& change,
                         TimePoint now,
                         ClusterEffects& effects) {
  Wake(now);
  m_coordinator.Submit(change, now, effects);
}

void ClusterNode::SendToPeer(const NodeId& to,
                             PeerMessage message,
                             ClusterEffects& effects) {
  m_sender.Send(to, std::move(message), effects);
}

void ClusterNode::Leave(ClusterEffects& effects) {
  m_leaving = true;
  m_once.set_accepting(false);
  m_membership.Leave(effects);
}

}  // namespace jacinthdeck
