// Keeps a host's knowledge up to date with the store, and its own record in it.
#ifndef JACINTHDECK_DISCOVERY_STORE_SESSION_H_
#define JACINTHDECK_DISCOVERY_STORE_SESSION_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "jacinthdeck/core/backoff.h"
#include "jacinthdeck/core/clock.h"
#include "jacinthdeck/core/endpoint.h"
#include "jacinthdeck/core/random.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/discovery/host_record.h"
#include "jacinthdeck/discovery/knowledge.h"
#include "jacinthdeck/discovery/knowledge_observer.h"
#include "jacinthdeck/discovery/member_records.h"
#include "jacinthdeck/discovery/platform_codec.h"
#include "jacinthdeck/discovery/store_content.h"
#include "jacinthdeck/http/asio.h"
#include "jacinthdeck/http/client_session.h"

namespace jacinthdeck {

/*! \brief Counts of the store's calls since the start. */
struct StoreCounters {
  std::uint64_t reads = 0;
  std::uint64_t watches = 0;
  std::uint64_t renewals = 0;
  std::uint64_t writes = 0;
  std::uint64_t failures = 0;
};

/**
 * \brief Reads all keys once, then watches; holds a lease with this host's
 * record.
 *
 * Every call is paid for, so one watch covers all keys, and after a change the
 * next watch waits a moment to take further changes along. Each call has its
 * own timeout: a connection may go silent without an end.
 */
class StoreSession {
 public:
  StoreSession(asio::io_context& loop,
               const Clock& clock,
               const PlatformCodec& codec,
               DiscoveryObserver& observer,
               NodeId name,
               const Endpoint& store,
               std::uint64_t seed);
  StoreSession(const StoreSession&) = delete;
  StoreSession& operator=(const StoreSession&) = delete;

  [[nodiscard]] const DiscoveryState& discovery_state() const noexcept {
    return m_discovery_state;
  }
  [[nodiscard]] const StoreCounters& counters() const noexcept {
    return m_counters;
  }
  /*! \brief Up to where the content is known. */
  [[nodiscard]] const StorePosition& position() const noexcept {
    return m_position;
  }
  /*! \brief Moment at which content of the present era was first taken. */
  [[nodiscard]] std::optional<TimePoint> era_since() const noexcept {
    return m_era_since;
  }
  /*! \brief Newest era of the store that was heard of. */
  [[nodiscard]] StoreEra era() const noexcept { return m_era; }
  /*! \brief Tells whether the content has been of an ended era for longer than
   * another host takes to hand on that of the present one. */
  [[nodiscard]] bool IsNewEraOverdue() const;
  /*! \brief Tells whether the whole content was taken once. */
  [[nodiscard]] bool loaded() const noexcept { return m_loaded; }
  /*! \brief Moment of the last call that went well; nothing before the first.
   */
  [[nodiscard]] std::optional<TimePoint> last_contact() const noexcept {
    return m_last_contact;
  }

  /*! \brief Begins to watch the store, or ends it; what is known stays. */
  void SetWatching(bool watching);

  /*! \brief Takes content that another host handed on. */
  void ApplyPeerContent(const std::vector<StoreChange>& changes,
                        const StorePosition& position,
                        bool whole);

  /**
   * \brief Gives what another host lacks.
   * \param position Up to which it knows all; revision 0 if it knows nothing.
   */
  [[nodiscard]] ContentUpdate UpdateSince(const StorePosition& position) const;

  /*! \brief Takes another host's word on how old that content is; nothing: it
   * never heard the store. */
  void ApplyPeerAge(std::optional<Duration> age, bool store_away);

  /*! \brief Says how long this host's record may outlive it. */
  void SetLeaseDuration(Duration life) noexcept { m_lease_duration = life; }

  /*! \brief Keeps this host's record in the store from now on. */
  void Register(const HostRecord& record);

  /*! \brief Another host writes this one's record from now on: the own lease
   * is left to end by itself, which costs no call. */
  void DelegateRecord();

  /*! \brief Takes this host's record out of the store, whoever wrote it. */
  void Unregister();

  /*! \brief Writes another host's record from now on, with this host's lease.
   * \param value As the store holds records; what cannot be read is told and
   * left out. */
  void AddMember(const std::string& value);

