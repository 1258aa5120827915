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

bool CrashGuard::IsConvicted(Fingerprint fingerprint, TimePoint now) const {
  const auto found = m_records.find(fingerprint);
  return found != m_records.end() && found->second.calls >= kCallsToConvict &&
         now - found->second.last < kMemory;
}

bool CrashGuard::IsSuspect(Fingerprint fingerprint, TimePoint now) const {
  const auto found = m_records.find(fingerprint);
  return found != m_records.end() && now - found->second.last < kMemory;
}

bool CrashGuard::OnCallLost(Fingerprint fingerprint, TimePoint now) {
  MakeRoom(now);
  Record& record = m_records[fingerprint];
  record.calls = now - record.last < kMemory ? record.calls + 1 : 1;
  record.last = now;
  return record.calls == kCallsToConvict;
}

void CrashGuard::OnAnswered(Fingerprint fingerprint) {
  const auto found = m_records.find(fingerprint);
  if (found != m_records.end() && found->second.calls < kCallsToConvict) {
    m_records.erase(found);
  }
}

void CrashGuard::Convict(Fingerprint fingerprint, TimePoint now) {
  MakeRoom(now);
  m_records[fingerprint] = {kCallsToConvict, now};
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
