// Conversion of requests to calls. Headers that the system itself sets on
// requests to targets are removed from the caller's request.
#include "jacinthdeck/entry/caller_handler.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "jacinthdeck/http/hop_headers.h"

namespace jacinthdeck {

namespace {

//! Longest time until the deadline that a caller can request, in milliseconds.
constexpr std::int64_t kMaxDeadlineMs = 3'600'000;

//! Returns when the caller stops waiting; max() if the text is empty, not a
//! number or negative.
[[nodiscard]] TimePoint DeadlineOf(std::string_view text, TimePoint arrived) {
  std::int64_t requested_ms = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, requested_ms);
  if (text.empty() || parsed.ec != std::errc() || requested_ms < 0) {
    return TimePoint::max();
  }
  return arrived +
         std::chrono::milliseconds(std::min(requested_ms, kMaxDeadlineMs));
}

}  // namespace

CallerHandler::CallerHandler(const Clock& clock,
                             const TargetProtocol& protocol,
                             CallerSink& sink)
    : m_clock(clock), m_protocol(protocol), m_sink(sink) {}

void CallerHandler::OnRequest(const std::shared_ptr<EdgeConnection>& connection,
                              EdgeRequest request,
                              TimePoint arrived) {
  ReceivedCall received;
  ForwardCall& call = received.call;
  call.id = CallId(m_next_call++);
  call.arrived = arrived;
  call.deadline = DeadlineOf(request.Find(m_protocol.time_left_ms), arrived);
  received.request = Convert(std::move(request));
  call.request = received.request;
  call.flow = connection->peer_address();
  m_waiting.emplace(
      call.id, WaitingCaller{connection, call.request->request_id, arrived});
  m_call_by_connection.emplace(connection.get(), call.id);
  m_sink.OnCall(std::move(received));
}

void CallerHandler::OnDisconnect(EdgeConnection& connection) {
  const auto found = m_call_by_connection.find(&connection);
  if (found == m_call_by_connection.end()) {
    return;
  }
  const CallId call = found->second;
  const WaitingCaller caller = Take(call);
  m_sink.OnCallerLeft(call, caller.request_id, m_clock.Now() - caller.arrived);
}

WaitingCaller CallerHandler::Take(CallId call) {
  const auto found = m_waiting.find(call);
  if (found == m_waiting.end()) {
    return {};
  }
  WaitingCaller caller = std::move(found->second);
  m_waiting.erase(found);
  m_call_by_connection.erase(caller.connection.get());
  return caller;
}

std::shared_ptr<OpaqueRequest> CallerHandler::Convert(EdgeRequest request) {
  auto opaque = std::make_shared<OpaqueRequest>();
  opaque->request_id = request.Find(m_protocol.request_id);
  opaque->method = std::move(request.method);
  opaque->target = std::move(request.target);
  opaque->host = std::move(request.host);
  opaque->body = std::move(request.body);
  opaque->has_body = request.has_body;
  opaque->headers = std::move(request.headers);
  opaque->held = std::move(request.held);
  std::erase_if(opaque->headers, [&](const Header& header) {
    return HeaderNamesEqual(header.name, m_protocol.request_id) ||
           HeaderNamesEqual(header.name, m_protocol.time_left_ms) ||
           HeaderNamesEqual(header.name, m_protocol.expected_target);
  });
  return opaque;
}

}  // namespace jacinthdeck
