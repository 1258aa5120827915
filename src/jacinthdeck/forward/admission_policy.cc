// Estimates waits from the pace of recent starts.
#include "jacinthdeck/forward/admission_policy.h"

#include <algorithm>

namespace jacinthdeck {

namespace {

using std::chrono::milliseconds;

//! Part of the delay limit for which a call waits as one in time. With half of
//! the limit, fewer calls are answered at the capacity of the targets.
constexpr double kInTimeWaitShare = 0.8;
//! Maximum expected delay for the start of a waiting call, relative to the
//! smallest limit of its group. With 1.5, calls with a short objective are
//! delayed by the others in a lasting overload, and fewer calls are answered
//! beside an account far above its rate.
constexpr double kStartLimitFactor = 1.2;
//! The same while less than kPeakShare of the calls cannot start at once, as in
//! a short peak. A larger share answers more calls at the capacity of the
//! targets, but fewer in time where callers above it do not retry.
constexpr double kPeakLimitFactor = 2;
constexpr double kPeakShare = 0.25;
//! Maximum expected delay for the start of a late call, relative to that for
//! one in time.
constexpr double kLateDelayShare = 0.2;
//! Starts per second that are expected without recent ones, so that a few calls
//! wait and their starts are measured.
constexpr double kMinStartsPerSecond = 4;
//! Part of its time that a first try may expect to wait. Its caller can still
//! return; a caller that has returned may expect to wait for all of its time.
constexpr double kFirstTryWaitShare = 0.5;
//! Callers honour a retry time up to a third of the time they have left.
constexpr int kHonouredDivisor = 3;
//! Shortest retry time: before that the same calls are still in the queues.
constexpr Duration kMinWaitRetryAfter = milliseconds(150);
//! Calls of one to two periods decide the smallest limit of a group.
constexpr Duration kLimitPeriod = milliseconds(2000);
constexpr Duration kMaxWaitRetryAfter = milliseconds(2000);

[[nodiscard]] Duration Scaled(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(duration.count()) * factor));
}

[[nodiscard]] Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

TimePoint AdmissionPolicy::InTimeUntil(TimePoint arrived, Duration limit) {
  return arrived + Scaled(limit, kInTimeWaitShare);
}

bool AdmissionPolicy::MayStart(const WaitingCall& call,
                               WaitClass wait_class,
                               Duration expected,
                               Duration limit,
                               TimePoint now) {
  if (wait_class == WaitClass::kLate) {
    return expected <= Scaled(limit, kLateDelayShare) &&
           now + expected <= call.start_by;
  }
  return expected <= limit;
}

bool AdmissionPolicy::MayWait(const WaitingCalls& waiting,
                              const WaitingCall& call,
                              WaitClass wait_class,
                              TimePoint now) const {
  const bool late = wait_class == WaitClass::kLate;
  const Duration room = (late ? call.start_by : call.in_time_until) - now;
  if (room <= Duration::zero()) {
    return false;
  }
  const double starts = waiting.StartsAhead(call, wait_class) + 1;
  const Duration wait =
      FromSeconds(starts / StartsPerSecond(call.group, wait_class, now));
  const bool may_return = late && !call.returning;
  return wait <= (may_return ? Scaled(room, kFirstTryWaitShare) : room);
}

double AdmissionPolicy::StartsPerSecond(const ServiceId& group,
                                        WaitClass wait_class,
                                        TimePoint now) const {
  const auto found = m_paces.find(group);
  if (found == m_paces.end()) {
    return kMinStartsPerSecond;
  }
  const RecentRate& rate = wait_class == WaitClass::kLate
                               ? found->second.late
                               : found->second.in_time;
  return kMinStartsPerSecond + rate.PerSecond(now);
}

void AdmissionPolicy::OnCall(const ServiceId& group,
                             Duration limit,
                             TimePoint now) {
  Pace& pace = m_paces[group];
  if (now - pace.period_start >= kLimitPeriod) {
    pace.former_limits = pace.present_limits;
    pace.present_limits = {};
    pace.period_start = now;
  }
  LimitRange& limits = pace.present_limits;
  limits.smallest = std::min(limits.smallest, limit);
  limits.largest = std::max(limits.largest, limit);
}

Duration AdmissionPolicy::StartLimit(const ServiceId& group) const {
  const auto found = m_paces.find(group);
  if (found == m_paces.end()) {
    return Duration::zero();
  }
  const LimitRange& present = found->second.present_limits;
  const LimitRange& former = found->second.former_limits;
  return std::min(
      Scaled(std::min(present.smallest, former.smallest),
             found->second.blocked.value() < kPeakShare ? kPeakLimitFactor
                                                        : kStartLimitFactor),
      std::max(present.largest, former.largest));
}

void AdmissionPolicy::OnOffered(const ServiceId& group, bool starts) {
  m_paces[group].blocked.Add(starts ? 0 : 1);
}

void AdmissionPolicy::OnStart(const ServiceId& group,
                              WaitClass wait_class,
                              TimePoint now) {
  Pace& pace = m_paces[group];
  (wait_class == WaitClass::kLate ? pace.late : pace.in_time).Add(now);
}

Duration AdmissionPolicy::RetryAfter(const ServiceId& group,
                                     Duration drain_time,
                                     Duration time_left,
                                     TimePoint now) {
  const Duration earliest =
      std::clamp(drain_time, kMinWaitRetryAfter, kMaxWaitRetryAfter);
  const Duration latest = std::max(
      std::min(time_left / kHonouredDivisor, kMaxWaitRetryAfter), earliest);
  Pace& pace = m_paces[group];
  const Duration gap =
      FromSeconds(1 / StartsPerSecond(group, WaitClass::kInTime, now));
  const TimePoint slot = std::max(now + earliest, pace.last_return + gap);
  if (slot <= now + latest) {
    pace.last_return = slot;
    return slot - now;
  }
  // All the time that callers would wait is given away: they are spread evenly
  // over it.
  return earliest + Scaled(latest - earliest, m_random.Unit());
}

}  // namespace jacinthdeck
