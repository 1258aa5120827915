// Records failed calls by fingerprint and forgets them after kRetention.
#include "jacinthdeck/forward/crash_guard.h"

#include <xxhash.h>

#include <algorithm>

namespace jacinthdeck {

Fingerprint FingerprintOf(const OpaqueRequest& request) {
  std::string text;
  text.reserve(request.method.size() + request.host.size() +
               request.target.size() + request.body.size() + 3);
  text += request.method;
  text += '\n';
  text += request.host;
  text += '\n';
  text += request.target;
  text += '\n';
  text += request.body;
  return Fingerprint(XXH3_64bits(text.data(), text.size()));
}

bool CrashGuard::IsQuarantined(Fingerprint fingerprint, TimePoint now) const {
  const auto found = m_records.find(fingerprint);
  return found != m_records.end() &&
         found->second.calls >= kQuarantineThreshold &&
         now - found->second.last < kRetention;
}

bool CrashGuard::IsSuspect(Fingerprint fingerprint, TimePoint now) const {
  const auto found = m_records.find(fingerprint);
  return found != m_records.end() && now - found->second.last < kRetention;
}

bool CrashGuard::OnCallLost(Fingerprint fingerprint, TimePoint now) {
  EvictIfFull(now);
  Record& record = m_records[fingerprint];
  const bool is_repeated =
      now - record.last < kRetention && !WasAnswered(fingerprint, now);
  record.calls = is_repeated ? record.calls + 1 : 1;
  record.last = now;
  return record.calls == kQuarantineThreshold;
}

void CrashGuard::OnAnswered(Fingerprint fingerprint, TimePoint now) {
  SlotOf(fingerprint) = {fingerprint, now};
  m_records.erase(fingerprint);
}

void CrashGuard::QuarantineRequest(Fingerprint fingerprint, TimePoint now) {
  if (WasAnswered(fingerprint, now)) {
    return;
  }
  EvictIfFull(now);
  m_records[fingerprint] = {kQuarantineThreshold, now};
}

CrashGuard::Answer& CrashGuard::SlotOf(Fingerprint fingerprint) {
  return m_answers[fingerprint.raw() % kAnsweredSlots];
}

bool CrashGuard::WasAnswered(Fingerprint fingerprint, TimePoint now) {
  const Answer& answer = SlotOf(fingerprint);
  return answer.request == fingerprint && answer.at &&
         now - *answer.at < kRetention;
}

void CrashGuard::EvictIfFull(TimePoint now) {
  if (m_records.size() < kMaxRecords) {
    return;
  }
  std::erase_if(m_records, [&](const auto& item) {
    return now - item.second.last >= kRetention;
  });
  if (m_records.size() >= kMaxRecords) {
    // The table is full of recent failures: half of the targets are failing,
    // and no single request is the cause.
    m_records.clear();
  }
}

}  // namespace jacinthdeck
