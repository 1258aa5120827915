// The time that callers of a route usually have left when they call.
#ifndef JACINTHDECK_FORWARD_USUAL_TIME_LEFT_H_
#define JACINTHDECK_FORWARD_USUAL_TIME_LEFT_H_

#include "jacinthdeck/core/time.h"
#include "jacinthdeck/query/latency_quantile.h"

namespace jacinthdeck {

/**
 * \brief Tells callers that return from those that call for the first time.
 *
 * Callers send the time that they still wait. A first try has all of it, so the
 * upper end of the recent values is the time of a first try.
 */
class UsualTimeLeft {
 public:
  /*! \brief Adds the time left of a call at its arrival. */
  void Add(Duration time_left) noexcept { m_usual.Add(time_left); }

  /*! \brief Returns whether a call with this time left was made before: a
   * refused caller has waited for at least the shortest retry time. */
  [[nodiscard]] bool IsReturning(Duration time_left) const noexcept {
    return static_cast<double>(time_left.count()) <
           kReturningShare * static_cast<double>(m_usual.value().count());
  }

 private:
  //! The estimate moves by 5% a call, and callers that return after the
  //! shortest retry time (150 ms of 1,500) have a tenth less than usual.
  static constexpr double kReturningShare = 0.92;

  //! Under overload most calls may be repeated ones; a high quantile still is
  //! a first try.
  LatencyQuantile m_usual{0.95};
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_USUAL_TIME_LEFT_H_
