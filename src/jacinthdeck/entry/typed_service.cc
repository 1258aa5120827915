// Uses JSON over HTTP for typed calls, towards callers and towards targets.
#include "jacinthdeck/entry/typed_service.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "jacinthdeck/http/status.h"
#include "jacinthdeck/typed/answer_json.h"
#include "jacinthdeck/typed/target_codec.h"
#include "jacinthdeck/typed/typed_request.h"

namespace jacinthdeck {

namespace {

constexpr std::string_view kCallPrefix = "/v1/";
constexpr std::string_view kEntriesPath = "/v1/entries";
//! Time that a caller may cache the list of hosts.
constexpr Duration kEntriesTtl = std::chrono::seconds(2);

[[nodiscard]] int StatusOf(ErrorCode code) noexcept {
  switch (code) {
    case ErrorCode::kNotFound:
      return 404;
    case ErrorCode::kTooLarge:
      return 413;
    case ErrorCode::kUnauthorized:
      return http_status::kUnauthorized;
    case ErrorCode::kUnavailable:
      return 503;
    default:
      return 400;
  }
}

[[nodiscard]] EdgeResponse JsonResponse(int status, std::string body) {
  EdgeResponse response;
  response.status = status;
  response.headers.push_back({"Content-Type", "application/json"});
  response.body = std::move(body);
  return response;
}

[[nodiscard]] EdgeResponse ErrorResponse(const Error& error) {
  return JsonResponse(StatusOf(error.code), EncodeError(error));
}

//! Converts the end of an attempt to a reply of the typed call engine.
[[nodiscard]] AttemptReply ReplyOf(const AttemptEnd& end) {
  switch (end.outcome) {
    case AttemptOutcome::kResponse:
      return DecodeTargetReply(end.id, end.response.status, end.response.body);
    case AttemptOutcome::kNotExecuted:
    case AttemptOutcome::kWrongTarget: {
      AttemptReply reply;
      reply.attempt = end.id;
      reply.status = AttemptStatus::kShed;
      return reply;
    }
    case AttemptOutcome::kNotSent:
    case AttemptOutcome::kBroken:
      break;
  }
  AttemptReply reply;
  reply.attempt = end.id;
  reply.status = end.outcome == AttemptOutcome::kNotSent
                     ? AttemptStatus::kNotSent
                     : AttemptStatus::kLost;
  return reply;
}

}  // namespace

TypedService::TypedService(const Clock& clock,
                           TargetPool& pool,
                           CallMetrics& metrics,
                           HostsFunction hosts,
                           AccountFunction account,
                           ShareFunction share,
                           std::uint64_t seed)
    : m_clock(clock),
      m_pool(pool),
      m_metrics(metrics),
      m_hosts(std::move(hosts)),
      m_account(std::move(account)),
      m_share(std::move(share)),
      m_calls(seed, *this) {}

void TypedService::OnRequest(const std::shared_ptr<EdgeConnection>& connection,
                             EdgeRequest request,
                             TimePoint arrived) {
  if (request.method == "GET" && request.target == kEntriesPath) {
    connection->Respond(EntriesResponse());
    return;
  }
  const bool call = request.method == "POST" &&
                    request.target.starts_with(kCallPrefix) &&
                    std::ranges::count(request.target, '/') == 3;
  if (!call) {
    connection->Respond(
        ErrorResponse({ErrorCode::kNotFound, "path",
                       "expected POST /v1/SERVICE/METHOD or GET /v1/entries"}));
    return;
  }
  Begin(connection, request, arrived);
}

void TypedService::Begin(const std::shared_ptr<EdgeConnection>& connection,
                         const EdgeRequest& request,
                         TimePoint arrived) {
  const std::string_view path =
      std::string_view(request.target).substr(kCallPrefix.size());
  const std::size_t slash = path.find('/');
  auto checked = Capture([&]() -> Result<Call> {
    BOOST_LEAF_AUTO(account, m_account(request));
    const TypedRequest typed{path.substr(0, slash),
                             path.substr(slash + 1),
                             request.Find("X-Tenant"),
                             request.Find("X-Deadline-Ms"),
                             request.body,
                             std::move(account)};
    return CheckTypedRequest(m_calls.schema(), typed, arrived);
  });
  if (const auto* error = std::get_if<Error>(&checked)) {
    connection->Respond(ErrorResponse(*error));
    return;
  }
  Call call = std::get<0>(std::move(checked));
  call.id = CallId(m_next_call++);
  m_waiting.emplace(
      call.id,
      WaitingCaller{
          connection, std::string(request.Find("X-Request-Id")), arrived,
          CallLabels{call.tenant, call.method->service, Outcome::kWhole},
          request.held});
  m_call_by_connection.emplace(connection.get(), call.id);
  m_calls.Submit(std::move(call), m_clock.Now());
}

void TypedService::OnDisconnect(EdgeConnection& connection) {
  const auto found = m_call_by_connection.find(&connection);
  if (found == m_call_by_connection.end()) {
    return;
  }
  const CallId call = found->second;
  m_call_by_connection.erase(found);
  m_waiting.erase(call);
  m_calls.Abandon(call, m_clock.Now());
}

void TypedService::OnAttemptEnd(const AttemptEnd& end) {
  m_calls.OnReply(ReplyOf(end), m_clock.Now());
}

void TypedService::SendTyped(const SendAttempt& attempt,
                             const TargetInfo& target,
                             std::uint32_t connection_limit) {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      attempt.deadline - m_clock.Now());
  auto request = std::make_shared<OpaqueRequest>();
  request->method = "POST";
  request->target = "/query";
  request->host = target.address;
  request->request_id = std::to_string(attempt.attempt.raw());
  request->headers = {{"Content-Type", "application/json"},
                      {"X-Attempt", request->request_id},
                      {"X-Deadline-Ms", std::to_string(std::max<std::int64_t>(
                                            left.count(), 1))}};
  request->body = EncodeTargetRequest(attempt);
  request->has_body = true;
  OutgoingAttempt outgoing;
  outgoing.id = attempt.attempt;
  outgoing.target.id = target.id;
  outgoing.target.service = target.service;
  outgoing.target.address = target.address;
  outgoing.target.port = target.port;
  outgoing.request = std::move(request);
  outgoing.deadline = attempt.deadline;
  outgoing.connection_limit = connection_limit;
  outgoing.at_most_once = attempt.method->repeat == Repeat::kOnce;
  m_pool.Send(outgoing);
}

