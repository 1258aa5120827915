// Keeps one fair queue for each group, class and priority.
#include "jacinthdeck/forward/waiting_calls.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jacinthdeck {

namespace {

[[nodiscard]] TimePoint DueOf(const WaitingCall& call, WaitClass wait_class) {
  return wait_class == WaitClass::kInTime ? call.in_time_until : call.start_by;
}

//! Starts of a priority for one of the next lower priority.
constexpr double kPriorityWeight = 4;
//! Bounds the weight: priorities may be any numbers.
constexpr std::uint32_t kMaxPrioritySteps = 3;

//! Returning callers go before first tries of their flow: they cannot return
//! once more.
[[nodiscard]] std::uint32_t RankInFlow(const WaitingCall& call) {
  return call.returning ? 0 : 1;
}

}  // namespace

std::vector<ServiceId> WaitingCalls::Groups() const {
  std::vector<ServiceId> groups;
  for (const auto& [group, state] : m_groups) {
    if (NextQueue(state) != nullptr) {
      groups.push_back(group);
    }
  }
  return groups;
}

std::size_t WaitingCalls::CountOf(const ServiceId& group,
                                  WaitClass wait_class) const {
  const auto found = m_groups.find(group);
  std::size_t count = 0;
  if (found != m_groups.end()) {
    for (const auto& [rank, queue] : found->second.queues) {
      count += rank.wait_class == wait_class ? queue.calls.size() : 0;
    }
  }
  return count;
}

double WaitingCalls::StartsAhead(const WaitingCall& call,
                                 WaitClass wait_class) const {
  const auto found = m_groups.find(call.group);
  if (found == m_groups.end()) {
    return 0;
  }
  const Rank own{wait_class, call.priority};
  double in_class = 0;
  double earlier_class = 0;
  double own_queue = 0;
  for (const auto& [rank, queue] : found->second.queues) {
    const auto calls = static_cast<double>(queue.calls.size());
    if (rank.wait_class < wait_class) {
      earlier_class += calls;
    } else if (rank == own) {
      own_queue = queue.calls.StartsAhead(call.flow, call.weight);
    } else if (rank < own) {
      in_class += calls;
    }
  }
  // While the own queue waits, more urgent ones get this many starts.
  const double urgent = (own_queue + 1) * kPriorityWeight;
  return earlier_class + own_queue + std::min(in_class, urgent);
}

std::optional<WaitingCall> WaitingCalls::Add(WaitingCall call,
                                             WaitClass wait_class) {
  const Rank rank{wait_class, call.priority};
  std::optional<WaitingCall> shed;
  if (full()) {
    const std::string& largest = LargestFlow(call);
    // A flow makes room for its own call only by one that goes later.
    const bool own = largest == call.flow;
    shed = TakeLastOf(largest, rank, !own || call.returning);
    if (!shed) {
      return call;
    }
  }
  Insert(std::move(call), rank);
  return shed;
}

const std::string& WaitingCalls::LargestFlow(const WaitingCall& call) const {
  const std::string* largest = &call.flow;
  const auto own = m_flows.find(call.flow);
  double most =
      (own == m_flows.end() ? 1.0
                            : static_cast<double>(own->second.calls + 1)) /
      call.weight;
  for (const auto& [flow, state] : m_flows) {
    const double calls = static_cast<double>(state.calls) / state.weight;
    if (flow != call.flow && calls > most) {
      largest = &flow;
      most = calls;
    }
  }
  return *largest;
}

std::optional<WaitingCall> WaitingCalls::TakeLastOf(const std::string& flow,
                                                    const Rank& rank,
                                                    bool same) {
  Queue* last = nullptr;
  Rank last_rank = rank;
  for (auto& [id, group] : m_groups) {
    for (auto& [queue_rank, queue] : group.queues) {
      const bool goes_later =
          queue_rank > last_rank ||
          (same && last == nullptr && queue_rank == last_rank);
      if (goes_later && queue.calls.CountOf(flow) > 0) {
        last = &queue.calls;
        last_rank = queue_rank;
      }
    }
  }
  if (last == nullptr) {
    return std::nullopt;
  }
  std::optional<WaitingCall> taken = last->TakeLastOf(flow);
  Forget(*taken);
  return taken;
}

