// Freshness of the link, and the order of feeders.
#include "jacinthdeck/peer/feeder_selector.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "jacinthdeck/discovery/fleet.h"

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;

//! Feeders beat twice a second; two lost beats and some delay are silence.
constexpr Duration kSilenceTimeout = milliseconds(1600);
//! A feeder that watches has heard the store within its own watch's length.
constexpr Duration kMaxContentAge = milliseconds(2700);
constexpr Duration kOpenTimeout = milliseconds(600);
constexpr Duration kReopenDelay = milliseconds(700);
//! The same after the start, as the seeds may start a moment later.
constexpr Duration kReopenDelayAtStart = milliseconds(150);
constexpr Duration kStartupPeriod = milliseconds(1500);
//! A feeder that stays stale is given up for another one after this time. It
//! beats as soon as it is asked, so its age is known at once; three feeders are
//! tried within the bound in which a leaving target must be known.
constexpr Duration kStaleFeederTimeout = milliseconds(1000);
//! The same for one that has lost the store, which it knows for certain.
constexpr Duration kStoreAwayTimeout = milliseconds(300);
//! The same once all feeders that were tried are stale.
constexpr Duration kAllStaleTimeout = milliseconds(4000);
//! So many feeders of different failure domains are not turned away together
//! while the store serves others.
constexpr std::size_t kMaxStaleFeeders = 5;
//! Time for which a feeder of another failure domain is followed before the
//! own one's is tried again, and the longest such time where it fails.
constexpr Duration kMinReturnDelay = milliseconds(300);
constexpr Duration kMaxReturnDelay = milliseconds(16000);
//! Time for a seed to answer before the store is asked, where callers do not
//! wait for this host.
constexpr Duration kSeedAnswerTimeout = milliseconds(1100);
//! Hosts with less processor than this, in thousandths of a core, are hardly
//! ever among those that callers are sent to.
constexpr std::uint32_t kMinServingStrength = 200;
//! Hosts that are assumed while none is known.
constexpr std::size_t kAssumedHostCount = 100;
//! Hosts that start at one moment.
constexpr Duration kStartJitter = milliseconds(30);
//! Followers of one lost feeder must not all ask the store at one moment.
constexpr Duration kLinkLostJitter = milliseconds(150);
//! Time in which a host without callers looks for another feeder first.
constexpr Duration kRelinkTimeout = milliseconds(1300);
//! A follower on its way to the feeder of its own domain stays for less.
constexpr Duration kSteadyLinkAge = milliseconds(1000);
//! If the feeder lost the store, it is likely away for all, and calls to it are
//! in vain.
constexpr Duration kStaleFeederJitter = milliseconds(1200);
//! Hosts without callers ask the store one after the other while the feeders
//! are stale, one in this time.
constexpr Duration kStoreReadInterval = milliseconds(50);

}  // namespace

FeederSelector::FeederSelector(HostRecord self,
                               std::vector<Endpoint> seeds,
                               bool fleet_starts,
                               std::uint64_t seed,
                               TimePoint now)
    : m_self(std::move(self)),
      m_seeds(std::move(seeds)),
      m_started_at(now),
      m_random(seed),
      m_return_delay(kMinReturnDelay) {
  const auto own = [&](const Endpoint& endpoint) {
    return endpoint.ToString() == m_self.peers;
  };
  // Before any host is known the seeds watch for the others.
  m_is_watcher = m_seeds.empty() || std::ranges::any_of(m_seeds, own);
  std::ranges::remove_copy_if(m_seeds, std::back_inserter(m_feeders), own);
  if (!m_feeders.empty()) {
    m_next_feeder = m_random.Below(m_feeders.size());
  }
  m_serves_callers = m_self.strength >= kMinServingStrength;
  const bool waits_for_seed =
      fleet_starts || (!m_serves_callers && !m_is_watcher);
  ScheduleWatch(kStartJitter,
                now + (waits_for_seed ? kSeedAnswerTimeout : Duration::zero()));
}

