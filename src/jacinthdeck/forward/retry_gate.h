// Holds the retries and hedges of a call back while one of them shows whether
// the request can be run.
#ifndef JACINTHDECK_FORWARD_RETRY_GATE_H_
#define JACINTHDECK_FORWARD_RETRY_GATE_H_

#include <algorithm>
#include <cstddef>
#include <optional>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/**
 * \brief Lets one attempt of a call go ahead while its request is in doubt.
 *
 * A request that crashes what runs it breaks the attempts of all shards at
 * about the same time. Attempts that are sent before it is known why would end
 * a second target of each shard. So the first one after a break, or the first
 * hedge of a call without any answer, is a canary, and the others wait.
 *
 * Neither the number of breaks nor the time between them tells such a request
 * from the loss of a failure domain, which breaks a third of the attempts of a
 * harmless call at once. Answers do: a complete response to the canary ends the
 * doubt, and so do as many responses as attempts broke. Both come within the
 * time of one attempt. A single break costs nothing, as its own retry is the
 * canary.
 */
class RetryGate {
 public:
  /*! \brief Returns whether an attempt must wait for the canary. A canary
   * without an answer by its time limit no longer holds the next one: its
   * target may be paused. */
  [[nodiscard]] bool MustWait(TimePoint now) const noexcept {
    return IsInDoubt() && m_canary.has_value() && now < m_canary_until;
  }

  /*! \brief Returns whether the next attempt is a canary. */
  [[nodiscard]] bool NeedsCanary(TimePoint now) const noexcept {
    return IsInDoubt() && !MustWait(now);
  }

  /*! \brief Returns whether an attempt is the latest canary. */
  [[nodiscard]] bool IsCanary(AttemptId attempt) const noexcept {
    return m_canary == attempt;
  }

  /*! \brief Records that an attempt broke after its request was sent. */
  void OnBroken() noexcept { ++m_breaks; }

  /*! \brief Records that a hedge is due. Usually most shards have answered by
   * then; a request without any answer may crash its targets after some time.
   */
  void OnHedgeDue() noexcept { m_hedge_due = true; }

  /*! \brief Records that a canary is sent, for which others wait until \p until
   * at most. */
  void OnCanarySent(AttemptId attempt, TimePoint until) noexcept {
    m_canary = attempt;
    m_canary_until = until;
  }

  /*! \brief Records a complete response; returns true if it ended the doubt, so
   * that the attempts that wait may be sent. */
  [[nodiscard]] bool OnAnswered(AttemptId attempt) noexcept {
    const bool was_in_doubt = IsInDoubt();
    ++m_answers;
    m_canary_answered = m_canary_answered || m_canary == attempt;
    return was_in_doubt && !IsInDoubt();
  }

  /*! \brief Records the end of an attempt that says nothing of its request; if
   * it is the canary, the next one may go at once. A canary that broke holds
   * the next one until its time limit instead: by then a check of its target
   * usually shows whether it ended. */
  void OnInconclusive(AttemptId attempt) noexcept {
    if (m_canary == attempt) {
      m_canary.reset();
    }
  }

 private:
  [[nodiscard]] bool IsInDoubt() const noexcept {
    return (m_breaks > 0 || m_hedge_due) && !m_canary_answered &&
           m_answers < std::max<std::size_t>(m_breaks, 1);
  }

  //! Attempts of the call that broke, and complete responses to it.
  std::size_t m_breaks = 0;
  std::size_t m_answers = 0;
  bool m_hedge_due = false;
  bool m_canary_answered = false;
  //! The latest canary; it may have ended.
  std::optional<AttemptId> m_canary;
  //! Valid with m_canary.
  TimePoint m_canary_until;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_RETRY_GATE_H_
