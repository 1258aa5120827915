// Exponentially weighted moving average.
#ifndef JACINTHDECK_ROUTING_DECAYING_AVERAGE_H_
#define JACINTHDECK_ROUTING_DECAYING_AVERAGE_H_

#include <algorithm>
#include <cstdint>

namespace jacinthdeck {

/*! \brief Exponentially weighted moving average that starts as a plain mean:
 * once the window is full, each sample has the weight 1 / window. */
class DecayingAverage {
 public:
  /**
   * \brief Creates an average without samples.
   * \param window_samples Number of samples after which the weight of an old
   * one has fallen to about a third; at least 1.
   */
  explicit DecayingAverage(std::uint32_t window_samples) noexcept
      : m_window_samples(window_samples) {}

  /*! \brief Returns the average; 0 before the first sample. */
  [[nodiscard]] double value() const noexcept { return m_value; }

  /*! \brief Returns the number of samples, at most the window. */
  [[nodiscard]] std::uint32_t samples() const noexcept { return m_samples; }

  /*! \brief Adds a sample. */
  void Add(double sample) noexcept {
    m_samples = std::min(m_samples + 1, m_window_samples);
    m_value += (sample - m_value) / m_samples;
  }

  /*! \brief Removes all samples. */
  void Reset() noexcept {
    m_samples = 0;
    m_value = 0;
  }

 private:
  std::uint32_t m_window_samples;
  //! At most m_window_samples.
  std::uint32_t m_samples = 0;
  double m_value = 0;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ROUTING_DECAYING_AVERAGE_H_
