// Decides whether a call may wait, when it starts, and when a refused caller
// returns.
#ifndef JACINTHDECK_FORWARD_ADMISSION_POLICY_H_
#define JACINTHDECK_FORWARD_ADMISSION_POLICY_H_

#include <cstdint>
#include <unordered_map>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/random.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/forward/recent_rate.h"
#include "jacinthdeck/forward/waiting_call.h"
#include "jacinthdeck/forward/waiting_calls.h"
#include "jacinthdeck/routing/decaying_average.h"

namespace jacinthdeck {

/**
 * \brief Decisions on calls that find their targets loaded.
 *
 * A call in time starts once the expected delay is within the limit of its
 * group, and waits for less than its own limit. A late call starts only when
 * the expected delay is far below the limit and no call in time waits: at
 * several times the capacity there is no such room, and late calls are refused
 * instead of waiting in vain.
 */
class AdmissionPolicy {
 public:
  explicit AdmissionPolicy(std::uint64_t seed) : m_random(seed) {}

  /*! \brief Returns the latest start at which a call counts as in time.
   * \param limit Maximum expected delay of a call that starts at once. */
  [[nodiscard]] static TimePoint InTimeUntil(TimePoint arrived, Duration limit);

  /*! \brief Returns whether a waiting call may start now.
   * \param limit Result of StartLimit(). */
  [[nodiscard]] static bool MayStart(const WaitingCall& call,
                                     WaitClass wait_class,
                                     Duration expected,
                                     Duration limit,
                                     TimePoint now);

  /*! \brief Returns whether a call that waits is likely to start as one of a
   * class before it is too late for that. */
  [[nodiscard]] bool MayWait(const WaitingCalls& waiting,
                             const WaitingCall& call,
                             WaitClass wait_class,
                             TimePoint now) const;

  /*! \brief Counts a call of a group.
   * \param limit Maximum expected delay at which it starts at once. */
  void OnCall(const ServiceId& group, Duration limit, TimePoint now);

  /**
   * \brief Returns the maximum expected delay at which a waiting call of a
   * group starts, from the limits of its recent calls.
   *
   * Waiting calls use every bit of room. Up to their own limit, those with a
   * long objective would keep the queues of the targets too long for all calls
   * with a short one, however urgent.
   */
  [[nodiscard]] Duration StartLimit(const ServiceId& group) const;

  /*! \brief Counts a call that found live targets.
   * \param starts Whether it starts at once. */
  void OnOffered(const ServiceId& group, bool starts);

  /*! \brief Counts the start of a call, also of one that did not wait. */
  void OnStart(const ServiceId& group, WaitClass wait_class, TimePoint now);

  /**
   * \brief Returns when a refused caller should return. Callers are spread, so
   * that they do not meet.
   * \param drain_time Time after which room is expected.
   * \param time_left Time that the caller has left.
   */
  [[nodiscard]] Duration RetryAfter(const ServiceId& group,
                                    Duration drain_time,
                                    Duration time_left,
                                    TimePoint now);

 private:
  //! About the calls of a second at a host.
  static constexpr std::uint32_t kBlockedWindow = 100;

  //! Limits on the expected delay of calls.
  struct LimitRange {
    Duration smallest = std::chrono::hours(1);
    Duration largest{};
  };
  //! Recent starts of a group, and when its refused callers return.
  struct Pace {
    RecentRate in_time{std::chrono::milliseconds(1000)};
    //! Longer, as late calls start in bursts between others.
    RecentRate late{std::chrono::milliseconds(3000)};
    //! Limits of the calls in the present and the former period.
    LimitRange present_limits;
    LimitRange former_limits;
    TimePoint period_start;
    //! Part of the recent calls that could not start at once.
    DecayingAverage blocked{kBlockedWindow};
    //! When the last one of the refused callers returns.
    TimePoint last_return;
  };

  //! Returns the starts per second that calls of a class can expect.
  [[nodiscard]] double StartsPerSecond(const ServiceId& group,
                                       WaitClass wait_class,
                                       TimePoint now) const;

  Random m_random;
  //! As many as services.
  std::unordered_map<ServiceId, Pace> m_paces;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_ADMISSION_POLICY_H_
