// Entries, targets, store, host list and callers in one process under a paused
// clock.
#ifndef JACINTHDECK_TEST_SCENARIO_WORLD_H_
#define JACINTHDECK_TEST_SCENARIO_WORLD_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jacinthdeck/core/manual_clock.h"
#include "jacinthdeck/core/random.h"
#include "scenario/dataset.h"
#include "scenario/fake_targets.h"
#include "scenario/node_slot.h"
#include "scenario/records.h"
#include "support/fake_store.h"

namespace jacinthdeck::scenario {

class Checker;

/*! \brief Size and seed of a scenario. */
struct WorldOptions {
  std::size_t nodes = 3;
  std::size_t shards = 3;
  std::size_t replicas = 3;
  std::uint64_t seed = 1;
};

/*!
 * \brief Drives one DecisionCore for each entry.
 *
 * Every effect is carried out by a fake; every event comes in the order of
 * time, the same for the same seed. After each step the checker looks at
 * everything.
 */
class World {
 public:
  explicit World(const WorldOptions& options);
  World(const World&) = delete;
  World& operator=(const World&) = delete;
  ~World();

  [[nodiscard]] TimePoint now() const noexcept { return m_clock.Now(); }
  [[nodiscard]] std::size_t size() const noexcept { return m_nodes.size(); }
  [[nodiscard]] NodeSlot& node(std::size_t index) { return m_nodes.at(index); }
  [[nodiscard]] const std::vector<NodeSlot>& nodes() const noexcept {
    return m_nodes;
  }
  [[nodiscard]] FakeTargets& targets() noexcept { return *m_targets; }
  [[nodiscard]] const FakeTargets& targets() const noexcept {
    return *m_targets;
  }
  [[nodiscard]] Dataset& dataset() noexcept { return m_dataset; }
  [[nodiscard]] const Dataset& dataset() const noexcept { return m_dataset; }
  [[nodiscard]] FakeStore& store() noexcept { return m_store; }
  [[nodiscard]] const FakeStore& store() const noexcept { return m_store; }
  [[nodiscard]] Random& random() noexcept { return m_random; }
  [[nodiscard]] const std::vector<std::unique_ptr<CallRecord>>& calls()
      const noexcept {
    return m_calls;
  }
  [[nodiscard]] const std::vector<std::unique_ptr<ChangeRecord>>& changes()
      const noexcept {
    return m_changes;
  }
  [[nodiscard]] static NodeId Name(std::size_t index);

  /*! \brief Puts the first configuration in force; every entry serves after it.
   */
  void Start();
  /*! \brief Moves time on, checking every millisecond. */
  void Run(Duration time);
  /*! \brief Runs until a condition holds; false if the limit comes first. */
  [[nodiscard]] bool RunUntil(const std::function<bool()>& condition,
                              Duration limit);
  /*! \brief Ends the scenario: every open call must get its answer. */
  void Finish();

  // Entries.
  void Kill(std::size_t index);
  void Restart(std::size_t index);
  void Pause(std::size_t index);
  void Resume(std::size_t index);
  void Drain(std::size_t index);
  /*! \brief Drops messages from one entry to another, one way. */
  void Cut(std::size_t from, std::size_t to) { m_cuts.emplace(from, to); }
  void Heal(std::size_t from, std::size_t to) { m_cuts.erase({from, to}); }

  // Platform.
  void set_store_delay(Duration delay) noexcept { m_store_delay = delay; }
  void set_host_list_lag(Duration lag) noexcept { m_host_list_lag = lag; }

  // Callers and operators.
  std::size_t Submit(std::size_t index,
                     const std::string& method,
                     const std::string& json,
                     const std::string& request_id,
                     Duration deadline);
  std::size_t Change(std::size_t index,
                     const std::string& operation,
                     Revision expected,
                     Revision rollback_to);
  [[nodiscard]] std::string Token(std::size_t index);

  // For the ports.
  bool CarryTarget(std::size_t index, const TargetCommand& command);
  void CarryPeer(std::size_t index, const PeerSend& send);
  void CarryStore(std::size_t index, const StoreRequest& request);

 private:
  void At(Duration delay, std::function<void()> event);
  void StartLife(std::size_t index);
  void Poll(std::size_t index, std::uint64_t life);
  void Deliver(std::size_t index, std::uint64_t life, DecisionEvent event);
  void Take(std::size_t index, DecisionEvent event);
  void Step();
  void OnAnswer(CallRecord& record, CallResult result);

  ManualClock m_clock;
  Random m_random;
  Dataset m_dataset;
  FakeStore m_store;
  std::multimap<TimePoint, std::function<void()>> m_events;
  std::unique_ptr<FakeTargets> m_targets;
  std::vector<NodeSlot> m_nodes;
  std::set<std::pair<std::size_t, std::size_t>> m_cuts;
  Duration m_store_delay{};
  Duration m_host_list_lag{};
  std::uint64_t m_next_life = 1;
  std::vector<std::unique_ptr<CallRecord>> m_calls;
  std::vector<std::unique_ptr<ChangeRecord>> m_changes;
  std::unique_ptr<Checker> m_checker;
};

}  // namespace jacinthdeck::scenario

#endif  // JACINTHDECK_TEST_SCENARIO_WORLD_H_