void TypedService::CancelTyped(AttemptId attempt) {
  m_pool.Cancel(attempt);
}

void TypedService::ShareTypedSuspect(Fingerprint fingerprint) {
  m_share(fingerprint, QuarantineState::kSuspect);
}

void TypedService::ShareTypedQuarantine(Fingerprint fingerprint) {
  m_share(fingerprint, QuarantineState::kQuarantined);
}

void TypedService::DeliverTyped(CallId call, Answer answer) {
  const auto found = m_waiting.find(call);
  if (found == m_waiting.end()) {
    return;
  }
  WaitingCaller waiting = std::move(found->second);
  m_waiting.erase(found);
  m_call_by_connection.erase(waiting.connection.get());
  waiting.labels.outcome = answer.outcome;
  m_metrics.Add(waiting.labels, m_clock.Now() - waiting.arrived);
  EncodedAnswer encoded = EncodeAnswer(waiting.request_id, answer);
  waiting.connection->Respond(
      JsonResponse(encoded.status, std::move(encoded.body)));
}

EdgeResponse TypedService::EntriesResponse() const {
  std::string body = R"({"entries":[)";
  for (const HostRecord& host : m_hosts()) {
    if (host.queries.empty()) {
      continue;
    }
    body += body.back() == '[' ? "" : ",";
    body += R"({"node":)" + QuoteJson(host.name.raw()) + R"(,"address":)" +
            QuoteJson(host.queries) + R"(,"domain":)" +
            QuoteJson(host.domain.raw()) + "}";
  }
  body += R"(],"ttl_ms":)" + std::to_string(kEntriesTtl.count() / 1000) + "}";
  return JsonResponse(200, std::move(body));
}

}  // namespace jacinthdeck
