// A restore of the stand-in store at set times.
#ifndef JACINTHDECK_STANDINS_STORE_RESTORE_DRILL_H_
#define JACINTHDECK_STANDINS_STORE_RESTORE_DRILL_H_

#include <thread>

#include "jacinthdeck/core/time.h"
#include "store/store_server.h"

namespace jacinthdeck::standins {

/*! \brief Times from the start of a drill. */
struct RestoreTimes {
  //! A copy is kept.
  Duration snapshot{};
  //! The store answers nobody from then on; at the restore at the latest.
  Duration silent{};
  //! The store comes back from the copy.
  Duration restore{};
};

/*! \brief Plays one restore from an older copy on a thread of its own. */
class RestoreDrill {
 public:
  /*! \brief Starts the drill; the server outlives it. */
  RestoreDrill(StoreServer& server, const RestoreTimes& times);

  /*! \brief Waits until the store is back. */
  void Join() { m_thread.join(); }

 private:
  //! Its end stops the drill between two steps.
  std::jthread m_thread;
};

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_STORE_RESTORE_DRILL_H_
