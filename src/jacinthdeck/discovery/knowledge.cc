// Decodes and applies the store's entries one by one.
#include "jacinthdeck/discovery/knowledge.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;

//! Time within which the store drops restored entries that nobody renews.
constexpr Duration kUnrenewedEntryLifetime = milliseconds(4600);
//! Time within which operators have repeated the writes that a restore lost.
constexpr Duration kOperatorRewriteTime = milliseconds(8000);

//! Reads a fingerprint from the hexadecimal id of a key.
[[nodiscard]] std::optional<Fingerprint> ReadFingerprint(
    const std::string& id) {
  constexpr int kHex = 16;
  std::uint64_t raw = 0;
  const char* end = id.data() + id.size();
  if (std::from_chars(id.data(), end, raw, kHex).ec != std::errc()) {
    return std::nullopt;
  }
  return Fingerprint(raw);
}

//! Returns the earlier of two optional moments.
[[nodiscard]] std::optional<TimePoint> Earlier(std::optional<TimePoint> left,
                                               std::optional<TimePoint> right) {
  if (!left || !right) {
    return left ? left : right;
  }
  return std::min(*left, *right);
}

}  // namespace

std::vector<TargetEntry> DiscoveryState::Targets() const {
  std::vector<TargetEntry> targets = m_targets.Entries();
  std::set<FailureDomain> evacuated;
  for (const Evacuation& evacuation : m_evacuations.Entries()) {
    evacuated.insert(evacuation.domain);
  }
  for (TargetEntry& target : targets) {
    target.evacuated = evacuated.contains(target.domain);
  }
  return targets;
}

std::optional<TimePoint> DiscoveryState::NextTimer() const {
  const auto entries = Earlier(m_targets.NextExpiry(), m_hosts.NextExpiry());
  return Earlier(Earlier(entries, m_evacuations.NextExpiry()),
                 m_restore_guard.NextRelease());
}

std::optional<StoreChange> DiscoveryState::CarriedOverConfig() const {
  const bool is_carried =
      m_config != nullptr && m_era && m_config_entry.position.era < *m_era;
  return is_carried ? std::optional(m_config_entry) : std::nullopt;
}

DiscoveryChange DiscoveryState::OnChanges(std::span<const StoreChange> changes,
                                          TimePoint now) {
  OnCallSucceeded(now);
  DiscoveryChange changed;
  for (const StoreChange& change : changes) {
    Apply(change, now, changed);
  }
  return changed;
}

DiscoveryChange DiscoveryState::OnFullRead(std::span<const StoreChange> items,
                                           const StorePosition& position,
                                           TimePoint now) {
  // Era 0 counts as well: a store may name its era only from its first restore
  // on.
  const bool restored = m_era && position.era > *m_era;
  if (restored) {
    BeginEra(position, now);
  }
  m_era = std::max(m_era.value_or(position.era), position.era);
  DiscoveryChange changed = OnChanges(items, now);
  std::set<std::string> listed;
  for (const StoreChange& item : items) {
    listed.insert(item.key);
  }
  m_restore_guard.KeepOnly(listed);
  const auto effective_at = m_removal_hold.EffectiveAt(now);
  m_targets.RemoveUnlisted(listed, position, effective_at);
  m_hosts.RemoveUnlisted(listed, position, effective_at);
  m_evacuations.RemoveUnlisted(listed, position,
                               restored ? now + kOperatorRewriteTime : now);
  ApplyDueRemovals(now, changed);
  return changed;
}

DiscoveryChange DiscoveryState::OnCarriedOver(
    std::span<const StoreChange> changes) {
  DiscoveryChange changed;
  for (const StoreChange& change : changes) {
    if (m_codec.ReadKey(change.key).kind == KeyKind::kConfig) {
      ApplyConfig(change, changed);
    }
  }
  return changed;
}

DiscoveryChange DiscoveryState::OnTimer(TimePoint now) {
  DiscoveryChange changed;
  for (const StoreChange& entry : m_restore_guard.TakeReleased(now)) {
    Apply(entry, now, changed);
  }
  ApplyDueRemovals(now, changed);
  return changed;
}

