// Client of the store: keeps a host's discovery state up to date and writes the
// host's record.
#ifndef JACINTHDECK_DISCOVERY_STORE_SESSION_H_
#define JACINTHDECK_DISCOVERY_STORE_SESSION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "jacinthdeck/core/backoff.h"
#include "jacinthdeck/core/clock.h"
#include "jacinthdeck/core/endpoint.h"
#include "jacinthdeck/core/random.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/discovery/discovery_times.h"
#include "jacinthdeck/discovery/host_record.h"
#include "jacinthdeck/discovery/knowledge.h"
#include "jacinthdeck/discovery/knowledge_observer.h"
#include "jacinthdeck/discovery/member_records.h"
#include "jacinthdeck/discovery/platform_codec.h"
#include "jacinthdeck/discovery/store_content.h"
#include "jacinthdeck/http/asio.h"
#include "jacinthdeck/http/client_session.h"
#include "jacinthdeck/http/loop_timer.h"

namespace jacinthdeck {

/*! \brief Number of calls to the store since the start, by kind. */
struct StoreCounters {
  std::uint64_t reads = 0;
  std::uint64_t watches = 0;
  std::uint64_t renewals = 0;
  std::uint64_t writes = 0;
  std::uint64_t failures = 0;
};

/**
 * \brief Reads all keys once and then watches them; writes this host's record
 * and renews its lease.
 *
 * Every call has a cost, so one watch covers all keys, and after a change the
 * next watch is delayed to batch further changes. Each call has its own
 * timeout, since a connection may stop delivering data without being closed.
 */
class StoreSession {
 public:
  StoreSession(asio::io_context& loop,
               const Clock& clock,
               const PlatformCodec& codec,
               DiscoveryObserver& observer,
               HostId name,
               const Endpoint& store,
               std::uint64_t seed,
               const DiscoveryTimes& times =
                   DiscoveryTimes::ForBound(DiscoveryTimes::kDefaultBound));
  StoreSession(const StoreSession&) = delete;
  StoreSession& operator=(const StoreSession&) = delete;

  [[nodiscard]] const DiscoveryState& discovery_state() const noexcept {
    return m_discovery_state;
  }
  [[nodiscard]] const StoreCounters& counters() const noexcept {
    return m_counters;
  }
  /*! \brief Position up to which the content is known. */
  [[nodiscard]] const StorePosition& position() const noexcept {
    return m_position;
  }
  /*! \brief Moment at which content of the present era was first applied. */
  [[nodiscard]] std::optional<TimePoint> era_since() const noexcept {
    return m_era_since;
  }
  /*! \brief Newest era of the store that was observed. */
  [[nodiscard]] StoreEra era() const noexcept { return m_era; }
  /*! \brief Tells whether the content has been of an ended era for longer than
   * a feeder needs to send that of the new one. */
  [[nodiscard]] bool IsNewEraOverdue() const;
  /*! \brief Tells whether full content was applied at least once. */
  [[nodiscard]] bool loaded() const noexcept { return m_loaded; }
  /*! \brief Moment of the last successful call to the store, by this host or
   * one that it follows; nothing before the first. */
  [[nodiscard]] std::optional<TimePoint> last_contact() const noexcept {
    return m_last_contact;
  }

  /*! \brief Starts or stops watching the store; the known content stays. */
  void SetWatching(bool watching);

  /*! \brief Applies content that another host sent. Single changes are ignored
   * unless full content of their era is known.
   * \param whole The changes list every key of the store. */
  void ApplyPeerContent(const std::vector<StoreChange>& changes,
                        const StorePosition& position,
                        bool whole);

  /**
   * \brief Returns the content that another host lacks.
   * \param position Position up to which it knows all changes; revision 0 if it
   * knows nothing.
   */
  [[nodiscard]] ContentUpdate UpdateSince(const StorePosition& position) const;

  /*! \brief Applies the age of another host's content.
   * \param age Time since the last successful call to the store; nothing if
   * there was none.
   * \param store_away The other host considers the store unavailable.
   * \param available_for Time for which the store has been available, as far
   * as the other host knows; nothing if it does not know. */
  void ApplyPeerAge(std::optional<Duration> age,
                    bool store_away,
                    std::optional<Duration> available_for);

  /*! \brief Sets how long this host's record may outlive the host. */
  void SetLeaseDuration(Duration life) noexcept { m_lease_duration = life; }

  /*! \brief Writes this host's record and keeps it in the store from now on. */
  void Register(const HostRecord& record);

  /*! \brief Leaves the writing of this host's record to another host. The own
   * lease is left to expire, which costs no call. */
  void DelegateRecord();

  /*! \brief Removes this host's record from the store, whoever wrote it. */
  void Unregister();

  /*! \brief Writes a member's record from now on, with this host's lease.
   * \param value Encoded record; one that cannot be decoded is reported to the
   * observer and ignored. */
  void AddMember(const std::string& value);

  /*! \brief Stops writing a member's record. */
  void RemoveMember(const HostId& name);

  /*! \brief Encodes a record as the store holds it. */
  [[nodiscard]] std::string EncodeRecord(const HostRecord& record) const {
    return m_codec.WriteHost(record);
  }

  /*! \brief Informs the other hosts, through the store, that a target of a
   * service ended under a request. */
  void ShareSuspect(Fingerprint fingerprint, const ServiceId& service);

