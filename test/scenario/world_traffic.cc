// Messages, calls and changes of a scenario.
#include <algorithm>
#include <utility>
#include <variant>

#include "scenario/world.h"

namespace jacinthdeck::scenario {

namespace {

constexpr Duration kPeerDelay = std::chrono::milliseconds(1);
constexpr Duration kStoreDelay = std::chrono::milliseconds(2);

//! Text of a member of a flat JSON object that holds a string.
[[nodiscard]] std::string MemberOf(const std::string& json,
                                   const std::string& name) {
  const std::string head = "\"" + name + "\":\"";
  const std::size_t begin = json.find(head);
  if (begin == std::string::npos) {
    return "";
  }
  const std::size_t text = begin + head.size();
  return json.substr(text, json.find('"', text) - text);
}

//! A typed error is told with "ran":"no" and counts as a refusal.
[[nodiscard]] std::string OutcomeOf(const EncodedAnswer& encoded) {
  const std::string outcome = MemberOf(encoded.body, "outcome");
  return outcome.empty() ? "not_run" : outcome;
}

}  // namespace

bool World::CarryTarget(std::size_t index, const TargetCommand& command) {
  const std::uint64_t life = m_nodes[index].life;
  if (const auto* cancel = std::get_if<TargetCancel>(&command)) {
    m_targets->Cancel(life, cancel->attempt);
    return true;
  }
  m_targets->Send(life, std::get<TargetSend>(command).attempt,
                  [this, index, life](const AttemptReply& reply) {
                    Deliver(index, life, reply);
                  });
  return true;
}

void World::CarryPeer(std::size_t index, const PeerSend& send) {
  for (std::size_t to = 0; to < m_nodes.size(); ++to) {
    if (Name(to) != send.envelope.to || m_cuts.contains({index, to})) {
      continue;
    }
    At(kPeerDelay, [this, to, life = m_nodes[to].life,
                    envelope = send.envelope] { Deliver(to, life, envelope); });
  }
}

void World::CarryStore(std::size_t index, const StoreRequest& request) {
  const std::uint64_t life = m_nodes[index].life;
  const auto reply_at = [this, index, life](Duration delay,
                                            const StoreReply& reply) {
    At(delay, [this, index, life, reply] { Deliver(index, life, reply); });
  };
  StoreReply lost;
  lost.id = request.id;
  const Duration one_way = kStoreDelay + m_store_delay / 2;
  if (m_nodes[index].store_cut) {
    reply_at(request.timeout, lost);
    return;
  }
  // A slow store may write after its caller has given up.
  At(one_way, [this, request, one_way, lost, reply_at] {
    const StoreReply reply = m_store.Call(request);
    const bool late = 2 * one_way >= request.timeout;
    if (late || reply.status == StoreStatus::kNoReply) {
      reply_at(std::max(request.timeout - one_way, Duration::zero()), lost);
    } else {
      reply_at(one_way, reply);
    }
  });
}

std::size_t World::Submit(std::size_t index,
                          const std::string& method,
                          const std::string& json,
                          const std::string& request_id,
                          Duration deadline) {
  NodeSlot& slot = m_nodes.at(index);
  const std::size_t id = m_calls.size();
  m_calls.push_back(std::make_unique<CallRecord>());
  CallRecord& record = *m_calls.back();
  record.node = index;
  record.life = slot.life;
  record.submitted = now();
  record.deadline = now() + deadline;
  record.paused = slot.paused;
  record.body = json;
  record.once = !request_id.empty();
  if (!slot.core) {
    record.lost = true;
    return id;
  }
  // The edge of the entry: nothing is checked, or sent on, without a schema.
  if (slot.core->schema() == nullptr) {
    Answer refusal;
    refusal.reason = AnswerReason::kNotReady;
    OnAnswer(record, refusal);
    return id;
  }
  SubmittedCall call;
  call.schema = slot.core->schema();
  call.call.method = call.schema->Find(kService, method);
  auto checked =
      Capture([&] { return call.schema->Check(*call.call.method, json); });
  const auto* request = std::get_if<CheckedRequest>(&checked);
  if (request == nullptr) {
    throw ScenarioFailure(std::get<Error>(checked).message);
  }
  record.body = request->body;
  record.key = request->key;
  call.call.tenant = TenantId("counter");
  call.call.body = std::make_shared<const std::string>(request->body);
  call.call.key = request->key;
  call.call.fingerprint = request->fingerprint;
  call.call.deadline = record.deadline;
  call.request = RequestId::Parse(request_id);
  call.sink = [this, &record](CallResult result) {
    OnAnswer(record, std::move(result));
  };
  Deliver(index, slot.life, std::move(call));
  return id;
}

void World::OnAnswer(CallRecord& record, CallResult result) {
  if (++record.answers > 1) {
    throw ScenarioFailure("a call got a second answer: " + record.body);
  }
  record.answered = now();
  if (auto* answer = std::get_if<Answer>(&result)) {
    record.outcome = kOutcomeNames.Name(answer->outcome);
    record.reason = kAnswerReasonNames.Name(answer->reason);
    record.answer = std::move(*answer);
    return;
  }
  const auto& encoded = std::get<EncodedAnswer>(result);
  record.outcome = OutcomeOf(encoded);
  record.reason = MemberOf(encoded.body, "reason");
}

std::size_t World::Change(std::size_t index,
                          const std::string& operation,
                          Revision expected,
                          Revision rollback_to) {
  NodeSlot& slot = m_nodes.at(index);
  const std::size_t id = m_changes.size();
  m_changes.push_back(std::make_unique<ChangeRecord>());
  ChangeRecord& record = *m_changes.back();
  record.node = index;
  record.life = slot.life;
  record.operation = operation;
  if (!slot.core) {
    return id;
  }
  ConfigChange change;
  change.operation = OperationId(operation);
  change.expected = expected;
  change.content.schema = kSchema;
  change.content.settings["note"] = operation;
  change.rollback_to = rollback_to;
  Deliver(index, slot.life,
          ChangeSubmitted{change, [this, &record](const OperatorReply& reply) {
                            if (record.reply) {
                              throw ScenarioFailure(
                                  "a change got a second answer: " +
                                  record.operation);
                            }
                            record.reply = reply;
                            record.answered = now();
                          }});
  return id;
}

std::string World::Token(std::size_t index) {
  NodeSlot& slot = m_nodes.at(index);
  return slot.core ? slot.core->cluster().Entries(now()).token : "";
}

}  // namespace jacinthdeck::scenario
