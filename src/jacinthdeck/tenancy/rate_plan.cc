// Divides the tolerance: late grants, whole tokens, late reports, reserves.
#include "jacinthdeck/tenancy/rate_plan.h"

#include <algorithm>
#include <cmath>

namespace jacinthdeck {

namespace {

//! Tokens that a bucket holds beyond the burst, in seconds of the rate. The
//! requests admitted from a reserve are deducted up to this much later, and a
//! full bucket gains nothing meanwhile.
constexpr double kReportDelaySeconds = 0.05;
//! Part of the reserve that is not used: fronts may differ for a short time on
//! how many they are, and clocks run at slightly different speeds.
constexpr double kViewMargin = 0.05;
//! The host with more than half of the shares gains at most this part of a
//! token.
constexpr double kWholeToken = 0.5;
//! One part in so many is for processes that have just started. Shares are
//! leased within some round trips after a start, so that less is needed then.
constexpr std::uint32_t kStartPart = 4;
//! With empty buckets and demand at the usual rate, few requests wait for
//! tokens at a time, whatever the rate. A smaller part refuses requests within
//! the limit after a restart of all hosts.
constexpr std::uint32_t kMostAtStart = 9;
//! Bounds the memory that a reserve takes.
constexpr double kMaxReserve = 100000;

[[nodiscard]] double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

RatePlan PlanRate(double rate, double burst, const RateTolerance& tolerance) {
  const double window = Seconds(tolerance.window);
  const double bound =
      (rate * window + burst) * (1 + tolerance.overshoot) + tolerance.slack;
  if (rate <= 0 || bound < 1) {
    return {};
  }
  const double span = window + Seconds(kGrantLifetime);
  RatePlan plan;
  plan.burst = std::clamp(bound - rate * span, 1.0, std::max(burst, 1.0));
  plan.rate = std::min(rate, (bound - plan.burst) / span);
  double rest = std::max(bound - plan.rate * span - plan.burst, 0.0);
  plan.whole_token = rest >= kWholeToken;
  rest -= plan.whole_token ? kWholeToken : 0;
  const double lead = std::min(rest, plan.rate * kReportDelaySeconds);
  plan.burst += lead;
  rest = std::min((rest - lead) * (1 - kViewMargin), kMaxReserve);
  const auto whole = static_cast<std::uint32_t>(std::floor(rest));
  plan.start_reserve =
      std::min((whole + kStartPart - 1) / kStartPart, kMostAtStart);
  plan.reserve = whole - plan.start_reserve;
  return plan;
}

std::uint32_t ReserveOf(std::uint32_t reserve,
                        std::uint32_t sharers,
                        std::uint32_t rank) noexcept {
  const std::uint32_t fronts = std::max(sharers, 1U);
  return reserve / fronts + (rank < reserve % fronts ? 1 : 0);
}

}  // namespace jacinthdeck
