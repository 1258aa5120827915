// Interface through which the gate acts.
#ifndef JACINTHDECK_ENTRY_TENANT_GATE_SINK_H_
#define JACINTHDECK_ENTRY_TENANT_GATE_SINK_H_

#include <string>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/forward/call_trace.h"
#include "jacinthdeck/forward/forward_answer.h"
#include "jacinthdeck/forward/forward_call.h"

namespace jacinthdeck {

/*! \brief A call that the gate refuses. */
struct GateRefusal {
  CallId call;
  //! Client account of the call; empty if it has none.
  TenantId tenant;
  //! Address of the caller.
  std::string caller;
  ForwardAnswer answer;
  CallTrace trace;
};

/*! \brief Receives the calls that pass the gate and those that it refuses. */
class TenantGateSink {
 public:
  virtual ~TenantGateSink() = default;

  /*! \brief Submits a call to the forwarder. TenantGate::OnCallEnd() may be
   * called before this function returns. */
  virtual void SubmitCall(ForwardCall call) = 0;

  /*! \brief Delivers the answer of a call that was refused. */
  virtual void RefuseCall(GateRefusal refusal) = 0;

  /*! \brief Returns the time since this host last had news of the store, itself
   * or through its feeder. */
  [[nodiscard]] virtual Duration KeyAge() const = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_TENANT_GATE_SINK_H_
