// Failed calls by fingerprint, forgotten after a while.
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
         now - found->second.last < kMemory;
}

bool CrashGuard::IsSuspect(Fingerprint fingerprint, TimePoint now) const {
  const auto found = m_records.find(fingerprint);
  return found != m_records.end() && now - found->second.last < kMemory;
}

bool CrashGuard::OnCallLost(Fingerprint fingerprint, TimePoint now) {
  MakeRoom(now);
  Record& record = m_records[fingerprint];
  const bool again =
      now - record.last < kMemory && !WasAnswered(fingerprint, now);
  record.calls = again ? record.calls + 1 : 1;
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
  MakeRoom(now);
  m_records[fingerprint] = {kQuarantineThreshold, now};
}

CrashGuard::Answer& CrashGuard::SlotOf(Fingerprint fingerprint) {
  return m_answers[fingerprint.raw() % kAnsweredSlots];
}

bool CrashGuard::WasAnswered(Fingerprint fingerprint, TimePoint now) {
  const Answer& answer = SlotOf(fingerprint);
  return answer.request == fingerprint && answer.at &&
         now - *answer.at < kMemory;
}

void CrashGuard::MakeRoom(TimePoint now) {
  if (m_records.size() < kMostHeld) {
    return;
  }
  std::erase_if(m_records, [&](const auto& item) {
    return now - item.second.last >= kMemory;
  });
  if (m_records.size() >= kMostHeld) {
    // Full of fresh losses: half of the targets are failing, and no single
    // request is to blame.
    m_records.clear();
  }
}

}  // namespace jacinthdeck