  /*! \brief Ends that. */
  void RemoveMember(const NodeId& name);

  /*! \brief A record as the store holds it. */
  [[nodiscard]] std::string ValueOf(const HostRecord& record) const {
    return m_codec.WriteHost(record);
  }

  /*! \brief Writes that a request crashes its targets. */
  void ShareConviction(Fingerprint fingerprint);

  /*! \brief Lets held removals count; called a few times a second. */
  void CheckTimes();

 private:
  //! How the era of a reply stands to the newest one that was heard of.
  enum class EraOrder { kCurrent, kNew, kEnded };

  // Reading, in store_session.cc.
  void StartFullRead();
  void ReadPage();
  void OnPage(const StorePage& page);
  void NotifyFullRead();
  void Watch();
  void OnBatch(const WatchBatch& batch);
  void WatchAfter(Duration pause);
  void OnCallSucceeded();
  void OnFailure(StoreStatus status, const std::string& problem);
  void Resume();
  //! Begins the reading or watch under way anew.
  void RestartRead();
  [[nodiscard]] bool IsInEndedEra() const noexcept {
    return m_position.era < m_era;
  }
  //! Hears of an era; one that is new ends this host's lease.
  [[nodiscard]] EraOrder ObserveEra(StoreEra era);
  void ApplyContent(const std::vector<StoreChange>& changes,
                    const StorePosition& position,
                    bool whole);
  //! Takes what another host carries over from an era before.
  void ApplyCarriedOver(const std::vector<StoreChange>& changes);
  void Notify(const DiscoveryChange& change);

  // Writing, in store_session_writes.cc.
  void RunWriteStep();
  void ScheduleWriteStep(Duration pause);
  //! Makes a call of a write; one that ends neither well nor as accepted is
  //! told and tried again later.
  void Send(const ClientRequest& request,
            std::optional<StoreStatus> accepted,
            std::function<void(const StoreAck&)> done);
  void GrantLease();
  void PutRecord();
  void RenewLease();
  void EndLease();
  void RemoveRecord();
  void WriteMembers();
  void WriteConviction();
  void OnWriteFailed(StoreStatus status);
  void CheckOwnRecord();
  void CompareMembers();
  void WriteDueMembers();
  [[nodiscard]] Duration RenewInterval() const noexcept;

  const Clock& m_clock;
  const PlatformCodec& m_codec;
  DiscoveryObserver& m_observer;
  Random m_random;
  DiscoveryState m_discovery_state;
  StoreContent m_content;
  StoreCounters m_counters;

  ClientSession m_reads;
  asio::steady_timer m_read_timer;
  Backoff m_read_backoff;
  //! Everything was read once, here or by a host that handed it on.
  bool m_loaded = false;
  //! The store forgot the history after m_position: a watch cannot go on there.
  bool m_needs_full_read = false;
  bool m_watching = false;
  bool m_store_lost = false;
  StoreEra m_era{};
  //! Since when the content is of its era.
  std::optional<TimePoint> m_era_since;
  //! Since when the content is of an ended era; nothing while it is not.
  std::optional<TimePoint> m_ended_era_since;
  //! Where the next watch goes on.
  StorePosition m_position;
  std::optional<TimePoint> m_last_contact;
  //! When a host that is followed last heard the store.
  std::optional<TimePoint> m_peer_contact;
  //! The reading under way.
  std::vector<StoreChange> m_pages;
  //! Of its first page.
  std::optional<StorePosition> m_pages_position;

  ClientSession m_writes;
  asio::steady_timer m_write_timer;
  Backoff m_write_backoff;
  const NodeId m_name;
  //! This host's record as it should stand; nothing while it should not, or is
  //! another host's to write.
  std::optional<HostRecord> m_record;
  //! The record is to be taken out of the store.
  bool m_removal_due = false;
  MemberRecords m_members;
  //! When they are looked at next.
  TimePoint m_next_member_write;
  Duration m_lease_duration = std::chrono::milliseconds(3500);
  //! 0 while there is no lease.
  std::uint64_t m_lease = 0;
  bool m_record_written = false;
  //! Of the record's last write: content that is older cannot miss it.
  StorePosition m_record_position;
  TimePoint m_renew_at;
  std::vector<Fingerprint> m_convictions;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_DISCOVERY_STORE_SESSION_H_
