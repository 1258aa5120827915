// The callers' interface: checks requests and waits for their answers.
#ifndef JACINTHDECK_RUNTIME_CALLER_EDGE_H_
#define JACINTHDECK_RUNTIME_CALLER_EDGE_H_

#include <atomic>
#include <cstdint>
#include <string>

#include "jacinthdeck/core/clock.h"
#include "jacinthdeck/runtime/decision_loop.h"
#include "jacinthdeck/runtime/http_types.h"
#include "jacinthdeck/runtime/metrics.h"
#include "jacinthdeck/runtime/published.h"
#include "jacinthdeck/schema/schema.h"

namespace jacinthdeck {

/*! \brief Handles the callers' HTTP requests; used by many threads at once. */
class CallerEdge {
 public:
  /*! \brief Makes an edge; what it is given outlives it. */
  CallerEdge(const Clock& clock,
             DecisionLoop& loop,
             const Published<Schema>& schema,
             Metrics& metrics,
             std::uint32_t open_calls) noexcept;

  /*! \brief Handles one request, waiting for its answer. */
  [[nodiscard]] HttpReply Handle(const HttpRequest& request);

  /*! \brief Requests that are being handled. */
  [[nodiscard]] std::uint32_t open() const noexcept { return m_open.load(); }

 private:
  [[nodiscard]] HttpReply HandleEntries();
  [[nodiscard]] HttpReply HandleCall(const HttpRequest& request,
                                     const std::string& service,
                                     const std::string& method);
  [[nodiscard]] Result<SubmittedCall> ReadCall(const HttpRequest& request,
                                               const std::string& service,
                                               const std::string& method) const;
  [[nodiscard]] HttpReply Wait(SubmittedCall call,
                               const std::string& request_id);

  const Clock& m_clock;
  DecisionLoop& m_loop;
  const Published<Schema>& m_schema;
  Metrics& m_metrics;
  std::uint32_t m_max_open;
  std::atomic<std::uint32_t> m_open = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_RUNTIME_CALLER_EDGE_H_
