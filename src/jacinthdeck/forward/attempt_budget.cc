// Counts requests and extra attempts in a ring of buckets; extra attempts count
// for one bucket longer than requests.
#include "jacinthdeck/forward/attempt_budget.h"

#include <algorithm>

namespace jacinthdeck {

namespace {

//! Part of the limit that may be spent. Whoever checks the limit may count a
//! request slightly earlier or later than this host does; the rest is the
//! margin for that.
constexpr double kUsableShare = 0.85;

}  // namespace

AttemptBudget::AttemptBudget(const AttemptBudgetOptions& options)
    : m_options(options) {}

void AttemptBudget::OnRequest(TimePoint now) {
  Advance(now);
  Bucket& newest = m_ring[static_cast<std::size_t>(m_newest) % m_ring.size()];
  ++newest.requests;
  ++m_requests;
}

bool AttemptBudget::CanSpend(TimePoint now) {
  return Available(now) >= 1;
}

bool AttemptBudget::TrySpend(TimePoint now) {
  if (!CanSpend(now)) {
    return false;
  }
  Bucket& newest = m_ring[static_cast<std::size_t>(m_newest) % m_ring.size()];
  ++newest.extras;
  ++m_extras;
  return true;
}

void AttemptBudget::Refund(TimePoint now) {
  Advance(now);
  Bucket& newest = m_ring[static_cast<std::size_t>(m_newest) % m_ring.size()];
  if (newest.extras > 0) {
    --newest.extras;
    --m_extras;
  }
}

double AttemptBudget::Available(TimePoint now) {
  Advance(now);
  const auto age = static_cast<double>((now - m_share_since).count());
  const double ramp =
      std::min(age / static_cast<double>(m_options.window.count()), 1.0);
  const double constant = ramp * m_options.constant * m_share;
  const double bound = m_options.ratio * m_requests + constant;
  return kUsableShare * bound - m_extras;
}

void AttemptBudget::Advance(TimePoint now) {
  const auto length = m_options.window.count() / static_cast<int>(kBuckets);
  const std::int64_t slot = now.time_since_epoch().count() / length;
  const std::int64_t steps = slot - m_newest;
  if (steps <= 0) {
    return;
  }
  if (steps > static_cast<std::int64_t>(m_ring.size())) {
    m_ring.fill(Bucket{});
    m_newest = slot;
  }
  while (m_newest < slot) {
    ++m_newest;
    m_ring[static_cast<std::size_t>(m_newest) % m_ring.size()] = Bucket{};
  }
  m_requests = 0;
  m_extras = 0;
  const std::size_t oldest =
      static_cast<std::size_t>(m_newest + 1) % m_ring.size();
  for (std::size_t index = 0; index < m_ring.size(); ++index) {
    m_extras += m_ring[index].extras;
    m_requests += index == oldest ? 0 : m_ring[index].requests;
  }
}

}  // namespace jacinthdeck
