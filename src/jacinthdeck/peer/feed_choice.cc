// Tracks the freshness of the link and the order in which feeders are tried.
#include "jacinthdeck/peer/feed_choice.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "jacinthdeck/discovery/fleet.h"

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;

//! A feeder that sends nothing for longer is silent. Feeders send two
//! heartbeats a second, so two lost ones and some delay are tolerated.
constexpr Duration kSilenceTimeout = milliseconds(1600);
//! Time to connect and receive the first heartbeat, or a further part of the
//! content before it.
constexpr Duration kOpenTimeout = milliseconds(600);
//! Delay after a link could not be opened.
constexpr Duration kReopenDelay = milliseconds(700);
//! Delay after a link could not be opened during the startup period. It is
//! shorter, as the seeds may start a moment later than this host.
constexpr Duration kReopenDelayAtStart = milliseconds(150);
//! Time after the start of this host in which kReopenDelayAtStart applies.
constexpr Duration kStartupPeriod = milliseconds(1500);
//! A stale feeder is left for another one after this time. Feeders answer a
//! hello with a heartbeat, so the age of their content is known at once.
constexpr Duration kStaleFeederTimeout = milliseconds(100);
//! A stale feeder is left after this longer time once all feeders that were
//! tried proved stale.
constexpr Duration kAllStaleTimeout = milliseconds(4000);
//! Number of stale feeders in a row after which the store is considered
//! unavailable for all hosts: it is not expected to reject so many hosts of
//! different failure domains while it serves others.
constexpr std::size_t kMaxStaleFeeders = 5;
//! Time for which a feeder of another failure domain is followed before one of
//! the own domain is tried again. It doubles with each try.
constexpr Duration kMinReturnDelay = milliseconds(300);
//! Longest such time, reached where the feeder of the own domain keeps failing.
constexpr Duration kMaxReturnDelay = milliseconds(16000);
//! Time for a seed to answer before this host reads the store, used where no
//! callers wait for this host.
constexpr Duration kSeedAnswerTimeout = milliseconds(1100);
//! Hosts with less processor capacity than this, in thousandths of a core, are
//! rarely among those that callers are sent to.
constexpr std::uint32_t kMinServingMillicores = 200;
//! Number of hosts that is assumed while none is known.
constexpr std::size_t kAssumedHostCount = 100;
//! Spreads the first store reads of hosts that start at the same moment.
constexpr Duration kStartJitter = milliseconds(30);
//! Spreads the store reads of hosts that lose the same feeder.
constexpr Duration kLinkLostJitter = milliseconds(150);
//! Time for which a host that takes no callers looks for another feeder before
//! it reads the store.
constexpr Duration kRelinkTimeout = milliseconds(1300);
//! A link counts as steady from this age on. A follower that is about to switch
//! to the feeder of its own domain keeps a link for less.
constexpr Duration kSteadyLinkAge = milliseconds(1000);
//! While the feeders are stale, the hosts that take no callers read the store
//! in random order, on average one host per interval: the store is likely
//! unavailable for all hosts.
constexpr Duration kStoreReadInterval = milliseconds(50);
//! Least time over which the reads of these hosts are spread.
constexpr Duration kMinStandbyReadJitter = milliseconds(1200);

}  // namespace

FeederSelector::FeederSelector(HostRecord self,
                               std::vector<Endpoint> seeds,
                               bool fleet_starts,
                               std::uint64_t seed,
                               TimePoint now,
                               const DiscoveryTimes& times)
    : m_self(std::move(self)),
      m_seeds(std::move(seeds)),
      m_started_at(now),
      m_times(times),
      m_random(seed),
      m_return_delay(kMinReturnDelay) {
  const auto is_own_endpoint = [&](const Endpoint& endpoint) {
    return endpoint.ToString() == m_self.peers;
  };
  // Until the hosts are known, the seeds watch the store for the others.
  m_is_watcher =
      m_seeds.empty() || std::ranges::any_of(m_seeds, is_own_endpoint);
  std::ranges::remove_copy_if(m_seeds, std::back_inserter(m_feeders),
                              is_own_endpoint);
  if (!m_feeders.empty()) {
    m_next_feeder = m_random.Below(m_feeders.size());
  }
  m_serves_callers = m_self.cpu_millicores >= kMinServingMillicores;
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
  const std::vector<HostId> watchers = ChooseWatchers(hosts);
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
  // Feeders of the own failure domain come first: the path to them is the
  // shortest and traffic within a domain is the cheapest.
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
  const auto last_feeder =
      std::ranges::find_if(m_feeders, [&](const Endpoint& feeder) {
        return m_last_feeder && feeder.ToString() == m_last_feeder->ToString();
      });
  const bool unknown = last_feeder == m_feeders.end();
  const bool nearest = last_feeder == m_feeders.begin();
  if (unknown || (following && !nearest)) {
    return 0;
  }
  // Go on with the feeder after the last one. A stale feeder also sends the
  // list of hosts: if each list restarted the order, a host cut off from the
  // store would try the same stale feeder again and again while the next
  // failure domain has fresh ones.
  return static_cast<std::size_t>(
             std::distance(m_feeders.begin(), last_feeder)) +
         1;
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
  const bool is_starting_up = now - m_started_at < kStartupPeriod;
  m_next_open_at =
      was_open ? now
               : now + (is_starting_up ? kReopenDelayAtStart : kReopenDelay);
  ScheduleWatchWithoutLink(now);
}

FeederActions FeederSelector::Step(TimePoint now) {
  FeederActions actions;
  // The heartbeat follows the content, whose parts may take longer.
  const bool open_timed_out =
      m_link_state == LinkState::kOpening &&
      now - std::max(m_link_started_at, m_last_message_at) > kOpenTimeout;
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
  // A watcher also follows another watcher beside its own watch. Otherwise, a
  // watcher that the store rejects alone would notice only after the timeout of
  // its watch, and send to targets that have left for as long as it is cut off.
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
  return now - m_link_started_at >
         (all_stale ? kAllStaleTimeout : kStaleFeederTimeout);
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
    // The random part keeps the followers of one domain from all returning at
    // the same moment after their feeder was unreachable.
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
         *m_last_heartbeat.age + (now - m_last_heartbeat_at) >
             m_times.max_content_age;
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
  // Another feeder usually answers within milliseconds, so a host that takes no
  // callers can wait for one.
  const Duration timeout = m_serves_callers ? Duration::zero() : kRelinkTimeout;
  ScheduleWatch(kLinkLostJitter, now + timeout);
}

void FeederSelector::ScheduleWatchWhileStale(TimePoint now) {
  const Duration staggered =
      (m_host_count == 0 ? kAssumedHostCount : m_host_count) *
      kStoreReadInterval;
  ScheduleWatch(m_serves_callers ? m_times.max_read_jitter
                                 : std::max(kMinStandbyReadJitter, staggered),
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
