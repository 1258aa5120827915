// Takes the store's entries one by one.
#include "jacinthdeck/discovery/knowledge.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace jacinthdeck {

std::vector<TargetEntry> Knowledge::Targets() const {
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

std::optional<TimePoint> Knowledge::NextTimer() const {
  const auto targets = m_targets.NextExpiry();
  const auto hosts = m_hosts.NextExpiry();
  if (!targets || !hosts) {
    return targets ? targets : hosts;
  }
  return std::min(*targets, *hosts);
}

KnowledgeChange Knowledge::OnChanges(std::span<const StoreChange> changes,
                                     TimePoint now) {
  OnWell(now);
  KnowledgeChange changed;
  for (const StoreChange& change : changes) {
    Take(change, now, changed);
  }
  return changed;
}

KnowledgeChange Knowledge::OnReading(std::span<const StoreChange> items,
                                     std::uint64_t revision,
                                     TimePoint now) {
  KnowledgeChange changed = OnChanges(items, now);
  std::set<std::string> named;
  for (const StoreChange& item : items) {
    named.insert(item.key);
  }
  const auto counts_at = m_hold.CountsAt(now);
  m_targets.RemoveOthers(named, revision, counts_at);
  m_hosts.RemoveOthers(named, revision, counts_at);
  m_evacuations.RemoveOthers(named, revision, now);
  changed.AddEvacuations(!m_evacuations.Expire(now).empty());
  const KnowledgeChange expired = OnTimer(now);
  changed.targets |= expired.targets;
  changed.hosts |= expired.hosts;
  return changed;
}

KnowledgeChange Knowledge::OnTimer(TimePoint now) {
  KnowledgeChange changed;
  changed.targets = !m_targets.Expire(now).empty();
  changed.hosts = !m_hosts.Expire(now).empty();
  return changed;
}

void Knowledge::OnWell(TimePoint now) {
  const bool was_away = m_hold.away();
  m_hold.OnWell(now);
  if (was_away) {
    m_targets.SetExpiry(*m_hold.CountsAt(now));
    m_hosts.SetExpiry(*m_hold.CountsAt(now));
  }
}

void Knowledge::Take(const StoreChange& change,
                     TimePoint now,
                     KnowledgeChange& changed) {
  const KeyName name = m_codec.ReadKey(change.key);
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

void Knowledge::TakeConfig(const StoreChange& change,
                           KnowledgeChange& changed) {
  if (!change.value) {
    return;
  }
  auto read = Capture([&] { return m_codec.ReadConfig(*change.value); });
  if (auto* error = std::get_if<Error>(&read)) {
    changed.unreadable.push_back(std::move(*error));
    return;
  }
  auto& config = std::get<0>(read);
  if (m_config == nullptr || config->version() > m_config->version()) {
    m_config = std::move(config);
    changed.config = true;
  }
}

void Knowledge::TakeEvacuation(const std::string& id,
                               const StoreChange& change,
                               TimePoint now,
                               KnowledgeChange& changed) {
  if (!change.value) {
    m_evacuations.Remove(change.key, change.revision, now);
    changed.AddEvacuations(!m_evacuations.Expire(now).empty());
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
      change.key, change.revision,
      {std::get<0>(std::move(read)), change.revision, since});
  changed.AddEvacuations(news);
}

void Knowledge::TakeTarget(const std::string& id,
                           const StoreChange& change,
                           TimePoint now,
                           KnowledgeChange& changed) {
  if (!change.value) {
    const TargetEntry* entry = m_targets.Find(change.key);
    // One that said it was leaving has left.
    const bool draining = entry != nullptr && entry->draining;
    m_targets.Remove(change.key, change.revision,
                     draining ? now : m_hold.CountsAt(now));
    changed.targets |= !m_targets.Expire(now).empty();
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
  // Read again in a whole content, the same entry would start its cold time
  // anew.
  const TargetEntry* same = m_targets.FindAt(change.key, change.revision);
  reading.entry.cold_until =
      same != nullptr ? same->cold_until : now + reading.cold_for;
  changed.targets |=
      m_targets.Put(change.key, change.revision, std::move(reading.entry));
}

void Knowledge::TakeHost(const StoreChange& change,
                         TimePoint now,
                         KnowledgeChange& changed) {
  if (!change.value) {
    m_hosts.Remove(change.key, change.revision, m_hold.CountsAt(now));
    changed.hosts |= !m_hosts.Expire(now).empty();
    return;
  }
  auto read = Capture([&] { return m_codec.ReadHost(*change.value); });
  if (auto* error = std::get_if<Error>(&read)) {
    changed.unreadable.push_back(std::move(*error));
    return;
  }
  changed.hosts |=
      m_hosts.Put(change.key, change.revision, std::get<0>(std::move(read)));
}

}  // namespace jacinthdeck
