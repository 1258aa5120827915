// Calls that may not be repeated: who waits for which request id, here or at
// the node it names.
#ifndef JACINTHDECK_RUNTIME_ONCE_CALLS_H_
#define JACINTHDECK_RUNTIME_ONCE_CALLS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "jacinthdeck/cluster/cluster_node.h"
#include "jacinthdeck/core/request_id.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/runtime/call_result.h"
#include "jacinthdeck/runtime/submitted_call.h"

namespace jacinthdeck {

/**
 * \brief Carries out the decisions of the at-most-once registry.
 *
 * A request id is run by the node life that it names and by no other. A resend
 * finds the running call or its stored answer; one that reaches another entry
 * is sent on; where the named life cannot be asked, the answer is "unknown" and
 * the request is not run again.
 */
class OnceCalls {
 public:
  /*! \brief What the caller of Arrive() has to do. */
  enum class Next {
    //! Run the call; its end goes to Finish().
    kRun,
    //! Nothing: the sink was called, or will be.
    kDone,
  };

  explicit OnceCalls(ClusterNode& cluster) noexcept : m_cluster(cluster) {}

  /*! \brief Earliest moment at which a forwarded or attached call is given up.
   */
  [[nodiscard]] std::optional<TimePoint> NextTimer() const;

  /**
   * \brief Decides on a call with a request id.
   * \param call Call; its sink is taken unless kRun is returned.
   * \param forwarded Whether a peer sent it on; it is not sent on again.
   * \param refusal Set where the node takes no such call now: it is told for an
   * id that never ran, and for no other.
   * \param now Present time.
   * \param effects Takes a message to a peer.
   */
  [[nodiscard]] Next Arrive(SubmittedCall& call,
                            bool forwarded,
                            const std::optional<CallResult>& refusal,
                            TimePoint now,
                            ClusterEffects& effects);

  /**
   * \brief Takes the end of a call that was told to run.
   * \param id Its request id.
   * \param answer Final answer.
   * \param now Present time.
   */
  void Finish(const RequestId& id, const Answer& answer, TimePoint now);

  /*! \brief Takes the answer of a node that a call was forwarded to. */
  void OnForwardReply(const ForwardReply& reply);

  /*! \brief Gives up forwarded and attached calls whose deadline has passed. */
  void OnTimer(TimePoint now);

 private:
  struct Forwarded {
    RequestId id;
    CallSink sink;
    TimePoint deadline;
  };

  struct Attached {
    CallSink sink;
    TimePoint deadline;
  };

  void GiveUpAttached(TimePoint now);
  void Forward(SubmittedCall& call,
               const NodeId& node,
               TimePoint now,
               ClusterEffects& effects);

  ClusterNode& m_cluster;
  std::uint64_t m_next_sequence = 1;
  //! Sinks beside that of the call itself, for resends that came while it ran.
  std::map<RequestId, std::vector<Attached>> m_attached;
  std::map<std::uint64_t, Forwarded> m_forwarded;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_RUNTIME_ONCE_CALLS_H_
