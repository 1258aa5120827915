// Reading and watching the store, and content of other hosts.
#include "jacinthdeck/discovery/store_session.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

//! Timeout of a call that the store answers at once; a slow store takes up to a
//! few hundred milliseconds.
constexpr Duration kCallTimeout = milliseconds(1500);
//! Delay of the next watch after a change: registrations arrive in bursts, and
//! each batch costs a call.
constexpr Duration kBatchDelay = milliseconds(200);
//! A successful call of another host within this time proves that the store is
//! not unavailable for all hosts. It is shorter than the time in which a call
//! of this host detects that the store stopped answering.
constexpr Duration kRecentContact = milliseconds(800);
//! A write of this host within this time proves the same. It exceeds the
//! interval of the renewals; a shorter outage lets no lease expire.
constexpr Duration kRecentWrite = milliseconds(1300);
//! Maximum random delay before a host repeats the writes that a restore lost,
//! so that the hosts do not write at once.
constexpr Duration kMaxRewriteDelay = milliseconds(400);
//! Time within which feeders learn of a new era, with their next renewal or
//! watch, and send its content to their followers.
constexpr Duration kNewEraTimeout = milliseconds(1500);
//! Watches in a row that time out, while the store answers other calls with a
//! newer revision, before the content is read in pages instead. The first one
//! may have timed out in an outage that has just ended; if one sufficed, all
//! watchers would then read the whole content.
constexpr int kMaxWatchTimeouts = 2;
//! Maximum random delay of that read: a reply that is too large for one watcher
//! mostly is for all of them.
constexpr Duration kMaxPagesDelay = milliseconds(800);
//! Follows all keys, so that a page after it is small.
constexpr const char* kAfterAllKeys = "\x7f";
//! Limits of the delay after a failed read or watch.
constexpr Duration kMinBackoff = milliseconds(100);
constexpr Duration kMaxBackoff = milliseconds(800);

}  // namespace

StoreSession::StoreSession(asio::io_context& loop,
                           const Clock& clock,
                           const PlatformCodec& codec,
                           DiscoveryObserver& observer,
                           HostId name,
                           const Endpoint& store,
                           std::uint64_t seed,
                           const DiscoveryTimes& times)
    : m_clock(clock),
      m_codec(codec),
      m_observer(observer),
      m_random(seed),
      m_times(times),
      m_discovery_state(codec),
      m_reads(loop, store.address, store.port),
      m_read_timer(loop),
      m_read_backoff(kMinBackoff, kMaxBackoff),
      m_writes(loop, store.address, store.port),
      m_write_timer(loop),
      m_write_backoff(kMinBackoff, seconds(1)),
      m_name(std::move(name)),
      m_members(m_name) {}

void StoreSession::SetWatching(bool watching) {
  if (watching == m_watching) {
    return;
  }
  m_watching = watching;
  m_read_timer.Cancel();
  m_reads.Abort();
  if (watching) {
    Resume();
  }
}

void StoreSession::ApplyPeerContent(const std::vector<StoreChange>& changes,
                                    const StorePosition& position,
                                    bool whole) {
  // Single changes are useless to a host without full content of their era, and
  // a lagging feeder may send content of an ended era.
  const bool applies = m_loaded && position.era == m_position.era;
  const bool begins = whole && (!m_loaded || position.era > m_position.era);
  (void)ObserveEra(position.era);
  if (!applies && !begins) {
    return;
  }
  std::vector<StoreChange> content;
  std::vector<StoreChange> carried_over;
  std::ranges::partition_copy(changes, std::back_inserter(content),
                              std::back_inserter(carried_over),
                              [&](const StoreChange& change) {
                                return change.position.era == position.era;
                              });
  const bool restored = m_loaded && begins;
  m_loaded = true;
  ApplyContent(content, position, whole);
  ApplyCarriedOver(carried_over);
  if (restored) {
    m_needs_full_read = false;
    RestartRead();
  }
}

void StoreSession::ApplyCarriedOver(const std::vector<StoreChange>& changes) {
  const DiscoveryChange change = m_discovery_state.OnCarriedOver(changes);
  if (change.config) {
    m_observer.OnContent(changes, m_position, false);
  }
  Notify(change);
}

