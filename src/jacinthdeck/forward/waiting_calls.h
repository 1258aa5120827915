// Calls that wait to start, in the order in which they start.
#ifndef JACINTHDECK_FORWARD_WAITING_CALLS_H_
#define JACINTHDECK_FORWARD_WAITING_CALLS_H_

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "jacinthdeck/core/ids.h"
#include "jacinthdeck/core/time.h"
#include "jacinthdeck/forward/waiting_call.h"
#include "jacinthdeck/routing/fair_queue.h"

namespace jacinthdeck {

/*! \brief Whether a waiting call can still meet its objective. Calls that can
 * go before those that cannot. */
enum class WaitClass { kInTime, kLate };

/**
 * \brief Bounded set of waiting calls.
 *
 * Within a group, calls that can meet their objective go first. Among them, and
 * among the late ones, each priority gets four times the starts of the next
 * lower one while both wait: with strict order, urgent calls alone could use
 * all starts for as long as an overload lasts. Within a priority, flows share
 * the starts by start-time fair queueing. Within a flow, returning callers go
 * first, then by deadline. The bound counts the calls of all groups together.
 */
class WaitingCalls {
 public:
  /*! \brief Creates an empty set for a number of calls, at least 1. */
  explicit WaitingCalls(std::size_t capacity) noexcept : m_capacity(capacity) {}

  [[nodiscard]] bool empty() const noexcept { return m_places.empty(); }
  [[nodiscard]] std::size_t size() const noexcept { return m_places.size(); }
  [[nodiscard]] bool full() const noexcept { return size() >= m_capacity; }
  [[nodiscard]] bool Contains(CallId id) const { return m_places.contains(id); }

  /*! \brief Returns the groups that have waiting calls. */
  [[nodiscard]] std::vector<ServiceId> Groups() const;

  /*! \brief Returns the number of waiting calls of a group in a class. */
  [[nodiscard]] std::size_t CountOf(const ServiceId& group,
                                    WaitClass wait_class) const;

  /*! \brief Estimates how many starts precede that of a new call. */
  [[nodiscard]] double StartsAhead(const WaitingCall& call,
                                   WaitClass wait_class) const;

  /**
   * \brief Adds a call. In a full set, the last call of the largest flow makes
   * room, unless it would go before the new one.
   * \return The call that there is no room for: none, another, or the new one.
   */
  [[nodiscard]] std::optional<WaitingCall> Add(WaitingCall call,
                                               WaitClass wait_class);

  /*! \brief Returns the call of a group that goes next; null if none waits. */
  [[nodiscard]] const WaitingCall* Next(const ServiceId& group) const;

  /*! \brief Returns the class of the call that goes next; one must wait. */
  [[nodiscard]] WaitClass NextClass(const ServiceId& group) const;

  /*! \brief Removes the call of a group that goes next and counts its start;
   * one must wait. */
  [[nodiscard]] WaitingCall TakeNext(const ServiceId& group);

  /*! \brief Removes and returns a call in time that is now late, or a late call
   * that can no longer be answered; none if there is neither. */
  [[nodiscard]] std::optional<WaitingCall> TakeDue(TimePoint now);

  /*! \brief Returns when TakeDue() has a call next; none without calls. */
  [[nodiscard]] std::optional<TimePoint> NextDue() const;

  /*! \brief Removes a call; returns whether it was waiting. */
  bool Remove(CallId id);

 private:
  using Queue = FairQueue<WaitingCall, std::string>;
  //! A queue of a group; ordered by what goes first.
  struct Rank {
    WaitClass wait_class = WaitClass::kInTime;
    std::uint32_t priority = 0;

    [[nodiscard]] auto operator<=>(const Rank&) const = default;
  };
  struct PriorityQueue {
    Queue calls;
    //! Advances with each start by the inverse of the priority's weight; the
    //! queue of a class with the lowest one goes next.
    double virtual_time = 0;
  };
  struct Group {
    //! Queues stay when they run empty, as they keep the virtual times of
    //! flows; there are as many as priorities.
    std::map<Rank, PriorityQueue> queues;
    //! Virtual times of the last starts, indexed by WaitClass. A queue that was
    //! empty resumes at least there.
    std::array<double, 2> virtual_times{};
  };
  //! Where a call waits.
  struct Place {
    ServiceId group;
    Rank rank;
    Queue::Key key;
  };
  struct FlowState {
    std::size_t calls = 0;
    double weight = 1;
  };

  [[nodiscard]] const std::string& LargestFlow(const WaitingCall& call) const;
  //! Removes the last call of a flow in a queue that goes after `rank`, or in
  //! the same one if `same` is set.
  [[nodiscard]] std::optional<WaitingCall> TakeLastOf(const std::string& flow,
                                                      const Rank& rank,
                                                      bool same);
  //! Returns the queue of a group that goes next; null if all are empty.
  [[nodiscard]] static const std::pair<const Rank, PriorityQueue>* NextQueue(
      const Group& group);
  void Insert(WaitingCall call, const Rank& rank);
  //! Updates the state for a call that was taken from its queue.
  void Forget(const WaitingCall& call);

  std::size_t m_capacity;
  //! As many as services.
  std::map<ServiceId, Group> m_groups;
  //! Exactly the waiting calls.
  std::unordered_map<CallId, Place> m_places;
  //! Exactly the flows with waiting calls.
  std::map<std::string, FlowState> m_flows;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_FORWARD_WAITING_CALLS_H_
