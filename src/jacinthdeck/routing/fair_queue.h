// Queue that is weighted fair between flows, and by deadline within a flow.
#ifndef JACINTHDECK_ROUTING_FAIR_QUEUE_H_
#define JACINTHDECK_ROUTING_FAIR_QUEUE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/**
 * \brief Bounded queue with weighted fair shares for flows.
 *
 * Uses start-time fair queueing: each start advances the flow's virtual time by
 * the item's cost divided by the flow's weight, and the flow with the lowest
 * virtual time goes next. A flow that sends too much therefore only delays its
 * own items.
 * \tparam Item What waits; movable.
 * \tparam Flow Identifies a flow; ordered and copyable.
 */
template <typename Item, typename Flow>
class FairQueue {
 public:
  /*! \brief Identifies a waiting item; ordered by deadline, then arrival. */
  struct Key {
    TimePoint deadline;
    std::uint64_t arrival = 0;

    [[nodiscard]] auto operator<=>(const Key&) const = default;
  };

  /*! \brief A waiting item and what decides its place. */
  struct Entry {
    Flow flow;
    //! Share of the flow relative to those of the others; above zero.
    double weight = 1;
    //! Capacity that the item needs, in any unit; above zero.
    double cost = 1;
    TimePoint deadline;
    //! Items of a flow with a lower rank go first, whatever their deadlines.
    std::uint32_t rank = 0;
    Item item;
  };

  /*! \brief Constructs an empty queue for a number of items. */
  explicit FairQueue(std::size_t capacity) noexcept : m_capacity(capacity) {}

  [[nodiscard]] bool empty() const noexcept { return m_entries.empty(); }
  [[nodiscard]] std::size_t size() const noexcept { return m_entries.size(); }
  [[nodiscard]] bool full() const noexcept {
    return m_entries.size() >= m_capacity;
  }

  /*! \brief Returns the number of waiting items of a flow. */
  [[nodiscard]] std::size_t CountOf(const Flow& flow) const;

  /*! \brief Returns the earliest deadline; the queue must not be empty. */
  [[nodiscard]] TimePoint EarliestDeadline() const {
    return m_entries.begin()->first.deadline;
  }

  /**
   * \brief Estimates how many starts precede that of a new item of a flow.
   * \return Number of the flow's waiting items divided by its share of the
   * starts, at most the size of the queue.
   */
  [[nodiscard]] double StartsAhead(const Flow& flow, double weight) const;

  /*! \brief Returns whether a flow with one more item would exceed its share of
   * the queue. */
  [[nodiscard]] bool ExceedsShare(const Flow& flow, double weight) const;

  /*! \brief Adds an item; the queue must not be full.
   * \return Key that identifies the item in Take(). */
  Key Add(Entry entry);

  /*! \brief Returns the item that goes next; the queue must not be empty. */
  [[nodiscard]] const Item& Next() const {
    return m_entries.at(NextFlow()->second.places.begin()->key).item;
  }

  /*! \brief Removes and returns the item that goes next; the queue must not be
   * empty. */
  [[nodiscard]] Item TakeNext();

  /*! \brief Removes and returns the item with the earliest deadline if that is
   * at or before a given time. */
  [[nodiscard]] std::optional<Item> TakeDueBy(TimePoint time);

  /*! \brief Removes and returns the last item of the flow with the most items
   * for its weight; the queue must not be empty. */
  [[nodiscard]] Item TakeExcess();

  /*! \brief Removes and returns the item of a flow that goes last, if it has
   * any. */
  [[nodiscard]] std::optional<Item> TakeLastOf(const Flow& flow);

  /*! \brief Removes and returns an item if it is still in the queue. */
  [[nodiscard]] std::optional<Item> Take(const Key& key);

 private:
  //! Orders the items of a flow.
  struct Place {
    std::uint32_t rank = 0;
    Key key;

    [[nodiscard]] auto operator<=>(const Place&) const = default;
  };
  struct FlowState {
    double weight = 1;
    double virtual_time = 0;
    std::set<Place> places;
  };
  using Flows = std::map<Flow, FlowState>;

  [[nodiscard]] typename Flows::const_iterator NextFlow() const {
    return std::ranges::min_element(
        m_flows, {}, [](const auto& item) { return item.second.virtual_time; });
  }
  [[nodiscard]] double ActiveWeight() const;
  [[nodiscard]] Item TakeExisting(const Key& key);
  //! Removes a flow without items, and keeps its virtual time if needed.
  void Retire(typename Flows::iterator flow);

  //! Flows may be addresses of callers, of which there can be any number, and
  //! the virtual time of the queue stands still while each start is the first
  //! one of its flow. Beyond this number they are all dropped, and each flow
  //! gains one start.
  static constexpr std::size_t kMaxIdleFlows = 1024;

