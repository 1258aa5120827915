// This host's own record and what it shares.
#include <algorithm>
#include <utility>

#include "jacinthdeck/discovery/store_session.h"

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kWriteTimeout = milliseconds(1200);
//! Renewals within a lease's life: two may be lost before it ends.
constexpr int kRenewalsInLife = 3;
//! Other hosts have refused the request for long by then.
constexpr Duration kConvictionLife = seconds(60);
//! Convictions that wait for the store.
constexpr std::size_t kMostConvictions = 16;

}  // namespace

void StoreSession::Register(const HostRecord& record) {
  m_record = record;
  m_written = false;
  StepAfter(Duration::zero());
}

void StoreSession::Unregister() {
  m_record.reset();
  m_writes.Abort();
  StepAfter(Duration::zero());
}

void StoreSession::ShareConviction(Fingerprint fingerprint) {
  if (m_convictions.size() < kMostConvictions) {
    m_convictions.push_back(fingerprint);
  }
  if (!m_writes.busy()) {
    StepAfter(Duration::zero());
  }
}

void StoreSession::StepAfter(Duration pause) {
  m_write_timer.expires_after(pause);
  m_write_timer.async_wait([this](const SystemError& ended) {
    if (!ended && !m_writes.busy()) {
      Step();
    }
  });
}

void StoreSession::Step() {
  if (!m_record) {
    if (m_lease != 0) {
      End();
    }
    return;
  }
  if (m_lease == 0) {
    Grant();
  } else if (!m_written) {
    Put();
  } else if (!m_convictions.empty()) {
    WriteConviction();
  } else if (m_clock.Now() >= m_renew_at) {
    Renew();
  } else {
    StepAfter(m_renew_at - m_clock.Now());
  }
}

void StoreSession::Grant() {
  ++m_counters.writes;
  m_writes.Call(m_codec.GrantCall(m_lease_life), kWriteTimeout,
                [this](const ClientReply& reply) {
                  const StoreAck ack = m_codec.ReadWrite(reply);
                  if (ack.status != StoreStatus::kOk || ack.lease == 0) {
                    OnWriteFailed(ack.status);
                    return;
                  }
                  m_lease = ack.lease;
                  m_written = false;
                  m_renew_at = m_clock.Now() + RenewPause();
                  Step();
                });
}

void StoreSession::Put() {
  ++m_counters.writes;
  const std::string key = m_codec.HostKey(m_record->name);
  m_writes.Call(m_codec.PutCall(key, m_codec.WriteHost(*m_record), m_lease),
                kWriteTimeout, [this](const ClientReply& reply) {
                  const StoreAck ack = m_codec.ReadWrite(reply);
                  if (ack.status != StoreStatus::kOk) {
                    OnWriteFailed(ack.status);
                    return;
                  }
                  m_written = true;
                  m_seen = false;
                  m_write_backoff.OnSuccess();
                  m_observer.OnRegistration(StoreStatus::kOk);
                  Step();
                });
}

void StoreSession::Renew() {
  ++m_counters.renewals;
  m_writes.Call(m_codec.RenewCall(m_lease), kWriteTimeout,
                [this](const ClientReply& reply) {
                  const StoreAck ack = m_codec.ReadWrite(reply);
                  if (ack.status != StoreStatus::kOk) {
                    OnWriteFailed(ack.status);
                    return;
                  }
                  m_write_backoff.OnSuccess();
                  m_renew_at = m_clock.Now() + RenewPause();
                  StepAfter(RenewPause());
                });
}

void StoreSession::End() {
  ++m_counters.writes;
  const std::uint64_t lease = m_lease;
  m_writes.Call(m_codec.EndCall(lease), kWriteTimeout,
                [this](const ClientReply& reply) {
                  const StoreAck ack = m_codec.ReadWrite(reply);
                  if (ack.status == StoreStatus::kOk ||
                      ack.status == StoreStatus::kNoLease) {
                    m_lease = 0;
                    return;
                  }
                  OnWriteFailed(ack.status);
                });
}

void StoreSession::WriteConviction() {
  ++m_counters.writes;
  m_writes.Call(
      m_codec.GrantCall(kConvictionLife), kWriteTimeout,
      [this](const ClientReply& granted) {
        const StoreAck lease = m_codec.ReadWrite(granted);
        if (lease.status != StoreStatus::kOk || m_convictions.empty()) {
          OnWriteFailed(lease.status);
          return;
        }
        ++m_counters.writes;
        const std::string key = m_codec.ConvictionKey(m_convictions.back());
        m_writes.Call(m_codec.PutCall(key, "1", lease.lease), kWriteTimeout,
                      [this](const ClientReply& reply) {
                        const StoreAck ack = m_codec.ReadWrite(reply);
                        if (ack.status != StoreStatus::kOk) {
                          OnWriteFailed(ack.status);
                          return;
                        }
                        if (!m_convictions.empty()) {
                          m_convictions.pop_back();
                        }
                        Step();
                      });
      });
}

void StoreSession::OnWriteFailed(StoreStatus status) {
  ++m_counters.failures;
  if (status == StoreStatus::kNoLease) {
    m_lease = 0;
    m_written = false;
  }
  m_observer.OnRegistration(status);
  StepAfter(m_write_backoff.OnFailure(m_random));
}

Duration StoreSession::RenewPause() const noexcept {
  return m_lease_life / kRenewalsInLife;
}

void StoreSession::CheckOwnRecord() {
  // The store may drop the record while its lease still seems to hold; other
  // hosts would send no callers here until it is written again.
  if (!m_record || !m_written) {
    return;
  }
  if (m_knowledge.FindHost(m_record->name) != nullptr) {
    m_seen = true;
    return;
  }
  if (!m_seen) {
    return;
  }
  m_seen = false;
  m_lease = 0;
  m_written = false;
  if (!m_writes.busy()) {
    StepAfter(Duration::zero());
  }
}

}  // namespace jacinthdeck
