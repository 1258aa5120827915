// Writes to the store: the records of this host and its members, and the
// fingerprints of crashing requests.
#include <algorithm>
#include <utility>

#include "jacinthdeck/discovery/store_session.h"

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kWriteTimeout = milliseconds(1200);
//! Renewals within the duration of a lease: two may be lost before it expires.
constexpr int kRenewalsPerLease = 3;
//! Minimum time between two writes for members: members arrive in bursts, and
//! each write costs a call.
constexpr Duration kMemberWriteInterval = milliseconds(300);
//! Lease of the key that reports a suspect request.
constexpr Duration kSuspectLeaseDuration = seconds(60);
//! Minimum time between two writes of suspect requests. Targets that end, or
//! lose answers, make many requests suspect, and each write costs two calls.
constexpr Duration kSuspectWriteInterval = milliseconds(300);
//! Limit of crashing requests of a kind that wait to be written; all of them
//! are written with one call.
constexpr std::size_t kMaxPendingMarks = 16;

}  // namespace

void StoreSession::Register(const HostRecord& record) {
  m_record = record;
  m_record_written = false;
  ScheduleWriteStep(Duration::zero());
}

void StoreSession::DelegateRecord() {
  m_record.reset();
  m_lease = 0;
  m_record_written = false;
}

void StoreSession::Unregister() {
  m_record.reset();
  m_removal_due = true;
  m_members_share_lease = !m_members.empty();
  m_writes.Abort();
  ScheduleWriteStep(Duration::zero());
}

void StoreSession::AddMember(const std::string& value) {
  auto read = Capture([&] { return m_codec.ReadHost(value); });
  if (auto* error = std::get_if<Error>(&read)) {
    DiscoveryChange change;
    change.unreadable.push_back(std::move(*error));
    Notify(change);
    return;
  }
  m_members.OnMember(std::get<0>(std::move(read)));
}

void StoreSession::RemoveMember(const HostId& name) {
  m_members.OnMemberLeft(name);
}

void StoreSession::ShareSuspect(Fingerprint fingerprint,
                                const ServiceId& service) {
  if (m_suspects.size() < kMaxPendingMarks) {
    m_suspects.emplace(m_codec.SuspectKey(fingerprint), service.raw());
  }
  if (!m_writes.busy()) {
    ScheduleWriteStep(Duration::zero());
  }
}

void StoreSession::ShareQuarantine(Fingerprint fingerprint,
                                   const ServiceId& service,
                                   Duration lifetime) {
  if (m_quarantines.size() < kMaxPendingMarks) {
    m_quarantine_lease = m_quarantines.empty()
                             ? lifetime
                             : std::max(m_quarantine_lease, lifetime);
    m_quarantines.emplace(m_codec.QuarantineKey(fingerprint), service.raw());
  }
  if (!m_writes.busy()) {
    ScheduleWriteStep(Duration::zero());
  }
}

void StoreSession::ScheduleWriteStep(Duration pause) {
  m_write_timer.Start(pause, [this] {
    if (!m_writes.busy()) {
      RunWriteStep();
    }
  });
}

void StoreSession::RunWriteStep() {
  if (m_removal_due) {
    if (m_lease != 0 && !m_members_share_lease) {
      EndLease();
    } else {
      RemoveRecord();
    }
  } else if (!m_record) {
    if (!WriteDueMarks() && !m_suspects.empty()) {
      ScheduleWriteStep(m_next_suspect_write - m_clock.Now());
    }
  } else if (m_lease == 0) {
    GrantLease();
  } else if (!m_record_written) {
    PutRecord();
  } else if (WriteDueMarks()) {
    return;
  } else if (m_clock.Now() >= m_renew_at) {
    RenewLease();
  } else {
    const TimePoint next = m_suspects.empty()
                               ? m_renew_at
                               : std::min(m_renew_at, m_next_suspect_write);
    ScheduleWriteStep(next - m_clock.Now());
  }
}

void StoreSession::Send(const ClientRequest& request,
                        std::optional<StoreStatus> accepted,
                        std::function<void(const StoreAck&)> done) {
  m_writes.Call(
      request, kWriteTimeout,
      [this, accepted, done = std::move(done)](const ClientReply& reply) {
        const StoreAck ack = m_codec.ReadWriteReply(reply, m_era);
        const EraOrder order = ObserveEra(ack.position.era);
        if (order == EraOrder::kNew) {
          // ObserveEra() has scheduled a step that begins with a new lease.
          RestartRead();
          return;
        }
        if (order == EraOrder::kEnded) {
          OnWriteFailed(StoreStatus::kOutdated);
          return;
        }
        if (ack.status != StoreStatus::kOk && ack.status != accepted) {
          OnWriteFailed(ack.status);
          return;
        }
        m_last_write = m_clock.Now();
        done(ack);
      });
}

void StoreSession::GrantLease() {
  ++m_counters.writes;
  Send(m_codec.GrantCall(m_lease_duration), {}, [this](const StoreAck& ack) {
    if (ack.lease == 0) {
      OnWriteFailed(ack.status);
      return;
    }
    m_lease = ack.lease;
    m_record_written = false;
    m_members.OnLeaseLost();
    m_renew_at = m_clock.Now() + RenewInterval();
    RunWriteStep();
  });
}

