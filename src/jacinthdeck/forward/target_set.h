// Known targets, and the choice of one for an attempt.
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

/*! \brief What an attempt requires of its target. */
struct TargetCriteria {
  ServiceId service;
  //! Latency of the route.
  LatencyEstimate route_latency;
  //! Targets that were already sent this request.
  std::span<const TargetId> tried;
  AttemptReason reason = AttemptReason::kFirst;
  TargetShare share;
  //! The call cannot be answered without this attempt. Only attempts of this
  //! kind then count against this host's share of a target, so that fan-outs
  //! that can do without a shard leave capacity at it. Otherwise a call for one
  //! service would find the share used up by fan-outs and be refused. The
  //! connection limit applies to both kinds together.
  bool required = true;
  //! Time within which an answer is useful. A target that is expected to take
  //! longer gets no hedge, and only one attempt of this host at a time, which
  //! is enough to detect that it is fast again. This also keeps hedges away
  //! from targets that shed requests.
  Duration useful_time = Duration::max();
  //! Requests a second that a cold target of the service can handle from all
  //! hosts; 0 for no limit.
  double cold_rate = 0;
  //! Objective of the route; zero if it has none.
  Duration objective{};
};

/*! \brief Chosen target. */
struct TargetChoice {
  //! Null if no target may get the attempt.
  TrackedTarget* target = nullptr;
  //! Expected delay of the attempt; valid if there is a target.
  Duration expected{};
};

/**
 * \brief Holds the targets by service and chooses the one that is expected to
 * answer first.
 *
 * A target that was removed from the registry is kept while it has attempts in
 * flight.
 */
class TargetSet {
 public:
  /**
   * \brief Creates an empty set.
   * \param domain Failure domain of this host; targets in it are preferred as
   * long as they are about as fast as others.
   */
  TargetSet(FailureDomain domain, std::uint64_t seed);

  /*! \brief Number of targets of a service that accept requests and refuse no
   * connections. */
  [[nodiscard]] std::size_t CountLive(const ServiceId& service) const;

  /*! \brief Targets of a service that would accept requests, but refuse
   * connections. */
  [[nodiscard]] std::vector<TargetId> Unreachable(
      const ServiceId& service) const;

  /*! \brief Finds a target by its id; null if it is unknown. */
  [[nodiscard]] TrackedTarget* Find(const TargetId& id);

  /*! \brief Returns whether a target that was registered later has the address
   * of this one, whose process has then ended. */
  [[nodiscard]] bool IsAddressReused(const TrackedTarget& target) const;

  /*! \brief Number of targets of all services that accept requests by their
   * entries. */
  [[nodiscard]] std::size_t size() const noexcept { return m_available; }

  /**
   * \brief Chooses a target.
   * \return No target if none accepts requests and connections, has capacity,
   * is within its cold limit and suits the reason and the useful time: a hedge
   * is sent only where a slot is likely free.
   */
  [[nodiscard]] TargetChoice Pick(const TargetCriteria& criteria,
                                  TimePoint now);

  /**
   * \brief Mean latency of the requests that the targets of a service answer.
   * \param fallback Returned if no target has a measured latency yet.
   */
  [[nodiscard]] Duration MeanServedLatency(const ServiceId& service,
                                           Duration fallback) const;

  /*! \brief Sets the hosts that share the request rate of cold targets. */
  void SetHosts(const HostId& self, std::span<const HostId> hosts) {
    m_cold_limiter.SetHosts(self, hosts);
  }

  /**
   * \brief Replaces the known targets.
   * \param entries All targets of all services; of entries with equal ids the
   * last one counts.
   */
  void Replace(std::span<const TargetEntry> entries, TimePoint now);

 private:
  //! Returns whether the target is not cold, or this host's share of its
  //! request rate allows one more request.
  [[nodiscard]] bool IsWithinColdLimit(const TrackedTarget& target,
                                       const TargetCriteria& criteria,
                                       TimePoint now) const;
  [[nodiscard]] double Score(const TrackedTarget& target,
                             const TargetCriteria& criteria,
                             Duration expected,
                             TimePoint now);

  FailureDomain m_domain;
  ColdTargetLimiter m_cold_limiter;
  Random m_random;
  std::unordered_map<TargetId, std::unique_ptr<TrackedTarget>> m_targets;
  //! Targets in the registry.
  std::unordered_map<ServiceId, std::vector<TrackedTarget*>> m_by_service;
  std::size_t m_available = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_TARGET_SET_H_
