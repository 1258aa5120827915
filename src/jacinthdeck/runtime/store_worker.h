// Threads that make the decision thread's store calls.
#ifndef JACINTHDECK_RUNTIME_STORE_WORKER_H_
#define JACINTHDECK_RUNTIME_STORE_WORKER_H_

#include <atomic>
#include <functional>
#include <thread>

#include "jacinthdeck/cluster/store_call.h"
#include "jacinthdeck/core/bounded_ring.h"
#include "jacinthdeck/platform/store_client.h"

namespace jacinthdeck {

/**
 * \brief Carries out store calls, reads and writes on a thread each.
 *
 * A write that waits for a slow store must not hold up the reads by which the
 * node keeps its serving lease; neither holds up a query.
 */
class StoreWorker {
 public:
  /*! \brief Takes the end of a call; called on the worker's threads. */
  using Sink = std::function<void(StoreReply)>;

  /*! \brief Starts the threads; the client outlives them. */
  StoreWorker(StoreClient& client, Sink sink);
  StoreWorker(const StoreWorker&) = delete;
  StoreWorker& operator=(const StoreWorker&) = delete;
  ~StoreWorker();

  /*! \brief Starts a call; false if too many wait, and nothing was written. */
  [[nodiscard]] bool TryPush(StoreRequest request);

 private:
  void Run(BoundedRing<StoreRequest>& ring);

  StoreClient& m_client;
  Sink m_sink;
  BoundedRing<StoreRequest> m_reads;
  BoundedRing<StoreRequest> m_writes;
  std::atomic<bool> m_stop = false;
  std::thread m_reader;
  std::thread m_writer;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_RUNTIME_STORE_WORKER_H_
