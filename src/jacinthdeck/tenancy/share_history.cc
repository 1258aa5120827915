// Appends a step for each change.
#include "jacinthdeck/tenancy/share_history.h"

namespace jacinthdeck {

void ShareHistory::Set(double share, TimePoint since) {
  if (share == this->share()) {
    return;
  }
  m_steps.push_back({since, share});
  if (m_steps.size() > kMostSteps) {
    m_steps.pop_front();
  }
}

}  // namespace jacinthdeck
