// The operators' interface: a table of routes.
#include "jacinthdeck/runtime/operator_edge.h"

#include <algorithm>
#include <future>
#include <memory>
#include <utility>

#include "jacinthdeck/runtime/answer_json.h"
#include "jacinthdeck/runtime/change_request.h"
#include "jacinthdeck/runtime/decision_client.h"
#include "jacinthdeck/runtime/node_status.h"

namespace jacinthdeck {

namespace {

constexpr auto kAskWait = std::chrono::milliseconds(2000);
//! Above the time after which the coordinator itself answers "pending".
constexpr auto kChangeWait = std::chrono::seconds(15);

[[nodiscard]] HttpReply Text(unsigned status,
                             std::string body,
                             std::string type = "application/json") {
  return HttpReply{status, std::move(body), std::move(type), std::nullopt};
}

[[nodiscard]] HttpReply Busy() {
  HttpReply reply = Text(
      503, EncodeError(Error{ErrorCode::kUnavailable, "", "the node is busy"}));
  reply.retry_after = std::chrono::seconds(1);
  return reply;
}

[[nodiscard]] std::string ContentJson(Revision revision,
                                      const ConfigContent& content) {
  std::string out = R"({"revision":)" + std::to_string(revision.raw()) +
                    R"(,"schema":)" + QuoteJson(content.schema) +
                    R"(,"settings":{)";
  for (const auto& [key, value] : content.settings) {
    out += (out.back() == '{' ? "" : ",") + QuoteJson(key) + ":" +
           QuoteJson(value);
  }
  return out + "}}";
}

[[nodiscard]] unsigned StatusOf(ChangeState state) noexcept {
  switch (state) {
    case ChangeState::kAccepted:
      return 200;
    case ChangeState::kPending:
      return 202;
    case ChangeState::kConflict:
      return 409;
    case ChangeState::kTooLarge:
      return 413;
    case ChangeState::kInvalid:
      return 400;
    case ChangeState::kUnknown:
    case ChangeState::kUnavailable:
      return 503;
  }
  return 500;
}

[[nodiscard]] HttpReply ChangeReply(const OperatorReply& end) {
  std::string body =
      R"({"state":")" + std::string(kChangeStateNames.Name(end.state)) +
      R"(","revision":)" + std::to_string(end.revision.raw()) +
      R"(,"operation":)" + QuoteJson(end.operation.raw()) + R"(,"message":)" +
      QuoteJson(end.message) + R"(,"waiting_for":[)";
  for (const NodeId& node : end.waiting_for) {
    body += (body.back() == '[' ? "" : ",") + QuoteJson(node.raw());
  }
  HttpReply reply = Text(StatusOf(end.state), body + "]}");
  if (end.retry_after > Duration::zero()) {
    reply.retry_after = end.retry_after;
  }
  return reply;
}

[[nodiscard]] std::string EntryJson(const QuarantineEntry& entry,
                                    TimePoint now) {
  const auto left =
      std::chrono::ceil<std::chrono::milliseconds>(entry.until - now);
  return R"({"fingerprint":")" + std::to_string(entry.fingerprint.raw()) +
         R"(","state":")" + std::string(kSuspicionNames.Name(entry.suspicion)) +
         R"(","kills":)" + std::to_string(entry.kills) + R"(,"ends_in_ms":)" +
         std::to_string(left.count()) + "}";
}

}  // namespace

OperatorEdge::OperatorEdge(DecisionLoop& loop,
                           const Metrics& metrics,
                           std::function<void()> drain)
    : m_loop(loop), m_metrics(metrics), m_drain(std::move(drain)) {}

const std::vector<OperatorEdge::Route>& OperatorEdge::Routes() {
  static const std::vector<Route> routes{
      {"GET", "/healthz", &OperatorEdge::Live},
      {"GET", "/readyz", &OperatorEdge::Ready},
      {"GET", "/metrics", &OperatorEdge::MetricsText},
      {"GET", "/status", &OperatorEdge::StatusPage},
      {"GET", "/v1/status", &OperatorEdge::StatusJson},
      {"GET", "/v1/config", &OperatorEdge::Config},
      {"POST", "/v1/config", &OperatorEdge::ChangeConfig},
      {"GET", "/v1/config/history", &OperatorEdge::History},
      {"POST", "/v1/drain", &OperatorEdge::Drain},
      {"GET", "/v1/quarantine", &OperatorEdge::Quarantine},
      {"DELETE", "/v1/quarantine/", &OperatorEdge::ClearQuarantine},
  };
  return routes;
}

HttpReply OperatorEdge::Handle(const HttpRequest& request) {
  const auto found = std::ranges::find_if(Routes(), [&](const Route& route) {
    const bool is_prefix = route.path.ends_with('/');
    return route.method == request.method &&
           (is_prefix ? request.path.starts_with(route.path)
                      : request.path == route.path);
  });
  if (found == Routes().end()) {
    return Text(
        404, EncodeError(Error{ErrorCode::kNotFound, std::string(request.path),
                               "is not a page of the operators' port"}));
  }
  return (this->*found->handler)(request);
}

