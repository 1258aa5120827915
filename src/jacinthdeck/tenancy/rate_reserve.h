// The requests that a front may admit at once, before an allocator knows.
#ifndef JACINTHDECK_TENANCY_RATE_RESERVE_H_
#define JACINTHDECK_TENANCY_RATE_RESERVE_H_

#include <cstdint>
#include <deque>

#include "jacinthdeck/core/time.h"

namespace jacinthdeck {

/**
 * \brief Reserve of one account at one front.
 *
 * What is spent comes back when a bucket has paid for it, or one window later.
 * So within a window the front admits at most the reserve's size in addition to
 * what buckets pay for.
 */
class RateReserve {
 public:
  explicit RateReserve(Duration window) : m_window(window) {}

  /*! \brief Sets how many requests it holds. */
  void SetSize(std::uint32_t size) noexcept { m_size = size; }

  /*! \brief Lets requests come back that were spent a window ago. */
  void Advance(TimePoint now);

  /*! \brief Spends one request; false if none is left. */
  [[nodiscard]] bool TrySpend(TimePoint now);

  /*! \brief Adds requests that a bucket has paid for. */
  void Settle(std::uint32_t count);

  /*! \brief Takes back the request spent last; false if none is unpaid. */
  bool Unspend();

  /*! \brief Adds a part of a request that a bucket has paid for. */
  void AddPart(double part);

  /*! \brief Returns which part of a request is still to be paid for before the
   * next one comes back; 0 if none is missing. */
  [[nodiscard]] double MissingPart() const noexcept {
    return m_spent.empty() ? 0 : 1 - m_part;
  }

  [[nodiscard]] std::uint32_t available() const noexcept {
    const auto spent = static_cast<std::uint32_t>(m_spent.size());
    return m_size > spent ? m_size - spent : 0;
  }

  /*! \brief Returns how many spent requests no bucket has paid for. */
  [[nodiscard]] std::uint32_t unpaid() const noexcept {
    return static_cast<std::uint32_t>(m_spent.size());
  }

  /*! \brief Returns when the next spent request comes back unpaid; with a size
   * above 0 and none available. */
  [[nodiscard]] TimePoint NextReturn() const {
    return m_spent.empty() ? TimePoint::min() : m_spent.front() + m_window;
  }

 private:
  Duration m_window;
  std::uint32_t m_size = 0;
  //! When each request was spent that neither was paid for nor came back.
  std::deque<TimePoint> m_spent;
  //! Paid part of the oldest of them, below 1; 0 if there is none.
  double m_part = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_TENANCY_RATE_RESERVE_H_
