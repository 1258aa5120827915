// Decides whether a host gets the store's content from another host or reads
// the store itself.
#ifndef JACINTHDECK_PEER_FEED_CHOICE_H_
#define JACINTHDECK_PEER_FEED_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "jacinthdeck/core/endpoint.h"
#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/random.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/discovery/discovery_times.h"
#include "jacinthdeck/discovery/host_record.h"
#include "jacinthdeck/peer/feed_message.h"

namespace jacinthdeck {

/*! \brief Actions that a FeederSelector asks its owner to take. */
struct FeederActions {
  //! Whether this host watches the store itself.
  bool watch_store = false;
  //! Feeder to open a link to, in place of the present link; nothing to keep
  //! it.
  std::optional<Endpoint> open_link_to;
  //! Whether to close the present link.
  bool close_link = false;
};

/**
 * \brief Selects the watcher to follow as feeder, and decides when this host
 * watches the store itself.
 *
 * Watchers are the hosts that watch the store for the others. When a feeder
 * stops responding, loses the store or lags, its follower looks for another
 * feeder and reads the store itself meanwhile. On a host that callers are sent
 * to, the delay of a change is bounded by DiscoveryTimes::MaxDelay(). Watchers
 * also follow one another beside their own watch. Each feeder reports the age
 * of its content: hosts that follow each other in a cycle see that age grow and
 * so detect that none of them reaches the store.
 *
 * If one feeder after the other has lost the store, the store is considered
 * unavailable for all hosts. Hundreds of hosts that go on calling the store and
 * switching feeders would only load both, so a host then stays with the nearest
 * feeder, whose next heartbeat reports that the store is back. Only hosts that
 * callers are sent to keep calling the store. The others call it a few at a
 * time, in case the store rejects only the feeders.
 */
class FeederSelector {
 public:
  /**
   * \brief Creates a selector that knows no hosts but the seeds.
   * \param self Record of this host, which never follows its own peers address.
   * \param seeds Feeders to try until the hosts are known.
   * \param fleet_starts Whether all hosts start now and serve no callers yet,
   * which leaves the seeds time to answer. A host that starts in a running
   * fleet reads the store at once, unless it is too weak for callers to be sent
   * to it: after the loss of hundreds of hosts, the reads of the few that serve
   * callers must not wait behind those of all others.
   * \param seed Seed of the random delays.
   * \param now Time of the start.
   * \param times Timeouts of the content and of the first read of the store
   * without a fresh feeder.
   */
  FeederSelector(HostRecord self,
                 std::vector<Endpoint> seeds,
                 bool fleet_starts,
                 std::uint64_t seed,
                 TimePoint now,
                 const DiscoveryTimes& times =
                     DiscoveryTimes::ForBound(DiscoveryTimes::kDefaultBound));

  /*! \brief Tells whether this host watches the store for others. */
  [[nodiscard]] bool is_watcher() const noexcept { return m_is_watcher; }
  /*! \brief Tells whether the link is open, not silent, and its content fresh.
   */
  [[nodiscard]] bool IsFollowing(TimePoint now) const;

  /*! \brief Tells whether the link is open and not silent, even if the feeder's
   * content is stale. */
  [[nodiscard]] bool IsLinked(TimePoint now) const {
    return m_link_state == LinkState::kOpen && !IsSilent(now);
  }
  /*! \brief Tells whether the feeder of the present or last link is known to be
   * in this host's failure domain. */
  [[nodiscard]] bool IsFeederInOwnDomain() const;
  /*! \brief Tells whether IsLinked() holds and the link is old enough that it
   * is likely to be kept. */
  [[nodiscard]] bool IsLinkSteady(TimePoint now) const;

  /*! \brief Sets whether callers are sent to this host. If so, it reads the
   * store soon after it loses its feeder or the feeder becomes stale. */
  void SetServesCallers(bool serves) noexcept { m_serves_callers = serves; }

  /*! \brief Recomputes the watchers and the order of feeders from the known
   * hosts. */
  void OnHosts(std::span<const HostRecord> hosts, TimePoint now);

