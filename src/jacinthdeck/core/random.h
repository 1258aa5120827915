// Seeded random number generator; it is passed in explicitly so that every
// decision can be replayed.
#ifndef JACINTHDECK_CORE_RANDOM_H_
#define JACINTHDECK_CORE_RANDOM_H_

#include <cstdint>
#include <random>

namespace jacinthdeck {

/*! \brief Generator whose sequence for a given seed is the same on every
 * machine. */
class Random {
 public:
  explicit Random(std::uint64_t seed) : m_engine(seed) {}

  /**
   * \brief Draws an integer below a bound.
   * \param bound Exclusive upper bound; 0 is treated as 1.
   * \return An integer in [0, bound); the modulo bias is below 2^-32 for bounds
   * below 2^32.
   */
  [[nodiscard]] std::uint64_t Below(std::uint64_t bound) {
    return bound == 0 ? 0 : m_engine() % bound;
  }

  /*! \brief Draws a real number in [0, 1). */
  [[nodiscard]] double Unit() {
    constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53
    return static_cast<double>(m_engine() >> 11U) * kScale;
  }

  /*! \brief Draws a seed for another, independent generator. */
  [[nodiscard]] std::uint64_t DrawSeed() { return m_engine(); }

 private:
  std::mt19937_64 m_engine;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_CORE_RANDOM_H_
