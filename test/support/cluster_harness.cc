// Several cluster cores in one process.
#include "support/cluster_harness.h"

#include <stdexcept>

namespace jacinthdeck {

namespace internal {

constexpr std::size_t kDomains = 3;
constexpr std::uint16_t kPeerPort = 7000;
constexpr std::uint16_t kCallerPort = 8000;

}  // namespace internal

ClusterHarness::ClusterHarness(std::uint64_t seed, ClusterOptions options)
    : m_options(options), m_random(seed) {
  // A clock that starts at zero would hide mistakes about unset moments.
  m_clock.Advance(std::chrono::hours(1));
}

NodeId ClusterHarness::Name(std::size_t index) {
  return NodeId("n" + std::to_string(1000 + index).substr(1));
}

ClusterNode& ClusterHarness::node(std::size_t index) {
  if (!running(index)) {
    throw std::logic_error("the node does not run");
  }
  return *m_slots[index].core;
}

bool ClusterHarness::running(std::size_t index) const {
  return m_slots.at(index).core != nullptr;
}

MemberState ClusterHarness::Sees(std::size_t viewer, std::size_t subject) {
  return node(viewer).members().StateOf(Name(subject), now());
}

ServeState ClusterHarness::Serving(std::size_t index) {
  return node(index).StateAt(now());
}

Revision ClusterHarness::RevisionAt(std::size_t index) {
  return node(index).config().revision();
}

std::uint64_t ClusterHarness::state_changes(std::size_t viewer,
                                            std::size_t subject) {
  const auto watched = m_watched.try_emplace(
      {viewer, subject}, std::pair(Sees(viewer, subject), 0));
  return watched.first->second.second;
}

SelfInfo ClusterHarness::Self(std::size_t index) const {
  SelfInfo self;
  self.node = Name(index);
  self.incarnation = Incarnation(m_slots[index].incarnation);
  self.domain =
      FailureDomain("zone-" + std::to_string(index % internal::kDomains));
  self.address = {"10.0.0." + std::to_string(index), internal::kPeerPort,
                  internal::kCallerPort};
  return self;
}

std::vector<MemberSeed> ClusterHarness::Seeds() const {
  std::vector<MemberSeed> seeds;
  for (std::size_t index = 0; index < m_slots.size(); ++index) {
    const SelfInfo self = Self(index);
    seeds.push_back({self.node, self.address, self.domain, false});
  }
  return seeds;
}

void ClusterHarness::Start(std::size_t count) {
  for (std::size_t index = 0; index < count; ++index) {
    m_index[Name(index)] = index;
    m_slots.emplace_back();
  }
  for (std::size_t index = 0; index < count; ++index) {
    StartLife(index);
  }
}

std::size_t ClusterHarness::Join() {
  const std::size_t index = m_slots.size();
  m_index[Name(index)] = index;
  m_slots.emplace_back();
  StartLife(index);
  return index;
}

void ClusterHarness::StartLife(std::size_t index) {
  Slot& slot = m_slots[index];
  ++slot.incarnation;
  slot.paused = false;
  slot.held.clear();
  slot.core =
      std::make_unique<ClusterNode>(Self(index), m_options, m_random.Fork());
  ClusterEffects effects;
  slot.core->OnSeeds(SeedSource::kSettings, Seeds(), effects);
  CarryOut(index, std::move(effects));
}

void ClusterHarness::Kill(std::size_t index) {
  m_slots.at(index).core.reset();
}

void ClusterHarness::Restart(std::size_t index) {
  Kill(index);
  StartLife(index);
}

void ClusterHarness::Pause(std::size_t index) {
  m_slots.at(index).paused = true;
}

void ClusterHarness::Resume(std::size_t index) {
  Slot& slot = m_slots.at(index);
  slot.paused = false;
  std::deque<std::function<void()>> held;
  held.swap(slot.held);
  for (const auto& event : held) {
    event();
  }
}

void ClusterHarness::Cut(std::size_t from, std::size_t to) {
  m_cuts.emplace(from, to);
}

void ClusterHarness::Heal(std::size_t from, std::size_t to) {
  m_cuts.erase({from, to});
}

void ClusterHarness::Isolate(std::size_t index) {
  for (std::size_t other = 0; other < m_slots.size(); ++other) {
    Cut(index, other);
    Cut(other, index);
  }
}

void ClusterHarness::Rejoin(std::size_t index) {
  for (std::size_t other = 0; other < m_slots.size(); ++other) {
    Heal(index, other);
    Heal(other, index);
  }
}

void ClusterHarness::CutStore(std::size_t index, bool cut) {
  m_slots.at(index).store_cut = cut;
}

void ClusterHarness::At(Duration delay, std::function<void()> event) {
  m_events.emplace(now() + delay, std::move(event));
}

// What was sent to a former life is lost with its sockets.
void ClusterHarness::Deliver(std::size_t index,
                             std::uint64_t incarnation,
                             std::function<void()> event) {
  Slot& slot = m_slots[index];
  if (!slot.core || slot.incarnation != incarnation) {
    return;
  }
  if (slot.paused) {
    slot.held.push_back(std::move(event));
    return;
  }
  event();
}

void ClusterHarness::CarryOut(std::size_t index, ClusterEffects effects) {
  for (PeerSend& send : effects.sends) {
    CarrySend(index, std::move(send));
  }
  for (const StoreRequest& request : effects.store_requests) {
    CarryStore(index, request);
  }
  for (const OperatorReply& reply : effects.operator_replies) {
    m_replies[reply.call] = reply;
  }
}

void ClusterHarness::CarrySend(std::size_t index, PeerSend send) {
  const auto found = m_index.find(send.envelope.to);
  const bool lost = m_loss > 0 && m_random.Unit() < m_loss;
  if (found == m_index.end() || lost ||
      m_cuts.contains({index, found->second})) {
    return;
  }
  const std::size_t to = found->second;
  const std::uint64_t life = m_slots[to].incarnation;
  const auto envelope =
      std::make_shared<const Envelope>(std::move(send.envelope));
  At(kDelay, [this, to, life, envelope] {
    Deliver(to, life, [this, to, envelope] {
      ClusterEffects effects;
      m_slots[to].core->OnPeer(*envelope, now(), effects);
      CarryOut(to, std::move(effects));
    });
  });
}

void ClusterHarness::CarryStore(std::size_t index,
                                const StoreRequest& request) {
  const std::uint64_t life = m_slots[index].incarnation;
  const auto reply_after = [this, index, life](Duration delay,
                                               const StoreReply& reply) {
    At(delay, [this, index, life, reply] {
      Deliver(index, life, [this, index, reply] {
        ClusterEffects effects;
        m_slots[index].core->OnStoreReply(reply, now(), effects);
        CarryOut(index, std::move(effects));
      });
    });
  };
  if (m_slots[index].store_cut) {
    StoreReply lost;
    lost.id = request.id;
    reply_after(request.timeout, lost);
    return;
  }
  At(m_store_delay, [this, request, reply_after] {
    const StoreReply reply = m_store.Call(request);
    const bool lost = reply.status == StoreStatus::kNoReply;
    reply_after(lost ? request.timeout : m_store_delay, reply);
  });
}

void ClusterHarness::Step() {
  m_clock.Advance(kStep);
  while (!m_events.empty() && m_events.begin()->first <= now()) {
    const std::function<void()> event = std::move(m_events.begin()->second);
    m_events.erase(m_events.begin());
    event();
  }
  for (std::size_t index = 0; index < m_slots.size(); ++index) {
    Slot& slot = m_slots[index];
    if (slot.core && !slot.paused && slot.core->NextTimer() <= now()) {
      ClusterEffects effects;
      slot.core->OnTimer(now(), effects);
      CarryOut(index, std::move(effects));
    }
  }
  Watch();
}

void ClusterHarness::Watch() {
  for (auto& [pair, seen] : m_watched) {
    if (!running(pair.first)) {
      continue;
    }
    const MemberState state = Sees(pair.first, pair.second);
    seen.second += state != seen.first ? 1 : 0;
    seen.first = state;
  }
}

void ClusterHarness::Run(Duration time) {
  (void)RunUntil([] { return false; }, time);
}

std::optional<Duration> ClusterHarness::RunUntil(
    const std::function<bool()>& condition,
    Duration limit) {
  const TimePoint start = now();
  while (!condition()) {
    if (now() - start >= limit) {
      return std::nullopt;
    }
    Step();
  }
  return now() - start;
}

OperatorCallId ClusterHarness::Submit(std::size_t index,
                                      const std::string& operation,
                                      Revision expected,
                                      const std::string& schema) {
  ConfigChange change;
  change.operation = OperationId(operation);
  change.expected = expected;
  change.content.schema = schema;
  return Submit(index, std::move(change));
}

OperatorCallId ClusterHarness::Submit(std::size_t index, ConfigChange change) {
  change.call = OperatorCallId(m_next_call++);
  ClusterEffects effects;
  node(index).Submit(change, now(), effects);
  CarryOut(index, std::move(effects));
  return change.call;
}

const OperatorReply* ClusterHarness::ReplyTo(OperatorCallId call) const {
  const auto found = m_replies.find(call);
  return found == m_replies.end() ? nullptr : &found->second;
}

Revision ClusterHarness::Configure(const std::string& schema) {
  const OperatorCallId call = Submit(0, "first", Revision(), schema);
  (void)RunUntil([&] { return ReplyTo(call) != nullptr; },
                 std::chrono::seconds(20));
  const OperatorReply* reply = ReplyTo(call);
  if (reply == nullptr || reply->state != ChangeState::kAccepted) {
    throw std::logic_error("the first configuration was not accepted");
  }
  return reply->revision;
}

void ClusterHarness::Leave(std::size_t index) {
  ClusterEffects effects;
  node(index).Leave(effects);
  CarryOut(index, std::move(effects));
}

}  // namespace jacinthdeck
