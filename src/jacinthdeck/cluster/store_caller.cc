// Issue and count of store calls.
#include "jacinthdeck/cluster/store_caller.h"

#include <utility>

namespace jacinthdeck {

std::optional<StoreCallId> StoreCaller::Read(std::string key,
                                             ClusterEffects& effects) {
  StoreRequest request;
  request.operation = StoreOperation::kRead;
  request.key = std::move(key);
  return Issue(std::move(request), effects);
}

std::optional<StoreCallId> StoreCaller::List(std::string prefix,
                                             ClusterEffects& effects) {
  StoreRequest request;
  request.operation = StoreOperation::kList;
  request.key = std::move(prefix);
  return Issue(std::move(request), effects);
}

std::optional<StoreCallId> StoreCaller::CompareAndSwap(
    std::string key,
    std::string value,
    StoreRevision expected,
    ClusterEffects& effects) {
  StoreRequest request;
  request.operation = StoreOperation::kCompareAndSwap;
  request.key = std::move(key);
  request.value = std::move(value);
  request.expected = expected;
  return Issue(std::move(request), effects);
}

bool StoreCaller::OnReply(const StoreReply& reply) {
  if (m_open.erase(reply.id) == 0) {
    return false;
  }
  if (reply.status == StoreStatus::kRefused ||
      reply.status == StoreStatus::kNoReply) {
    ++m_counters.store_failures;
  }
  return true;
}

std::optional<StoreCallId> StoreCaller::Issue(StoreRequest request,
                                              ClusterEffects& effects) {
  if (m_open.size() >= kMaxInFlight) {
    return std::nullopt;
  }
  request.id = StoreCallId(m_next++);
  request.timeout = m_timeout;
  m_counters.store_reads += request.operation == StoreOperation::kRead ? 1 : 0;
  m_counters.store_lists += request.operation == StoreOperation::kList ? 1 : 0;
  m_counters.store_writes +=
      request.operation == StoreOperation::kCompareAndSwap ? 1 : 0;
  m_open.insert(request.id);
  effects.store_requests.push_back(request);
  return request.id;
}

}  // namespace jacinthdeck
