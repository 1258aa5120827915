// Log of runs, bounded by the number of distinct requests.
#include "target/run_log.h"

#include <cstddef>
#include <utility>

namespace jacinthdeck::standins {

namespace {

constexpr std::size_t kMaxRequests = 50000;

}  // namespace

void RunLog::Record(const std::string& method,
                    const std::string& request,
                    Run run) {
  const std::string key = method + " " + request;
  const std::scoped_lock lock(m_mutex);
  ++m_total;
  const auto [entry, added] =
      m_requests.try_emplace(key, RequestRuns{method, request, {}});
  entry->second.runs.push_back(std::move(run));
  if (!added) {
    return;
  }
  m_insertion_order.push_back(key);
  if (m_insertion_order.size() > kMaxRequests) {
    m_requests.erase(m_insertion_order.front());
    m_insertion_order.pop_front();
  }
}

std::vector<RequestRuns> RunLog::Find(const std::string& method) const {
  const std::scoped_lock lock(m_mutex);
  std::vector<RequestRuns> found;
  for (const auto& [key, runs] : m_requests) {
    if (method.empty() || runs.method == method) {
      found.push_back(runs);
    }
  }
  return found;
}

std::uint64_t RunLog::total() const {
  const std::scoped_lock lock(m_mutex);
  return m_total;
}

}  // namespace jacinthdeck::standins