ContentUpdate StoreSession::UpdateSince(const StorePosition& position) const {
  ContentUpdate update{m_position, true, {}};
  auto since =
      position.revision > 0 ? m_content.ChangesSince(position) : std::nullopt;
  update.whole = !since.has_value();
  update.changes = since ? std::move(*since) : m_content.Items();
  if (auto config = m_discovery_state.CarriedOverConfig()) {
    update.changes.push_back(std::move(*config));
  }
  return update;
}

bool StoreSession::IsNewEraOverdue() const {
  return m_ended_era_since &&
         m_clock.Now() - *m_ended_era_since >= kNewEraTimeout;
}

StoreSession::EraOrder StoreSession::ObserveEra(StoreEra era) {
  if (era <= m_era) {
    return era == m_era ? EraOrder::kCurrent : EraOrder::kEnded;
  }
  const StoreEra before = std::exchange(m_era, era);
  if (before == StoreEra{} && !m_loaded) {
    return EraOrder::kCurrent;
  }
  m_ended_era_since = m_clock.Now();
  m_observer.OnStoreRestored(before, era, m_position);
  // The restored store may not know the lease, or may have granted its id to
  // another host.
  m_lease = 0;
  m_record_written = false;
  m_members.OnLeaseLost();
  const auto bound = static_cast<std::uint64_t>(kMaxRewriteDelay.count());
  ScheduleWriteStep(
      Duration(static_cast<Duration::rep>(m_random.Below(bound))));
  return EraOrder::kNew;
}

void StoreSession::RestartRead() {
  if (!m_watching) {
    return;
  }
  m_read_timer.Cancel();
  m_reads.Abort();
  Resume();
}

void StoreSession::ApplyPeerAge(std::optional<Duration> age,
                                bool store_away,
                                std::optional<Duration> available_for) {
  const TimePoint now = m_clock.Now();
  if (age) {
    const TimePoint contact_at = now - *age;
    m_last_contact = std::max(m_last_contact.value_or(contact_at), contact_at);
    m_peer_contact = contact_at;
  }
  // A store that rejects the feeder may serve this host.
  const bool written_by_self =
      m_last_write && now - *m_last_write < kRecentWrite;
  const bool reached_by_self =
      written_by_self ||
      (m_watching && m_loaded && !m_store_lost && m_watch_timeouts == 0);
  const bool is_current = age && *age <= m_times.max_content_age;
  if (store_away) {
    if (!reached_by_self) {
      m_discovery_state.OnStoreAway();
    }
  } else if (is_current && available_for) {
    Notify(m_discovery_state.OnStoreAvailable(now - *available_for, now));
  } else if (m_discovery_state.store_away()) {
    Notify(m_discovery_state.OnChanges({}, now));
  }
}

void StoreSession::Resume() {
  m_watch_timeouts = 0;
  if (m_loaded && !m_needs_full_read && !IsInEndedEra()) {
    Watch();
  } else {
    StartFullRead();
  }
}

void StoreSession::ApplyContent(const std::vector<StoreChange>& changes,
                                const StorePosition& position,
                                bool whole) {
  const TimePoint now = m_clock.Now();
  const std::uint64_t changes_before = m_content.changes();
  const std::vector<StoreChange> valid_changes =
      whole ? m_content.Replace(changes, position) : m_content.Apply(changes);
  if (!m_era_since || position.era > m_position.era) {
    m_era_since = now;
  }
  m_position = std::max(m_position, position);
  if (!IsInEndedEra()) {
    m_ended_era_since.reset();
  } else if (!m_ended_era_since) {
    m_ended_era_since = now;
  }
  const DiscoveryChange change =
      whole ? m_discovery_state.OnFullRead(valid_changes, position, now)
            : m_discovery_state.OnChanges(valid_changes, now);
  if (m_content.changes() == changes_before) {
    // Hosts that follow each other would exchange the same content endlessly.
  } else if (whole) {
    // A full read may be older than the known content. If it were forwarded
    // unchanged under the newer position, followers would drop live targets
    // permanently, so all known keys are sent instead.
    m_observer.OnContent(UpdateSince({}).changes, m_position, true);
  } else {
    m_observer.OnContent(valid_changes, m_position, false);
  }
  Notify(change);
}

