// Bound on the bytes that many holders have in memory together.
#ifndef JACINTHDECK_CORE_BYTE_BUDGET_H_
#define JACINTHDECK_CORE_BYTE_BUDGET_H_

#include <cstdint>
#include <memory>
#include <utility>

namespace jacinthdeck {

/*! \brief Counts bytes up to a limit. */
class ByteBudget {
 public:
  /*! \brief Creates a budget of which nothing is used.
   * \param limit Maximum number of bytes. */
  explicit ByteBudget(std::uint64_t limit) noexcept : m_limit(limit) {}

  [[nodiscard]] std::uint64_t limit() const noexcept { return m_limit; }
  [[nodiscard]] std::uint64_t used() const noexcept { return m_used; }

  /*! \brief Replaces the limit. Bytes that are used beyond a lower one stay
   * used until they are returned. */
  void SetLimit(std::uint64_t limit) noexcept { m_limit = limit; }

  /*! \brief Takes bytes, or none if they exceed the limit. */
  [[nodiscard]] bool TryTake(std::uint64_t bytes) noexcept {
    if (m_used > m_limit || bytes > m_limit - m_used) {
      return false;
    }
    m_used += bytes;
    return true;
  }

  /*! \brief Returns bytes that were taken. */
  void Return(std::uint64_t bytes) noexcept { m_used -= bytes; }

 private:
  std::uint64_t m_limit;
  std::uint64_t m_used = 0;
};

/*! \brief A holder's part of a budget, which is returned when it is destroyed.
 */
class HeldBytes {
 public:
  HeldBytes() = default;
  /*! \brief Creates an empty part of a budget. */
  explicit HeldBytes(std::shared_ptr<ByteBudget> budget) noexcept
      : m_budget(std::move(budget)) {}
  ~HeldBytes() { Clear(); }
  HeldBytes(const HeldBytes&) = delete;
  HeldBytes& operator=(const HeldBytes&) = delete;
  HeldBytes(HeldBytes&& other) noexcept
      : m_budget(std::move(other.m_budget)),
        m_size(std::exchange(other.m_size, 0)) {}
  HeldBytes& operator=(HeldBytes&& other) noexcept {
    if (this != &other) {
      Clear();
      m_budget = std::move(other.m_budget);
      m_size = std::exchange(other.m_size, 0);
    }
    return *this;
  }

  [[nodiscard]] std::uint64_t size() const noexcept { return m_size; }

  /*! \brief Changes the number of bytes held; returns false, with the number
   * unchanged, if the budget has too few. */
  [[nodiscard]] bool TryResize(std::uint64_t size) noexcept {
    if (size > m_size && !m_budget->TryTake(size - m_size)) {
      return false;
    }
    if (size < m_size) {
      m_budget->Return(m_size - size);
    }
    m_size = size;
    return true;
  }

  /*! \brief Returns all bytes to the budget. */
  void Clear() noexcept {
    if (m_size > 0) {
      m_budget->Return(std::exchange(m_size, 0));
    }
  }

 private:
  //! Never null while bytes are held.
  std::shared_ptr<ByteBudget> m_budget;
  std::uint64_t m_size = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CORE_BYTE_BUDGET_H_
