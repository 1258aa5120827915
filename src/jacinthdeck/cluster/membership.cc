// Probe periods and what follows from their ends.
#include "jacinthdeck/cluster/membership.h"

#include <algorithm>
#include <utility>

#include "jacinthdeck/cluster/random_choice.h"

namespace jacinthdeck {

namespace internal {

//! Unproven members tried in one period while no member is proven.
constexpr std::size_t kFirstContacts = 3;
//! Members told at once that this node leaves; gossip tells the others.
constexpr std::size_t kLeaveFanOut = 16;
//! Much of an exchange was new if more than this part of it was, as one in so
//! many.
constexpr std::size_t kMuchNews = 8;

}  // namespace internal

Membership::Membership(const ClusterOptions& options,
                       std::uint64_t seed,
                       MemberTable& table,
                       GossipQueue& gossip,
                       PeerSender& sender)
    : m_options(options),
      m_random(seed),
      m_table(table),
      m_gossip(gossip),
      m_sender(sender) {
  m_gossip.Add(m_table.SelfUpdate());
}

TimePoint Membership::NextTimer() const {
  TimePoint next = m_next_probe.value_or(TimePoint{});
  for (const auto& [sequence, probe] : m_probes) {
    next = std::min({next, probe.end, probe.indirect_at.value_or(probe.end)});
  }
  return next;
}

void Membership::OnTimer(TimePoint now, ClusterEffects& effects) {
  EndProbes(now, effects);
  if (!m_next_probe || now >= *m_next_probe) {
    StartPeriod(now, effects);
  }
}

void Membership::OnResume(Duration pause, TimePoint now) {
  m_probes.clear();
  m_table.ShiftSuspicions(pause);
  m_next_probe = now;
}

void Membership::StartPeriod(TimePoint now, ClusterEffects& effects) {
  // The first period starts at a random moment, so that nodes which started
  // together do not probe together.
  const Duration length = m_next_probe
                              ? m_options.probe_period
                              : DrawDuration(m_options.probe_period, m_random);
  m_next_probe = now + length;
  ++m_period;
  for (const NodeId& node : m_table.Expire(now)) {
    effects.members_changed = true;
    Tell(node, now - m_options.probe_period);
  }
  ProbeNext(now, effects);
  Revive(now, effects);
  Sync(now, effects);
}

void Membership::ProbeNext(TimePoint now, ClusterEffects& effects) {
  if (m_order.empty()) {
    m_order = m_table.Reachable();
    Shuffle(m_order, m_random);
  }
  while (!m_order.empty()) {
    const NodeId subject = std::move(m_order.back());
    m_order.pop_back();
    const Member* member = m_table.Find(subject);
    if (member != nullptr && member->latest.health != MemberHealth::kDead) {
      SendProbe(subject, now, effects);
      return;
    }
  }
}

// Two halves of a healed cut think each other dead: without a probe now and
// then neither would ever hear of the other again.
void Membership::Revive(TimePoint now, ClusterEffects& effects) {
  const bool alone = m_table.alive_count() == 1;
  if (!alone && m_period % m_options.revive_periods != 0) {
    return;
  }
  const std::size_t count = alone ? internal::kFirstContacts : 1;
  for (const NodeId& node : Draw(m_table.Unreachable(), count, m_random)) {
    SendProbe(node, now, effects);
  }
}

void Membership::Sync(TimePoint now, ClusterEffects& effects) {
  if (m_synced && now < m_next_sync) {
    return;
  }
  for (const NodeId& node : Draw(m_table.Reachable(), 1, m_random)) {
    m_next_sync = now + m_options.sync_period;
    m_sender.Send(node, SyncRequest{}, effects);
  }
}

void Membership::SendProbe(const NodeId& subject,
                           TimePoint now,
                           ClusterEffects& effects) {
  const std::uint64_t sequence = m_next_sequence++;
  Probe probe;
  probe.subject = subject;
  probe.indirect_at = now + m_options.probe_timeout;
  probe.end = now + m_options.probe_period;
  probe.start = now;
  m_probes.emplace(sequence, std::move(probe));
  m_sender.Send(subject, Ping{sequence}, effects);
}

void Membership::AskOthers(const Probe& probe,
                           std::uint64_t sequence,
                           ClusterEffects& effects) {
  const Member* member = m_table.Find(probe.subject);
  if (member == nullptr || !member->proven) {
    return;
  }
  std::vector<NodeId> helpers = m_table.Reachable();
  std::erase(helpers, probe.subject);
  for (const NodeId& helper :
       Draw(std::move(helpers), m_options.indirect_probes, m_random)) {
    m_sender.Send(helper,
                  PingRequest{sequence, probe.subject, member->latest.address},
                  effects);
  }
}

void Membership::EndProbes(TimePoint now, ClusterEffects& effects) {
  for (auto& [sequence, probe] : m_probes) {
    if (probe.indirect_at && *probe.indirect_at <= now) {
      probe.indirect_at.reset();
      AskOthers(probe, sequence, effects);
    }
  }
  for (auto next = m_probes.begin(); next != m_probes.end();) {
    if (next->second.end > now) {
      ++next;
      continue;
    }
    if (!next->second.on_behalf) {
      Accuse(next->second, now, effects);
    }
    next = m_probes.erase(next);
  }
}

void Membership::Accuse(const Probe& probe,
                        TimePoint now,
                        ClusterEffects& effects) {
  if (!m_table.Accuse(probe.subject, m_table.self().node, now)) {
    return;
  }
  effects.members_changed = true;
  Tell(probe.subject, probe.start);
}

// A node that heard nobody at all during a probe is more likely cut off itself;
// it keeps its accusations to itself.
void Membership::Tell(const NodeId& accused, TimePoint heard_since) {
  if (m_last_heard && *m_last_heard >= heard_since) {
    m_gossip.Add(m_table.Find(accused)->latest);
  }
}

bool Membership::OnEnvelope(const Envelope& envelope,
                            TimePoint now,
                            ClusterEffects& effects) {
  for (const MemberUpdate& update : envelope.gossip) {
    Merge(update, Spread::kYes, now, effects);
  }
  if (!m_table.Heard(envelope.from, envelope.incarnation, now)) {
    return false;
  }
  m_last_heard = now;
  return true;
}

bool Membership::Merge(const MemberUpdate& update,
                       Spread spread,
                       TimePoint now,
                       ClusterEffects& effects) {
  switch (m_table.Merge(update, now)) {
    case MergeResult::kIgnored:
      return false;
    case MergeResult::kRefute:
      m_gossip.Add(m_table.Refute(update));
      return false;
    case MergeResult::kChanged:
      effects.members_changed = true;
      if (spread == Spread::kYes) {
        m_gossip.Add(m_table.Find(update.node)->latest);
      }
      return true;
  }
  return false;
}

void Membership::OnPing(const NodeId& from,
                        const Ping& ping,
                        ClusterEffects& effects) {
  const SelfInfo& self = m_table.self();
  m_sender.Send(from, PingAck{ping.sequence, self.node, self.incarnation},
                effects);
}

void Membership::OnPingRequest(const NodeId& from,
                               const PingRequest& request,
                               TimePoint now,
                               ClusterEffects& effects) {
  const std::uint64_t sequence = m_next_sequence++;
  Probe probe;
  probe.subject = request.subject;
  probe.end = now + m_options.probe_period;
  probe.start = now;
  probe.on_behalf = from;
  probe.their_sequence = request.sequence;
  m_probes.emplace(sequence, std::move(probe));
  m_sender.SendTo(request.subject, request.address, Ping{sequence}, effects);
}

void Membership::OnPingAck(const PingAck& ack,
                           TimePoint now,
                           ClusterEffects& effects) {
  const auto found = m_probes.find(ack.sequence);
  if (found == m_probes.end() || found->second.subject != ack.subject) {
    return;
  }
  if (m_table.Heard(ack.subject, ack.subject_incarnation, now)) {
    const Probe& probe = found->second;
    if (probe.on_behalf) {
      m_sender.Send(
          *probe.on_behalf,
          PingAck{probe.their_sequence, ack.subject, ack.subject_incarnation},
          effects);
    }
    m_probes.erase(found);
  }
}

void Membership::OnSyncRequest(const NodeId& from, ClusterEffects& effects) {
  MemberSync sync;
  for (const auto& [node, member] : m_table.members()) {
    if (member.proven) {
      sync.members.push_back(member.latest);
    }
  }
  m_sender.Send(from, std::move(sync), effects);
}

void Membership::OnSync(const MemberSync& sync,
                        TimePoint now,
                        ClusterEffects& effects) {
  m_synced = true;
  std::size_t news = 0;
  for (const MemberUpdate& update : sync.members) {
    news += Merge(update, Spread::kNo, now, effects) ? 1 : 0;
  }
  if (news > sync.members.size() / internal::kMuchNews) {
    m_next_sync = now + m_options.early_sync_period;
  }
}

void Membership::Leave(ClusterEffects& effects) {
  m_gossip.Add(m_table.LeaveSelf());
  for (const NodeId& node :
       Draw(m_table.Reachable(), internal::kLeaveFanOut, m_random)) {
    m_sender.Send(node, Ping{m_next_sequence++}, effects);
  }
}

}  // namespace jacinthdeck
