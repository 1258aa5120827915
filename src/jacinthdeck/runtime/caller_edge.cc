// The callers' interface.
#include "jacinthdeck/runtime/caller_edge.h"

#include <charconv>
#include <future>
#include <memory>
#include <utility>

#include "jacinthdeck/runtime/answer_json.h"
#include "jacinthdeck/runtime/decision_client.h"
#include "jacinthdeck/runtime/log.h"
#include "jacinthdeck/runtime/refusal.h"

namespace jacinthdeck {

namespace {

constexpr std::uint64_t kMaxDeadlineMs = 60'000;
constexpr std::size_t kMaxTenantLength = 64;
constexpr auto kAskWait = std::chrono::milliseconds(1000);
//! The decision thread answers by the deadline; this much later it is taken for
//! stuck.
constexpr auto kGrace = std::chrono::seconds(5);
constexpr Duration kOverloadComeBack = std::chrono::milliseconds(250);

[[nodiscard]] unsigned StatusOf(ErrorCode code) noexcept {
  switch (code) {
    case ErrorCode::kNotFound:
      return 404;
    case ErrorCode::kTooLarge:
      return 413;
    case ErrorCode::kUnavailable:
      return 503;
    default:
      return 400;
  }
}

[[nodiscard]] HttpReply ErrorReply(const Error& error, Ran ran = Ran::kNo) {
  HttpReply reply;
  reply.status = StatusOf(error.code);
  reply.body = EncodeError(error, ran);
  if (reply.status == 503) {
    reply.retry_after = std::chrono::seconds(1);
  }
  return reply;
}

[[nodiscard]] HttpReply ToReply(EncodedAnswer encoded) {
  HttpReply reply;
  reply.status = encoded.status;
  reply.body = std::move(encoded.body);
  return reply;
}

[[nodiscard]] HttpReply ToReply(const std::string& request_id,
                                const Answer& answer) {
  HttpReply reply = ToReply(EncodeAnswer(request_id, answer));
  reply.retry_after = answer.retry_after;
  return reply;
}

// A request id may be a resend's, whose first sending ran; the edge does not
// ask the registry. "Not run" would make the caller claim the ticket again
// under a new id.
[[nodiscard]] bool MayHaveRun(const HttpRequest& request) {
  return RequestId::Parse(request.header("X-Request-Id")).has_value();
}

[[nodiscard]] Answer RefuseAtEdge(bool may_have_run) {
  Answer refusal = MakeNotRun(AnswerReason::kOverload, kOverloadComeBack);
  if (may_have_run) {
    refusal.outcome = Outcome::kUnknown;
  }
  return refusal;
}

[[nodiscard]] Result<Duration> ReadDeadline(std::string_view text,
                                            Duration fallback) {
  if (text.empty()) {
    return fallback;
  }
  std::uint64_t milliseconds = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), milliseconds);
  if (error != std::errc() || end != text.data() + text.size() ||
      milliseconds == 0 || milliseconds > kMaxDeadlineMs) {
    return Fail(ErrorCode::kInvalidArgument, "X-Deadline-Ms",
                "is \"" + std::string(text) +
                    "\"; expected whole milliseconds from 1 to " +
                    std::to_string(kMaxDeadlineMs));
  }
  return Duration(std::chrono::milliseconds(milliseconds));
}

[[nodiscard]] Result<TenantId> ReadTenant(std::string_view text) {
  if (text.size() > kMaxTenantLength) {
    return Fail(
        ErrorCode::kInvalidArgument, "X-Tenant",
        "is longer than " + std::to_string(kMaxTenantLength) + " characters");
  }
  return TenantId(text.empty() ? "default" : std::string(text));
}

[[nodiscard]] Result<std::optional<RequestId>> ReadRequestId(
    std::string_view text,
    Repeat repeat) {
  if (repeat != Repeat::kOnce) {
    return std::optional<RequestId>();
  }
  std::optional<RequestId> id = RequestId::Parse(text);
  if (!id) {
    return Fail(ErrorCode::kInvalidArgument, "X-Request-Id",
                "is \"" + std::string(text.substr(0, 200)) +
                    "\"; this call runs at most once and needs a token from "
                    "/v1/entries with "
                    "\"-\" and a nonce appended");
  }
  return id;
}

//! Counts a request while it is handled.
class OpenCount {
 public:
  explicit OpenCount(std::atomic<std::uint32_t>& count) noexcept
      : m_count(count), m_value(++count) {}
  OpenCount(const OpenCount&) = delete;
  OpenCount& operator=(const OpenCount&) = delete;
  ~OpenCount() { --m_count; }

  [[nodiscard]] std::uint32_t value() const noexcept { return m_value; }

 private:
  std::atomic<std::uint32_t>& m_count;
  std::uint32_t m_value;
};

[[nodiscard]] Outcome OutcomeOf(const CallResult& result) noexcept {
  if (const auto* answer = std::get_if<Answer>(&result)) {
    return answer->outcome;
  }
  return std::get<EncodedAnswer>(result).status == 200 ? Outcome::kWhole
                                                       : Outcome::kUnknown;
}

}  // namespace

