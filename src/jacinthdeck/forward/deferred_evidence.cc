// Table of ends of targets that are not evidence yet.
#include "jacinthdeck/forward/deferred_evidence.h"

#include <algorithm>
#include <iterator>

namespace jacinthdeck {

std::optional<TimePoint> DeferredEvidence::NextDue() const {
  const auto first =
      std::ranges::min_element(m_crashes, {}, &DeferredCrash::due);
  return first == m_crashes.end() ? std::nullopt : std::optional(first->due);
}

bool DeferredEvidence::Add(const DeferredCrash& crash) {
  if (m_crashes.size() >= kMaxCrashes) {
    return false;
  }
  m_crashes.push_back(crash);
  return true;
}

template <typename Predicate>
DeferredEvidence::Crashes DeferredEvidence::Take(Predicate matches) {
  const auto taken = std::stable_partition(
      m_crashes.begin(), m_crashes.end(),
      [&](const DeferredCrash& crash) { return !matches(crash); });
  Crashes result(std::make_move_iterator(taken),
                 std::make_move_iterator(m_crashes.end()));
  m_crashes.erase(taken, m_crashes.end());
  return result;
}

DeferredEvidence::Crashes DeferredEvidence::TakeRefuted(
    Fingerprint fingerprint,
    const ServiceId& service,
    TimePoint sent) {
  return Take([&](const DeferredCrash& crash) {
    return crash.fingerprint == fingerprint && crash.service == service &&
           crash.since <= sent;
  });
}

DeferredEvidence::Crashes DeferredEvidence::TakeDue(TimePoint now) {
  return Take([&](const DeferredCrash& crash) { return crash.due <= now; });
}

}  // namespace jacinthdeck
