// Token budget that limits extra attempts to a fraction of the first attempts.
#ifndef JACINTHDECK_ROUTING_TOKEN_BUDGET_H_
#define JACINTHDECK_ROUTING_TOKEN_BUDGET_H_

#include <algorithm>

namespace jacinthdeck {

/**
 * \brief Tokens that first attempts earn and extra attempts spend.
 *
 * Without a budget, an outage turns each failure into a retry, the retries
 * overload the remaining targets, and the load does not decrease again. The
 * budget bounds the extra load under any failure, since retries and hedges earn
 * no tokens.
 */
class TokenBudget {
 public:
  /**
   * \brief Creates a full budget.
   * \param ratio Tokens earned by one first attempt, 0 or more.
   * \param burst Maximum number of tokens; 0 forbids extra attempts.
   */
  TokenBudget(double ratio, double burst) noexcept
      : m_ratio(ratio), m_burst(burst), m_tokens(burst) {}

  /*! \brief Returns the number of tokens left. */
  [[nodiscard]] double tokens() const noexcept { return m_tokens; }

  /*! \brief Adds the tokens earned by a first attempt. */
  void Earn() noexcept { Refund(m_ratio); }

  /**
   * \brief Gives tokens back for an extra attempt that saved work elsewhere.
   * \param tokens Tokens to add, 0 to 1.
   */
  void Refund(double tokens) noexcept {
    m_tokens = std::min(m_burst, m_tokens + tokens);
  }

  /**
   * \brief Spends one token for an extra attempt.
   * \return False, without spending anything, if less than one token is left.
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
