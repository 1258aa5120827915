// Time, entries and the outside of a scenario.
#include "scenario/world.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "scenario/checker.h"

namespace jacinthdeck::scenario {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(1);
constexpr Duration kStoreDelay = std::chrono::milliseconds(2);
constexpr Duration kPollPeriod = std::chrono::seconds(1);
constexpr Duration kStartLimit = std::chrono::seconds(30);
constexpr std::uint16_t kPeerPort = 7000;

}  // namespace

bool NodePorts::ToTarget(TargetCommand command) {
  return m_world.CarryTarget(m_node, command);
}

void NodePorts::ToPeer(const PeerSend& send) {
  m_world.CarryPeer(m_node, send);
}

bool NodePorts::ToStore(const StoreRequest& request) {
  m_world.CarryStore(m_node, request);
  return true;
}

World::World(const WorldOptions& options)
    : m_random(options.seed),
      m_dataset(options.shards, options.replicas),
      m_nodes(options.nodes),
      m_checker(std::make_unique<Checker>(*this)) {
  // A clock that starts at zero would hide mistakes about unset moments.
  m_clock.Advance(std::chrono::hours(1));
  m_targets = std::make_unique<FakeTargets>(
      m_dataset, m_clock, m_random.Fork(),
      [this](Duration delay, std::function<void()> event) {
        At(delay, std::move(event));
      });
}

World::~World() = default;

NodeId World::Name(std::size_t index) {
  return NodeId("n" + std::to_string(index + 1));
}

void World::Start() {
  m_dataset.Publish();
  for (std::size_t index = 0; index < m_nodes.size(); ++index) {
    StartLife(index);
  }
  Run(std::chrono::seconds(2));
  const std::size_t first = Change(0, "first", Revision(), Revision());
  const bool ready = RunUntil(
      [&] {
        const auto& reply = m_changes[first]->reply;
        return reply && reply->state == ChangeState::kAccepted &&
               std::ranges::all_of(m_nodes, [&](const NodeSlot& slot) {
                 return slot.core->cluster().StateAt(now()) ==
                        ServeState::kServing;
               });
      },
      kStartLimit);
  if (!ready) {
    throw ScenarioFailure("the first configuration was not accepted");
  }
}

void World::StartLife(std::size_t index) {
  NodeSlot& slot = m_nodes[index];
  slot.life = m_next_life++;
  slot.paused = false;
  slot.held.clear();
  slot.ports = std::make_unique<NodePorts>(*this, index);
  DecisionOptions options;
  options.self.node = Name(index);
  options.self.incarnation = Incarnation(slot.life);
  options.self.domain = FailureDomain("zone-" + std::to_string(index % 3));
  options.self.address = {"10.0.0." + std::to_string(index + 1), kPeerPort,
                          8000};
  options.seed = m_random.Fork();
  slot.core = std::make_unique<DecisionCore>(options, m_clock, *slot.ports);
  std::vector<PeerSeed> seeds;
  for (std::size_t other = 0; other < m_nodes.size(); ++other) {
    if (other != index) {
      seeds.push_back(
          {Name(other), {"10.0.0." + std::to_string(other + 1), kPeerPort}});
    }
  }
  slot.core->AddSeeds(seeds);
  Poll(index, slot.life);
}

// The platform's pollers: partition maps from the store, targets from the host
// list.
void World::Poll(std::size_t index, std::uint64_t life) {
  const NodeSlot& slot = m_nodes[index];
  if (!slot.core || slot.life != life) {
    return;
  }
  At(m_host_list_lag + kStoreDelay,
     [this, index, life, hosts = m_targets->Hosts()] {
       Deliver(index, life, HostsRead{hosts});
     });
  if (!slot.store_cut && !m_store.faults().down) {
    At(kStoreDelay + m_store_delay,
       [this, index, life, maps = m_dataset.Maps()] {
         Deliver(index, life, VersionsRead{ServiceId(kService), maps});
       });
  }
  At(kPollPeriod, [this, index, life] { Poll(index, life); });
}

void World::Kill(std::size_t index) {
  NodeSlot& slot = m_nodes.at(index);
  slot.core.reset();
  for (const auto& call : m_calls) {
    call->lost = call->lost || (call->life == slot.life && call->answers == 0);
  }
}

void World::Restart(std::size_t index) {
  Kill(index);
  StartLife(index);
}

void World::Pause(std::size_t index) {
  NodeSlot& slot = m_nodes.at(index);
  slot.paused = true;
  for (const auto& call : m_calls) {
    call->paused =
        call->paused || (call->life == slot.life && call->answers == 0);
  }
}

void World::Resume(std::size_t index) {
  NodeSlot& slot = m_nodes.at(index);
  if (!slot.paused || !slot.core) {
    slot.paused = false;
    return;
  }
  slot.paused = false;
  std::deque<std::function<void()>> held;
  held.swap(slot.held);
  for (const auto& event : held) {
    event();
  }
}

void World::Drain(std::size_t index) {
  NodeSlot& slot = m_nodes.at(index);
  for (const auto& call : m_calls) {
    call->in_flight_at_drain = call->life == slot.life && call->answers == 0;
  }
  slot.core->Drain();
}

void World::At(Duration delay, std::function<void()> event) {
  m_events.emplace(now() + delay, std::move(event));
}

// What was sent to a former life is lost with its sockets.
void World::Deliver(std::size_t index,
                    std::uint64_t life,
                    DecisionEvent event) {
  NodeSlot& slot = m_nodes[index];
  if (!slot.core || slot.life != life) {
    return;
  }
  if (slot.paused) {
    auto held = std::make_shared<DecisionEvent>(std::move(event));
    slot.held.emplace_back([this, index, held] { Take(index, *held); });
    return;
  }
  Take(index, std::move(event));
}

// The decision loop looks at the timers first, so that a pause is noticed.
void World::Take(std::size_t index, DecisionEvent event) {
  DecisionCore& core = *m_nodes[index].core;
  if (core.NextTimer() <= now()) {
    core.OnTimer();
  }
  core.OnEvent(std::move(event));
}

void World::Step() {
  m_clock.Advance(kTick);
  while (!m_events.empty() && m_events.begin()->first <= now()) {
    const std::function<void()> event = std::move(m_events.begin()->second);
    m_events.erase(m_events.begin());
    event();
  }
  for (NodeSlot& slot : m_nodes) {
    if (slot.core && !slot.paused && slot.core->NextTimer() <= now()) {
      slot.core->OnTimer();
    }
  }
  m_checker->Check();
}

void World::Run(Duration time) {
  (void)RunUntil([] { return false; }, time);
}

bool World::RunUntil(const std::function<bool()>& condition, Duration limit) {
  const TimePoint end = now() + limit;
  while (!condition()) {
    if (now() >= end) {
      return false;
    }
    Step();
  }
  return true;
}

void World::Finish() {
  for (std::size_t index = 0; index < m_nodes.size(); ++index) {
    Resume(index);
  }
  Run(std::chrono::seconds(2));
  m_checker->CheckEnd();
}

}  // namespace jacinthdeck::scenario
