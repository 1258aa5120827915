// Renders counters and gauges of a host in the Prometheus text format.
#ifndef JACINTHDECK_ENTRY_NODE_METRICS_H_
#define JACINTHDECK_ENTRY_NODE_METRICS_H_

#include <string>

#include "jacinthdeck/core/time.h"
#include "jacinthdeck/discovery/store_session.h"
#include "jacinthdeck/entry/call_metrics.h"
#include "jacinthdeck/entry/event_log.h"
#include "jacinthdeck/entry/reload_state.h"
#include "jacinthdeck/forward/forwarder.h"
#include "jacinthdeck/http/edge_server.h"
#include "jacinthdeck/http/target_pool.h"

namespace jacinthdeck {

/*! \brief The components and values that the metrics are read from. */
struct NodeMetricsSource {
  const Forwarder& forwarder;
  const TargetPool& pool;
  const EdgeServer& callers;
  const StoreSession& store;
  const EventLog& log;
  bool ready = false;
  //! Time since the last message from the store.
  Duration discovery_age{};
  ReloadState reload_state = ReloadState::kApplied;
};

/*! \brief Renders all metrics except the histograms of calls, which CallMetrics
 * renders. */
[[nodiscard]] std::string RenderNodeMetrics(const NodeMetricsSource& source);

/*! \brief Returns the labels that a call is counted under. */
[[nodiscard]] CallLabels LabelsOf(const ForwardAnswer& answer,
                                  const CallTrace& trace);

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ENTRY_NODE_METRICS_H_
