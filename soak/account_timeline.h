// Which accounts and keys were in force at a time of a run.
#ifndef SOAK_ACCOUNT_TIMELINE_H_
#define SOAK_ACCOUNT_TIMELINE_H_

#include <optional>
#include <set>
#include <string>

#include "soak/bounds.h"
#include "soak/history.h"

namespace jacinthdeck::soak {

/**
 * \brief Answers questions about the accounts of a history, which must outlive
 * it.
 *
 * A version may be in force from just before it is written until the store has
 * confirmed the next one; the caller of a function adds the time that changes
 * take to reach the entries.
 */
class AccountTimeline {
 public:
  AccountTimeline(const History& history, const Bounds& bounds)
      : m_history(history), m_bounds(bounds) {}

  /*! \brief Returns whether the run has no accounts. */
  [[nodiscard]] bool empty() const noexcept {
    return m_history.account_versions.empty();
  }

  /*! \brief Returns the account that has a key in any version; empty if none
   * has. */
  [[nodiscard]] std::string OwnerOf(const std::string& key) const;

  /*! \brief Returns the names of the accounts with a limit. */
  [[nodiscard]] std::set<std::string> LimitedAccounts() const;

  /*! \brief Returns whether a version with the key may be in force at some time
   * of a period. */
  [[nodiscard]] bool MayHold(const std::string& key,
                             TimePoint from,
                             TimePoint to) const;

  /*! \brief Returns whether the key is in force throughout a period. */
  [[nodiscard]] bool MustHold(const std::string& key,
                              TimePoint from,
                              TimePoint to) const;

  /*! \brief Returns the requests that an account is allowed in the window that
   * begins at a time, with tolerance; empty if it has no limit. A limit that
   * was replaced counts until one window after all entries can have its
   * successor. */
  [[nodiscard]] std::optional<double> AllowanceFrom(const std::string& account,
                                                    TimePoint begin) const;

  /*! \brief Returns the lowest limit that an account has in the run; empty if
   * it has none. */
  [[nodiscard]] std::optional<Account> LowestLimit(
      const std::string& account) const;

  /*! \brief Returns whether accounts give no reason to refuse a call: its key
   * is in force and has no limit, or its route is public. */
  [[nodiscard]] bool MustBeServed(const Call& call) const;

 private:
  //! Returns the time by which all entries have a change that was confirmed at
  //! a time: after faults that kept it from them. max() if one lasts.
  [[nodiscard]] TimePoint AppliedAt(TimePoint confirmed) const;

  const History& m_history;
  const Bounds m_bounds;
};

}  // namespace jacinthdeck::soak

#endif  // SOAK_ACCOUNT_TIMELINE_H_
