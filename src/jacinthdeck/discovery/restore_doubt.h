// Delays outdated entries of a store that was restored from a backup.
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
 * \brief Holds back entries of a backup that this host knows to be outdated.
 *
 * The backup still holds what was removed after it was taken: targets that
 * left, whose addresses may have new owners, and evacuations that were ended.
 * Such an entry is applied once it is written again, or if it is still present
 * after the time in which the store drops entries that nobody renews.
 */
class RestoreGuard {
 public:
  //! A restore loses at most the writes of this time; the backup already
  //! reflects older removals.
  static constexpr Duration kMaxLossWindow = std::chrono::seconds(60);

  /**
   * \brief Records the removal of a key.
   * \param hold_time How long the key's entry of a backup is held back.
   */
  void OnRemoved(const std::string& key, Duration hold_time, TimePoint now);

  /*! \brief Records a write of a key that is not held back. */
  void OnWritten(const std::string& key) { m_removed.erase(key); }

  /*! \brief Holds back the restored entry of a key until a moment. */
  void HoldUntil(const std::string& key, TimePoint until);

  /**
   * \brief Begins to hold back all keys that were removed within
   * kMaxLossWindow.
   * \param position Position of the first full read after the restore: later
   * changes were written since.
   */
  void OnRestored(const StorePosition& position, TimePoint now);

  /*! \brief Stores a change that must be held back. A change that was made
   * after the restore, or a removal, ends the delay of its key.
   * \return True if the change is held back; the caller does not apply it. */
  [[nodiscard]] bool HoldBack(const StoreChange& change, TimePoint now);

  /*! \brief Ends the delay of keys that a full read does not list. */
  void KeepOnly(const std::set<std::string>& listed);

  /*! \brief Returns the earliest moment at which a delay ends. */
  [[nodiscard]] std::optional<TimePoint> NextRelease() const;

  /*! \brief Ends the delays that are due.
   * \return The entries that were held back. */
  [[nodiscard]] std::vector<StoreChange> TakeReleased(TimePoint now);

 private:
  struct Delay {
    TimePoint until;
    //! Entry of the backup; nothing while none was read for the key.
    std::optional<StoreChange> entry;
  };

  struct Removal {
    TimePoint at;
    Duration hold_time{};
  };

  //! Removals of the last kMaxLossWindow, by key.
  std::map<std::string, Removal> m_removed;
  std::map<std::string, Delay> m_delays;
  StorePosition m_restored_position;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_DISCOVERY_RESTORE_DOUBT_H_
