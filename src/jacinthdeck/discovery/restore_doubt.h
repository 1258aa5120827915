// What a host doubts of a store that came back from a copy.
#ifndef JACINTHDECK_DISCOVERY_RESTORE_DOUBT_H_
#define JACINTHDECK_DISCOVERY_RESTORE_DOUBT_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "jacinthdeck/core/time.h"
#include "jacinthdeck/discovery/store_types.h"

namespace jacinthdeck {

/**
 * \brief Puts off entries of the copy that this host knows to be out of date.
 *
 * The copy still holds what was removed after it was made: targets that left,
 * whose addresses may have new owners, and orders that were taken back. Such an
 * entry counts once it is written again, or if it is still there after the time
 * in which the store drops entries that nobody renews.
 */
class RestoreGuard {
 public:
  //! Removals before that were in the copy already.
  static constexpr Duration kMaxLossWindow = std::chrono::seconds(60);

  /**
   * \brief Takes the removal of a key.
   * \param hold_time How long a copy's entry of it is put off.
   */
  void OnRemoved(const std::string& key, Duration hold_time, TimePoint now);

  /*! \brief Takes that a key was written, other than by a copy. */
  void OnWritten(const std::string& key) { m_removed.erase(key); }

  /*! \brief Begins to doubt a key. */
  void HoldUntil(const std::string& key, TimePoint until);

  /**
   * \brief Begins to doubt all keys that were removed lately.
   * \param position Of the first reading of the copy: what is later was
   * written since.
   */
  void OnRestored(const StorePosition& position, TimePoint now);

  /*! \brief Tells whether a change is put off; it is kept then. A change that
   * was made after the restore ends the doubt of its key. */
  [[nodiscard]] bool HoldBack(const StoreChange& change, TimePoint now);

  /*! \brief Ends the doubt of keys that a reading does not name. */
  void KeepOnly(const std::set<std::string>& listed);

  /*! \brief Earliest moment at which TakeReleased() gives something. */
  [[nodiscard]] std::optional<TimePoint> NextRelease() const;

  /*! \brief Ends doubts that are due.
   * \return The entries that were put off. */
  [[nodiscard]] std::vector<StoreChange> TakeReleased(TimePoint now);

 private:
  struct Delay {
    TimePoint until;
    //! Of the copy; nothing if it does not hold the key.
    std::optional<StoreChange> entry;
  };

  struct Removal {
    TimePoint at;
    Duration hold_time{};
  };

  //! Keys that were removed within kMaxLossWindow.
  std::map<std::string, Removal> m_removed;
  std::map<std::string, Delay> m_delays;
  StorePosition m_restored_position;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_DISCOVERY_RESTORE_DOUBT_H_
