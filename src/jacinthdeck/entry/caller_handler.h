// Connects the callers' connections to the forwarder.
#ifndef JACINTHDECK_ENTRY_CALLER_HANDLER_H_
#define JACINTHDECK_ENTRY_CALLER_HANDLER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "jacinthdeck/core/clock.h"
#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/entry/received_call.h"
#include "jacinthdeck/forward/call_trace.h"
#include "jacinthdeck/forward/forward_answer.h"
#include "jacinthdeck/forward/forward_call.h"
#include "jacinthdeck/http/edge_connection.h"
#include "jacinthdeck/http/edge_handler.h"
#include "jacinthdeck/http/target_protocol.h"

namespace jacinthdeck {

/*! \brief Receives the calls of callers and is notified of callers that leave.
 */
class CallerSink {
 public:
  virtual ~CallerSink() = default;

  /*! \brief Called for each request that was received. */
  virtual void OnCall(ReceivedCall received) = 0;

  /*! \brief Called when a caller disconnects before its answer.
   * \param after Time since the request arrived. */
  virtual void OnCallerLeft(CallId call,
                            const std::string& request_id,
                            Duration after) = 0;
};

/*! \brief The connection of a caller that waits for an answer. */
struct WaitingCaller {
  std::shared_ptr<EdgeConnection> connection;
  std::string request_id;
  TimePoint arrived;
};

/**
 * \brief Converts requests to calls and keeps the connection of each call until
 * it is answered.
 */
class CallerHandler final : public EdgeHandler {
 public:
  CallerHandler(const Clock& clock,
                const TargetProtocol& protocol,
                CallerSink& sink);

  void OnRequest(const std::shared_ptr<EdgeConnection>& connection,
                 EdgeRequest request,
                 TimePoint arrived) override;
  void OnDisconnect(EdgeConnection& connection) override;

  /*! \brief Returns the number of callers that wait for an answer. */
  [[nodiscard]] std::size_t waiting() const noexcept {
    return m_waiting.size();
  }

  [[nodiscard]] const std::unordered_map<CallId, WaitingCaller>&
  waiting_callers() const noexcept {
    return m_waiting;
  }

  /*! \brief Removes and returns the waiting caller of a call. Its connection is
   * null if the caller has left. */
  [[nodiscard]] WaitingCaller Take(CallId call);

 private:
  [[nodiscard]] std::shared_ptr<OpaqueRequest> Convert(EdgeRequest request);

  const Clock& m_clock;
  const TargetProtocol& m_protocol;
  CallerSink& m_sink;
  std::uint64_t m_next_call = 1;
  std::unordered_map<CallId, WaitingCaller> m_waiting;
  //! Call that is open on each connection.
  std::unordered_map<const EdgeConnection*, CallId> m_call_by_connection;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_CALLER_HANDLER_H_
