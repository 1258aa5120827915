// Order between statements about a member, and the states made of them.
#include "jacinthdeck/cluster/member_table.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace jacinthdeck {

namespace internal {

bool AddAccuser(MemberUpdate& latest, const NodeId& accuser) {
  if (latest.accusers.size() >= kMaxAccusers ||
      std::ranges::find(latest.accusers, accuser) != latest.accusers.end()) {
    return false;
  }
  latest.accusers.push_back(accuser);
  return true;
}

bool AddAccusers(MemberUpdate& latest, const std::vector<NodeId>& accusers) {
  bool added = false;
  for (const NodeId& accuser : accusers) {
    added = AddAccuser(latest, accuser) || added;
  }
  return added;
}

[[nodiscard]] bool IsAccusedBy(const MemberUpdate& latest,
                               const NodeId& accuser) {
  return std::ranges::find(latest.accusers, accuser) != latest.accusers.end();
}

[[nodiscard]] bool IsCounted(const Member& member) {
  return member.proven && member.latest.health != MemberHealth::kDead;
}

}  // namespace internal

MemberTable::MemberTable(SelfInfo self, const ClusterOptions& options)
    : m_self(std::move(self)), m_options(options) {
  Member member;
  member.latest.node = m_self.node;
  member.latest.incarnation = m_self.incarnation;
  member.latest.address = m_self.address;
  member.latest.domain = m_self.domain;
  member.proven = true;
  m_members.emplace(m_self.node, std::move(member));
}

const Member* MemberTable::Find(const NodeId& node) const {
  const auto found = m_members.find(node);
  return found == m_members.end() ? nullptr : &found->second;
}

MemberState MemberTable::StateOf(const NodeId& node, TimePoint now) const {
  const Member* member = Find(node);
  if (member == nullptr || !member->proven) {
    return MemberState::kUnproven;
  }
  const MemberUpdate& latest = member->latest;
  if (latest.health == MemberHealth::kDead) {
    return MemberState::kDead;
  }
  if (latest.leaving || member->leaving_by_host_list) {
    return MemberState::kLeaving;
  }
  // One foreign accuser is not believed alone: a node whose own link is cut
  // accuses everybody, and all entries would go out of the answers at once.
  const bool accused = latest.accusers.size() >= kMaxAccusers ||
                       internal::IsAccusedBy(latest, m_self.node);
  const bool suspect = latest.health == MemberHealth::kSuspect && accused;
  return suspect || now < member->hold_until ? MemberState::kSuspect
                                             : MemberState::kLive;
}

std::vector<NodeId> MemberTable::Reachable() const {
  std::vector<NodeId> nodes;
  for (const auto& [node, member] : m_members) {
    if (member.proven && member.latest.health != MemberHealth::kDead &&
        node != m_self.node) {
      nodes.push_back(node);
    }
  }
  return nodes;
}

std::vector<NodeId> MemberTable::Unreachable() const {
  std::vector<NodeId> nodes;
  for (const auto& [node, member] : m_members) {
    if (!member.proven || member.latest.health == MemberHealth::kDead) {
      nodes.push_back(node);
    }
  }
  return nodes;
}

const MemberUpdate& MemberTable::SelfUpdate() const {
  return m_members.at(m_self.node).latest;
}

Duration MemberTable::SuspicionTime() const {
  const double decades =
      std::max(1.0, std::log10(static_cast<double>(m_alive)));
  const double periods = decades * m_options.suspicion_periods;
  return Duration(static_cast<Duration::rep>(
      periods * static_cast<double>(m_options.probe_period.count())));
}

bool MemberTable::AddSeed(SeedSource source, const MemberSeed& seed) {
  if (seed.node == m_self.node) {
    return false;
  }
  auto [found, added] = m_members.try_emplace(seed.node);
  Member& member = found->second;
  if (!member.proven) {
    member.latest.node = seed.node;
    member.latest.address = seed.address;
    member.latest.domain = seed.domain;
  }
  if (source != SeedSource::kHostList) {
    return added;
  }
  const bool changed = member.leaving_by_host_list != seed.leaving;
  member.leaving_by_host_list = seed.leaving;
  return added || changed;
}

MergeResult MemberTable::MergeSelf(const MemberUpdate& update) const {
  const MemberUpdate& own = SelfUpdate();
  const bool accused = update.incarnation == own.incarnation &&
                       update.health != MemberHealth::kAlive &&
                       update.refutation >= own.refutation;
  return accused ? MergeResult::kRefute : MergeResult::kIgnored;
}

MergeResult MemberTable::Merge(const MemberUpdate& update, TimePoint now) {
  if (update.node == m_self.node) {
    return MergeSelf(update);
  }
  const auto known = m_members.find(update.node);
  const bool proven = known != m_members.end() && known->second.proven;
  if (!proven && update.health == MemberHealth::kDead) {
    return MergeResult::kIgnored;
  }
  Member& member = m_members[update.node];
  if (proven && update.incarnation < member.latest.incarnation) {
    return MergeResult::kIgnored;
  }
  if (proven && update.incarnation == member.latest.incarnation) {
    const bool changed = MergeSameLife(member, update, now);
    return changed ? MergeResult::kChanged : MergeResult::kIgnored;
  }
  const bool was_counted = internal::IsCounted(member);
  const bool was_dead = proven && member.latest.health == MemberHealth::kDead;
  member.latest = update;
  member.latest.health = MemberHealth::kAlive;
  member.latest.accusers.clear();
  member.proven = true;
  member.suspicion_end.reset();
  member.dead_since.reset();
  if (was_dead) {
    Hold(member, now);
  }
  m_alive += was_counted ? 0 : 1;
  if (update.health != MemberHealth::kAlive) {
    (void)MergeSameLife(member, update, now);
  }
  return MergeResult::kChanged;
}

