// Scripted outage of the stand-in store that ends with a restore of an older
// snapshot.
#ifndef JACINTHDECK_STANDINS_STORE_RESTORE_DRILL_H_
#define JACINTHDECK_STANDINS_STORE_RESTORE_DRILL_H_

#include <thread>

#include "jacinthdeck/core/time.h"
#include "store/store_server.h"

namespace jacinthdeck::standins {

/*! \brief Times of the steps, from the start of the drill. */
struct RestoreTimes {
  //! The snapshot is taken.
  Duration snapshot{};
  //! The store stops answering; no later than at the restore.
  Duration silent{};
  //! The snapshot is restored and the store answers again.
  Duration restore{};
};

/*! \brief Runs one snapshot, outage and restore on a thread of its own. */
class RestoreDrill {
 public:
  /*! \brief Starts the drill; the server must outlive it. */
  RestoreDrill(StoreServer& server, const RestoreTimes& times);

  /*! \brief Waits until the drill has ended. */
  void Join() { m_thread.join(); }

 private:
  //! Its destructor stops the drill before its next step.
  std::jthread m_thread;
};

}  // namespace jacinthdeck::standins

#endif  // JACINTHDECK_STANDINS_STORE_RESTORE_DRILL_H_