void WaitingCalls::Insert(WaitingCall call, const Rank& rank) {
  FlowState& flow = m_flows[call.flow];
  ++flow.calls;
  flow.weight = call.weight;
  Group& group = m_groups[call.group];
  PriorityQueue& queue =
      group.queues.try_emplace(rank, PriorityQueue{Queue(m_capacity)})
          .first->second;
  if (queue.calls.empty()) {
    queue.virtual_time = std::max(
        queue.virtual_time,
        group.virtual_times[static_cast<std::size_t>(rank.wait_class)]);
  }
  Queue::Entry entry{.flow = call.flow,
                     .weight = call.weight,
                     .cost = call.cost,
                     .deadline = DueOf(call, rank.wait_class),
                     .rank = RankInFlow(call),
                     .item = {}};
  entry.item = std::move(call);
  const CallId id = entry.item.id;
  Place place{.group = entry.item.group, .rank = rank, .key = {}};
  place.key = queue.calls.Add(std::move(entry));
  m_places.emplace(id, std::move(place));
}

const std::pair<const WaitingCalls::Rank, WaitingCalls::PriorityQueue>*
WaitingCalls::NextQueue(const Group& group) {
  const std::pair<const Rank, PriorityQueue>* next = nullptr;
  for (const auto& item : group.queues) {
    if (item.second.calls.empty()) {
      continue;
    }
    if (next != nullptr && item.first.wait_class != next->first.wait_class) {
      break;
    }
    if (next == nullptr ||
        item.second.virtual_time < next->second.virtual_time) {
      next = &item;
    }
  }
  return next;
}

const WaitingCall* WaitingCalls::Next(const ServiceId& group) const {
  const auto found = m_groups.find(group);
  const auto* queue =
      found == m_groups.end() ? nullptr : NextQueue(found->second);
  return queue == nullptr ? nullptr : &queue->second.calls.Next();
}

WaitClass WaitingCalls::NextClass(const ServiceId& group) const {
  return NextQueue(m_groups.at(group))->first.wait_class;
}

WaitingCall WaitingCalls::TakeNext(const ServiceId& group_id) {
  Group& group = m_groups.at(group_id);
  const Rank rank = NextQueue(group)->first;
  const std::uint32_t most_urgent =
      group.queues.lower_bound({rank.wait_class, 0})->first.priority;
  const std::uint32_t steps =
      std::min(rank.priority - most_urgent, kMaxPrioritySteps);
  PriorityQueue& queue = group.queues.at(rank);
  group.virtual_times[static_cast<std::size_t>(rank.wait_class)] =
      queue.virtual_time;
  queue.virtual_time += std::pow(kPriorityWeight, steps);
  WaitingCall call = queue.calls.TakeNext();
  Forget(call);
  return call;
}

std::optional<WaitingCall> WaitingCalls::TakeDue(TimePoint now) {
  for (auto& [id, group] : m_groups) {
    for (auto& [rank, queue] : group.queues) {
      if (std::optional<WaitingCall> due = queue.calls.TakeDueBy(now)) {
        Forget(*due);
        return due;
      }
    }
  }
  return std::nullopt;
}

std::optional<TimePoint> WaitingCalls::NextDue() const {
  std::optional<TimePoint> earliest;
  for (const auto& [id, group] : m_groups) {
    for (const auto& [rank, queue] : group.queues) {
      if (!queue.calls.empty()) {
        const TimePoint due = queue.calls.EarliestDeadline();
        earliest = std::min(earliest.value_or(due), due);
      }
    }
  }
  return earliest;
}

bool WaitingCalls::Remove(CallId id) {
  const auto found = m_places.find(id);
  if (found == m_places.end()) {
    return false;
  }
  const std::optional<WaitingCall> call = m_groups.at(found->second.group)
                                              .queues.at(found->second.rank)
                                              .calls.Take(found->second.key);
  Forget(*call);
  return true;
}

void WaitingCalls::Forget(const WaitingCall& call) {
  m_places.erase(call.id);
  const auto flow = m_flows.find(call.flow);
  if (--flow->second.calls == 0) {
    m_flows.erase(flow);
  }
}

}  // namespace jacinthdeck
