// Bounds extra requests to a share of the first attempts.
#ifndef JACINTHDECK_ROUTING_TOKEN_BUDGET_H_
#define JACINTHDECK_ROUTING_TOKEN_BUDGET_H_

#include <algorithm>

namespace jacinthdeck {

/**
 * \brief Tokens that first attempts earn and extra attempts spend.
 *
 * Without it, an outage turns each failure into a retry, the retries overload
 * what is left, and the load never falls again. A share of the first attempts
 * bounds the extra load whatever fails, since retries and hedges earn nothing.
 */
class TokenBudget {
 public:
  /**
   * \brief Makes a full budget.
   * \param ratio Tokens earned by one first attempt, 0 or more.
   * \param burst Most tokens held; 0 forbids every extra attempt.
   */
  TokenBudget(double ratio, double burst) noexcept
      : m_ratio(ratio), m_burst(burst), m_tokens(burst) {}

  /*! \brief Tells how many tokens are left. */
  [[nodiscard]] double tokens() const noexcept { return m_tokens; }

  /*! \brief Counts a first attempt. */
  void Earn() noexcept { Refund(m_ratio); }

  /**
   * \brief Gives tokens back, for an extra attempt that took work off others.
   * \param tokens Tokens, 0 to 1.
   */
  void Refund(double tokens) noexcept {
    m_tokens = std::min(m_burst, m_tokens + tokens);
  }

  /**
   * \brief Pays for one extra attempt.
   * \return False, with nothing spent, where less than one token is left.
   */
  [[nodiscard]] bool TrySpend() noexcept {
    if (m_tokens < 1) {
      return false;
    }
    m_tokens -= 1;
    return true;
  }

 private:
  double m_ratio;
  double m_burst;
  //! Between 0 and m_burst.
  double m_tokens;
};

}  // namespace jacinthdeck

#endif  // JACINTHDECK_ROUTING_TOKEN_BUDGET_H_
