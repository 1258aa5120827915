// Reading and watching.
#include "jacinthdeck/discovery/store_session.h"

#include <algorithm>
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
//! Bounds of the pause after a failed call.
constexpr Duration kFirstPause = milliseconds(100);
constexpr Duration kLongestPause = milliseconds(800);

}  // namespace

StoreSession::StoreSession(asio::io_context& loop,
                           const Clock& clock,
                           const PlatformCodec& codec,
                           KnowledgeObserver& observer,
                           NodeId name,
                           const Endpoint& store,
                           std::uint64_t seed)
    : m_clock(clock),
      m_codec(codec),
      m_observer(observer),
      m_random(seed),
      m_knowledge(codec),
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

void StoreSession::TakeContent(const std::vector<StoreChange>& changes,
                               std::uint64_t revision,
                               bool whole) {
  if (!m_loaded && !whole) {
    return;
  }
  m_loaded = true;
  Take(changes, revision, whole);
}

void StoreSession::TakeAge(std::optional<Duration> age, bool store_away) {
  const TimePoint now = m_clock.Now();
  if (age) {
    const TimePoint heard = now - *age;
    m_last_well = std::max(m_last_well.value_or(heard), heard);
    m_others_heard = heard;
  }
  const bool heard_by_self = m_watching && m_loaded && !m_lost;
  if (store_away && !heard_by_self) {
    m_knowledge.OnStoreAway();
  } else if (!store_away && m_knowledge.store_away()) {
    Tell(m_knowledge.OnChanges({}, now));
  }
}

void StoreSession::Resume() {
  if (m_loaded && !m_must_read) {
    Watch();
  } else {
    ReadAll();
  }
}

void StoreSession::Take(const std::vector<StoreChange>& changes,
                        std::uint64_t revision,
                        bool whole) {
  const TimePoint now = m_clock.Now();
  const std::uint64_t changes_before = m_content.changes();
  const std::vector<StoreChange> news =
      whole ? m_content.Replace(changes, revision) : m_content.Apply(changes);
  m_revision = std::max(m_revision, revision);
  const KnowledgeChange change =
      whole ? m_knowledge.OnReading(news, revision, now)
            : m_knowledge.OnChanges(news, now);
  if (m_content.changes() == changes_before) {
    // Hosts that follow each other would hand one reading on for ever.
  } else if (whole) {
    // A reading may be older than what this host knows. Handed on as it came,
    // under the newer revision, it made followers drop live targets for good.
    m_observer.OnContent(m_content.Items(), m_revision, true);
  } else {
    m_observer.OnContent(news, m_revision, false);
  }
  Tell(change);
}

void StoreSession::CheckTimes() {
  const TimePoint now = m_clock.Now();
  const auto due = m_knowledge.NextTimer();
  if (due && *due <= now) {
    Tell(m_knowledge.OnTimer(now));
  }
  CheckMembers();
}

void StoreSession::ReadAll() {
  m_pages.clear();
  m_pages_revision = 0;
  ReadPage();
}

void StoreSession::ReadPage() {
  ++m_counters.reads;
  const std::string after = m_pages.empty() ? "" : m_pages.back().key;
  m_reads.Call(
      m_codec.RangeCall(after), kCallTimeout,
      [this](const ClientReply& reply) { OnPage(m_codec.ReadPage(reply)); });
}

void StoreSession::OnPage(const StorePage& page) {
  if (page.status != StoreStatus::kOk) {
    OnFailure(page.status, page.problem);
    return;
  }
  // Pages are no snapshot: the watch goes on from the first one, and takes a
  // change twice rather than not at all.
  if (m_pages_revision == 0) {
    m_pages_revision = page.revision;
  }
  m_pages.insert(m_pages.end(), page.items.begin(), page.items.end());
  if (page.has_more && !page.items.empty()) {
    ReadPage();
    return;
  }
  OnWell();
  TellReading(page.era);
  m_loaded = true;
  m_must_read = false;
  Take(m_pages, m_pages_revision, true);
  m_pages.clear();
  WatchAfter(kGather);
}

void StoreSession::TellReading(StoreEra era) {
  const auto outdated =
      std::ranges::count_if(m_pages, [&](const StoreChange& item) {
        return item.revision < m_content.RevisionOf(item.key);
      });
  m_observer.OnStoreRead({.era = era,
                          .revision = m_pages_revision,
                          .known_revision = m_revision,
                          .items = m_pages.size(),
                          .outdated = static_cast<std::size_t>(outdated)});
}

void StoreSession::Watch() {
  ++m_counters.watches;
  m_reads.Call(
      m_codec.WatchCall(m_revision, kWatchWait), kWatchWait + kWatchSlack,
      [this](const ClientReply& reply) { OnBatch(m_codec.ReadBatch(reply)); });
}

void StoreSession::OnBatch(const WatchBatch& batch) {
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
  Take(batch.changes, batch.revision, false);
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
    m_knowledge.OnStoreAway();
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

void StoreSession::Tell(const KnowledgeChange& change) {
  if (change.hosts) {
    CheckOwnRecord();
    CompareMembers();
  }
  const bool news = change.schema || !change.indexes.empty() || change.config ||
                    change.targets || change.hosts ||
                    !change.convictions.empty() || !change.unreadable.empty();
  if (news) {
    m_observer.OnKnowledge(change, m_revision);
  }
}

}  // namespace jacinthdeck
