// JSON, HTML and Prometheus text of a node's snapshot.
#include <sstream>
#include <string>
#include <string_view>

#include "jacinthdeck/core/outcome.h"
#include "jacinthdeck/query/answer.h"
#include "jacinthdeck/runtime/answer_json.h"
#include "jacinthdeck/runtime/node_status.h"

namespace jacinthdeck {

namespace {

[[nodiscard]] std::string EscapeHtml(const std::string& text) {
  std::string out;
  for (const char c : text) {
    switch (c) {
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '&':
        out += "&amp;";
        break;
      default:
        out += c;
    }
  }
  return out;
}

[[nodiscard]] std::string MemberJson(const MemberStatus& member) {
  return R"({"node":)" + QuoteJson(member.node.raw()) + R"(,"incarnation":)" +
         std::to_string(member.incarnation.raw()) + R"(,"state":")" +
         std::string(kMemberStateNames.Name(member.state)) + R"(","domain":)" +
         QuoteJson(member.domain.raw()) + R"(,"address":)" +
         QuoteJson(member.address.host) + R"(,"peer_port":)" +
         std::to_string(member.address.peer_port) + R"(,"caller_port":)" +
         std::to_string(member.address.caller_port) + "}";
}

[[nodiscard]] std::string TargetJson(const TargetSnapshot& target) {
  return R"({"target":)" + QuoteJson(target.id.raw()) + R"(,"service":)" +
         QuoteJson(target.service.raw()) + R"(,"state":")" +
         std::string(kTargetStateNames.Name(target.state)) + R"(","health":")" +
         std::string(kHealthStateNames.Name(target.health)) +
         R"(","draining":)" + (target.draining ? "true" : "false") +
         R"(,"in_flight":)" + std::to_string(target.in_flight) +
         R"(,"window":)" + std::to_string(target.window) +
         R"(,"connections":)" + std::to_string(target.connections) +
         R"(,"latency_ms":)" + std::to_string(ToMilliseconds(target.latency)) +
         "}";
}

template <typename Items, typename Render>
[[nodiscard]] std::string JsonArray(const Items& items, Render render) {
  std::string out = "[";
  for (const auto& item : items) {
    out += out.size() == 1 ? "" : ",";
    out += render(item);
  }
  return out + "]";
}

//! One counter of the metrics page.
struct Counter {
  std::string_view name;
  std::uint64_t value;
};

[[nodiscard]] std::vector<Counter> CountersOf(const NodeStatus& status) {
  return {
      {"calls_total", status.engine.calls},
      {"attempts_total", status.engine.attempts},
      {"hedges_total", status.engine.hedges},
      {"hedges_won_total", status.router.hedges_won},
      {"retries_total", status.engine.retries},
      {"restarts_total", status.engine.restarts},
      {"late_replies_total", status.engine.late_replies},
      {"wrong_replies_total", status.engine.wrong_replies},
      {"rejected_maps_total", status.engine.rejected_maps},
      {"route_refused_no_replica_total", status.router.refused_no_replica},
      {"route_refused_at_limit_total", status.router.refused_at_limit},
      {"route_refused_no_budget_total", status.router.refused_no_budget},
      {"ejections_total", status.router.ejections},
      {"sheds_total", status.router.sheds},
      {"peer_messages_sent_total", status.peers.messages_sent},
      {"peer_bytes_sent_total", status.peers.bytes_sent},
      {"peer_fenced_total", status.peers.fenced},
      {"store_reads_total", status.peers.store_reads},
      {"store_writes_total", status.peers.store_writes},
      {"store_lists_total", status.peers.store_lists},
      {"store_failures_total", status.peers.store_failures},
      {"open_calls", status.open_calls},
      {"config_revision", status.revision.raw()},
      {"serving", status.serving == ServeState::kServing ? 1U : 0U},
  };
}

}  // namespace

