// A target of the tail model: slots and a bounded FIFO queue.
#ifndef JACINTHDECK_BENCH_SUPPORT_TARGET_MODEL_H_
#define JACINTHDECK_BENCH_SUPPORT_TARGET_MODEL_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_set>

#include "jacinthdeck/core/time.h"

namespace jacinthdeck::bench {

/*! \brief Identifies an attempt across all entries. */
using AttemptKey = std::uint64_t;

/*! \brief What a target does with an arriving request. */
enum class Arrival { kStarted, kQueued, kShed };

/*! \brief Slots and queue of one target. */
class TargetModel {
 public:
  //! Requests that can wait for a slot; the next one is shed.
  static constexpr std::size_t kQueueCapacity = 8;

  explicit TargetModel(std::uint32_t slots) : m_slots(slots) {}

  /*! \brief Returns the load that the target reports, from 0 to 1. */
  [[nodiscard]] double load() const noexcept {
    const auto work = static_cast<double>(m_running.size() + m_queue.size());
    return std::min(1.0, work / (2.0 * m_slots));
  }

  [[nodiscard]] Arrival Arrive(AttemptKey key) {
    if (m_running.size() < m_slots) {
      m_running.insert(key);
      return Arrival::kStarted;
    }
    if (m_queue.size() >= kQueueCapacity) {
      return Arrival::kShed;
    }
    m_queue.push_back(key);
    return Arrival::kQueued;
  }

  /*! \brief Returns whether the request occupies a slot. */
  [[nodiscard]] bool IsRunning(AttemptKey key) const {
    return m_running.contains(key);
  }

  /*! \brief Removes a request; returns the one that starts in its slot, if any.
   */
  [[nodiscard]] std::optional<AttemptKey> Remove(AttemptKey key) {
    if (m_running.erase(key) == 0) {
      std::erase(m_queue, key);
      return std::nullopt;
    }
    if (m_queue.empty()) {
      return std::nullopt;
    }
    const AttemptKey next = m_queue.front();
    m_queue.pop_front();
    m_running.insert(next);
    return next;
  }

 private:
  std::uint32_t m_slots;
  //! At most m_slots attempts.
  std::unordered_set<AttemptKey> m_running;
  std::deque<AttemptKey> m_queue;
};

}  // namespace jacinthdeck::bench

#endif  // JACINTHDECK_BENCH_SUPPORT_TARGET_MODEL_H_
