// The decision thread and the ring in front of it.
#ifndef JACINTHDECK_RUNTIME_DECISION_LOOP_H_
#define JACINTHDECK_RUNTIME_DECISION_LOOP_H_

#include <atomic>
#include <cstddef>
#include <memory>
#include <thread>

#include "jacinthdeck/core/bounded_ring.h"
#include "jacinthdeck/core/clock.h"
#include "jacinthdeck/runtime/decision_core.h"

namespace jacinthdeck {

/*! \brief Runs a DecisionCore on a thread of its own. */
class DecisionLoop {
 public:
  /**
   * \brief Makes the ring; the thread starts with Start().
   * \param clock Runtime clock; outlives the loop.
   * \param queue Events that may wait.
   */
  DecisionLoop(const Clock& clock, std::size_t queue);
  DecisionLoop(const DecisionLoop&) = delete;
  DecisionLoop& operator=(const DecisionLoop&) = delete;
  ~DecisionLoop();

  /**
   * \brief Hands an event over.
   * \param event Moved from only if there is room.
   * \return False if the ring is full; nothing has happened then.
   */
  [[nodiscard]] bool TryPush(DecisionEvent& event);

  /*! \brief Starts the thread; called once. */
  void Start(std::unique_ptr<DecisionCore> core);

  /*! \brief Ends and joins the thread; what is in the ring is dropped. */
  void Stop();

 private:
  void Run();

  const Clock& m_clock;
  BoundedRing<DecisionEvent> m_ring;
  std::unique_ptr<DecisionCore> m_core;
  std::atomic<bool> m_stop = false;
  std::thread m_thread;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_RUNTIME_DECISION_LOOP_H_
