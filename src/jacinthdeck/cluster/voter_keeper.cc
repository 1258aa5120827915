// Changes of the voters; steps as in docs/design/configuration.md.
#include "jacinthdeck/cluster/voter_keeper.h"

#include <algorithm>
#include <map>
#include <utility>
#include <variant>

#include "jacinthdeck/cluster/config_change.h"
#include "jacinthdeck/cluster/config_codec.h"
#include "jacinthdeck/cluster/quorum.h"
#include "jacinthdeck/cluster/random_choice.h"

namespace jacinthdeck {

namespace internal {

[[nodiscard]] bool SameLists(const ConfigValue& one, const ConfigValue& other) {
  return one.voters == other.voters && one.former_voters == other.former_voters;
}

}  // namespace internal

VoterKeeper::VoterKeeper(const ClusterOptions& options,
                         std::uint64_t seed,
                         const MemberTable& table,
                         PeerSender& sender,
                         StoreCaller& store,
                         ConfigReplica& replica)
    : m_options(options),
      m_random(seed),
      m_table(table),
      m_sender(sender),
      m_store(store),
      m_replica(replica) {}

TimePoint VoterKeeper::NextTimer() const {
  return m_acks ? std::min(m_next, m_acks->NextTimer()) : m_next;
}

void VoterKeeper::OnTimer(TimePoint now, ClusterEffects& effects) {
  if (!m_started) {
    m_started = now;
    m_next = Later(now);
  }
  if (m_acks) {
    Collect(now, effects);
  }
  if (now < m_next) {
    return;
  }
  m_next = Later(now);
  const auto& value = m_replica.value();
  if (!value || !m_replica.recovered() || !m_replica.store_reachable()) {
    return;
  }
  if (!value->former_voters.empty()) {
    if (!m_acks) {
      m_joint = value;
      m_acks.emplace(m_options, m_table, m_sender, m_replica, value->revision);
    }
    return;
  }
  const std::vector<NodeId> wanted = Wanted(*value, now);
  if (wanted != value->voters && MayPropose(*value, wanted, now)) {
    Read(now, effects);
  }
}

void VoterKeeper::Collect(TimePoint now, ClusterEffects& effects) {
  if (!internal::SameLists(*m_joint, *m_replica.value())) {
    m_acks.reset();
    return;
  }
  m_acks->OnTimer(now, effects);
  if (m_acks->Accepted(now) && !m_read && !m_write) {
    Read(now, effects);
  }
}

TimePoint VoterKeeper::Later(TimePoint now) {
  return now + m_options.voter_period +
         DrawDuration(2 * m_options.voter_period, m_random);
}

bool VoterKeeper::IsGone(const NodeId& voter, TimePoint now) const {
  const Member* member = m_table.Find(voter);
  if (member == nullptr || !member->proven) {
    return m_started && now >= *m_started + 2 * m_options.voter_removal;
  }
  return member->dead_since &&
         *member->dead_since + m_options.voter_removal <= now;
}

std::vector<NodeId> VoterKeeper::Wanted(const ConfigValue& value,
                                        TimePoint now) const {
  std::vector<NodeId> wanted;
  std::map<FailureDomain, std::size_t> taken;
  std::map<FailureDomain, std::vector<NodeId>> free;
  for (const NodeId& voter : value.voters) {
    if (!IsGone(voter, now)) {
      wanted.push_back(voter);
      const Member* member = m_table.Find(voter);
      ++taken[member == nullptr ? FailureDomain() : member->latest.domain];
    }
  }
  for (const auto& [node, member] : m_table.members()) {
    if (m_table.StateOf(node, now) == MemberState::kLive &&
        !std::ranges::binary_search(value.voters, node)) {
      free[member.latest.domain].push_back(node);
    }
  }
  // One lost failure domain must not take the majority with it.
  while (wanted.size() < m_options.max_voters && !free.empty()) {
    const auto least = std::ranges::min_element(
        free, {}, [&](const auto& entry) { return taken[entry.first]; });
    wanted.push_back(least->second.back());
    ++taken[least->first];
    least->second.pop_back();
    if (least->second.empty()) {
      free.erase(least);
    }
  }
  std::ranges::sort(wanted);
  return wanted;
}

// A node that is cut off from its peers, but not from the store, thinks all of
// them dead. Its list would stay unsettled and add itself to what every
// majority needs.
bool VoterKeeper::MayPropose(const ConfigValue& value,
                             const std::vector<NodeId>& wanted,
                             TimePoint now) const {
  ConfigValue joint;
  joint.voters = wanted;
  joint.former_voters = value.voters;
  return !wanted.empty() && IsQuorum(joint, [&](const NodeId& voter) {
    return m_table.StateOf(voter, now) == MemberState::kLive;
  });
}

void VoterKeeper::Read(TimePoint now, ClusterEffects& effects) {
  if (!m_read && !m_write) {
    m_read = m_store.Read(kConfigKey, effects);
    m_read_sent = now;
  }
}

bool VoterKeeper::OnStoreReply(const StoreReply& reply,
                               TimePoint now,
                               ClusterEffects& effects) {
  if (m_read == reply.id) {
    m_read.reset();
    OnValue(reply, now, effects);
    return true;
  }
  if (m_write == reply.id) {
    m_write.reset();
    OnWritten(reply, effects);
    return true;
  }
  return false;
}

void VoterKeeper::OnValue(const StoreReply& reply,
                          TimePoint now,
                          ClusterEffects& effects) {
  if (reply.status != StoreStatus::kOk || reply.items.empty()) {
    return;
  }
  const StoreItem& item = reply.items.front();
  const auto decoded = Capture([&] { return DecodeConfig(item.value); });
  const auto* const value = std::get_if<ConfigValue>(&decoded);
  if (value == nullptr) {
    return;
  }
  m_replica.OnRead(*value, m_read_sent, effects);
  if (value->former_voters.empty()) {
    m_acks.reset();
    std::vector<NodeId> wanted = Wanted(*value, now);
    if (wanted != value->voters && MayPropose(*value, wanted, now)) {
      Write(ChangeVoters(*value, std::move(wanted)), item.revision, now,
            effects);
    }
    return;
  }
  const bool accepted =
      m_acks && m_acks->Accepted(now) && internal::SameLists(*m_joint, *value);
  if (accepted) {
    Write(SettleVoters(*value), item.revision, now, effects);
  }
}

void VoterKeeper::Write(ConfigValue next,
                        StoreRevision expected,
                        TimePoint now,
                        ClusterEffects& effects) {
  const auto text = Capture([&] { return EncodeWithinLimit(next); });
  if (const auto* const encoded = std::get_if<std::string>(&text)) {
    m_written = std::move(next);
    m_read_sent = now;
    m_write = m_store.CompareAndSwap(kConfigKey, *encoded, expected, effects);
  }
}

// A lost reply needs no resolving: if the write took effect, this node reads it
// like any other node's.
void VoterKeeper::OnWritten(const StoreReply& reply, ClusterEffects& effects) {
  if (reply.status != StoreStatus::kOk) {
    return;
  }
  m_replica.OnRead(*m_written, m_read_sent, effects);
  m_acks.reset();
  const auto& value = m_replica.value();
  if (!value->former_voters.empty()) {
    m_joint = value;
    m_acks.emplace(m_options, m_table, m_sender, m_replica, value->revision);
  }
}

void VoterKeeper::OnAck(const Envelope& envelope,
                        const RevisionAck& ack,
                        TimePoint now) {
  if (m_acks) {
    m_acks->OnAck(envelope, ack, now);
  }
}

}  // namespace jacinthdeck
