// The decisions of one node joined together.
#include "jacinthdeck/runtime/decision_core.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "jacinthdeck/runtime/answer_json.h"
#include "jacinthdeck/runtime/refusal.h"

namespace jacinthdeck {

namespace {

constexpr Duration kDrainingComeBack = std::chrono::milliseconds(1);
//! Attempt ids of one life; the incarnation counts milliseconds, so that a life
//! would have to send a thousand million requests a second to run into the next
//! one's ids.
constexpr unsigned kAttemptBits = 20;

}  // namespace

DecisionCore::DecisionCore(const DecisionOptions& options,
                           const Clock& clock,
                           DecisionPorts& ports)
    : m_clock(clock),
      m_ports(ports),
      m_cluster(options.self, options.cluster, options.seed),
      m_router(options.seed + 1, options.router),
      m_engine(m_router,
               options.self.incarnation.raw() << kAttemptBits,
               options.engine),
      m_once(m_cluster) {}

TimePoint DecisionCore::NextTimer() const {
  TimePoint next = m_cluster.NextTimer();
  if (const auto engine = m_engine.NextTimer()) {
    next = std::min(next, *engine);
  }
  if (const auto once = m_once.NextTimer()) {
    next = std::min(next, *once);
  }
  return next;
}

void DecisionCore::OnTimer() {
  const TimePoint now = m_clock.Now();
  ClusterEffects cluster;
  m_cluster.OnTimer(now, cluster);
  Act(cluster, now);
  m_once.OnTimer(now);
  Effects effects;
  m_engine.OnTimer(now, effects);
  Act(effects, now);
}

void DecisionCore::OnEvent(DecisionEvent event) {
  const TimePoint now = m_clock.Now();
  std::visit([this, now](auto& which) { On(which, now); }, event);
}

void DecisionCore::Drain() {
  if (std::exchange(m_draining, true)) {
    return;
  }
  ClusterEffects effects;
  m_cluster.Leave(effects);
  m_engine.Drain();
  Act(effects, m_clock.Now());
}

void DecisionCore::AddSeeds(const std::vector<PeerSeed>& seeds) {
  std::vector<MemberSeed> members;
  for (const PeerSeed& seed : seeds) {
    MemberSeed member;
    member.node = seed.node;
    member.address =
        MemberAddress{seed.endpoint.address, seed.endpoint.port, 0};
    members.push_back(member);
  }
  ClusterEffects effects;
  m_cluster.OnSeeds(SeedSource::kSettings, members, effects);
  Act(effects, m_clock.Now());
}

bool DecisionCore::ReleaseQuarantine(Fingerprint fingerprint, TimePoint now) {
  Effects effects;
  const bool released = m_engine.ReleaseQuarantine(fingerprint, now, effects);
  Act(effects, now);
  TellPeers(QuarantineNotice{{}, {fingerprint}, {}}, now);
  return released;
}

void DecisionCore::On(SubmittedCall& call, TimePoint now) {
  Begin(std::move(call), false, now);
}

void DecisionCore::Begin(SubmittedCall call, bool forwarded, TimePoint now) {
  const std::optional<CallResult> refusal =
      ReasonToRefuse(call, forwarded, now);
  if (call.request) {
    if (!ArriveOnce(call, forwarded, refusal, now)) {
      return;
    }
  } else if (refusal) {
    call.sink(*refusal);
    return;
  }
  call.call.id = CallId(m_next_call++);
  m_open[call.call.id] =
      OpenCall{std::move(call.sink), std::move(call.request)};
  Effects effects;
  m_engine.Submit(std::move(call.call), now, effects);
  Act(effects, now);
}

std::optional<CallResult> DecisionCore::ReasonToRefuse(SubmittedCall& call,
                                                       bool forwarded,
                                                       TimePoint now) const {
  // A forwarded request is bound to this life, so that nobody else may run it;
  // it is work in flight to a node that leaves.
  if (m_draining && !forwarded) {
    return MakeNotRun(AnswerReason::kDraining, kDrainingComeBack);
  }
  // Without the check at this very moment a node that was paused, or cut off,
  // would answer by a revision that the operators were told is gone.
  if (m_schema == nullptr || m_cluster.StateAt(now) != ServeState::kServing) {
    return MakeNotRun(AnswerReason::kNotReady, kNotReadyComeBack);
  }
  return Recheck(call);
}

// A node that refuses may be asked again for a request that it, or another,
// ran: its caller lost the answer. "Not run" would be untrue then, and the
// caller would claim a second time. So the registry is asked before any refusal
// is told.
bool DecisionCore::ArriveOnce(SubmittedCall& call,
                              bool forwarded,
                              const std::optional<CallResult>& refusal,
                              TimePoint now) {
  ClusterEffects effects;
  const OnceCalls::Next next =
      m_once.Arrive(call, forwarded, refusal, now, effects);
  Act(effects, now);
  return next == OnceCalls::Next::kRun;
}

// The edge checked the request by the schema it saw; a revision may have come
// into force since.
std::optional<CallResult> DecisionCore::Recheck(SubmittedCall& call) const {
  if (call.schema == m_schema) {
    return std::nullopt;
  }
  const auto method =
      m_schema->Find(call.call.method->service.raw(), call.call.method->name);
  auto checked = Capture([&]() -> Result<CheckedRequest> {
    if (method == nullptr) {
      return Fail(ErrorCode::kNotFound, call.call.method->name,
                  "is no longer declared");
    }
    return m_schema->Check(*method, *call.call.body);
  });
  if (const Error* error = std::get_if<Error>(&checked)) {
    return EncodedAnswer{400, EncodeError(*error)};
  }
  auto& request = std::get<CheckedRequest>(checked);
  if ((method->repeat == Repeat::kOnce) != call.request.has_value()) {
    return MakeNotRun(AnswerReason::kNotReady, kNotReadyComeBack);
  }
  call.call.method = method;
  call.call.body = std::make_shared<const std::string>(std::move(request.body));
  call.call.key = request.key;
  call.call.fingerprint = request.fingerprint;
  return std::nullopt;
}

void DecisionCore::On(AttemptReply& reply, TimePoint now) {
  Effects effects;
  m_engine.OnReply(reply, now, effects);
  Act(effects, now);
}

void DecisionCore::On(Envelope& envelope, TimePoint now) {
  ClusterEffects effects;
  m_cluster.OnPeer(envelope, now, effects);
  Act(effects, now);
}

void DecisionCore::On(StoreReply& reply, TimePoint now) {
  ClusterEffects effects;
  m_cluster.OnStoreReply(reply, now, effects);
  Act(effects, now);
}

void DecisionCore::On(VersionsRead& read, TimePoint /*now*/) {
  m_engine.SetVersions(read.service, std::move(read.maps));
}

void DecisionCore::On(HostsRead& read, TimePoint now) {
  m_targets.OnHostList(read.targets, now);
  RefreshTargets(now);
}

void DecisionCore::On(ChangeSubmitted& submitted, TimePoint now) {
  submitted.change.call = OperatorCallId(m_next_operator_call++);
  m_operators[submitted.change.call] = std::move(submitted.sink);
  ClusterEffects effects;
  m_cluster.Submit(submitted.change, now, effects);
  Act(effects, now);
}

void DecisionCore::On(DecisionTask& task, TimePoint now) {
  task.run(*this, now);
}

void DecisionCore::Act(Effects& effects, TimePoint now) {
  for (const SendAttempt& send : effects.sends) {
    Send(send, now);
  }
  for (const CancelAttempt& cancel : effects.cancels) {
    // A cancel that finds no room only costs the target work that nobody waits
    // for.
    (void)m_ports.ToTarget(TargetCancel{cancel.attempt});
  }
  for (DeliverAnswer& delivery : effects.answers) {
    Deliver(delivery, now);
  }
  TellPeers(QuarantineNotice{effects.suspects, {}, effects.convicted}, now);
}

void DecisionCore::Send(const SendAttempt& send, TimePoint now) {
  const TargetInfo* target = m_router.FindTarget(send.target);
  const bool handed_over =
      target != nullptr &&
      m_ports.ToTarget(TargetSend{send, Endpoint{target->address, target->port},
                                  m_router.ConnectionLimit(send.target, now)});
  if (!handed_over) {
    AttemptReply reply;
    reply.attempt = send.attempt;
    reply.status = AttemptStatus::kNotSent;
    On(reply, now);
  }
}

void DecisionCore::Deliver(DeliverAnswer& delivery, TimePoint now) {
  const auto found = m_open.find(delivery.call);
  if (found == m_open.end()) {
    return;
  }
  const OpenCall open = std::move(found->second);
  m_open.erase(found);
  Answer& answer = delivery.answer;
  // The lease may have lapsed while the call ran: its hits may come from a
  // schema or settings that are no longer in force, but that it ran cannot be
  // taken back.
  if (m_cluster.StateAt(now) != ServeState::kServing &&
      answer.outcome != Outcome::kNotRun) {
    Answer lapsed;
    lapsed.outcome = Outcome::kUnknown;
    lapsed.reason = AnswerReason::kNotReady;
    lapsed.attempts = answer.attempts;
    lapsed.retry_after = kNotReadyComeBack;
    answer = std::move(lapsed);
  }
  if (open.request) {
    m_once.Finish(*open.request, answer, now);
  }
  open.sink(std::move(answer));
}

void DecisionCore::RefreshTargets(TimePoint now) {
  m_router.SetTargets(m_targets.Targets(), now);
}

}  // namespace jacinthdeck