bool FeederSelector::IsFollowing(TimePoint now) const {
  return m_link_state == LinkState::kOpen && !IsSilent(now) && !IsStale(now);
}

bool FeederSelector::IsLinkSteady(TimePoint now) const {
  return IsLinked(now) && now - m_link_started_at >= kSteadyLinkAge;
}

void FeederSelector::OnHosts(std::span<const HostRecord> hosts, TimePoint now) {
  const std::vector<NodeId> watchers = ChooseWatchers(hosts);
  if (watchers.empty()) {
    return;
  }
  m_host_count = hosts.size();
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
  m_own_domain_feeders = 0;
  for (const HostRecord* host : feeders) {
    const auto parsed = Capture([&] { return Endpoint::Parse(host->peers); });
    if (const auto* endpoint = std::get_if<Endpoint>(&parsed)) {
      m_feeders.push_back(*endpoint);
      m_own_domain_feeders += host->domain == m_self.domain ? 1 : 0;
    }
  }
  m_next_feeder = NextFeederIndex(following);
}

std::size_t FeederSelector::NextFeederIndex(bool following) const {
  const auto last =
      std::ranges::find_if(m_feeders, [&](const Endpoint& feeder) {
        return m_last_feeder && feeder.ToString() == m_last_feeder->ToString();
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

void FeederSelector::OnHeartbeat(const FeedHeartbeat& heartbeat,
                                 TimePoint now) {
  m_link_state = LinkState::kOpen;
  m_last_message_at = now;
  m_last_heartbeat = heartbeat;
  m_last_heartbeat_at = now;
  if (IsFollowing(now)) {
    m_watch_at.reset();
    m_stale_feeders_in_row = 0;
  }
}

void FeederSelector::OnChanges(TimePoint now) {
  m_last_message_at = now;
}

void FeederSelector::OnLinkLost(TimePoint now) {
  const bool was_open = m_link_state == LinkState::kOpen;
  m_link_state = LinkState::kNone;
  const bool starts = now - m_started_at < kStartupPeriod;
  m_next_open_at =
      was_open ? now : now + (starts ? kReopenDelayAtStart : kReopenDelay);
  ScheduleWatchWithoutLink(now);
}

FeederActions FeederSelector::Step(TimePoint now) {
  FeederActions actions;
  const bool open_timed_out = m_link_state == LinkState::kOpening &&
                              now - m_link_started_at > kOpenTimeout;
  if (open_timed_out || ShouldLeaveFeeder(now) ||
      ShouldReturnToOwnDomain(now)) {
    actions.close_link = true;
    LeaveFeeder(now);
  }
  if (m_link_state == LinkState::kNone && now >= m_next_open_at) {
    actions.open_link_to = NextFeeder();
    if (actions.open_link_to) {
      m_link_state = LinkState::kOpening;
      m_link_started_at = now;
    }
    m_next_open_at = now + kReopenDelay;
  }
  // A watcher follows another one beside its own watch. One that the store
  // turned away alone would notice only after its watch's timeout, and send to
  // targets that have left for as long as it stays cut off.
  if (m_is_watcher) {
    actions.watch_store = true;
    m_watch_at = now;
    return actions;
  }
  if (IsFollowing(now)) {
    m_watch_at.reset();
    return actions;
  }
  if (m_link_state == LinkState::kOpen) {
    ScheduleWatchWhileStale(now);
  } else {
    ScheduleWatchWithoutLink(now);
  }
  actions.watch_store = now >= *m_watch_at;
  return actions;
}

bool FeederSelector::ShouldLeaveFeeder(TimePoint now) const {
  if (m_link_state != LinkState::kOpen) {
    return false;
  }
  if (IsSilent(now)) {
    return true;
  }
  if (!IsStale(now) || m_feeders.size() < 2) {
    return false;
  }
  const bool all_stale = m_stale_feeders_in_row >= StaleFeederLimit();
  const Duration timeout = all_stale                     ? kAllStaleTimeout
                           : m_last_heartbeat.store_away ? kStoreAwayTimeout
                                                         : kStaleFeederTimeout;
  return now - m_link_started_at > timeout;
}

std::size_t FeederSelector::StaleFeederLimit() const noexcept {
  return std::min(m_feeders.size(), kMaxStaleFeeders);
}

bool FeederSelector::IsFeederInOwnDomain() const {
  const auto nearest = m_feeders.begin();
  const auto own_domain_end =
      nearest + static_cast<std::ptrdiff_t>(m_own_domain_feeders);
  return std::find_if(nearest, own_domain_end, [&](const Endpoint& feeder) {
           return m_last_feeder &&
                  feeder.ToString() == m_last_feeder->ToString();
         }) != own_domain_end;
}

bool FeederSelector::ShouldReturnToOwnDomain(TimePoint now) {
  if (m_own_domain_feeders == 0 || IsFeederInOwnDomain() || !IsFollowing(now)) {
    m_return_at.reset();
    return false;
  }
  if (!m_return_at) {
    // All followers of a domain whose feeder was away would come back at once.
    const auto bound = static_cast<std::uint64_t>(m_return_delay.count());
    m_return_at = now + m_return_delay +
                  Duration(static_cast<Duration::rep>(m_random.Below(bound)));
  }
  if (now < *m_return_at) {
    return false;
  }
  m_return_at.reset();
  m_return_delay = std::min(2 * m_return_delay, kMaxReturnDelay);
  m_next_feeder = 0;
  return true;
}

void FeederSelector::LeaveFeeder(TimePoint now) {
  const bool stale =
      m_link_state == LinkState::kOpen && !IsSilent(now) && !IsFollowing(now);
  if (stale) {
    ScheduleWatchWhileStale(now);
    const bool becomes_all_stale =
        m_stale_feeders_in_row + 1 == StaleFeederLimit();
    m_next_feeder = becomes_all_stale ? 0 : m_next_feeder;
    m_stale_feeders_in_row =
        std::min(m_stale_feeders_in_row + 1, StaleFeederLimit());
  }
  OnLinkLost(now);
  m_next_open_at = now;
}

bool FeederSelector::IsSilent(TimePoint now) const {
  return now - m_last_message_at > kSilenceTimeout;
}

bool FeederSelector::IsStale(TimePoint now) const {
  return m_last_heartbeat.store_away ||
         m_last_heartbeat.position.revision == 0 || !m_last_heartbeat.age ||
         *m_last_heartbeat.age + (now - m_last_heartbeat_at) > kMaxContentAge;
}

std::optional<Endpoint> FeederSelector::NextFeeder() {
  if (m_feeders.empty()) {
    return std::nullopt;
  }
  const Endpoint feeder = m_feeders[m_next_feeder % m_feeders.size()];
  ++m_next_feeder;
  m_last_feeder = feeder;
  return feeder;
}

void FeederSelector::ScheduleWatchWithoutLink(TimePoint now) {
  // Another feeder mostly answers within milliseconds.
  const Duration timeout = m_serves_callers ? Duration::zero() : kRelinkTimeout;
  ScheduleWatch(kLinkLostJitter, now + timeout);
}

void FeederSelector::ScheduleWatchWhileStale(TimePoint now) {
  const Duration staggered =
      (m_host_count == 0 ? kAssumedHostCount : m_host_count) *
      kStoreReadInterval;
  ScheduleWatch(m_serves_callers ? kStaleFeederJitter
                                 : std::max(kStaleFeederJitter, staggered),
                now);
}

void FeederSelector::ScheduleWatch(Duration max_jitter, TimePoint from) {
  if (m_watch_at) {
    return;
  }
  const auto bound = static_cast<std::uint64_t>(max_jitter.count());
  m_watch_at =
      from + Duration(static_cast<Duration::rep>(m_random.Below(bound)));
}

}  // namespace jacinthdeck