void DiscoveryState::ApplyDueRemovals(TimePoint now, DiscoveryChange& changed) {
  changed.MarkEvacuations(Expire(m_evacuations, kOperatorRewriteTime, now));
  changed.targets |= Expire(m_targets, kUnrenewedEntryLifetime, now);
  changed.hosts |= Expire(m_hosts, kUnrenewedEntryLifetime, now);
}

template <typename Entry>
bool DiscoveryState::Expire(HeldEntries<Entry>& entries,
                            Duration hold_time,
                            TimePoint now) {
  const std::vector<std::string> expired = entries.Expire(now);
  for (const std::string& key : expired) {
    m_restore_guard.OnRemoved(key, hold_time, now);
  }
  return !expired.empty();
}

void DiscoveryState::BeginEra(const StorePosition& position, TimePoint now) {
  m_removal_hold.OnRestored(now);
  m_targets.AdvanceExpiry(*m_removal_hold.EffectiveAt(now));
  m_hosts.AdvanceExpiry(*m_removal_hold.EffectiveAt(now));
  m_restore_guard.OnRestored(position, now);
  for (const std::string& key : m_targets.PendingRemovalKeys()) {
    m_restore_guard.HoldUntil(key, now + kUnrenewedEntryLifetime);
  }
  for (const std::string& key : m_hosts.PendingRemovalKeys()) {
    m_restore_guard.HoldUntil(key, now + kUnrenewedEntryLifetime);
  }
  if (!m_schema.empty()) {
    m_restore_guard.HoldUntil(m_codec.SchemaKey(), now + kOperatorRewriteTime);
  }
  for (const auto& [service, text] : m_indexes) {
    m_restore_guard.HoldUntil(m_codec.IndexKey(service.raw()),
                              now + kOperatorRewriteTime);
  }
}

void DiscoveryState::OnCallSucceeded(TimePoint now) {
  const bool was_away = m_removal_hold.away();
  m_removal_hold.OnCallSucceeded(now);
  if (was_away) {
    m_targets.AdvanceExpiry(*m_removal_hold.EffectiveAt(now));
    m_hosts.AdvanceExpiry(*m_removal_hold.EffectiveAt(now));
  }
}

DiscoveryChange DiscoveryState::OnStoreAvailable(TimePoint since,
                                                 TimePoint now) {
  DiscoveryChange changed;
  if (m_removal_hold.OnAvailable(since)) {
    m_targets.AdvanceExpiry(*m_removal_hold.EffectiveAt(now));
    m_hosts.AdvanceExpiry(*m_removal_hold.EffectiveAt(now));
    ApplyDueRemovals(now, changed);
  }
  return changed;
}

void DiscoveryState::Apply(const StoreChange& change,
                           TimePoint now,
                           DiscoveryChange& changed) {
  if (m_restore_guard.HoldBack(change, now)) {
    return;
  }
  if (change.value) {
    m_restore_guard.OnWritten(change.key);
  }
  const ParsedKey name = m_codec.ReadKey(change.key);
  switch (name.kind) {
    case KeyKind::kConfig:
      ApplyConfig(change, changed);
      break;
    case KeyKind::kEvacuation:
      ApplyEvacuation(name.id, change, now, changed);
      break;
    case KeyKind::kTarget:
      ApplyTarget(name.id, change, now, changed);
      break;
    case KeyKind::kHost:
      ApplyHost(change, now, changed);
      break;
    case KeyKind::kQuarantine:
      if (const auto fingerprint = ReadFingerprint(name.id);
          fingerprint && change.value) {
        changed.quarantines.push_back({*fingerprint, ServiceId(*change.value)});
      }
      break;
    case KeyKind::kSuspect:
      if (const auto fingerprint = ReadFingerprint(name.id);
          fingerprint && change.value) {
        changed.suspects.push_back({*fingerprint, ServiceId(*change.value)});
      }
      break;
    case KeyKind::kSchema:
      if (change.value && *change.value != m_schema) {
        m_schema = *change.value;
        changed.schema = true;
      }
      break;
    case KeyKind::kIndex:
      if (change.value) {
        const ServiceId service(name.id);
        m_indexes[service] = *change.value;
        changed.indexes.push_back(service);
      }
      break;
    case KeyKind::kOther:
      break;
  }
}

