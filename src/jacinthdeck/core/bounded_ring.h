// Bounded queue that joins two threads; a full one refuses instead of blocking
// its writers.
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
 * \brief Ring of a fixed size for several writers and one reader.
 *
 * Writers never wait: a thread that waited on a full ring would hand the stall
 * of its reader on to callers who could have been told at once to come back
 * later.
 */
template <typename T>
class BoundedRing {
 public:
  /*! \brief Makes an empty ring; capacity is at least 1. */
  explicit BoundedRing(std::size_t capacity) : m_items(capacity) {}

  /**
   * \brief Adds an item.
   * \param item Moved from only if there is room.
   * \return False if the ring is full.
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

  /*! \brief Adds an item; false, and the item is gone, if the ring is full. */
  [[nodiscard]] bool TryPush(T&& item) { return TryPush(item); }

  /**
   * \brief Takes all items, waiting for the first one.
   * \param wait Longest time to wait, on the machine's steady clock.
   * \return The items in order; empty if the time passed.
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
  //! Never grows past the capacity given at the start.
  boost::circular_buffer<T> m_items;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CORE_BOUNDED_RING_H_
