// The decision core's side towards the other entries and the operators.
#include <memory>
#include <utility>
#include <variant>

#include "jacinthdeck/runtime/answer_json.h"
#include "jacinthdeck/runtime/decision_core.h"
#include "jacinthdeck/runtime/refusal.h"

namespace jacinthdeck {

void DecisionCore::Act(ClusterEffects& effects, TimePoint now) {
  if (effects.config_changed) {
    OnConfig();
  }
  for (const PeerSend& send : effects.sends) {
    m_ports.ToPeer(send);
  }
  for (const StoreRequest& request : effects.store_requests) {
    if (!m_ports.ToStore(request)) {
      StoreReply reply;
      reply.id = request.id;
      reply.status = StoreStatus::kRefused;
      On(reply, now);
    }
  }
  for (const OperatorReply& reply : effects.operator_replies) {
    const auto found = m_operators.find(reply.call);
    if (found != m_operators.end()) {
      found->second(reply);
      m_operators.erase(found);
    }
  }
  for (const Envelope& envelope : effects.deliveries) {
    OnDelivery(envelope, now);
  }
  if (effects.members_changed) {
    m_router.SetEntryCount(
        static_cast<std::uint32_t>(m_cluster.members().alive_count()), now);
  }
}

void DecisionCore::OnDelivery(const Envelope& envelope, TimePoint now) {
  if (const auto* request = std::get_if<ForwardRequest>(&envelope.message)) {
    OnForwarded(envelope, *request, now);
  } else if (const auto* reply = std::get_if<ForwardReply>(&envelope.message)) {
    m_once.OnForwardReply(*reply);
  } else if (const auto* notice =
                 std::get_if<QuarantineNotice>(&envelope.message)) {
    OnNotice(*notice, now);
  }
}

void DecisionCore::OnForwarded(const Envelope& envelope,
                               const ForwardRequest& request,
                               TimePoint now) {
  const CallSink reply_to_peer = [this, node = envelope.from, id = request.id,
                                  sequence =
                                      request.sequence](CallResult result) {
    EncodedAnswer encoded =
        std::holds_alternative<Answer>(result)
            ? EncodeAnswer(id.ToString(), std::get<Answer>(result))
            : std::move(std::get<EncodedAnswer>(result));
    ClusterEffects effects;
    m_cluster.SendToPeer(
        node, ForwardReply{sequence, encoded.status, std::move(encoded.body)},
        effects);
    Act(effects, m_clock.Now());
  };
  const auto method =
      m_schema == nullptr
          ? nullptr
          : m_schema->Find(request.service.raw(), request.method);
  SubmittedCall call;
  call.call.tenant = request.tenant;
  call.call.method = method;
  call.call.body = std::make_shared<const std::string>(request.body);
  call.call.deadline = now + request.time_left;
  call.request = request.id;
  call.sink = reply_to_peer;
  if (method == nullptr) {
    (void)ArriveOnce(call, true,
                     MakeNotRun(AnswerReason::kNotReady, kNotReadyComeBack),
                     now);
    return;
  }
  Begin(std::move(call), true, now);
}

void DecisionCore::OnConfig() {
  const auto& value = m_cluster.config().value();
  // A change of the voters raises the revision and leaves the content: to read
  // the schema again would make every call in between be checked twice.
  if (value != nullptr && m_schema != nullptr &&
      value->content_revision == m_content_revision) {
    return;
  }
  m_schema = nullptr;
  if (value != nullptr) {
    m_content_revision = value->content_revision;
    auto parsed = Capture([&] { return Schema::Parse(value->content.schema); });
    if (auto* schema = std::get_if<Schema>(&parsed)) {
      m_schema = std::make_shared<const Schema>(std::move(*schema));
    }
  }
  m_ports.Publish(m_schema);
}

void DecisionCore::OnNotice(const QuarantineNotice& notice, TimePoint now) {
  Effects effects;
  for (const Fingerprint& fingerprint : notice.suspected) {
    m_engine.SuspectTold(fingerprint, now);
  }
  for (const Fingerprint& fingerprint : notice.cleared) {
    m_engine.ReleaseQuarantine(fingerprint, now, effects);
  }
  for (const Fingerprint& fingerprint : notice.convicted) {
    m_engine.ConvictionTold(fingerprint, now, effects);
  }
  Act(effects, now);
}

void DecisionCore::TellPeers(const QuarantineNotice& notice, TimePoint now) {
  if (notice.suspected.empty() && notice.cleared.empty() &&
      notice.convicted.empty()) {
    return;
  }
  ClusterEffects effects;
  for (const NodeId& node : m_cluster.members().Reachable()) {
    m_cluster.SendToPeer(node, notice, effects);
  }
  Act(effects, now);
}

}  // namespace jacinthdeck
