// State changes of suspect and quarantined requests.
#include "jacinthdeck/query/quarantine.h"

#include <algorithm>

namespace jacinthdeck {

namespace internal {

[[nodiscard]] bool Overlap(const KeyRange& a, const KeyRange& b) noexcept {
  return a.begin < b.end && b.begin < a.end;
}

}  // namespace internal

QuarantineState Quarantine::StateAt(const Entry& entry, TimePoint now) const {
  if (now < entry.expires_at) {
    return entry.state;
  }
  // A quarantine that expired leaves a suspect behind. A request that still
  // crashes targets then costs one more target instead of a first round on all
  // shards.
  const bool downgraded = entry.state == QuarantineState::kQuarantined &&
                          now < entry.expires_at + m_options.suspect_ttl;
  return downgraded ? QuarantineState::kSuspect : QuarantineState::kNone;
}

QuarantineState Quarantine::StateOf(Fingerprint fingerprint,
                                    TimePoint now) const {
  if (m_entries.empty()) {
    return QuarantineState::kNone;
  }
  const auto found = m_entries.find(fingerprint);
  return found == m_entries.end() ? QuarantineState::kNone
                                  : StateAt(found->second, now);
}

std::optional<TimePoint> Quarantine::QuarantinedUntil(Fingerprint fingerprint,
                                                      TimePoint now) const {
  if (StateOf(fingerprint, now) != QuarantineState::kQuarantined) {
    return std::nullopt;
  }
  return m_entries.at(fingerprint).expires_at;
}

bool Quarantine::CrashedInRange(Fingerprint fingerprint,
                                const KeyRange& range) const {
  const auto found = m_entries.find(fingerprint);
  return found != m_entries.end() &&
         std::ranges::any_of(found->second.ranges,
                             [&range](const KeyRange& crashed) {
                               return internal::Overlap(crashed, range);
                             });
}

std::vector<QuarantineEntry> Quarantine::Entries(TimePoint now) const {
  std::vector<QuarantineEntry> entries;
  for (const auto& [fingerprint, entry] : m_entries) {
    const QuarantineState state = StateAt(entry, now);
    if (state == QuarantineState::kNone) {
      continue;
    }
    const bool downgraded = state != entry.state;
    entries.push_back(
        QuarantineEntry{fingerprint, state, entry.crash_rounds,
                        downgraded ? entry.expires_at + m_options.suspect_ttl
                                   : entry.expires_at});
  }
  std::ranges::sort(entries, {}, &QuarantineEntry::fingerprint);
  return entries;
}

QuarantineState Quarantine::RecordCrash(Fingerprint fingerprint,
                                        const KeyRange& range,
                                        bool probe,
                                        TimePoint now) {
  const QuarantineState previous = StateOf(fingerprint, now);
  Entry* entry = FindOrAdd(fingerprint, now);
  if (entry == nullptr || previous == QuarantineState::kQuarantined) {
    return QuarantineState::kNone;
  }
  if (entry->ranges.size() < kMaxCrashRanges) {
    entry->ranges.push_back(range);
  }
  entry->expires_at = now + m_options.suspect_ttl;
  if (previous == QuarantineState::kNone) {
    return QuarantineState::kSuspect;
  }
  // The attempts in flight before the first crash was seen count as one round:
  // when a failure domain fails, a harmless request loses many attempts at
  // once.
  if (!probe || ++entry->crash_rounds < m_options.crash_rounds_to_quarantine) {
    return QuarantineState::kNone;
  }
  SetQuarantined(*entry, now);
  return QuarantineState::kQuarantined;
}

bool Quarantine::RecordCompletion(Fingerprint fingerprint,
                                  const KeyRange& range,
                                  TimePoint now) {
  if (StateOf(fingerprint, now) != QuarantineState::kSuspect) {
    return false;
  }
  if (!m_entries.at(fingerprint).ranges.empty() &&
      !CrashedInRange(fingerprint, range)) {
    return false;
  }
  m_entries.erase(fingerprint);
  return true;
}

void Quarantine::AddPeerSuspect(Fingerprint fingerprint,
                                TimePoint now,
                                std::optional<KeyRange> range) {
  if (StateOf(fingerprint, now) != QuarantineState::kNone) {
    return;
  }
  if (Entry* entry = FindOrAdd(fingerprint, now)) {
    entry->expires_at = now + m_options.suspect_ttl;
    if (range) {
      entry->ranges.push_back(*range);
    }
  }
}

void Quarantine::AddPeerQuarantine(Fingerprint fingerprint, TimePoint now) {
  if (StateOf(fingerprint, now) == QuarantineState::kQuarantined) {
    return;
  }
  if (Entry* entry = FindOrAdd(fingerprint, now)) {
    entry->crash_rounds =
        std::max(entry->crash_rounds, m_options.crash_rounds_to_quarantine);
    SetQuarantined(*entry, now);
  }
}

void Quarantine::SetQuarantined(Entry& entry, TimePoint now) const {
  entry.state = QuarantineState::kQuarantined;
  entry.expires_at =
      now + (entry.was_quarantined ? m_options.quarantine_ttl
                                   : m_options.first_quarantine_ttl);
}

bool Quarantine::Release(Fingerprint fingerprint) {
  return m_entries.erase(fingerprint) > 0;
}

Quarantine::Entry* Quarantine::FindOrAdd(Fingerprint fingerprint,
                                         TimePoint now) {
  const auto found = m_entries.find(fingerprint);
  if (found != m_entries.end()) {
    Entry& entry = found->second;
    const QuarantineState state = StateAt(entry, now);
    if (state == QuarantineState::kNone) {
      entry = Entry{};
    } else if (state != entry.state) {
      entry.state = state;
      entry.was_quarantined = true;
      entry.crash_rounds = m_options.crash_rounds_to_quarantine - 1;
    }
    return &entry;
  }
  if (m_entries.size() >= m_options.limit) {
    MakeRoom(now);
  }
  return m_entries.size() >= m_options.limit ? nullptr
                                             : &m_entries[fingerprint];
}

void Quarantine::MakeRoom(TimePoint now) {
  std::erase_if(m_entries, [&](const auto& held) {
    return StateAt(held.second, now) == QuarantineState::kNone;
  });
  if (m_entries.size() < m_options.limit) {
    return;
  }
  // Evicts the suspect that expires first, but never a quarantined entry: a
  // flood of suspects must not release a request that is known to crash
  // targets.
  auto first_to_expire = m_entries.end();
  for (auto at = m_entries.begin(); at != m_entries.end(); ++at) {
    if (at->second.state == QuarantineState::kSuspect &&
        (first_to_expire == m_entries.end() ||
         at->second.expires_at < first_to_expire->second.expires_at)) {
      first_to_expire = at;
    }
  }
  if (first_to_expire != m_entries.end()) {
    m_entries.erase(first_to_expire);
  }
}

}  // namespace jacinthdeck
