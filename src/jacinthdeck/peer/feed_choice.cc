// Freshness of the link, and the order of feeders.
#include "jacinthdeck/peer/feed_choice.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "jacinthdeck/discovery/fleet.h"

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;

//! Feeders beat twice a second; two lost beats and some delay are silence.
constexpr Duration kSilence = milliseconds(1600);
//! A feeder that watches has heard the store within its own watch's length.
constexpr Duration kMostAge = milliseconds(2700);
constexpr Duration kLinkTimeout = milliseconds(600);
constexpr Duration kTryAgain = milliseconds(700);
//! The same after the start, as the seeds may start a moment later.
constexpr Duration kTryAgainAtStart = milliseconds(150);
constexpr Duration kStartSpan = milliseconds(1500);
//! A feeder that stays stale is given up for another one after this time. It
//! beats as soon as it is asked, so its age is known at once; three feeders are
//! tried within the bound in which a leaving target must be known.
constexpr Duration kStalePatience = milliseconds(1000);
//! The same for one that has lost the store, which it knows for certain.
constexpr Duration kAwayPatience = milliseconds(300);
//! The same once all feeders that were tried are stale.
constexpr Duration kSettledPatience = milliseconds(4000);
//! So many feeders of different failure domains are not turned away together
//! while the store serves others.
constexpr std::size_t kMostStaleTried = 5;
//! Time for which a feeder of another failure domain is followed before the
//! own one's is tried again, and the longest such time where it fails.
constexpr Duration kFirstReturnPause = milliseconds(300);
constexpr Duration kLongestReturnPause = milliseconds(16000);
//! Time for a seed to answer before the store is asked, where callers do not
//! wait for this host.
constexpr Duration kStartPatience = milliseconds(1100);
//! Hosts with less processor than this, in thousandths of a core, are hardly
//! ever among those that callers are sent to.
constexpr std::uint32_t kWeakHost = 200;
//! Hosts that are assumed while none is known.
constexpr std::size_t kUnknownFleet = 100;
//! Hosts that start at one moment.
constexpr Duration kStartSpread = milliseconds(30);
//! Followers of one lost feeder must not all ask the store at one moment.
constexpr Duration kLostSpread = milliseconds(150);
//! Time in which a host without callers looks for another feeder first.
constexpr Duration kLostPatience = milliseconds(1300);
//! A follower on its way to the feeder of its own domain stays for less.
constexpr Duration kSteadyLink = milliseconds(1000);
//! If the feeder lost the store, it is likely away for all, and calls to it are
//! in vain.
constexpr Duration kAwaySpread = milliseconds(1200);
//! Hosts without callers ask the store one after the other while the feeders
//! are stale, one in this time.
constexpr Duration kAskEvery = milliseconds(50);

}  // namespace

FeedChoice::FeedChoice(HostRecord self,
                       std::vector<Endpoint> seeds,
                       bool fleet_starts,
                       std::uint64_t seed,
                       TimePoint now)
    : m_self(std::move(self)),
      m_seeds(std::move(seeds)),
      m_started(now),
      m_random(seed),
      m_return_pause(kFirstReturnPause) {
  const auto own = [&](const Endpoint& endpoint) {
    return endpoint.ToString() == m_self.peers;
  };
  // Before any host is known the seeds watch for the others.
  m_is_watcher = m_seeds.empty() || std::ranges::any_of(m_seeds, own);
  std::ranges::remove_copy_if(m_seeds, std::back_inserter(m_feeders), own);
  if (!m_feeders.empty()) {
    m_next = m_random.Below(m_feeders.size());
  }
  m_serves_callers = m_self.cpu_millicores >= kWeakHost;
  const bool waits = fleet_starts || (!m_serves_callers && !m_is_watcher);
  ScheduleWatch(kStartSpread,
                now + (waits ? kStartPatience : Duration::zero()));
}

