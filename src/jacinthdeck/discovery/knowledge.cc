// Takes the store's entries one by one.
#include "jacinthdeck/discovery/knowledge.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;

//! Entries of the copy that nobody renews are dropped by then.
constexpr Duration kCopyLife = milliseconds(4600);
//! Operators have repeated by then what they wrote in the lost seconds.
constexpr Duration kOperatorReturn = milliseconds(8000);

//! The earlier of two moments that may be missing.
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
  return Earlier(Earlier(entries, m_evacuations.NextExpiry()), m_doubt.Next());
}

std::optional<StoreChange> DiscoveryState::CarriedConfig() const {
  const bool is_carried =
      m_config != nullptr && m_era && m_config_entry.position.era < *m_era;
  return is_carried ? std::optional(m_config_entry) : std::nullopt;
}

DiscoveryChange DiscoveryState::OnChanges(std::span<const StoreChange> changes,
                                          TimePoint now) {
  OnWell(now);
  DiscoveryChange changed;
  for (const StoreChange& change : changes) {
    Take(change, now, changed);
  }
  return changed;
}

DiscoveryChange DiscoveryState::OnFullRead(std::span<const StoreChange> items,
                                           const StorePosition& position,
                                           TimePoint now) {
  // A store may name its era only once it has come back from a copy.
  const bool restored = m_era && position.era > *m_era;
  if (restored) {
    BeginEra(position, now);
  }
  m_era = std::max(m_era.value_or(position.era), position.era);
  DiscoveryChange changed = OnChanges(items, now);
  std::set<std::string> named;
  for (const StoreChange& item : items) {
    named.insert(item.key);
  }
  m_doubt.KeepOnly(named);
  const auto counts_at = m_hold.CountsAt(now);
  m_targets.RemoveOthers(named, position, counts_at);
  m_hosts.RemoveOthers(named, position, counts_at);
  m_evacuations.RemoveOthers(named, position,
                             restored ? now + kOperatorReturn : now);
  CountRemovals(now, changed);
  return changed;
}

DiscoveryChange DiscoveryState::OnCarried(
    std::span<const StoreChange> changes) {
  DiscoveryChange changed;
  for (const StoreChange& change : changes) {
    if (m_codec.ReadKey(change.key).kind == KeyKind::kConfig) {
      TakeConfig(change, changed);
    }
  }
  return changed;
}

DiscoveryChange DiscoveryState::OnTimer(TimePoint now) {
  DiscoveryChange changed;
  for (const StoreChange& entry : m_doubt.TakeDue(now)) {
    Take(entry, now, changed);
  }
  CountRemovals(now, changed);
  return changed;
}

void DiscoveryState::CountRemovals(TimePoint now, DiscoveryChange& changed) {
  changed.AddEvacuations(Expire(m_evacuations, kOperatorReturn, now));
  changed.targets |= Expire(m_targets, kCopyLife, now);
  changed.hosts |= Expire(m_hosts, kCopyLife, now);
}

template <typename Entry>
bool DiscoveryState::Expire(HeldEntries<Entry>& entries,
                            Duration doubt,
                            TimePoint now) {
  const std::vector<std::string> expired = entries.Expire(now);
  for (const std::string& key : expired) {
    m_doubt.OnRemoved(key, doubt, now);
  }
  return !expired.empty();
}

void DiscoveryState::BeginEra(const StorePosition& position, TimePoint now) {
  m_hold.OnRestored(now);
  m_targets.SetExpiry(*m_hold.CountsAt(now));
  m_hosts.SetExpiry(*m_hold.CountsAt(now));
  m_doubt.OnRestored(position, now);
  for (const std::string& key : m_targets.RemovedKeys()) {
    m_doubt.Add(key, now + kCopyLife);
  }
  for (const std::string& key : m_hosts.RemovedKeys()) {
    m_doubt.Add(key, now + kCopyLife);
  }
  if (!m_schema.empty()) {
    m_doubt.Add(m_codec.SchemaKey(), now + kOperatorReturn);
  }
  for (const auto& [service, text] : m_indexes) {
    m_doubt.Add(m_codec.IndexKey(service.raw()), now + kOperatorReturn);
  }
}

void DiscoveryState::OnWell(TimePoint now) {
  const bool was_away = m_hold.away();
  m_hold.OnWell(now);
  if (was_away) {
    m_targets.SetExpiry(*m_hold.CountsAt(now));
    m_hosts.SetExpiry(*m_hold.CountsAt(now));
  }
}

