// Decides from whom a host learns: from another host, or from the store itself.
#ifndef JACINTHDECK_PEER_FEEDER_SELECTOR_H_
#define JACINTHDECK_PEER_FEEDER_SELECTOR_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "jacinthdeck/core/endpoint.h"
#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/random.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/discovery/host_record.h"
#include "jacinthdeck/peer/feed_message.h"

namespace jacinthdeck {

/*! \brief What is to be done now. */
struct FeederActions {
  //! Watch the store.
  bool watch_store = false;
  //! Open a link to this host, in place of the present one.
  std::optional<Endpoint> open_link_to;
  //! End the present link.
  bool close_link = false;
};

/**
 * \brief Follows a watcher as long as that one is fresh.
 *
 * A host whose feeder falls silent, loses the store, or lags looks for another
 * feeder and reads the store itself meanwhile; so a change is never later than
 * by the time in which silence shows. Watchers follow one another beside their
 * own watch. A feeder's word is as old as the feeder says: hosts that follow
 * each other in a circle see the age grow.
 *
 * If feeder after feeder has lost the store, it is away for all, and hundreds
 * of hosts that ask for it and go from one feeder to the next only keep it and
 * them busy. Then a host stays with the nearest feeder, whose next beat tells
 * of the store's return. Only those that callers are sent to go on asking; of
 * the others a few at a time do, in case the store turns the feeders away and
 * not them.
 */
class FeederSelector {
 public:
  /**
   * \brief Makes a choice that knows only the seeds.
   * \param self This host; its own link address is never followed.
   * \param seeds Links to try before any host is known.
   * \param fleet_starts All hosts start now, and nobody is served yet: the
   * seeds have time to answer. A host that starts again reads the store at
   * once, unless it is too weak for callers to be sent to it: after the loss of
   * hundreds of hosts the few that serve must not wait behind the others.
   */
  FeederSelector(HostRecord self,
                 std::vector<Endpoint> seeds,
                 bool fleet_starts,
                 std::uint64_t seed,
                 TimePoint now);

  /*! \brief Tells whether this host watches the store for others. */
  [[nodiscard]] bool is_watcher() const noexcept { return m_is_watcher; }
  /*! \brief Tells whether the link is fresh enough to be relied on. */
  [[nodiscard]] bool IsFollowing(TimePoint now) const;

  /*! \brief Tells whether the feeder is heard, whatever it knows. */
  [[nodiscard]] bool IsLinked(TimePoint now) const {
    return m_link_state == LinkState::kOpen && !IsSilent(now);
  }
  /*! \brief Tells whether the feeder, or the last one, is known to be of this
   * host's failure domain. */
  [[nodiscard]] bool IsFeederInOwnDomain() const;
  /*! \brief Tells whether that was so for some time with the same one. */
  [[nodiscard]] bool IsLinkSteady(TimePoint now) const;

  /*! \brief Says whether callers are sent to this host, which then reads the
   * store itself as soon as its feeder is stale. */
  void SetServesCallers(bool serves) noexcept { m_serves_callers = serves; }

  /*! \brief Takes the hosts that are known. */
  void OnHosts(std::span<const HostRecord> hosts, TimePoint now);

  /*! \brief Takes a sign of life of the link. */
  void OnHeartbeat(const FeedHeartbeat& heartbeat, TimePoint now);

  /*! \brief Takes changes over the link. */
  void OnChanges(TimePoint now);

  /*! \brief Takes the end of the link. */
  void OnLinkLost(TimePoint now);

  /*! \brief Says what is to be done; called often. */
  [[nodiscard]] FeederActions Step(TimePoint now);

 private:
  enum class LinkState { kNone, kOpening, kOpen };

  [[nodiscard]] bool IsSilent(TimePoint now) const;
  [[nodiscard]] bool IsStale(TimePoint now) const;
  //! Tells whether the link is to be ended for another feeder.
  [[nodiscard]] bool ShouldLeaveFeeder(TimePoint now) const;
  //! Feeders that are tried before all are taken for stale alike.
  [[nodiscard]] std::size_t StaleFeederLimit() const noexcept;
  //! Tells whether it is time to go back to the own failure domain's feeder.
  [[nodiscard]] bool ShouldReturnToOwnDomain(TimePoint now);
  void LeaveFeeder(TimePoint now);
  [[nodiscard]] std::optional<Endpoint> NextFeeder();
  //! Position from which the next feeder is looked for.
  [[nodiscard]] std::size_t NextFeederIndex(bool following) const;
  //! Watches the store from a moment within the spread on, unless that is
  //! settled already.
  void ScheduleWatch(Duration max_jitter, TimePoint from);
  void ScheduleWatchWithoutLink(TimePoint now);
  void ScheduleWatchWhileStale(TimePoint now);

  const HostRecord m_self;
  const std::vector<Endpoint> m_seeds;
  const TimePoint m_started_at;
  Random m_random;
  bool m_is_watcher = false;
  bool m_serves_callers = true;
  //! Hosts that are known.
  std::size_t m_host_count = 0;
  //! In the order in which they are tried; this host is not among them.
  std::vector<Endpoint> m_feeders;
  //! Feeders of the own failure domain; the first so many.
  std::size_t m_own_domain_feeders = 0;
  //! Feeders that were left as stale since one was last followed.
  std::size_t m_stale_feeders_in_row = 0;
  //! When it goes back to the own failure domain; nothing while it is there.
  std::optional<TimePoint> m_return_at;
  //! Time to stay elsewhere before that.
  Duration m_return_delay;
  std::size_t m_next_feeder = 0;
  //! Feeder of the present link, or of the last one.
  std::optional<Endpoint> m_last_feeder;
  LinkState m_link_state = LinkState::kNone;
  TimePoint m_link_started_at;
  //! Last message over the link.
  TimePoint m_last_message_at;
  //! Last beat and when it came.
  FeedHeartbeat m_last_heartbeat;
  TimePoint m_last_heartbeat_at;
  TimePoint m_next_open_at;
  //! When the store is watched, unless the link is fresh by then; nothing while
  //! it is.
  std::optional<TimePoint> m_watch_at;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_PEER_FEEDER_SELECTOR_H_
