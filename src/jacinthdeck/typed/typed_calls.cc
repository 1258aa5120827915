// Turns the engine's effects into calls of the port.
#include "jacinthdeck/typed/typed_calls.h"

#include <utility>

#include "jacinthdeck/typed/partition_map_reader.h"

namespace jacinthdeck {

TypedCalls::TypedCalls(std::uint64_t seed, TypedPort& port)
    : m_port(port), m_router(seed), m_engine(m_router, kFirstAttempt) {}

Result<void> TypedCalls::SetSchema(const std::string& text) {
  BOOST_LEAF_AUTO(schema, Schema::Parse(text));
  m_schema = std::make_shared<const Schema>(std::move(schema));
  return {};
}

Result<void> TypedCalls::SetIndex(const ServiceId& service,
                                  const std::string& text) {
  BOOST_LEAF_AUTO(maps, ReadPartitionMaps(text, service.raw()));
  m_engine.SetVersions(service, std::move(maps));
  return {};
}

void TypedCalls::SetTargets(const std::vector<TargetInfo>& targets,
                            TimePoint now) {
  m_router.SetTargets(targets, now);
}

void TypedCalls::SetHosts(std::uint32_t hosts, TimePoint now) {
  m_router.SetHostCount(hosts, now);
}

void TypedCalls::Submit(Call call, TimePoint now) {
  Effects effects;
  m_engine.Submit(std::move(call), now, effects);
  Act(effects, now);
}

void TypedCalls::Abandon(CallId call, TimePoint now) {
  Effects effects;
  m_engine.Abandon(call, now, effects);
  Act(effects, now);
}

void TypedCalls::OnReply(const AttemptReply& reply, TimePoint now) {
  Effects effects;
  m_engine.OnReply(reply, now, effects);
  Act(effects, now);
}

void TypedCalls::OnTimer(TimePoint now) {
  Effects effects;
  m_engine.OnTimer(now, effects);
  Act(effects, now);
}

void TypedCalls::Act(Effects& effects, TimePoint now) {
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
  for (DeliverAnswer& delivery : effects.answers) {
    m_port.DeliverTyped(delivery.call, std::move(delivery.answer));
  }
}

}  // namespace jacinthdeck
