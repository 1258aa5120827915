// Queue of the times at which requests were spent.
#include "jacinthdeck/tenancy/rate_reserve.h"

namespace jacinthdeck {

namespace {

constexpr double kPartRounding = 1e-6;

}  // namespace

void RateReserve::Advance(TimePoint now) {
  while (!m_spent.empty() && m_spent.front() + m_window < now) {
    m_spent.pop_front();
  }
  m_part = m_spent.empty() ? 0 : m_part;
}

bool RateReserve::TrySpend(TimePoint now) {
  if (available() == 0) {
    return false;
  }
  m_spent.push_back(now);
  return true;
}

void RateReserve::Settle(std::uint32_t count) {
  for (; count > 0 && !m_spent.empty(); --count) {
    m_spent.pop_front();
  }
  m_part = m_spent.empty() ? 0 : m_part;
}

bool RateReserve::Unspend() {
  if (m_spent.empty()) {
    return false;
  }
  m_spent.pop_back();
  m_part = m_spent.empty() ? 0 : m_part;
  return true;
}

void RateReserve::AddPart(double part) {
  m_part += part;
  if (m_part >= 1 - kPartRounding) {
    m_part = 0;
    Settle(1);
  }
}

}  // namespace jacinthdeck