  std::size_t m_capacity;
  std::uint64_t m_arrivals = 0;
  //! Virtual time of the last start. A flow without waiting items resumes at
  //! least there, so that it gains no priority by being idle.
  double m_virtual_time = 0;
  std::map<Key, Entry> m_entries;
  //! The flows that have waiting items, and no others.
  Flows m_flows;
  //! Virtual times of the flows without waiting items that are ahead of
  //! m_virtual_time. Without them, a flow that adds one item whenever its last
  //! one started would always go first and starve flows with a backlog.
  std::map<Flow, double> m_idle_virtual_times;
};

template <typename Item, typename Flow>
std::size_t FairQueue<Item, Flow>::CountOf(const Flow& flow) const {
  const auto found = m_flows.find(flow);
  return found == m_flows.end() ? 0 : found->second.places.size();
}

template <typename Item, typename Flow>
double FairQueue<Item, Flow>::StartsAhead(const Flow& flow,
                                          double weight) const {
  const auto own_items = static_cast<double>(CountOf(flow));
  const auto found = m_flows.find(flow);
  const double other_weights =
      ActiveWeight() - (found == m_flows.end() ? 0 : found->second.weight);
  const double by_share = own_items * (weight + other_weights) / weight;
  return std::min(by_share, static_cast<double>(m_entries.size()));
}

template <typename Item, typename Flow>
bool FairQueue<Item, Flow>::ExceedsShare(const Flow& flow,
                                         double weight) const {
  const double active = ActiveWeight() + (m_flows.contains(flow) ? 0 : weight);
  const double share = static_cast<double>(m_capacity) * weight / active;
  return static_cast<double>(CountOf(flow) + 1) > share;
}

template <typename Item, typename Flow>
typename FairQueue<Item, Flow>::Key FairQueue<Item, Flow>::Add(Entry entry) {
  const Key key{entry.deadline, m_arrivals++};
  const auto [found, added] = m_flows.try_emplace(entry.flow);
  FlowState& flow = found->second;
  flow.weight = entry.weight;
  if (added) {
    const auto idle = m_idle_virtual_times.find(entry.flow);
    flow.virtual_time = idle == m_idle_virtual_times.end()
                            ? m_virtual_time
                            : std::max(m_virtual_time, idle->second);
  }
  flow.places.insert({entry.rank, key});
  m_entries.emplace(key, std::move(entry));
  return key;
}

template <typename Item, typename Flow>
Item FairQueue<Item, Flow>::TakeNext() {
  FlowState& flow = m_flows.at(NextFlow()->first);
  m_virtual_time = flow.virtual_time;
  std::erase_if(m_idle_virtual_times, [this](const auto& item) {
    return item.second <= m_virtual_time;
  });
  const Key key = flow.places.begin()->key;
  flow.virtual_time += m_entries.at(key).cost / flow.weight;
  return TakeExisting(key);
}

template <typename Item, typename Flow>
std::optional<Item> FairQueue<Item, Flow>::TakeDueBy(TimePoint time) {
  if (m_entries.empty() || EarliestDeadline() > time) {
    return std::nullopt;
  }
  const Key key = m_entries.begin()->first;
  return TakeExisting(key);
}

template <typename Item, typename Flow>
Item FairQueue<Item, Flow>::TakeExcess() {
  const auto largest =
      std::ranges::max_element(m_flows, {}, [](const auto& item) {
        return static_cast<double>(item.second.places.size()) /
               item.second.weight;
      });
  const Key key = largest->second.places.rbegin()->key;
  return TakeExisting(key);
}

template <typename Item, typename Flow>
std::optional<Item> FairQueue<Item, Flow>::TakeLastOf(const Flow& flow) {
  const auto found = m_flows.find(flow);
  if (found == m_flows.end()) {
    return std::nullopt;
  }
  const Key key = found->second.places.rbegin()->key;
  return TakeExisting(key);
}

template <typename Item, typename Flow>
std::optional<Item> FairQueue<Item, Flow>::Take(const Key& key) {
  if (!m_entries.contains(key)) {
    return std::nullopt;
  }
  return TakeExisting(key);
}

template <typename Item, typename Flow>
Item FairQueue<Item, Flow>::TakeExisting(const Key& key) {
  const auto found = m_entries.find(key);
  Entry entry = std::move(found->second);
  m_entries.erase(found);
  const auto flow = m_flows.find(entry.flow);
  flow->second.places.erase({entry.rank, key});
  if (flow->second.places.empty()) {
    Retire(flow);
  }
  return std::move(entry.item);
}

template <typename Item, typename Flow>
void FairQueue<Item, Flow>::Retire(typename Flows::iterator flow) {
  if (flow->second.virtual_time > m_virtual_time) {
    if (m_idle_virtual_times.size() >= kMaxIdleFlows) {
      m_idle_virtual_times.clear();
    }
    m_idle_virtual_times[flow->first] = flow->second.virtual_time;
  }
  m_flows.erase(flow);
}

template <typename Item, typename Flow>
double FairQueue<Item, Flow>::ActiveWeight() const {
  double weight = 0;
  for (const auto& [id, flow] : m_flows) {
    weight += flow.weight;
  }
  return weight;
}

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ROUTING_FAIR_QUEUE_H_
