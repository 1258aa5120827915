// The thread that talks to targets: HTTP over kept connections with libcurl
// multi.
#ifndef JACINTHDECK_RUNTIME_TARGET_TRANSPORT_H_
#define JACINTHDECK_RUNTIME_TARGET_TRANSPORT_H_

#include <cstddef>
#include <functional>
#include <memory>

#include "jacinthdeck/core/clock.h"
#include "jacinthdeck/query/effects.h"
#include "jacinthdeck/runtime/target_command.h"

namespace jacinthdeck {

/**
 * \brief Sends attempts and reports the end of each exactly once.
 *
 * libcurl stands in for the ulfius client here: ulfius opens a connection for
 * every call, and targets take 1 to 6 ms to open one and hold few (figures in
 * docs/MEASUREMENTS.md).
 */
class TargetTransport {
 public:
  /*! \brief Takes the end of an attempt; false means "no room now, offer it
   * again". */
  using ReplySink = std::function<bool(AttemptReply&)>;

  /**
   * \brief Starts the thread.
   * \param clock Runtime clock; outlives the transport.
   * \param queue Commands that may wait.
   * \param sink Called on the transport's thread.
   */
  TargetTransport(const Clock& clock, std::size_t queue, ReplySink sink);
  TargetTransport(const TargetTransport&) = delete;
  TargetTransport& operator=(const TargetTransport&) = delete;
  ~TargetTransport();

  /**
   * \brief Hands a command over.
   * \return False if the queue is full; the command has had no effect then.
   */
  [[nodiscard]] bool TryPush(TargetCommand command);

 private:
  class Worker;

  std::unique_ptr<Worker> m_worker;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_RUNTIME_TARGET_TRANSPORT_H_