  /*! \brief Records a heartbeat of the feeder; the first one opens the link. */
  void OnHeartbeat(const FeedHeartbeat& heartbeat, TimePoint now);

  /*! \brief Records that the feeder sent changes. */
  void OnChanges(TimePoint now);

  /*! \brief Records that the link ended or could not be opened. */
  void OnLinkLost(TimePoint now);

  /*! \brief Returns the actions that are due; must be called several times a
   * second. */
  [[nodiscard]] FeederActions Step(TimePoint now);

 private:
  enum class LinkState { kNone, kOpening, kOpen };

  //! Tells whether the feeder has sent no message for too long.
  [[nodiscard]] bool IsSilent(TimePoint now) const;
  //! Tells whether the feeder's content is missing or too old, or the feeder
  //! has lost the store.
  [[nodiscard]] bool IsStale(TimePoint now) const;
  //! Tells whether to close the open link and try another feeder.
  [[nodiscard]] bool ShouldLeaveFeeder(TimePoint now) const;
  //! Number of stale feeders in a row after which the store is considered
  //! unavailable for all hosts.
  [[nodiscard]] std::size_t StaleFeederLimit() const noexcept;
  //! Tells whether to switch back to a feeder in the own failure domain now.
  //! Schedules the next such switch.
  [[nodiscard]] bool ShouldReturnToOwnDomain(TimePoint now);
  //! Records that this host itself closes the link.
  void LeaveFeeder(TimePoint now);
  //! Takes the next feeder in turn; nothing if there is none.
  [[nodiscard]] std::optional<Endpoint> NextFeeder();
  //! Index in m_feeders of the feeder to try next.
  [[nodiscard]] std::size_t NextFeederIndex(bool following) const;
  //! Schedules the start of the watch at a random time within max_jitter after
  //! from, unless it is scheduled already.
  void ScheduleWatch(Duration max_jitter, TimePoint from);
  //! Schedules the watch for the case that no link opens soon.
  void ScheduleWatchWithoutLink(TimePoint now);
  //! Schedules the watch for the case that the feeder stays stale.
  void ScheduleWatchWhileStale(TimePoint now);

  const HostRecord m_self;
  const std::vector<Endpoint> m_seeds;
  const TimePoint m_started_at;
  const DiscoveryTimes m_times;
  Random m_random;
  bool m_is_watcher = false;
  bool m_serves_callers = true;
  //! Number of known hosts; 0 until they are known.
  std::size_t m_host_count = 0;
  //! Feeders in the order in which they are tried, without this host.
  std::vector<Endpoint> m_feeders;
  //! Number of feeders in the own failure domain; they come first in m_feeders.
  std::size_t m_own_domain_feeders = 0;
  //! Feeders left as stale since a fresh one was last followed.
  std::size_t m_stale_feeders_in_row = 0;
  //! When to switch back to the own failure domain; nothing while the feeder is
  //! in it, no feeder in it is known, or the link is not fresh.
  std::optional<TimePoint> m_return_at;
  //! Least time with a feeder of another failure domain before this host
  //! switches back to its own.
  Duration m_return_delay;
  //! Index of the next feeder to try; taken modulo the number of feeders.
  std::size_t m_next_feeder = 0;
  //! Feeder of the present link, or of the last one.
  std::optional<Endpoint> m_last_feeder;
  LinkState m_link_state = LinkState::kNone;
  //! When the link began to open.
  TimePoint m_link_started_at;
  //! When the last message came over the link.
  TimePoint m_last_message_at;
  //! Last heartbeat over a link.
  FeedHeartbeat m_last_heartbeat;
  //! When that heartbeat came.
  TimePoint m_last_heartbeat_at;
  //! Earliest time to open the next link.
  TimePoint m_next_open_at;
  //! When this host starts to watch the store, unless the link is fresh by
  //! then; on a host that is no watcher, nothing while the link is fresh.
  std::optional<TimePoint> m_watch_at;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_PEER_FEED_CHOICE_H_