bool MemberTable::MergeSameLife(Member& member,
                                const MemberUpdate& update,
                                TimePoint now) {
  MemberUpdate& latest = member.latest;
  const bool starts_leaving = update.leaving && !latest.leaving;
  latest.leaving = latest.leaving || update.leaving;
  if (update.refutation < latest.refutation) {
    return starts_leaving;
  }
  if (update.refutation > latest.refutation) {
    latest.refutation = update.refutation;
    latest.accusers.clear();
    SetHealth(member, MemberHealth::kAlive, now);
    if (update.health == MemberHealth::kAlive) {
      return true;
    }
  }
  if (update.health == MemberHealth::kAlive) {
    return starts_leaving;
  }
  const bool accused = internal::AddAccusers(latest, update.accusers);
  if (update.health == MemberHealth::kDead &&
      latest.health != MemberHealth::kDead && EnoughAccusers(member)) {
    SetHealth(member, MemberHealth::kDead, now);
    return true;
  }
  if (latest.health == MemberHealth::kAlive) {
    SetHealth(member, MemberHealth::kSuspect, now);
    return true;
  }
  return accused || starts_leaving;
}

bool MemberTable::Accuse(const NodeId& node,
                         const NodeId& accuser,
                         TimePoint now) {
  const auto found = m_members.find(node);
  if (found == m_members.end() || !found->second.proven ||
      found->second.latest.health == MemberHealth::kDead) {
    return false;
  }
  Member& member = found->second;
  const bool added = internal::AddAccuser(member.latest, accuser);
  if (member.latest.health == MemberHealth::kAlive) {
    SetHealth(member, MemberHealth::kSuspect, now);
    return true;
  }
  return added;
}

bool MemberTable::Heard(const NodeId& node,
                        Incarnation incarnation,
                        TimePoint now) {
  const auto found = m_members.find(node);
  if (found == m_members.end()) {
    return true;
  }
  Member& member = found->second;
  if (member.proven && incarnation < member.latest.incarnation) {
    return false;
  }
  if (!member.proven || incarnation > member.latest.incarnation) {
    MemberUpdate update = member.latest;
    update.incarnation = incarnation;
    update.refutation = 0;
    update.health = MemberHealth::kAlive;
    update.leaving = false;
    update.accusers.clear();
    (void)Merge(update, now);
  }
  return true;
}

std::vector<NodeId> MemberTable::Expire(TimePoint now) {
  std::vector<NodeId> died;
  for (auto& [node, member] : m_members) {
    if (member.suspicion_end && *member.suspicion_end <= now &&
        EnoughAccusers(member)) {
      SetHealth(member, MemberHealth::kDead, now);
      died.push_back(node);
    }
  }
  std::erase_if(m_members, [&](const auto& entry) {
    const auto& since = entry.second.dead_since;
    return since && *since + m_options.forget_dead <= now;
  });
  return died;
}

void MemberTable::ShiftSuspicions(Duration pause) {
  for (auto& [node, member] : m_members) {
    if (member.suspicion_end) {
      *member.suspicion_end += pause;
    }
  }
}

const MemberUpdate& MemberTable::Refute(const MemberUpdate& accusation) {
  MemberUpdate& own = m_members.at(m_self.node).latest;
  own.refutation = std::max(own.refutation, accusation.refutation) + 1;
  return own;
}

const MemberUpdate& MemberTable::LeaveSelf() {
  MemberUpdate& own = m_members.at(m_self.node).latest;
  own.leaving = true;
  return own;
}

void MemberTable::SetHealth(Member& member,
                            MemberHealth health,
                            TimePoint now) {
  const MemberHealth before = member.latest.health;
  if (before == health) {
    return;
  }
  const bool was_counted = internal::IsCounted(member);
  member.latest.health = health;
  const bool is_counted = internal::IsCounted(member);
  m_alive += is_counted && !was_counted ? 1 : 0;
  m_alive -= was_counted && !is_counted ? 1 : 0;
  member.suspicion_end.reset();
  member.dead_since.reset();
  if (health == MemberHealth::kSuspect) {
    member.suspicion_end = now + SuspicionTime();
  }
  if (health == MemberHealth::kDead) {
    member.dead_since = now;
  }
  if (health == MemberHealth::kAlive) {
    Hold(member, now);
  }
}

// A flapping link makes a member die and return again and again. Callers would
// be sent to it at each return. Each return holds it back for longer, so the
// states change ever more rarely.
void MemberTable::Hold(Member& member, TimePoint now) const {
  const Duration calm = 2 * m_options.flap_hold_limit;
  if (member.hold_until + calm < now) {
    member.next_hold = Duration::zero();
  }
  member.hold_until = now + member.next_hold;
  member.next_hold = std::clamp(2 * member.next_hold, m_options.flap_hold,
                                m_options.flap_hold_limit);
}

// The one accuser may be the one whose link is broken.
bool MemberTable::EnoughAccusers(const Member& member) const {
  if (member.latest.accusers.size() >= kMaxAccusers) {
    return true;
  }
  const bool third_alive =
      std::ranges::any_of(m_members, [&](const auto& entry) {
        const Member& other = entry.second;
        return other.proven && other.latest.health == MemberHealth::kAlive &&
               entry.first != m_self.node && &other != &member;
      });
  return !member.latest.accusers.empty() && !third_alive;
}

}  // namespace jacinthdeck
