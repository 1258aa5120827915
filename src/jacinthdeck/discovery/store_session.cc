// Reading and watching.
#include "jacinthdeck/discovery/store_session.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

//! Time for a call that the store answers at once; a slow store takes up to
//! some hundred milliseconds.
constexpr Duration kCallTimeout = milliseconds(1500);
//! How long a watch waits. A change must be in force within seconds also after
//! the watch's connection went silent, so that bounds this wait; each new watch
//! costs a call.
constexpr Duration kWatchWait = milliseconds(1500);
//! Time beyond the wait after which a watch is taken for lost.
constexpr Duration kWatchSlack = milliseconds(900);
//! Pause after a change: registrations come in bunches, and each batch costs a
//! call.
constexpr Duration kGather = milliseconds(200);
//! Another host that heard the store so lately proves that it is not away for
//! all. Below the time in which an own call shows that the store went silent.
constexpr Duration kHeardLately = milliseconds(800);
//! Hosts that write again what a restored store lacks do so one by one.
constexpr Duration kRewriteSpread = milliseconds(400);
//! Feeders hear of a new era with their next renewal or watch, and hand it on.
constexpr Duration kEraPatience = milliseconds(1500);
//! Bounds of the pause after a failed call.
constexpr Duration kFirstPause = milliseconds(100);
constexpr Duration kLongestPause = milliseconds(800);

}  // namespace

StoreSession::StoreSession(asio::io_context& loop,
                           const Clock& clock,
                           const PlatformCodec& codec,
                           DiscoveryObserver& observer,
                           NodeId name,
                           const Endpoint& store,
                           std::uint64_t seed)
    : m_clock(clock),
      m_codec(codec),
      m_observer(observer),
      m_random(seed),
      m_discovery_state(codec),
      m_reads(loop, store.address, store.port),
      m_read_timer(loop),
      m_read_backoff(kFirstPause, kLongestPause),
      m_writes(loop, store.address, store.port),
      m_write_timer(loop),
      m_write_backoff(kFirstPause, seconds(1)),
      m_name(std::move(name)),
      m_members(m_name) {}

void StoreSession::SetWatching(bool watching) {
  if (watching == m_watching) {
    return;
  }
  m_watching = watching;
  m_read_timer.cancel();
  m_reads.Abort();
  if (watching) {
    Resume();
  }
}

void StoreSession::ApplyPeerContent(const std::vector<StoreChange>& changes,
                                    const StorePosition& position,
                                    bool whole) {
  // Changes alone are of no use to a host that knows nothing of their era, and
  // a feeder that lags tells of one that has ended.
  const bool applies = m_loaded && position.era == m_position.era;
  const bool begins = whole && (!m_loaded || position.era > m_position.era);
  (void)TakeEra(position.era);
  if (!applies && !begins) {
    return;
  }
  std::vector<StoreChange> content;
  std::vector<StoreChange> carried;
  std::ranges::partition_copy(changes, std::back_inserter(content),
                              std::back_inserter(carried),
                              [&](const StoreChange& change) {
                                return change.position.era == position.era;
                              });
  const bool restored = m_loaded && begins;
  m_loaded = true;
  Take(content, position, whole);
  TakeCarried(carried);
  if (restored) {
    m_must_read = false;
    RestartReading();
  }
}

void StoreSession::TakeCarried(const std::vector<StoreChange>& changes) {
  const DiscoveryChange change = m_discovery_state.OnCarried(changes);
  if (change.config) {
    m_observer.OnContent(changes, m_position, false);
  }
  Tell(change);
}

ContentUpdate StoreSession::UpdateSince(const StorePosition& position) const {
  ContentUpdate handover{m_position, true, {}};
  auto since = position.revision > 0 ? m_content.Since(position) : std::nullopt;
  handover.whole = !since.has_value();
  handover.changes = since ? std::move(*since) : m_content.Items();
  if (auto config = m_discovery_state.CarriedConfig()) {
    handover.changes.push_back(std::move(*config));
  }
  return handover;
}

bool StoreSession::IsNewEraOverdue() const {
  return m_behind_since && m_clock.Now() - *m_behind_since >= kEraPatience;
}

StoreSession::EraOrder StoreSession::TakeEra(StoreEra era) {
  if (era <= m_era) {
    return era == m_era ? EraOrder::kCurrent : EraOrder::kEnded;
  }
  const StoreEra before = std::exchange(m_era, era);
  if (before == StoreEra{} && !m_loaded) {
    return EraOrder::kCurrent;
  }
  m_behind_since = m_clock.Now();
  m_observer.OnStoreRestored(before, era, m_position);
  // The lease may be gone, or its number another host's by now.
  m_lease = 0;
  m_written = false;
  m_members.OnLeaseLost();
  const auto bound = static_cast<std::uint64_t>(kRewriteSpread.count());
  StepAfter(Duration(static_cast<Duration::rep>(m_random.Below(bound))));
  return EraOrder::kNew;
}

void StoreSession::RestartReading() {
  if (!m_watching) {
    return;
  }
  m_read_timer.cancel();
  m_reads.Abort();
  Resume();
}

void StoreSession::ApplyPeerAge(std::optional<Duration> age, bool store_away) {
  const TimePoint now = m_clock.Now();
  if (age) {
    const TimePoint heard = now - *age;
    m_last_well = std::max(m_last_well.value_or(heard), heard);
    m_others_heard = heard;
  }
  const bool heard_by_self = m_watching && m_loaded && !m_lost;
  if (store_away && !heard_by_self) {
    m_discovery_state.OnStoreAway();
  } else if (!store_away && m_discovery_state.store_away()) {
    Tell(m_discovery_state.OnChanges({}, now));
  }
}