void StoreSession::ProcessTimers() {
  const TimePoint now = m_clock.Now();
  const auto due = m_discovery_state.NextTimer();
  if (due && *due <= now) {
    Notify(m_discovery_state.OnTimer(now));
  }
  WriteDueMembers();
}

void StoreSession::StartFullRead() {
  m_pages.clear();
  m_pages_position.reset();
  ReadPage();
}

void StoreSession::ReadPage() {
  ++m_counters.reads;
  const std::string after = m_pages.empty() ? "" : m_pages.back().key;
  m_reads.Call(m_codec.RangeCall(after), kCallTimeout,
               [this](const ClientReply& reply) {
                 OnPage(m_codec.ReadPage(reply, m_era));
               });
}

void StoreSession::OnPage(const StorePage& page) {
  const EraOrder order = ObserveEra(page.position.era);
  if (page.status != StoreStatus::kOk) {
    OnFailure(page.status, page.problem);
    return;
  }
  if (order == EraOrder::kEnded) {
    OnFailure(StoreStatus::kOutdated, "page of an ended era");
    return;
  }
  if (m_pages_position && m_pages_position->era != page.position.era) {
    StartFullRead();
    return;
  }
  // The pages are not a consistent snapshot. The watch continues from the
  // position of the first one: it may return a change twice but misses none.
  if (!m_pages_position) {
    m_pages_position = page.position;
  }
  NotifyUnreadable(page.unreadable);
  if (page.has_more && page.items.empty()) {
    // Without a readable key there is no page after this one, and the keys that
    // were not read would count as removed.
    OnFailure(StoreStatus::kCorrupt, "page without a readable item");
    return;
  }
  m_pages.insert(m_pages.end(), page.items.begin(), page.items.end());
  if (page.has_more) {
    ReadPage();
    return;
  }
  OnCallSucceeded();
  NotifyFullRead();
  m_loaded = true;
  m_needs_full_read = false;
  ApplyContent(m_pages, *m_pages_position, true);
  m_pages.clear();
  WatchAfter(kBatchDelay);
}

void StoreSession::NotifyFullRead() {
  const auto outdated =
      std::ranges::count_if(m_pages, [&](const StoreChange& item) {
        return item.position < m_content.PositionOf(item.key);
      });
  m_observer.OnStoreRead({.position = *m_pages_position,
                          .known = m_position,
                          .items = m_pages.size(),
                          .outdated = static_cast<std::size_t>(outdated)});
}

void StoreSession::Watch() {
  ++m_counters.watches;
  m_reads.Call(m_codec.WatchCall(m_position.revision, m_times.watch_wait),
               m_times.watch_timeout(), [this](const ClientReply& reply) {
                 if (reply.response_timed_out) {
                   OnWatchTimedOut();
                 } else {
                   OnBatch(m_codec.ReadWatchReply(reply, m_era));
                 }
               });
}

// The store may be away, or may need longer than the timeout for a large reply.
// In the second case the same watch would time out each time, so the store is
// asked for a reply of bounded size.
void StoreSession::OnWatchTimedOut() {
  ++m_counters.failures;
  ++m_watch_timeouts;
  HoldRemovals();
  ++m_counters.reads;
  m_reads.Call(m_codec.RangeCall(kAfterAllKeys), kCallTimeout,
               [this](const ClientReply& reply) {
                 OnRevisionPage(m_codec.ReadPage(reply, m_era));
               });
}

void StoreSession::OnRevisionPage(const StorePage& page) {
  const EraOrder order = ObserveEra(page.position.era);
  if (page.status != StoreStatus::kOk) {
    OnFailure(page.status, page.problem);
    return;
  }
  if (order == EraOrder::kEnded) {
    OnFailure(StoreStatus::kOutdated, "page of an ended era");
    return;
  }
  if (IsInEndedEra()) {
    StartFullRead();
    return;
  }
  if (page.position <= m_position) {
    OnCallSucceeded();
    ApplyContent({}, m_position, false);
    Watch();
    return;
  }
  if (m_watch_timeouts < kMaxWatchTimeouts) {
    Watch();
    return;
  }
  NotifyUnreadable({{ErrorCode::kTooLarge, "watch",
                     "no reply in time, while other calls are answered"}});
  const auto bound = static_cast<std::uint64_t>(kMaxPagesDelay.count());
  m_read_timer.Start(
      Duration(static_cast<Duration::rep>(m_random.Below(bound))),
      [this] { StartFullRead(); });
}

