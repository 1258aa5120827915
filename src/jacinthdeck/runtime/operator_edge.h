// The operators' interface: health, metrics, status, configuration, drain.
#ifndef JACINTHDECK_RUNTIME_OPERATOR_EDGE_H_
#define JACINTHDECK_RUNTIME_OPERATOR_EDGE_H_

#include <functional>
#include <string>

#include "jacinthdeck/runtime/decision_loop.h"
#include "jacinthdeck/runtime/http_types.h"
#include "jacinthdeck/runtime/metrics.h"

namespace jacinthdeck {

/*! \brief Handles the operators' HTTP requests; used by many threads at once.
 */
class OperatorEdge {
 public:
  /*! \brief Makes an edge; what it is given outlives it. `drain` starts the
   * shutdown. */
  OperatorEdge(DecisionLoop& loop,
               const Metrics& metrics,
               std::function<void()> drain);

  /*! \brief Handles one request. */
  [[nodiscard]] HttpReply Handle(const HttpRequest& request);

 private:
  using Handler = HttpReply (OperatorEdge::*)(const HttpRequest&);
  struct Route {
    std::string_view method;
    std::string_view path;
    Handler handler;
  };
  static const std::vector<Route>& Routes();

  [[nodiscard]] HttpReply Live(const HttpRequest& request);
  [[nodiscard]] HttpReply Ready(const HttpRequest& request);
  [[nodiscard]] HttpReply MetricsText(const HttpRequest& request);
  [[nodiscard]] HttpReply StatusPage(const HttpRequest& request);
  [[nodiscard]] HttpReply StatusJson(const HttpRequest& request);
  [[nodiscard]] HttpReply Config(const HttpRequest& request);
  [[nodiscard]] HttpReply History(const HttpRequest& request);
  [[nodiscard]] HttpReply ChangeConfig(const HttpRequest& request);
  [[nodiscard]] HttpReply Drain(const HttpRequest& request);
  [[nodiscard]] HttpReply Quarantine(const HttpRequest& request);
  [[nodiscard]] HttpReply ClearQuarantine(const HttpRequest& request);

  DecisionLoop& m_loop;
  const Metrics& m_metrics;
  std::function<void()> m_drain;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_RUNTIME_OPERATOR_EDGE_H_
