// Calls that may not be repeated.
#include "jacinthdeck/runtime/once_calls.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "jacinthdeck/runtime/answer_json.h"
#include "jacinthdeck/runtime/refusal.h"

namespace jacinthdeck {

namespace {

constexpr std::uint16_t kStatusBadRequest = 400;
constexpr Duration kComeBack = std::chrono::milliseconds(500);

[[nodiscard]] EncodedAnswer InvalidId() {
  return EncodedAnswer{
      kStatusBadRequest,
      EncodeError(Error{ErrorCode::kInvalidArgument, "X-Request-Id",
                        "is not an id of this system; expected a token from "
                        "/v1/entries with \"-\" and a nonce appended"})};
}

}  // namespace

std::optional<TimePoint> OnceCalls::NextTimer() const {
  std::optional<TimePoint> next;
  for (const auto& [sequence, forwarded] : m_forwarded) {
    next = next ? std::min(*next, forwarded.deadline) : forwarded.deadline;
  }
  for (const auto& [id, waiting] : m_attached) {
    for (const Attached& attached : waiting) {
      next = next ? std::min(*next, attached.deadline) : attached.deadline;
    }
  }
  return next;
}

OnceCalls::Next OnceCalls::Arrive(SubmittedCall& call,
                                  bool forwarded,
                                  const std::optional<CallResult>& refusal,
                                  TimePoint now,
                                  ClusterEffects& effects) {
  OnceResult result = m_cluster.once().Arrive(
      *call.request, now, refusal ? OnceIntake::kClosed : OnceIntake::kOpen);
  switch (result.decision) {
    case OnceDecision::kRun:
      return Next::kRun;
    case OnceDecision::kAttach:
      m_attached[*call.request].push_back(
          {std::move(call.sink), call.call.deadline});
      break;
    case OnceDecision::kFinished:
      call.sink(
          EncodedAnswer{result.answer->status, std::move(result.answer->body)});
      break;
    case OnceDecision::kForward:
      if (forwarded || call.call.method == nullptr) {
        call.sink(MakeUnknown(AnswerReason::kElsewhere));
      } else {
        Forward(call, result.node, now, effects);
      }
      break;
    case OnceDecision::kUnknown:
      call.sink(MakeUnknown(AnswerReason::kElsewhere));
      break;
    case OnceDecision::kRefused:
      call.sink(refusal.value_or(MakeNotRun(m_cluster.leaving()
                                                ? AnswerReason::kDraining
                                                : AnswerReason::kOverload,
                                            kComeBack)));
      break;
    case OnceDecision::kInvalid:
      call.sink(InvalidId());
      break;
  }
  return Next::kDone;
}

void OnceCalls::Forward(SubmittedCall& call,
                        const NodeId& node,
                        TimePoint now,
                        ClusterEffects& effects) {
  const std::uint64_t sequence = m_next_sequence++;
  ForwardRequest request;
  request.sequence = sequence;
  request.id = *call.request;
  request.service = call.call.method->service;
  request.method = call.call.method->name;
  request.tenant = call.call.tenant;
  request.body = *call.call.body;
  request.time_left =
      std::chrono::duration_cast<Duration>(call.call.deadline - now);
  m_forwarded[sequence] =
      Forwarded{*call.request, std::move(call.sink), call.call.deadline};
  m_cluster.SendToPeer(node, std::move(request), effects);
}

void OnceCalls::Finish(const RequestId& id,
                       const Answer& answer,
                       TimePoint now) {
  if (answer.outcome == Outcome::kNotRun) {
    m_cluster.once().Refuse(id);
  } else {
    EncodedAnswer encoded = EncodeAnswer(id.ToString(), answer);
    m_cluster.once().Finish(
        id, OnceAnswer{encoded.status, std::move(encoded.body)}, now);
  }
  const auto attached = m_attached.find(id);
  if (attached == m_attached.end()) {
    return;
  }
  const std::vector<Attached> waiting = std::move(attached->second);
  m_attached.erase(attached);
  for (const Attached& one : waiting) {
    one.sink(answer);
  }
}

void OnceCalls::OnForwardReply(const ForwardReply& reply) {
  const auto found = m_forwarded.find(reply.sequence);
  if (found == m_forwarded.end()) {
    return;
  }
  const CallSink sink = std::move(found->second.sink);
  m_forwarded.erase(found);
  sink(EncodedAnswer{reply.status, reply.body});
}

void OnceCalls::OnTimer(TimePoint now) {
  // The message or its answer was lost, or the named node died meanwhile: it
  // may have run there.
  for (auto it = m_forwarded.begin(); it != m_forwarded.end();) {
    if (it->second.deadline > now) {
      ++it;
      continue;
    }
    const CallSink sink = std::move(it->second.sink);
    it = m_forwarded.erase(it);
    sink(MakeUnknown(AnswerReason::kDeadline));
  }
  GiveUpAttached(now);
}

// A resend may wait for less time than the call it joined.
void OnceCalls::GiveUpAttached(TimePoint now) {
  std::vector<Attached> late;
  for (auto& [id, waiting] : m_attached) {
    const auto first = std::stable_partition(
        waiting.begin(), waiting.end(),
        [now](const Attached& one) { return one.deadline > now; });
    std::move(first, waiting.end(), std::back_inserter(late));
    waiting.erase(first, waiting.end());
  }
  std::erase_if(m_attached,
                [](const auto& item) { return item.second.empty(); });
  for (const Attached& one : late) {
    one.sink(MakeUnknown(AnswerReason::kDeadline));
  }
}

}  // namespace jacinthdeck