CallerEdge::CallerEdge(const Clock& clock,
                       DecisionLoop& loop,
                       const Published<Schema>& schema,
                       Metrics& metrics,
                       std::uint32_t open_calls) noexcept
    : m_clock(clock),
      m_loop(loop),
      m_schema(schema),
      m_metrics(metrics),
      m_max_open(open_calls) {}

HttpReply CallerEdge::Handle(const HttpRequest& request) {
  const OpenCount open(m_open);
  const std::vector<std::string> path = SplitPath(request.path);
  if (request.method == "GET" &&
      path == std::vector<std::string>{"v1", "entries"}) {
    return HandleEntries();
  }
  if (request.method == "POST" && path.size() == 3 && path[0] == "v1") {
    if (open.value() > m_max_open) {
      return ToReply(std::string(request.header("X-Request-Id")),
                     RefuseAtEdge(MayHaveRun(request)));
    }
    return HandleCall(request, path[1], path[2]);
  }
  return ErrorReply(
      Error{ErrorCode::kNotFound, "path",
            "expected POST /v1/SERVICE/METHOD or GET /v1/entries"});
}

HttpReply CallerEdge::HandleEntries() {
  const auto answer =
      Ask(m_loop, kAskWait, [](DecisionCore& core, TimePoint now) {
        return core.cluster().Entries(now);
      });
  if (!answer) {
    return ErrorReply(
        Error{ErrorCode::kUnavailable, "", "busy; ask another entry"});
  }
  HttpReply reply;
  reply.body = R"({"entries":[)";
  for (const EntryAddress& entry : answer->entries) {
    reply.body += reply.body.back() == '[' ? "" : ",";
    reply.body += R"({"node":)" + QuoteJson(entry.node.raw()) +
                  R"(,"address":)" + QuoteJson(entry.host) + R"(,"port":)" +
                  std::to_string(entry.port) + R"(,"domain":)" +
                  QuoteJson(entry.domain.raw()) + "}";
  }
  reply.body += R"(],"token":)" + QuoteJson(answer->token) + R"(,"ttl_ms":)" +
                std::to_string(answer->ttl.count() / 1000) + "}";
  return reply;
}

HttpReply CallerEdge::HandleCall(const HttpRequest& request,
                                 const std::string& service,
                                 const std::string& method) {
  auto read = Capture([&] { return ReadCall(request, service, method); });
  if (const Error* error = std::get_if<Error>(&read)) {
    return ErrorReply(*error, MayHaveRun(request) ? Ran::kUnknown : Ran::kNo);
  }
  return Wait(std::move(std::get<SubmittedCall>(read)),
              std::string(request.header("X-Request-Id")));
}

Result<SubmittedCall> CallerEdge::ReadCall(const HttpRequest& request,
                                           const std::string& service,
                                           const std::string& method) const {
  SubmittedCall call;
  call.schema = m_schema.Get();
  if (call.schema == nullptr) {
    return Fail(ErrorCode::kUnavailable, "",
                "no configuration is in force here yet");
  }
  call.call.method = call.schema->Find(service, method);
  if (call.call.method == nullptr) {
    return Fail(ErrorCode::kNotFound, service + "." + method,
                "is not declared in the schema");
  }
  BOOST_LEAF_AUTO(tenant, ReadTenant(request.header("X-Tenant")));
  BOOST_LEAF_AUTO(deadline, ReadDeadline(request.header("X-Deadline-Ms"),
                                         call.call.method->deadline));
  BOOST_LEAF_AUTO(id, ReadRequestId(request.header("X-Request-Id"),
                                    call.call.method->repeat));
  BOOST_LEAF_AUTO(checked, call.schema->Check(*call.call.method, request.body));
  call.call.tenant = std::move(tenant);
  call.call.deadline = m_clock.Now() + deadline;
  call.request = std::move(id);
  call.call.body = std::make_shared<const std::string>(std::move(checked.body));
  call.call.key = checked.key;
  call.call.fingerprint = checked.fingerprint;
  return call;
}

HttpReply CallerEdge::Wait(SubmittedCall call, const std::string& request_id) {
  const TimePoint started = m_clock.Now();
  const TimePoint deadline = call.call.deadline;
  CallLabels labels{call.call.tenant, call.call.method->service,
                    Outcome::kWhole};
  auto promise = std::make_shared<std::promise<CallResult>>();
  std::future<CallResult> future = promise->get_future();
  call.sink = [promise](CallResult result) {
    promise->set_value(std::move(result));
  };
  CallResult result = RefuseAtEdge(call.request.has_value());
  DecisionEvent event = std::move(call);
  if (!m_loop.TryPush(event)) {
    Log(Severity::kDebug, "the decision thread's ring is full");
  } else if (future.wait_for(deadline - started + kGrace) ==
             std::future_status::ready) {
    result = future.get();
  } else {
    Log(Severity::kError, "the decision thread gave no answer",
        {{"request", request_id}});
    result = MakeUnknown(AnswerReason::kDeadline);
  }
  labels.outcome = OutcomeOf(result);
  m_metrics.Add(std::move(labels),
                std::chrono::duration_cast<Duration>(m_clock.Now() - started));
  if (auto* encoded = std::get_if<EncodedAnswer>(&result)) {
    return ToReply(std::move(*encoded));
  }
  return ToReply(request_id, std::get<Answer>(result));
}

}  // namespace jacinthdeck
