// Counters and gauges of an entry as Prometheus text.
#ifndef JACINTHDECK_ENTRY_NODE_METRICS_H_
#define JACINTHDECK_ENTRY_NODE_METRICS_H_

#include <string>

#include "jacinthdeck/core/time.h"
#include "jacinthdeck/discovery/store_session.h"
#include "jacinthdeck/entry/call_metrics.h"
#include "jacinthdeck/entry/event_log.h"
#include "jacinthdeck/forward/forwarder.h"
#include "jacinthdeck/http/edge_server.h"
#include "jacinthdeck/http/target_pool.h"

namespace jacinthdeck {

/*! \brief What the metrics are read from. */
struct NodeMetricsSource {
  const Forwarder& forwarder;
  const TargetPool& pool;
  const EdgeServer& callers;
  const StoreSession& store;
  const EventLog& log;
  bool ready = false;
  Duration knowledge_age{};
};

/*! \brief Renders everything but the histograms of calls. */
[[nodiscard]] std::string RenderNodeMetrics(const NodeMetricsSource& source);

/*! \brief Says under which labels a call is counted. */
[[nodiscard]] CallLabels LabelsOf(const ForwardAnswer& answer,
                                  const CallTrace& story);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_NODE_METRICS_H_