void StoreSession::PutRecord() {
  ++m_counters.writes;
  m_record->writer = m_name;
  StoreWrite write;
  write.puts.push_back(
      {m_codec.HostKey(m_name), m_codec.WriteHost(*m_record), m_lease});
  Send(m_codec.WriteCall(write), {}, [this](const StoreAck& ack) {
    m_record_written = true;
    m_record_position = ack.position;
    m_write_backoff.OnSuccess();
    m_observer.OnRegistration(StoreStatus::kOk);
    RunWriteStep();
  });
}

void StoreSession::RenewLease() {
  ++m_counters.renewals;
  Send(m_codec.RenewCall(m_lease), {}, [this](const StoreAck&) {
    m_write_backoff.OnSuccess();
    m_renew_at = m_clock.Now() + RenewInterval();
    RunWriteStep();
  });
}

void StoreSession::EndLease() {
  ++m_counters.writes;
  Send(m_codec.EndCall(m_lease), StoreStatus::kNoLease,
       [this](const StoreAck&) {
         m_lease = 0;
         m_removal_due = false;
       });
}

//! Removes only the own record and leaves the lease to expire: the members'
//! records stay until then, and by then the members have found another feeder,
//! so none of them is ever missing from the store.
void StoreSession::RemoveRecord() {
  ++m_counters.writes;
  StoreWrite write;
  write.removals.push_back(m_codec.HostKey(m_name));
  Send(m_codec.WriteCall(write), {},
       [this](const StoreAck&) { m_removal_due = false; });
}

void StoreSession::WriteMembers() {
  const MemberWrite due = m_members.NextWrite(m_clock.Now());
  if (due.empty()) {
    return;
  }
  StoreWrite write;
  for (const HostRecord& put : due.puts) {
    write.puts.push_back(
        {m_codec.HostKey(put.name), m_codec.WriteHost(put), m_lease});
  }
  for (const StoredRecord& removal : due.removals) {
    const std::string key = m_codec.HostKey(removal.record.name);
    write.conditions.push_back({key, removal.position.revision});
    write.removals.push_back(key);
  }
  ++m_counters.writes;
  Send(m_codec.WriteCall(write), StoreStatus::kConflict,
       [this, due](const StoreAck& ack) {
         m_members.OnWritten(due,
                             ack.status == StoreStatus::kOk
                                 ? MemberWriteResult::kDone
                                 : MemberWriteResult::kConflict,
                             ack.position);
         m_write_backoff.OnSuccess();
         RunWriteStep();
       });
}

bool StoreSession::WriteDueMarks() {
  if (!m_quarantines.empty()) {
    WriteMarks(m_quarantines, m_quarantine_lease);
    return true;
  }
  const TimePoint now = m_clock.Now();
  if (m_suspects.empty() || now < m_next_suspect_write) {
    return false;
  }
  m_next_suspect_write = now + kSuspectWriteInterval;
  WriteMarks(m_suspects, kSuspectLeaseDuration);
  return true;
}

void StoreSession::WriteMarks(Marks& marks, Duration lease_duration) {
  ++m_counters.writes;
  Send(m_codec.GrantCall(lease_duration), {},
       [this, &marks](const StoreAck& lease) {
         ++m_counters.writes;
         StoreWrite write;
         for (const auto& [key, value] : marks) {
           write.puts.push_back({key, value, lease.lease});
         }
         // Those that are shared while this call runs wait for the next one.
         Send(m_codec.WriteCall(write), {},
              [this, &marks, written = marks](const StoreAck&) {
                for (const auto& [key, value] : written) {
                  marks.erase(key);
                }
                RunWriteStep();
              });
       });
}

void StoreSession::OnWriteFailed(StoreStatus status) {
  ++m_counters.failures;
  if (status == StoreStatus::kNoLease) {
    m_lease = 0;
    m_record_written = false;
    m_members.OnLeaseLost();
  }
  m_observer.OnRegistration(status);
  const Duration pause = m_write_backoff.OnFailure(m_random);
  m_next_member_write = m_clock.Now() + pause;
  ScheduleWriteStep(pause);
}

Duration StoreSession::RenewInterval() const noexcept {
  return m_lease_duration / kRenewalsPerLease;
}

void StoreSession::CheckOwnRecord() {
  if (!m_record || !m_record_written || m_position < m_record_position) {
    return;
  }
  const HostRecord* stored = m_discovery_state.FindHost(m_name);
  if (stored != nullptr && stored->writer == m_name) {
    return;
  }
  m_record_written = false;
  if (stored == nullptr) {
    // The store may drop the record although its lease still seems valid. Other
    // hosts would direct no callers here until it is written again.
    m_lease = 0;
    m_members.OnLeaseLost();
  }
  // Otherwise a late write of a former feeder has replaced the record, and that
  // feeder would remove it as orphaned.
  if (!m_writes.busy()) {
    ScheduleWriteStep(Duration::zero());
  }
}

void StoreSession::CompareMembers() {
  if (!m_record) {
    return;
  }
  std::vector<StoredRecord> stored;
  for (HostRecord& host : m_discovery_state.Hosts()) {
    const StorePosition position =
        m_content.PositionOf(m_codec.HostKey(host.name));
    stored.push_back({std::move(host), position});
  }
  m_members.OnHosts(stored, m_position, m_clock.Now());
}

void StoreSession::WriteDueMembers() {
  // Conditions on revisions of an ended era could match unrelated writes of the
  // present one.
  const bool can_write = m_record && m_record_written && m_lease != 0 &&
                         !IsInEndedEra() && !m_writes.busy();
  if (!can_write || m_clock.Now() < m_next_member_write) {
    return;
  }
  m_next_member_write = m_clock.Now() + kMemberWriteInterval;
  WriteMembers();
}

}  // namespace jacinthdeck
