// Evidence about requests that may crash targets.
#include "jacinthdeck/query/quarantine.h"

#include <algorithm>

namespace jacinthdeck {

namespace internal {

[[nodiscard]] bool Overlap(const KeyRange& a, const KeyRange& b) noexcept {
  return a.begin < b.end && b.begin < a.end;
}

}  // namespace internal

Suspicion Quarantine::Now(const Entry& entry, TimePoint now) const {
  if (now < entry.until) {
    return entry.suspicion;
  }
  // A conviction that ended leaves a suspicion behind: a request that still
  // crashes targets then costs one more target, not a whole first round.
  const bool probation = entry.suspicion == Suspicion::kConvicted &&
                         now < entry.until + m_options.suspect_life;
  return probation ? Suspicion::kSuspect : Suspicion::kNone;
}

Suspicion Quarantine::Of(Fingerprint fingerprint, TimePoint now) const {
  if (m_entries.empty()) {
    return Suspicion::kNone;
  }
  const auto found = m_entries.find(fingerprint);
  return found == m_entries.end() ? Suspicion::kNone : Now(found->second, now);
}

std::optional<TimePoint> Quarantine::ConvictedUntil(Fingerprint fingerprint,
                                                    TimePoint now) const {
  if (Of(fingerprint, now) != Suspicion::kConvicted) {
    return std::nullopt;
  }
  return m_entries.at(fingerprint).until;
}

bool Quarantine::DiedIn(Fingerprint fingerprint, const KeyRange& range) const {
  const auto found = m_entries.find(fingerprint);
  return found != m_entries.end() &&
         std::ranges::any_of(found->second.ranges,
                             [&range](const KeyRange& died) {
                               return internal::Overlap(died, range);
                             });
}

std::vector<QuarantineEntry> Quarantine::Entries(TimePoint now) const {
  std::vector<QuarantineEntry> entries;
  for (const auto& [fingerprint, entry] : m_entries) {
    const Suspicion suspicion = Now(entry, now);
    if (suspicion == Suspicion::kNone) {
      continue;
    }
    const bool probation = suspicion != entry.suspicion;
    entries.push_back(QuarantineEntry{
        fingerprint, suspicion, entry.kills,
        probation ? entry.until + m_options.suspect_life : entry.until});
  }
  std::ranges::sort(entries, {}, &QuarantineEntry::fingerprint);
  return entries;
}

Suspicion Quarantine::Blame(Fingerprint fingerprint,
                            const KeyRange& range,
                            bool probe,
                            TimePoint now) {
  const Suspicion before = Of(fingerprint, now);
  Entry* entry = Hold(fingerprint, now);
  if (entry == nullptr || before == Suspicion::kConvicted) {
    return Suspicion::kNone;
  }
  if (entry->ranges.size() < kMaxRanges) {
    entry->ranges.push_back(range);
  }
  entry->until = now + m_options.suspect_life;
  if (before == Suspicion::kNone) {
    return Suspicion::kSuspect;
  }
  // Attempts that were out before the first death was seen are one round: when
  // a failure domain is lost, an innocent request loses many of them at once.
  if (!probe || ++entry->kills < m_options.kills_to_convict) {
    return Suspicion::kNone;
  }
  entry->suspicion = Suspicion::kConvicted;
  entry->until = now + m_options.conviction_life;
  return Suspicion::kConvicted;
}

bool Quarantine::Survived(Fingerprint fingerprint,
                          const KeyRange& range,
                          TimePoint now) {
  if (Of(fingerprint, now) != Suspicion::kSuspect) {
    return false;
  }
  if (!m_entries.at(fingerprint).ranges.empty() &&
      !DiedIn(fingerprint, range)) {
    return false;
  }
  m_entries.erase(fingerprint);
  return true;
}

void Quarantine::SuspectTold(Fingerprint fingerprint, TimePoint now) {
  if (Of(fingerprint, now) != Suspicion::kNone) {
    return;
  }
  if (Entry* entry = Hold(fingerprint, now)) {
    entry->until = now + m_options.suspect_life;
  }
}

void Quarantine::ConvictionTold(Fingerprint fingerprint, TimePoint now) {
  if (Of(fingerprint, now) == Suspicion::kConvicted) {
    return;
  }
  if (Entry* entry = Hold(fingerprint, now)) {
    entry->suspicion = Suspicion::kConvicted;
    entry->kills = std::max(entry->kills, m_options.kills_to_convict);
    entry->until = now + m_options.conviction_life;
  }
}

bool Quarantine::Release(Fingerprint fingerprint) {
  return m_entries.erase(fingerprint) > 0;
}

Quarantine::Entry* Quarantine::Hold(Fingerprint fingerprint, TimePoint now) {
  const auto found = m_entries.find(fingerprint);
  if (found != m_entries.end()) {
    Entry& entry = found->second;
    const Suspicion suspicion = Now(entry, now);
    if (suspicion == Suspicion::kNone) {
      entry = Entry{};
    } else if (suspicion != entry.suspicion) {
      entry.suspicion = suspicion;
      entry.kills = m_options.kills_to_convict - 1;
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
    return Now(held.second, now) == Suspicion::kNone;
  });
  if (m_entries.size() < m_options.limit) {
    return;
  }
  // The suspicion that ends first goes. A conviction never does: a flood of
  // suspects must not free a request that is known to kill.
  auto oldest = m_entries.end();
  for (auto at = m_entries.begin(); at != m_entries.end(); ++at) {
    if (at->second.suspicion == Suspicion::kSuspect &&
        (oldest == m_entries.end() ||
         at->second.until < oldest->second.until)) {
      oldest = at;
    }
  }
  if (oldest != m_entries.end()) {
    m_entries.erase(oldest);
  }
}

}  // namespace jacinthdeck
