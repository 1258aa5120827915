// Passes events to the engine and its effects to the port.
#include "jacinthdeck/typed/typed_call_runner.h"

#include <utility>

#include "jacinthdeck/typed/partition_map_reader.h"

namespace jacinthdeck {

TypedCallRunner::TypedCallRunner(std::uint64_t seed, TypedPort& port)
    : m_port(port), m_router(seed), m_engine(m_router, kFirstAttemptId) {}

Result<void> TypedCallRunner::SetSchema(const std::string& text) {
  BOOST_LEAF_AUTO(schema, Schema::Parse(text));
  m_schema = std::make_shared<const Schema>(std::move(schema));
  return {};
}

Result<void> TypedCallRunner::SetIndex(const ServiceId& service,
                                       const std::string& text) {
  BOOST_LEAF_AUTO(maps, ReadPartitionMaps(text, service.raw()));
  m_engine.SetVersions(service, std::move(maps));
  return {};
}

void TypedCallRunner::SetTargets(const std::vector<TargetInfo>& targets,
                                 TimePoint now) {
  m_router.SetTargets(targets, now);
}

void TypedCallRunner::SetHostCount(std::uint32_t hosts, TimePoint now) {
  m_router.SetHostCount(hosts, now);
}

void TypedCallRunner::Submit(Call call, TimePoint now) {
  Effects effects;
  m_engine.Submit(std::move(call), now, effects);
  ApplyEffects(effects, now);
}

void TypedCallRunner::Abandon(CallId call, TimePoint now) {
  Effects effects;
  m_engine.Abandon(call, now, effects);
  ApplyEffects(effects, now);
}

void TypedCallRunner::OnReply(const AttemptReply& reply, TimePoint now) {
  Effects effects;
  m_engine.OnReply(reply, now, effects);
  ApplyEffects(effects, now);
}

void TypedCallRunner::AddPeerSuspect(Fingerprint fingerprint, TimePoint now) {
  m_engine.AddPeerSuspect(fingerprint, now);
}

void TypedCallRunner::AddPeerQuarantine(Fingerprint fingerprint,
                                        TimePoint now) {
  Effects effects;
  m_engine.AddPeerQuarantine(fingerprint, now, effects);
  ApplyEffects(effects, now);
}

void TypedCallRunner::OnTimer(TimePoint now) {
  Effects effects;
  m_engine.OnTimer(now, effects);
  ApplyEffects(effects, now);
}

void TypedCallRunner::BeginStop(TimePoint answer_by, TimePoint now) {
  Effects effects;
  m_engine.BeginStop(answer_by, now, effects);
  ApplyEffects(effects, now);
}

void TypedCallRunner::ApplyEffects(Effects& effects, TimePoint now) {
  for (const SendAttempt& send : effects.sends) {
    const TargetInfo* target = m_router.FindTarget(send.target);
    if (target != nullptr) {
      m_port.SendTyped(send, *target,
                       m_router.ConnectionLimit(send.target, now));
      continue;
    }
    AttemptReply reply;
    reply.attempt = send.attempt;
    reply.status = AttemptStatus::kNotSent;
    OnReply(reply, now);
  }
  for (const CancelAttempt& cancel : effects.cancels) {
    m_port.CancelTyped(cancel.attempt);
    AttemptReply reply;
    reply.attempt = cancel.attempt;
    reply.status = AttemptStatus::kCancelled;
    OnReply(reply, now);
  }
  for (const Fingerprint fingerprint : effects.suspects) {
    m_port.ShareTypedSuspect(fingerprint);
  }
  for (const Fingerprint fingerprint : effects.quarantined) {
    m_port.ShareTypedQuarantine(fingerprint);
  }
  for (DeliverAnswer& delivery : effects.answers) {
    m_port.DeliverTyped(delivery.call, std::move(delivery.answer));
  }
}

}  // namespace jacinthdeck