void StoreSession::Resume() {
  if (m_loaded && !m_must_read && !IsBehind()) {
    Watch();
  } else {
    ReadAll();
  }
}

void StoreSession::Take(const std::vector<StoreChange>& changes,
                        const StorePosition& position,
                        bool whole) {
  const TimePoint now = m_clock.Now();
  const std::uint64_t changes_before = m_content.changes();
  const std::vector<StoreChange> news =
      whole ? m_content.Replace(changes, position) : m_content.Apply(changes);
  if (!m_era_since || position.era > m_position.era) {
    m_era_since = now;
  }
  m_position = std::max(m_position, position);
  if (!IsBehind()) {
    m_behind_since.reset();
  } else if (!m_behind_since) {
    m_behind_since = now;
  }
  const DiscoveryChange change =
      whole ? m_discovery_state.OnFullRead(news, position, now)
            : m_discovery_state.OnChanges(news, now);
  if (m_content.changes() == changes_before) {
    // Hosts that follow each other would hand one reading on for ever.
  } else if (whole) {
    // A reading may be older than what this host knows. Handed on as it came,
    // under the newer position, it made followers drop live targets for good.
    m_observer.OnContent(UpdateSince({}).changes, m_position, true);
  } else {
    m_observer.OnContent(news, m_position, false);
  }
  Tell(change);
}

void StoreSession::CheckTimes() {
  const TimePoint now = m_clock.Now();
  const auto due = m_discovery_state.NextTimer();
  if (due && *due <= now) {
    Tell(m_discovery_state.OnTimer(now));
  }
  CheckMembers();
}

void StoreSession::ReadAll() {
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
  const EraOrder order = TakeEra(page.position.era);
  if (page.status != StoreStatus::kOk) {
    OnFailure(page.status, page.problem);
    return;
  }
  if (order == EraOrder::kEnded) {
    OnFailure(StoreStatus::kOutdated, "page of an ended era");
    return;
  }
  if (m_pages_position && m_pages_position->era != page.position.era) {
    ReadAll();
    return;
  }
  // Pages are no snapshot: the watch goes on from the first one, and takes a
  // change twice rather than not at all.
  if (!m_pages_position) {
    m_pages_position = page.position;
  }
  m_pages.insert(m_pages.end(), page.items.begin(), page.items.end());
  if (page.has_more && !page.items.empty()) {
    ReadPage();
    return;
  }
  OnWell();
  TellReading();
  m_loaded = true;
  m_must_read = false;
  Take(m_pages, *m_pages_position, true);
  m_pages.clear();
  WatchAfter(kGather);
}

void StoreSession::TellReading() {
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
  m_reads.Call(m_codec.WatchCall(m_position.revision, kWatchWait),
               kWatchWait + kWatchSlack, [this](const ClientReply& reply) {
                 OnBatch(m_codec.ReadWatchReply(reply, m_era));
               });
}

void StoreSession::OnBatch(const WatchBatch& batch) {
  const EraOrder order = TakeEra(batch.position.era);
  const bool answered = batch.status == StoreStatus::kOk ||
                        batch.status == StoreStatus::kCompacted;
  if (answered && order == EraOrder::kEnded) {
    OnFailure(StoreStatus::kOutdated, "watch of an ended era");
    return;
  }
  if (answered && IsBehind()) {
    // What it brings comes after a revision of the era before, which the
    // present one has given out again: changes before that would be missing.
    ReadAll();
    return;
  }
  if (batch.status == StoreStatus::kCompacted) {
    // What is known stays valid, and so do changes that another host hands on:
    // a host that stopped watching in the middle of the reading and took none
    // of them would look fresh and know nothing new.
    m_must_read = true;
    ReadAll();
    return;
  }
  if (batch.status != StoreStatus::kOk) {
    OnFailure(batch.status, batch.problem);
    return;
  }
  OnWell();
  Take(batch.changes, batch.position, false);
  WatchAfter(batch.changes.empty() ? Duration::zero() : kGather);
}

void StoreSession::WatchAfter(Duration pause) {
  if (pause == Duration::zero()) {
    Watch();
    return;
  }
  m_read_timer.expires_after(pause);
  m_read_timer.async_wait([this](const SystemError& ended) {
    if (!ended) {
      Watch();
    }
  });
}

void StoreSession::OnWell() {
  m_last_well = m_clock.Now();
  m_read_backoff.OnSuccess();
  if (m_lost) {
    m_lost = false;
    m_observer.OnStoreRegained();
  }
}

void StoreSession::OnFailure(StoreStatus status, const std::string& problem) {
  ++m_counters.failures;
  const bool heard_by_others =
      m_others_heard && m_clock.Now() - *m_others_heard < kHeardLately;
  // Taken for away, a store that refuses this host alone would delay removals
  // that others tell of: targets that have left would get requests.
  if (!heard_by_others) {
    m_discovery_state.OnStoreAway();
  }
  if (!m_lost) {
    m_lost = true;
    m_observer.OnStoreLost(status, problem);
  }
  m_read_timer.expires_after(m_read_backoff.OnFailure(m_random));
  m_read_timer.async_wait([this](const SystemError& ended) {
    if (!ended) {
      Resume();
    }
  });
}

void StoreSession::Tell(const DiscoveryChange& change) {
  if (change.hosts) {
    CheckOwnRecord();
    CompareMembers();
  }
  const bool news = change.schema || !change.indexes.empty() || change.config ||
                    change.targets || change.hosts ||
                    !change.convictions.empty() || !change.unreadable.empty();
  if (news) {
    m_observer.OnDiscoveryChange(change, m_position);
  }
}

}  // namespace jacinthdeck
