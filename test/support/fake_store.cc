// The platform's store in memory.
#include "support/fake_store.h"

namespace jacinthdeck {

std::string FakeStore::ValueOf(const std::string& key) const {
  const auto found = m_items.find(key);
  return found == m_items.end() ? std::string() : found->second.value;
}

StoreReply FakeStore::Call(const StoreRequest& request) {
  ++m_calls;
  StoreReply reply;
  reply.id = request.id;
  if (m_faults.down) {
    return reply;
  }
  switch (request.operation) {
    case StoreOperation::kRead:
      ++m_reads;
      Read(request, reply);
      break;
    case StoreOperation::kList:
      ++m_reads;
      List(request, reply);
      break;
    case StoreOperation::kCompareAndSwap:
      ++m_writes;
      Write(request, reply);
      break;
  }
  return reply;
}

void FakeStore::Read(const StoreRequest& request, StoreReply& reply) const {
  const Items& items = m_faults.stale_reads ? m_frozen : m_items;
  const auto found = items.find(request.key);
  if (found == items.end()) {
    reply.status = StoreStatus::kNotFound;
    return;
  }
  reply.status = StoreStatus::kOk;
  reply.items.push_back(found->second);
}

void FakeStore::List(const StoreRequest& request, StoreReply& reply) const {
  reply.status = StoreStatus::kOk;
  for (const auto& [key, item] : m_items) {
    if (key.starts_with(request.key)) {
      reply.items.push_back(item);
    }
  }
}

void FakeStore::Write(const StoreRequest& request, StoreReply& reply) {
  if (m_faults.lose_writes > 0) {
    --m_faults.lose_writes;
    return;
  }
  const auto found = m_items.find(request.key);
  const StoreRevision present =
      found == m_items.end() ? StoreRevision() : found->second.revision;
  reply.revision = present;
  if (present != request.expected) {
    reply.status = StoreStatus::kConflict;
    return;
  }
  reply.revision = StoreRevision(m_next_revision++);
  m_items[request.key] = StoreItem{request.key, request.value, reply.revision};
  if (m_faults.lose_write_replies > 0) {
    --m_faults.lose_write_replies;
    return;
  }
  reply.status = StoreStatus::kOk;
}

}  // namespace jacinthdeck
