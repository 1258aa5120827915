// Threads that make the decision thread's store calls.
#include "jacinthdeck/runtime/store_worker.h"

#include <utility>

#include "jacinthdeck/platform/store_call_runner.h"

namespace jacinthdeck {

namespace {

constexpr std::size_t kQueue = 64;
constexpr auto kWait = std::chrono::milliseconds(50);

}  // namespace

StoreWorker::StoreWorker(StoreClient& client, Sink sink)
    : m_client(client),
      m_sink(std::move(sink)),
      m_reads(kQueue),
      m_writes(kQueue),
      m_reader([this] { Run(m_reads); }),
      m_writer([this] { Run(m_writes); }) {}

StoreWorker::~StoreWorker() {
  m_stop = true;
  m_reader.join();
  m_writer.join();
}

bool StoreWorker::TryPush(StoreRequest request) {
  BoundedRing<StoreRequest>& ring =
      request.operation == StoreOperation::kCompareAndSwap ? m_writes : m_reads;
  return ring.TryPush(std::move(request));
}

void StoreWorker::Run(BoundedRing<StoreRequest>& ring) {
  while (!m_stop) {
    for (const StoreRequest& request : ring.PopAll(kWait)) {
      m_sink(RunStoreCall(m_client, request));
    }
  }
}

}  // namespace jacinthdeck
