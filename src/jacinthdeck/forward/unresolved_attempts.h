// Attempts without a response whose targets may have ended under them.
#ifndef JACINTHDECK_FORWARD_UNRESOLVED_ATTEMPTS_H_
#define JACINTHDECK_FORWARD_UNRESOLVED_ATTEMPTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/core/timer_queue.h"

namespace jacinthdeck {

/*! \brief Result of a check whether a target accepts connections. */
enum class TargetCheck {
  kReachable,
  //! The connection was refused: nothing listens at the address.
  kUnreachable,
  //! The connection was accepted and then reset: the target has reached its
  //! connection limit, or ended with connections that it had not accepted yet,
  //! or a proxy without a target listens at the address.
  kReset,
  //! Nothing answered: the target has ended, or cannot be reached from here.
  kTimedOut,
  //! No connection could be tried.
  kUnknown,
};

/*! \brief An attempt that ended without a complete response. */
struct UnresolvedAttempt {
  Fingerprint fingerprint;
  ServiceId service;
  TargetId target;
  //! Start of the target's process, as in its entry.
  std::uint64_t target_started_ms = 0;
  TimePoint sent;
  //! Whether the request was suspect when the attempt was sent.
  bool probe = false;
  //! The target closed the connection. Otherwise this host did, and the target
  //! may go on with the request.
  bool closed_by_target = false;
  //! Time from which a sign of life shows that the target survived the attempt.
  TimePoint due;
};

/**
 * \brief Keeps attempts until it is known whether their targets still run.
 *
 * A closed connection alone is no evidence of a crash: targets lose answers,
 * and links are reset. Whether the target ended under the attempt is known once
 * it answers a later one, refuses connections or leaves the registry.
 */
class UnresolvedAttempts {
 public:
  using Attempts = std::vector<UnresolvedAttempt>;

  //! Maximum number of attempts held; further ones count as survived.
  static constexpr std::size_t kMaxAttempts = 4096;
  //! How long after it was due an attempt is held. Longer than the entry of a
  //! target that has ended is listed.
  static constexpr Duration kRetention = std::chrono::seconds(6);
  //! Delay of the check after an attempt that this host gave up: most targets
  //! answer a later one first.
  static constexpr Duration kCheckDelay = std::chrono::milliseconds(100);
  //! Pause before a target that could not be checked is checked again.
  static constexpr Duration kCheckPause = std::chrono::milliseconds(50);
  //! Longest pause after checks whose connections were reset; it is doubled
  //! with each of them, since a target at its connection limit may run on.
  static constexpr Duration kMaxCheckPause = std::chrono::seconds(1);

  [[nodiscard]] std::size_t size() const noexcept { return m_size; }
  /*! \brief Returns the targets with unresolved attempts. */
  [[nodiscard]] std::vector<TargetId> Targets() const;
  /*! \brief Returns whether an attempt was sent to another process of the
   * target than the one that started at \p started_ms. */
  [[nodiscard]] bool IsOfEarlierProcess(const TargetId& target,
                                        std::uint64_t started_ms) const;
  /*! \brief Returns when the check of a target in progress began; empty if
   * there is none. */
  [[nodiscard]] std::optional<TimePoint> CheckingSince(
      const TargetId& target) const;
  /*! \brief Returns when TakeDue() has something to do. */
  [[nodiscard]] std::optional<TimePoint> NextDue() const {
    return m_timers.Next();
  }

  /*! \brief Adds an attempt; returns false if the table is full. */
  [[nodiscard]] bool Add(const UnresolvedAttempt& attempt, TimePoint now);

  /*! \brief Removes and returns the attempts that the target survived, as it
   * answered a request sent at \p sent. */
  [[nodiscard]] Attempts OnAnswered(const TargetId& target, TimePoint sent);

  /*! \brief Removes and returns all attempts at a target, which has ended or is
   * shutting down. */
  [[nodiscard]] Attempts OnTargetGone(const TargetId& target);

  /**
   * \brief Processes the result of a check that TakeDue() asked for.
   *
   * A reachable target survived the attempts whose connection it had closed. It
   * says nothing of the others: another process may listen at its address by
   * now. For an unreachable one call OnTargetGone(); after another result it is
   * checked again.
   * \return The attempts that the target survived, which are removed.
   */
  [[nodiscard]] Attempts OnChecked(const TargetId& target,
                                   TargetCheck result,
                                   TimePoint now);

  /*! \brief What is due: targets to check, and attempts that expired. */
  struct Due {
    std::vector<TargetId> to_check;
    Attempts expired;
  };
  [[nodiscard]] Due TakeDue(TimePoint now);

 private:
  struct Held {
    UnresolvedAttempt attempt;
    //! When the target is checked for it; empty once it was.
    std::optional<TimePoint> check_at;
  };
  struct Target {
    std::vector<Held> attempts;
    //! Start of the check in progress.
    std::optional<TimePoint> checking_since;
    //! Pause after the next check whose connection is reset.
    Duration reset_pause = kCheckPause;
  };

  //! Removes the attempts of a target that match a predicate, and returns them.
  template <typename Predicate>
  [[nodiscard]] Attempts Take(const TargetId& target, Predicate matches);
  void Rearm(const TargetId& id);

  //! Targets with at least one attempt.
  std::map<TargetId, Target> m_targets;
  std::size_t m_size = 0;
  //! One timer for each element of m_targets.
  TimerQueue<TargetId> m_timers;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_UNRESOLVED_ATTEMPTS_H_