bool FeedChoice::IsFollowing(TimePoint now) const {
  return m_link == Link::kOpen && !IsSilent(now) && !IsStale(now);
}

bool FeedChoice::IsLinkSteady(TimePoint now) const {
  return IsLinked(now) && now - m_link_since >= kSteadyLink;
}

void FeedChoice::OnHosts(std::span<const HostRecord> hosts, TimePoint now) {
  const std::vector<NodeId> watchers = ChooseWatchers(hosts);
  if (watchers.empty()) {
    return;
  }
  m_hosts = hosts.size();
  m_is_watcher = std::ranges::find(watchers, m_self.name) != watchers.end();
  std::vector<const HostRecord*> feeders;
  for (const HostRecord& host : hosts) {
    const bool watches =
        std::ranges::find(watchers, host.name) != watchers.end();
    if (watches && host.name != m_self.name && !host.peers.empty()) {
      feeders.push_back(&host);
    }
  }
  // The own failure domain first: that way is short and costs least.
  std::stable_partition(
      feeders.begin(), feeders.end(),
      [&](const HostRecord* host) { return host->domain == m_self.domain; });
  const bool following = IsFollowing(now);
  m_feeders.clear();
  m_near = 0;
  for (const HostRecord* host : feeders) {
    const auto parsed = Capture([&] { return Endpoint::Parse(host->peers); });
    if (const auto* endpoint = std::get_if<Endpoint>(&parsed)) {
      m_feeders.push_back(*endpoint);
      m_near += host->domain == m_self.domain ? 1 : 0;
    }
  }
  m_next = PositionAfter(following);
}

std::size_t FeedChoice::PositionAfter(bool following) const {
  const auto last =
      std::ranges::find_if(m_feeders, [&](const Endpoint& feeder) {
        return m_last && feeder.ToString() == m_last->ToString();
      });
  const bool unknown = last == m_feeders.end();
  const bool nearest = last == m_feeders.begin();
  if (unknown || (following && !nearest)) {
    return 0;
  }
  // Content from a stale feeder names the hosts too. Starting over with each
  // such list, a host that is cut from the store would ask one stale feeder
  // again and again, with fresh ones in the next failure domain.
  return static_cast<std::size_t>(std::distance(m_feeders.begin(), last)) + 1;
}

void FeedChoice::OnBeat(const FeedBeat& beat, TimePoint now) {
  m_link = Link::kOpen;
  m_heard = now;
  m_beat = beat;
  m_beat_at = now;
  if (IsFollowing(now)) {
    m_watch_at.reset();
    m_stale_in_row = 0;
  }
}

void FeedChoice::OnChanges(TimePoint now) {
  m_heard = now;
}

void FeedChoice::OnLost(TimePoint now) {
  const bool was_open = m_link == Link::kOpen;
  m_link = Link::kNone;
  const bool starts = now - m_started < kStartSpan;
  m_try_at = was_open ? now : now + (starts ? kTryAgainAtStart : kTryAgain);
  ScheduleWatchWithoutLink(now);
}

FeedStep FeedChoice::Step(TimePoint now) {
  FeedStep step;
  const bool too_slow =
      m_link == Link::kOpening && now - m_link_since > kLinkTimeout;
  if (too_slow || IsUseless(now) || IsDueToReturn(now)) {
    step.close = true;
    LeaveFeeder(now);
  }
  if (m_link == Link::kNone && now >= m_try_at) {
    step.open = NextFeeder();
    if (step.open) {
      m_link = Link::kOpening;
      m_link_since = now;
    }
    m_try_at = now + kTryAgain;
  }
  // A watcher follows another one beside its own watch. One that the store
  // turned away alone would notice only after its watch's timeout, and send to
  // targets that have left for as long as it stays cut off.
  if (m_is_watcher) {
    step.watch_store = true;
    m_watch_at = now;
    return step;
  }
  if (IsFollowing(now)) {
    m_watch_at.reset();
    return step;
  }
  if (m_link == Link::kOpen) {
    ScheduleWatchWhileStale(now);
  } else {
    ScheduleWatchWithoutLink(now);
  }
  step.watch_store = now >= *m_watch_at;
  return step;
}