  /*! \brief Informs the other hosts, through the store, that a request crashes
   * its targets; those that start later as well, for a given time. */
  void ShareQuarantine(Fingerprint fingerprint,
                       const ServiceId& service,
                       Duration lifetime);

  /*! \brief Applies due removals and writes due member records; called a few
   * times a second. */
  void ProcessTimers();

 private:
  //! Keys of crashing requests and their values.
  using Marks = std::map<std::string, std::string>;

  //! The era of a reply compared with the newest one that was observed before.
  enum class EraOrder { kCurrent, kNew, kEnded };

  // Reading and watching, in store_session.cc.
  void StartFullRead();
  void ReadPage();
  void OnPage(const StorePage& page);
  void NotifyFullRead();
  void Watch();
  void OnBatch(const WatchBatch& batch);
  //! Asks the store for its revision after a watch that timed out.
  void OnWatchTimedOut();
  void OnRevisionPage(const StorePage& page);
  void WatchAfter(Duration pause);
  void OnCallSucceeded();
  void OnFailure(StoreStatus status, const std::string& problem);
  //! Delays removals, unless another host reached the store just now.
  void HoldRemovals();
  void Resume();
  //! Restarts the read or watch in progress.
  void RestartRead();
  [[nodiscard]] bool IsInEndedEra() const noexcept {
    return m_position.era < m_era;
  }
  //! Compares an era with the newest one. A newer era invalidates this host's
  //! lease.
  [[nodiscard]] EraOrder ObserveEra(StoreEra era);
  void ApplyContent(const std::vector<StoreChange>& changes,
                    const StorePosition& position,
                    bool whole);
  //! Applies changes of an earlier era that another host sent.
  void ApplyCarriedOver(const std::vector<StoreChange>& changes);
  void NotifyUnreadable(const std::vector<Error>& unreadable);
  void Notify(const DiscoveryChange& change);

  // Writing, in store_session_writes.cc.
  void RunWriteStep();
  void ScheduleWriteStep(Duration pause);
  //! Sends a write request. One that ends neither with kOk nor with the
  //! accepted status is reported to the observer, and the next write step is
  //! delayed.
  void Send(const ClientRequest& request,
            std::optional<StoreStatus> accepted,
            std::function<void(const StoreAck&)> done);
  void GrantLease();
  void PutRecord();
  void RenewLease();
  void EndLease();
  void RemoveRecord();
  void WriteMembers();
  //! Writes the crashing requests that wait; returns false if there are none.
  [[nodiscard]] bool WriteDueMarks();
  void WriteMarks(Marks& marks, Duration lease_duration);
  void OnWriteFailed(StoreStatus status);
  void CheckOwnRecord();
  void CompareMembers();
  void WriteDueMembers();
  [[nodiscard]] Duration RenewInterval() const noexcept;

  const Clock& m_clock;
  const PlatformCodec& m_codec;
  DiscoveryObserver& m_observer;
  Random m_random;
  const DiscoveryTimes m_times;
  DiscoveryState m_discovery_state;
  StoreContent m_content;
  StoreCounters m_counters;

  ClientSession m_reads;
  LoopTimer m_read_timer;
  Backoff m_read_backoff;
  //! Full content was applied, from the store or from another host.
  bool m_loaded = false;
  //! A watch cannot continue at m_position: the store compacted the history
  //! after it, or the reply cannot be read.
  bool m_needs_full_read = false;
  bool m_watching = false;
  bool m_store_lost = false;
  //! Number of watches in a row that timed out, with no other failed call
  //! between them.
  int m_watch_timeouts = 0;
  StoreEra m_era{};
  //! When content of the present era was first applied.
  std::optional<TimePoint> m_era_since;
  //! Since when the content is of an ended era; nothing while it is not.
  std::optional<TimePoint> m_ended_era_since;
  //! Position up to which the content is known and the next watch continues.
  StorePosition m_position;
  std::optional<TimePoint> m_last_contact;
  //! When a write or a renewal of this host last succeeded.
  std::optional<TimePoint> m_last_write;
  //! When a followed host last had a successful call to the store.
  std::optional<TimePoint> m_peer_contact;
  //! Items of the full read in progress.
  std::vector<StoreChange> m_pages;
  //! Position of its first page.
  std::optional<StorePosition> m_pages_position;

  ClientSession m_writes;
  LoopTimer m_write_timer;
  Backoff m_write_backoff;
  const HostId m_name;
  //! This host's record as it should be stored; nothing while this host does
  //! not write it.
  std::optional<HostRecord> m_record;
  //! The record must be removed from the store.
  bool m_removal_due = false;
  //! Records of members were written with the lease when the removal began.
  bool m_members_share_lease = false;
  MemberRecords m_members;
  //! Earliest moment of the next write for members.
  TimePoint m_next_member_write;
  Duration m_lease_duration = std::chrono::milliseconds(3500);
  //! 0 while there is no lease.
  std::uint64_t m_lease = 0;
  bool m_record_written = false;
  //! Position of the record's last write: its absence from older content means
  //! nothing.
  StorePosition m_record_position;
  TimePoint m_renew_at;
  //! Keys that are still to be written for ShareSuspect() and
  //! ShareQuarantine().
  Marks m_suspects;
  //! Earliest moment of the next write of suspects.
  TimePoint m_next_suspect_write;
  Marks m_quarantines;
  //! Longest lifetime of those in m_quarantines.
  Duration m_quarantine_lease{};
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_DISCOVERY_STORE_SESSION_H_
