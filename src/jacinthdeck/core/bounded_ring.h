// Bounded queue between threads that rejects items instead of blocking when it
// is full.
#ifndef JACINTHDECK_CORE_BOUNDED_RING_H_
#define JACINTHDECK_CORE_BOUNDED_RING_H_

#include <boost/circular_buffer.hpp>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <utility>
#include <vector>

namespace jacinthdeck {

/**
 * \brief Queue of fixed capacity for several writers and one reader.
 *
 * Writers never block. If a writer waited for room, a stalled reader would
 * stall the writer's callers too; a rejected push lets the writer tell them
 * immediately to retry later.
 */
template <typename T>
class BoundedRing {
 public:
  /*! \brief Creates an empty queue; the capacity must be at least 1. */
  explicit BoundedRing(std::size_t capacity) : m_items(capacity) {}

  /**
   * \brief Appends an item.
   * \param item Item to append; moved from only if there is room.
   * \return False if the queue is full.
   */
  [[nodiscard]] bool TryPush(T& item) {
    {
      const std::scoped_lock lock(m_mutex);
      if (m_items.full()) {
        return false;
      }
      m_items.push_back(std::move(item));
    }
    m_not_empty.notify_one();
    return true;
  }

  /*! \brief Appends a temporary item; returns false and leaves the item as it
   * is if the queue is full. */
  [[nodiscard]] bool TryPush(T&& item) { return TryPush(item); }

  /**
   * \brief Removes all items, waiting for the first one if there is none.
   * \param wait Longest time to wait, measured by std::chrono::steady_clock.
   * \return The items in the order of their pushes; empty after a timeout.
   */
  [[nodiscard]] std::vector<T> PopAll(std::chrono::microseconds wait) {
    std::unique_lock lock(m_mutex);
    if (m_items.empty() && wait > std::chrono::microseconds::zero()) {
      m_not_empty.wait_for(lock, wait, [this] { return !m_items.empty(); });
    }
    std::vector<T> items;
    items.reserve(m_items.size());
    for (T& item : m_items) {
      items.push_back(std::move(item));
    }
    m_items.clear();
    return items;
  }

 private:
  std::mutex m_mutex;
  std::condition_variable m_not_empty;
  //! Holds at most the capacity that was passed to the constructor.
  boost::circular_buffer<T> m_items;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CORE_BOUNDED_RING_H_