std::string StatusToJson(const NodeStatus& status) {
  return R"({"node":)" + QuoteJson(status.node.raw()) + R"(,"incarnation":)" +
         std::to_string(status.incarnation.raw()) + R"(,"serving":")" +
         std::string(kServeStateNames.Name(status.serving)) +
         R"(","draining":)" + (status.draining ? "true" : "false") +
         R"(,"store_reachable":)" +
         (status.store_reachable ? "true" : "false") + R"(,"revision":)" +
         std::to_string(status.revision.raw()) + R"(,"accepted":)" +
         std::to_string(status.accepted.raw()) + R"(,"waiting_for":)" +
         JsonArray(status.waiting_for,
                   [](const NodeId& node) { return QuoteJson(node.raw()); }) +
         R"(,"open_calls":)" + std::to_string(status.open_calls) +
         R"(,"members":)" + JsonArray(status.members, &MemberJson) +
         R"(,"targets":)" + JsonArray(status.targets, &TargetJson) + "}";
}

std::string StatusToHtml(const NodeStatus& status) {
  std::ostringstream out;
  const std::string node = EscapeHtml(status.node.raw());
  out << "<!doctype html><html lang=\"en\"><head><meta "
         "charset=\"utf-8\"><title>"
      << node
      << "</title><style>body{font:14px "
         "sans-serif;margin:2em}table{border-collapse:collapse}"
         "td,th{border:1px solid #bbb;padding:3px "
         "8px;text-align:left}</style></head><body><h1>"
      << node << "</h1><p>" << kServeStateNames.Name(status.serving)
      << (status.draining ? ", draining" : "") << "; revision "
      << status.revision.raw() << "; store "
      << (status.store_reachable ? "reachable" : "not reachable") << "; "
      << status.open_calls << " calls open; " << status.engine.calls
      << " calls, " << status.engine.attempts << " attempts, "
      << status.engine.hedges << " hedges, " << status.engine.retries
      << " retries since the start.</p><h2>Members</h2><table><tr>"
         "<th>Node</th><th>State</th><th>Failure "
         "domain</th><th>Incarnation</th></tr>";
  for (const MemberStatus& member : status.members) {
    out << "<tr><td>" << EscapeHtml(member.node.raw()) << "</td><td>"
        << kMemberStateNames.Name(member.state) << "</td><td>"
        << EscapeHtml(member.domain.raw()) << "</td><td>"
        << member.incarnation.raw() << "</td></tr>";
  }
  out << "</table><h2>Targets</h2><table><tr><th>Target</th><th>Service</"
         "th><th>State</th>"
         "<th>Health</th><th>In flight</th><th>Window</th><th>Latency, "
         "ms</th></tr>";
  for (const TargetSnapshot& target : status.targets) {
    out << "<tr><td>" << EscapeHtml(target.id.raw()) << "</td><td>"
        << EscapeHtml(target.service.raw()) << "</td><td>"
        << kTargetStateNames.Name(target.state)
        << (target.draining ? " (draining)" : "") << "</td><td>"
        << kHealthStateNames.Name(target.health) << "</td><td>"
        << target.in_flight << "</td><td>" << target.window << "</td><td>"
        << ToMilliseconds(target.latency) << "</td></tr>";
  }
  out << "</table></body></html>\n";
  return out.str();
}

std::string StatusToMetrics(const NodeStatus& status) {
  std::ostringstream out;
  for (const Counter& counter : CountersOf(status)) {
    out << "jacinthdeck_" << counter.name << " " << counter.value << "\n";
  }
  for (std::size_t i = 0; i < kOutcomeNames.names.size(); ++i) {
    out << "jacinthdeck_answers_total{outcome=\"" << kOutcomeNames.names[i]
        << "\"} " << status.engine.outcomes[i] << "\n";
  }
  for (std::size_t i = 1; i < kAnswerReasonNames.names.size(); ++i) {
    out << "jacinthdeck_not_whole_total{reason=\""
        << kAnswerReasonNames.names[i] << "\"} " << status.engine.reasons[i]
        << "\n";
  }
  return out.str();
}

}  // namespace jacinthdeck