void StoreSession::OnBatch(const WatchBatch& batch) {
  const EraOrder order = ObserveEra(batch.position.era);
  const bool answered = batch.status == StoreStatus::kOk ||
                        batch.status == StoreStatus::kCompacted ||
                        batch.status == StoreStatus::kTooLarge;
  if (answered && order == EraOrder::kEnded) {
    OnFailure(StoreStatus::kOutdated, "watch of an ended era");
    return;
  }
  if (answered && IsInEndedEra()) {
    // The watch asked for changes after a revision of the previous era, which
    // the present era has reused: earlier changes of the present era would be
    // missed.
    StartFullRead();
    return;
  }
  if (batch.status == StoreStatus::kCompacted) {
    // The known content stays valid, and changes from other hosts are still
    // applied. If m_loaded were cleared, a host that stopped watching during
    // the full read would ignore them and appear up to date with outdated
    // content.
    m_needs_full_read = true;
    StartFullRead();
    return;
  }
  if (batch.status == StoreStatus::kTooLarge) {
    // The same watch would meet the same reply again, while the pages of a
    // range are bounded.
    NotifyUnreadable({{ErrorCode::kTooLarge, "watch", batch.problem}});
    m_needs_full_read = true;
    StartFullRead();
    return;
  }
  if (batch.status != StoreStatus::kOk) {
    // After a corrupt reply as well, the same watch could meet it again.
    m_needs_full_read |= batch.status == StoreStatus::kCorrupt;
    OnFailure(batch.status, batch.problem);
    return;
  }
  OnCallSucceeded();
  NotifyUnreadable(batch.unreadable);
  ApplyContent(batch.changes, batch.position, false);
  WatchAfter(batch.changes.empty() ? Duration::zero() : kBatchDelay);
}

void StoreSession::WatchAfter(Duration pause) {
  if (pause == Duration::zero()) {
    Watch();
    return;
  }
  m_read_timer.Start(pause, [this] { Watch(); });
}

void StoreSession::OnCallSucceeded() {
  m_last_contact = m_clock.Now();
  m_watch_timeouts = 0;
  m_read_backoff.OnSuccess();
  if (m_store_lost) {
    m_store_lost = false;
    m_observer.OnStoreRegained();
  }
}

void StoreSession::OnFailure(StoreStatus status, const std::string& problem) {
  ++m_counters.failures;
  HoldRemovals();
  if (!m_store_lost) {
    m_store_lost = true;
    m_observer.OnStoreLost(status, problem);
  }
  m_read_timer.Start(m_read_backoff.OnFailure(m_random), [this] { Resume(); });
}

void StoreSession::HoldRemovals() {
  const bool reached_by_peer =
      m_peer_contact && m_clock.Now() - *m_peer_contact < kRecentContact;
  // If a store that refuses only this host were considered unavailable,
  // removals that other hosts report would be delayed, and targets that have
  // left would get requests.
  if (!reached_by_peer) {
    m_discovery_state.OnStoreAway();
  }
}

void StoreSession::NotifyUnreadable(const std::vector<Error>& unreadable) {
  DiscoveryChange change;
  change.unreadable = unreadable;
  Notify(change);
}

void StoreSession::Notify(const DiscoveryChange& change) {
  if (change.hosts) {
    CheckOwnRecord();
    CompareMembers();
  }
  const bool has_changes =
      change.schema || !change.indexes.empty() || change.config ||
      change.targets || change.hosts || !change.suspects.empty() ||
      !change.quarantines.empty() || !change.unreadable.empty();
  if (has_changes) {
    m_observer.OnDiscoveryChange(change, m_position);
  }
}

}  // namespace jacinthdeck