bool FeedChoice::IsUseless(TimePoint now) const {
  if (m_link != Link::kOpen) {
    return false;
  }
  if (IsSilent(now)) {
    return true;
  }
  if (!IsStale(now) || m_feeders.size() < 2) {
    return false;
  }
  const bool settled = m_stale_in_row >= MostStale();
  const Duration patience = settled             ? kSettledPatience
                            : m_beat.store_away ? kAwayPatience
                                                : kStalePatience;
  return now - m_link_since > patience;
}

std::size_t FeedChoice::MostStale() const noexcept {
  return std::min(m_feeders.size(), kMostStaleTried);
}

bool FeedChoice::IsNear() const {
  const auto nearest = m_feeders.begin();
  const auto far = nearest + static_cast<std::ptrdiff_t>(m_near);
  return std::find_if(nearest, far, [&](const Endpoint& feeder) {
           return m_last && feeder.ToString() == m_last->ToString();
         }) != far;
}

bool FeedChoice::IsDueToReturn(TimePoint now) {
  if (m_near == 0 || IsNear() || !IsFollowing(now)) {
    m_return_at.reset();
    return false;
  }
  if (!m_return_at) {
    // All followers of a domain whose feeder was away would come back at once.
    const auto bound = static_cast<std::uint64_t>(m_return_pause.count());
    m_return_at = now + m_return_pause +
                  Duration(static_cast<Duration::rep>(m_random.Below(bound)));
  }
  if (now < *m_return_at) {
    return false;
  }
  m_return_at.reset();
  m_return_pause = std::min(2 * m_return_pause, kLongestReturnPause);
  m_next = 0;
  return true;
}

void FeedChoice::LeaveFeeder(TimePoint now) {
  const bool stale =
      m_link == Link::kOpen && !IsSilent(now) && !IsFollowing(now);
  if (stale) {
    ScheduleWatchWhileStale(now);
    const bool settles = m_stale_in_row + 1 == MostStale();
    m_next = settles ? 0 : m_next;
    m_stale_in_row = std::min(m_stale_in_row + 1, MostStale());
  }
  OnLost(now);
  m_try_at = now;
}

bool FeedChoice::IsSilent(TimePoint now) const {
  return now - m_heard > kSilence;
}

bool FeedChoice::IsStale(TimePoint now) const {
  return m_beat.store_away || m_beat.position.revision == 0 || !m_beat.age ||
         *m_beat.age + (now - m_beat_at) > kMostAge;
}

std::optional<Endpoint> FeedChoice::NextFeeder() {
  if (m_feeders.empty()) {
    return std::nullopt;
  }
  const Endpoint feeder = m_feeders[m_next % m_feeders.size()];
  ++m_next;
  m_last = feeder;
  return feeder;
}

void FeedChoice::ScheduleWatchWithoutLink(TimePoint now) {
  // Another feeder mostly answers within milliseconds.
  const Duration patience = m_serves_callers ? Duration::zero() : kLostPatience;
  ScheduleWatch(kLostSpread, now + patience);
}

void FeedChoice::ScheduleWatchWhileStale(TimePoint now) {
  const Duration one_by_one =
      (m_hosts == 0 ? kUnknownFleet : m_hosts) * kAskEvery;
  ScheduleWatch(
      m_serves_callers ? kAwaySpread : std::max(kAwaySpread, one_by_one), now);
}

void FeedChoice::ScheduleWatch(Duration spread, TimePoint from) {
  if (m_watch_at) {
    return;
  }
  const auto bound = static_cast<std::uint64_t>(spread.count());
  m_watch_at =
      from + Duration(static_cast<Duration::rep>(m_random.Below(bound)));
}

}  // namespace jacinthdeck
