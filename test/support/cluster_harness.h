// Several cluster cores in one process with a paused clock, a network with
// faults and a fake store.
#ifndef JACINTHDECK_TEST_SUPPORT_CLUSTER_HARNESS_H_
#define JACINTHDECK_TEST_SUPPORT_CLUSTER_HARNESS_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jacinthdeck/cluster/cluster_node.h"
#include "jacinthdeck/core/manual_clock.h"
#include "jacinthdeck/core/random.h"
#include "support/fake_store.h"

namespace jacinthdeck {

/*! \brief Bench of cores: every effect is carried out, every event delivered in
 * the order of time, the same for the same seed. */
class ClusterHarness {
 public:
  //! Time one way between two nodes.
  static constexpr Duration kDelay = std::chrono::milliseconds(2);
  //! The clock moves in steps of this.
  static constexpr Duration kStep = std::chrono::milliseconds(10);

  explicit ClusterHarness(std::uint64_t seed, ClusterOptions options = {});

  [[nodiscard]] static NodeId Name(std::size_t index);
  [[nodiscard]] TimePoint now() const noexcept { return m_clock.Now(); }
  [[nodiscard]] FakeStore& store() noexcept { return m_store; }
  [[nodiscard]] ClusterNode& node(std::size_t index);
  [[nodiscard]] std::size_t size() const noexcept { return m_slots.size(); }
  [[nodiscard]] bool running(std::size_t index) const;

  /*! \brief State that one node sees another in. */
  [[nodiscard]] MemberState Sees(std::size_t viewer, std::size_t subject);
  [[nodiscard]] ServeState Serving(std::size_t index);
  [[nodiscard]] Revision RevisionAt(std::size_t index);
  /*! \brief Counts the times at which any watched view changed its state. */
  [[nodiscard]] std::uint64_t state_changes(std::size_t viewer,
                                            std::size_t subject);

  /*! \brief Starts `count` nodes that know one another from the settings. */
  void Start(std::size_t count);
  /*! \brief Starts one more node. */
  std::size_t Join();
  void Kill(std::size_t index);
  /*! \brief Starts a new life of a killed or running node. */
  void Restart(std::size_t index);
  /*! \brief Stops a node's process; what is sent to it waits. */
  void Pause(std::size_t index);
  void Resume(std::size_t index);
  /*! \brief Drops all messages from one node to another, one way. */
  void Cut(std::size_t from, std::size_t to);
  void Heal(std::size_t from, std::size_t to);
  /*! \brief Cuts a node off from all others, both ways, but not from the store.
   */
  void Isolate(std::size_t index);
  void Rejoin(std::size_t index);
  /*! \brief Cuts one node off from the store, or lets it back. */
  void CutStore(std::size_t index, bool cut);
  /*! \brief Share of the messages that are lost. */
  void set_loss(double loss) noexcept { m_loss = loss; }

  /*! \brief Time one way between a node and the store. */
  void set_store_delay(Duration delay) noexcept { m_store_delay = delay; }

  void Run(Duration time);
  /*! \brief Runs until a condition holds.
   * \return Time it took; nothing if it did not hold within the limit. */
  std::optional<Duration> RunUntil(const std::function<bool()>& condition,
                                   Duration limit);

  /*! \brief Submits a change; its replies are found by the call id. */
  OperatorCallId Submit(std::size_t index,
                        const std::string& operation,
                        Revision expected,
                        const std::string& schema);
  OperatorCallId Submit(std::size_t index, ConfigChange change);
  [[nodiscard]] const OperatorReply* ReplyTo(OperatorCallId call) const;
  /*! \brief Submits the first configuration and waits for its acceptance. */
  Revision Configure(const std::string& schema);
  void Leave(std::size_t index);

 private:
  struct Slot {
    std::unique_ptr<ClusterNode> core;
    std::uint64_t incarnation = 0;
    bool paused = false;
    bool store_cut = false;
    //! Events that arrived while paused.
    std::deque<std::function<void()>> held;
  };

  void StartLife(std::size_t index);
  [[nodiscard]] SelfInfo Self(std::size_t index) const;
  [[nodiscard]] std::vector<MemberSeed> Seeds() const;
  void At(Duration delay, std::function<void()> event);
  void Deliver(std::size_t index,
               std::uint64_t incarnation,
               std::function<void()> event);
  void CarryOut(std::size_t index, ClusterEffects effects);
  void CarrySend(std::size_t index, PeerSend send);
  void CarryStore(std::size_t index, const StoreRequest& request);
  void Step();
  void Watch();

  ClusterOptions m_options;
  Random m_random;
  ManualClock m_clock;
  FakeStore m_store;
  std::vector<Slot> m_slots;
  std::map<NodeId, std::size_t> m_index;
  std::multimap<TimePoint, std::function<void()>> m_events;
  std::set<std::pair<std::size_t, std::size_t>> m_cuts;
  double m_loss = 0;
  Duration m_store_delay = kDelay;
  std::uint64_t m_next_call = 1;
  std::map<OperatorCallId, OperatorReply> m_replies;
  //! Watched views by (viewer, subject): last state and number of changes.
  std::map<std::pair<std::size_t, std::size_t>,
           std::pair<MemberState, std::uint64_t>>
      m_watched;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TEST_SUPPORT_CLUSTER_HARNESS_H_
