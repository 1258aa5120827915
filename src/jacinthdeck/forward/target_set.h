// All known targets, and the choice of one for an attempt.
#ifndef JACINTHDECK_FORWARD_TARGET_SET_H_
#define JACINTHDECK_FORWARD_TARGET_SET_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/random.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/forward/attempt_end.h"
#include "jacinthdeck/forward/cold_share.h"
#include "jacinthdeck/forward/in_flight_bound.h"
#include "jacinthdeck/forward/learned_target.h"
#include "jacinthdeck/forward/usual_latency.h"

namespace jacinthdeck {

/*! \brief What an attempt needs of its target. */
struct TargetNeed {
  ServiceId service;
  //! Latency of the route.
  UsualLatency usual;
  //! Targets that had this request before.
  std::span<const TargetId> tried;
  AttemptReason reason = AttemptReason::kFirst;
  TargetShare share;
  //! The call cannot be answered without this attempt. It counts only its like
  //! against the host's share of a target, so that searches, which can do
  //! without a shard, leave it places there. Else a call for one service alone
  //! would find the share taken by searches, and be refused. The connections
  //! bound both together.
  bool needed = true;
  //! Time in which an answer is of use. A target that is expected to take
  //! longer gets no hedge, and one attempt of this host at a time: enough to
  //! learn when it is fast again. Hedges so keep away from targets that shed.
  Duration useful = Duration::max();
  //! Requests a second that a cold target of the service bears from all hosts;
  //! 0: no bound.
  double cold_rate = 0;
  //! Of the route; zero: none.
  Duration objective{};
};

/*! \brief A chosen target. */
struct TargetChoice {
  //! Null if no target may get the attempt.
  LearnedTarget* target = nullptr;
  //! Estimate for the attempt; has a meaning if there is a target.
  Duration expected{};
};

/**
 * \brief Holds the targets by service and picks the one that is expected to
 * answer first.
 *
 * States stay while attempts are in flight, also once a target is gone.
 */
class TargetSet {
 public:
  /**
   * \brief Makes an empty set.
   * \param domain Failure domain of this host; targets in it are preferred as
   * long as they are about as fast.
   */
  TargetSet(FailureDomain domain, std::uint64_t seed);

  /*! \brief Number of targets of a service that take work. */
  [[nodiscard]] std::size_t Live(const ServiceId& service) const;

  /*! \brief Finds a target by its id; null if it is unknown. */
  [[nodiscard]] LearnedTarget* Find(const TargetId& id);

  /*! \brief Number of targets that take work, over all services. */
  [[nodiscard]] std::size_t size() const noexcept { return m_live; }

  /**
   * \brief Chooses a target.
   * \return No target if none takes work, has room, or suits the reason: a
   * hedge only goes where a slot is likely free.
   */
  [[nodiscard]] TargetChoice Pick(const TargetNeed& need, TimePoint now);

  /**
   * \brief Usual latency of the requests that a service's targets answer.
   * \param other Stands in while none of them has answered.
   */
  [[nodiscard]] Duration UsualOf(const ServiceId& service,
                                 Duration other) const;

  /*! \brief Takes the hosts that share what cold targets bear. */
  void SetHosts(const HostId& self, std::span<const HostId> hosts) {
    m_cold_share.SetHosts(self, hosts);
  }

  /**
   * \brief Replaces the known targets.
   * \param entries All targets of all services; of equal ids the last counts.
   */
  void Replace(std::span<const TargetEntry> entries, TimePoint now);

 private:
  //! Tells whether the target is warm, or this host's share of what it bears
  //! while it is cold allows one more request.
  [[nodiscard]] bool MayLoad(const LearnedTarget& target,
                             const TargetNeed& need,
                             TimePoint now) const;
  [[nodiscard]] double Score(const LearnedTarget& target,
                             const TargetNeed& need,
                             Duration expected,
                             TimePoint now);

  FailureDomain m_domain;
  ColdShare m_cold_share;
  Random m_random;
  std::unordered_map<TargetId, std::unique_ptr<LearnedTarget>> m_targets;
  //! Targets that are not gone.
  std::unordered_map<ServiceId, std::vector<LearnedTarget*>> m_by_service;
  std::size_t m_live = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_TARGET_SET_H_