HttpReply OperatorEdge::Live(const HttpRequest& /*request*/) {
  return Text(200, R"({"live":true})");
}

HttpReply OperatorEdge::Ready(const HttpRequest& /*request*/) {
  const auto serving =
      Ask(m_loop, kAskWait, [](DecisionCore& core, TimePoint now) {
        return core.draining() || core.schema() == nullptr
                   ? ServeState::kNoConfig
                   : core.cluster().StateAt(now);
      });
  if (!serving) {
    return Busy();
  }
  const bool ready = *serving == ServeState::kServing;
  return Text(ready ? 200 : 503,
              R"({"ready":)" + std::string(ready ? "true" : "false") +
                  R"(,"state":")" +
                  std::string(kServeStateNames.Name(*serving)) + "\"}");
}

HttpReply OperatorEdge::MetricsText(const HttpRequest& /*request*/) {
  const auto status = Ask(m_loop, kAskWait, &TakeStatus);
  std::string text = status ? StatusToMetrics(*status) : std::string();
  return Text(200, text + m_metrics.Render(), "text/plain; version=0.0.4");
}

HttpReply OperatorEdge::StatusPage(const HttpRequest& /*request*/) {
  const auto status = Ask(m_loop, kAskWait, &TakeStatus);
  return status ? Text(200, StatusToHtml(*status), "text/html; charset=utf-8")
                : Busy();
}

HttpReply OperatorEdge::StatusJson(const HttpRequest& /*request*/) {
  const auto status = Ask(m_loop, kAskWait, &TakeStatus);
  return status ? Text(200, StatusToJson(*status)) : Busy();
}

HttpReply OperatorEdge::Config(const HttpRequest& /*request*/) {
  const auto json =
      Ask(m_loop, kAskWait, [](DecisionCore& core, TimePoint /*now*/) {
        const auto& value = core.cluster().config().value();
        return value == nullptr ? ContentJson(Revision(), ConfigContent())
                                : ContentJson(value->revision, value->content);
      });
  return json ? Text(200, *json) : Busy();
}

HttpReply OperatorEdge::History(const HttpRequest& /*request*/) {
  const auto json =
      Ask(m_loop, kAskWait, [](DecisionCore& core, TimePoint /*now*/) {
        std::string out = R"({"history":[)";
        if (const auto& value = core.cluster().config().value()) {
          for (const HistoryRecord& record : value->history) {
            out += (out.back() == '[' ? "" : ",") +
                   ContentJson(record.revision, record.content);
          }
        }
        return out + "]}";
      });
  return json ? Text(200, *json) : Busy();
}

HttpReply OperatorEdge::ChangeConfig(const HttpRequest& request) {
  auto read = Capture([&] { return ReadChangeRequest(request.body); });
  if (const Error* error = std::get_if<Error>(&read)) {
    return Text(400, EncodeError(*error));
  }
  auto promise = std::make_shared<std::promise<OperatorReply>>();
  std::future<OperatorReply> future = promise->get_future();
  auto& change = std::get<ConfigChange>(read);
  const OperationId operation = change.operation;
  DecisionEvent event = ChangeSubmitted{
      std::move(change),
      [promise](const OperatorReply& reply) { promise->set_value(reply); }};
  if (!m_loop.TryPush(event)) {
    return Busy();
  }
  if (future.wait_for(kChangeWait) == std::future_status::ready) {
    return ChangeReply(future.get());
  }
  OperatorReply open;
  open.operation = operation;
  open.message = "no reply in time; ask again with the same operation id";
  return ChangeReply(open);
}

HttpReply OperatorEdge::Drain(const HttpRequest& /*request*/) {
  m_drain();
  return Text(202, R"({"state":"draining"})");
}

HttpReply OperatorEdge::Quarantine(const HttpRequest& /*request*/) {
  const auto json =
      Ask(m_loop, kAskWait, [](DecisionCore& core, TimePoint now) {
        std::string out = R"({"quarantine":[)";
        for (const QuarantineEntry& entry :
             core.engine().quarantine().Entries(now)) {
          out += (out.back() == '[' ? "" : ",") + EntryJson(entry, now);
        }
        return out + "]}";
      });
  return json ? Text(200, *json) : Busy();
}

HttpReply OperatorEdge::ClearQuarantine(const HttpRequest& request) {
  const std::vector<std::string> path = SplitPath(request.path);
  const Fingerprint fingerprint(
      std::strtoull(path.back().c_str(), nullptr, 10));
  const auto cleared =
      Ask(m_loop, kAskWait, [=](DecisionCore& core, TimePoint now) {
        return core.ReleaseQuarantine(fingerprint, now);
      });
  if (!cleared) {
    return Busy();
  }
  return *cleared
             ? Text(200, R"({"state":"cleared"})")
             : Text(404,
                    EncodeError(Error{ErrorCode::kNotFound, path.back(),
                                      "is not in quarantine on this node"}));
}

}  // namespace jacinthdeck