void DiscoveryState::ApplyConfig(const StoreChange& change,
                                 DiscoveryChange& changed) {
  if (!change.value) {
    return;
  }
  auto parsed = Capture([&] { return m_codec.ReadConfig(*change.value); });
  if (auto* error = std::get_if<Error>(&parsed)) {
    changed.unreadable.push_back(std::move(*error));
    return;
  }
  auto& config = std::get<0>(parsed);
  const bool is_newer =
      m_config == nullptr || config->version() > m_config->version();
  const bool is_repeated = !is_newer &&
                           config->version() == m_config->version() &&
                           change.position > m_config_entry.position;
  if (is_newer || is_repeated) {
    m_config_entry = change;
  }
  if (is_newer) {
    m_config = std::move(config);
    changed.config = true;
  }
}

void DiscoveryState::ApplyEvacuation(const std::string& id,
                                     const StoreChange& change,
                                     TimePoint now,
                                     DiscoveryChange& changed) {
  if (!change.value) {
    m_evacuations.Remove(change.key, change.position, now);
    changed.MarkEvacuations(Expire(m_evacuations, kOperatorRewriteTime, now));
    return;
  }
  auto parsed = Capture([&] { return m_codec.ReadEvacuation(id); });
  if (auto* error = std::get_if<Error>(&parsed)) {
    changed.unreadable.push_back(std::move(*error));
    return;
  }
  const Evacuation* known = m_evacuations.Find(change.key);
  const bool is_new = known == nullptr;
  const TimePoint since = is_new ? now : known->since;
  (void)m_evacuations.Put(
      change.key, change.position,
      {std::get<0>(std::move(parsed)), change.position, since});
  changed.MarkEvacuations(is_new);
}

void DiscoveryState::ApplyTarget(const std::string& id,
                                 const StoreChange& change,
                                 TimePoint now,
                                 DiscoveryChange& changed) {
  if (!change.value) {
    const TargetEntry* entry = m_targets.Find(change.key);
    // A target that announced that it was draining has left on purpose.
    const bool draining = entry != nullptr && entry->draining;
    m_targets.Remove(change.key, change.position,
                     draining ? now : m_removal_hold.EffectiveAt(now));
    changed.targets |= Expire(m_targets, kUnrenewedEntryLifetime, now);
    return;
  }
  auto parsed = Capture([&] { return m_codec.ReadTarget(id, *change.value); });
  if (auto* error = std::get_if<Error>(&parsed)) {
    // An entry that cannot be decoded yields no target and must not affect the
    // others.
    m_targets.Erase(change.key);
    changed.targets = true;
    changed.unreadable.push_back(std::move(*error));
    return;
  }
  auto& parsed_target = std::get<0>(parsed);
  if (parsed_target.problem) {
    changed.unreadable.push_back(std::move(*parsed_target.problem));
  }
  parsed_target.entry.cold_until = now + parsed_target.cold_for;
  // Without this, a full read that returns the same entry would restart its
  // cold time, and an entry of a backup that was taken before the target began
  // to drain would make it ready again.
  const TargetEntry* known = m_targets.FindAt(change.key, change.position);
  if (known == nullptr) {
    known = m_targets.FindFromEarlierEra(change.key, change.position.era);
  }
  if (known != nullptr) {
    parsed_target.entry.cold_until = known->cold_until;
    parsed_target.entry.draining |= known->draining;
  }
  changed.targets |= m_targets.Put(change.key, change.position,
                                   std::move(parsed_target.entry));
}

void DiscoveryState::ApplyHost(const StoreChange& change,
                               TimePoint now,
                               DiscoveryChange& changed) {
  if (!change.value) {
    m_hosts.Remove(change.key, change.position,
                   m_removal_hold.EffectiveAt(now));
    changed.hosts |= Expire(m_hosts, kUnrenewedEntryLifetime, now);
    return;
  }
  auto parsed = Capture([&] { return m_codec.ReadHost(*change.value); });
  if (auto* error = std::get_if<Error>(&parsed)) {
    changed.unreadable.push_back(std::move(*error));
    return;
  }
  changed.hosts |=
      m_hosts.Put(change.key, change.position, std::get<0>(std::move(parsed)));
}

}  // namespace jacinthdeck