void DiscoveryState::Take(const StoreChange& change,
                          TimePoint now,
                          DiscoveryChange& changed) {
  if (m_doubt.PutsOff(change, now)) {
    return;
  }
  if (change.value) {
    m_doubt.OnWritten(change.key);
  }
  const ParsedKey name = m_codec.ReadKey(change.key);
  switch (name.kind) {
    case KeyKind::kConfig:
      TakeConfig(change, changed);
      break;
    case KeyKind::kEvacuation:
      TakeEvacuation(name.id, change, now, changed);
      break;
    case KeyKind::kTarget:
      TakeTarget(name.id, change, now, changed);
      break;
    case KeyKind::kHost:
      TakeHost(change, now, changed);
      break;
    case KeyKind::kConviction: {
      std::uint64_t raw = 0;
      constexpr int kHex = 16;
      const char* end = name.id.data() + name.id.size();
      if (change.value &&
          std::from_chars(name.id.data(), end, raw, kHex).ec == std::errc()) {
        changed.convictions.emplace_back(raw);
      }
      break;
    }
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

void DiscoveryState::TakeConfig(const StoreChange& change,
                                DiscoveryChange& changed) {
  if (!change.value) {
    return;
  }
  auto read = Capture([&] { return m_codec.ReadConfig(*change.value); });
  if (auto* error = std::get_if<Error>(&read)) {
    changed.unreadable.push_back(std::move(*error));
    return;
  }
  auto& config = std::get<0>(read);
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

void DiscoveryState::TakeEvacuation(const std::string& id,
                                    const StoreChange& change,
                                    TimePoint now,
                                    DiscoveryChange& changed) {
  if (!change.value) {
    m_evacuations.Remove(change.key, change.position, now);
    changed.AddEvacuations(Expire(m_evacuations, kOperatorReturn, now));
    return;
  }
  auto read = Capture([&] { return m_codec.ReadEvacuation(id); });
  if (auto* error = std::get_if<Error>(&read)) {
    changed.unreadable.push_back(std::move(*error));
    return;
  }
  const Evacuation* known = m_evacuations.Find(change.key);
  const bool news = known == nullptr;
  const TimePoint since = news ? now : known->since;
  (void)m_evacuations.Put(
      change.key, change.position,
      {std::get<0>(std::move(read)), change.position, since});
  changed.AddEvacuations(news);
}

void DiscoveryState::TakeTarget(const std::string& id,
                                const StoreChange& change,
                                TimePoint now,
                                DiscoveryChange& changed) {
  if (!change.value) {
    const TargetEntry* entry = m_targets.Find(change.key);
    // One that said it was leaving has left.
    const bool draining = entry != nullptr && entry->draining;
    m_targets.Remove(change.key, change.position,
                     draining ? now : m_hold.CountsAt(now));
    changed.targets |= Expire(m_targets, kCopyLife, now);
    return;
  }
  auto read = Capture([&] { return m_codec.ReadTarget(id, *change.value); });
  if (auto* error = std::get_if<Error>(&read)) {
    // An entry that cannot be read names no target, and hides no other.
    m_targets.Drop(change.key);
    changed.targets = true;
    changed.unreadable.push_back(std::move(*error));
    return;
  }
  auto& reading = std::get<0>(read);
  if (reading.problem) {
    changed.unreadable.push_back(std::move(*reading.problem));
  }
  reading.entry.cold_until = now + reading.cold_for;
  // Read again in a whole content, the same entry would start its cold time
  // anew. The copy's entry may be from before the target began to leave.
  const TargetEntry* known = m_targets.FindAt(change.key, change.position);
  if (known == nullptr) {
    known = m_targets.FindBefore(change.key, change.position.era);
  }
  if (known != nullptr) {
    reading.entry.cold_until = known->cold_until;
    reading.entry.draining |= known->draining;
  }
  changed.targets |=
      m_targets.Put(change.key, change.position, std::move(reading.entry));
}

void DiscoveryState::TakeHost(const StoreChange& change,
                              TimePoint now,
                              DiscoveryChange& changed) {
  if (!change.value) {
    m_hosts.Remove(change.key, change.position, m_hold.CountsAt(now));
    changed.hosts |= Expire(m_hosts, kCopyLife, now);
    return;
  }
  auto read = Capture([&] { return m_codec.ReadHost(*change.value); });
  if (auto* error = std::get_if<Error>(&read)) {
    changed.unreadable.push_back(std::move(*error));
    return;
  }
  changed.hosts |=
      m_hosts.Put(change.key, change.position, std::get<0>(std::move(read)));
}

}  // namespace jacinthdeck
